/** Records of task placements and finished tasks. */
import type { AgentEpoch, JobId, MachineId, ModRevision } from "@sorreltally/protocol"
import type { RecordCodec } from "./record-codec.ts"

/** A placed task in a placement record. */
export interface PlacedTask {
  /** Index of the task in its job. */
  readonly index: number
  /** Index of the task's machine in the record's `machines`. */
  readonly machineIndex: number
  readonly agentEpoch: AgentEpoch
  /** The attempt, relative to the record's `firstAttempt`. */
  readonly attemptOffset: number
}
/** Consecutive finished tasks of a job. */
export interface TaskRun {
  readonly first: number
  readonly count: number
}
/** Placements and finished tasks of many jobs of one shard; see `PlacementLedger`. */
export interface PlacementRecord {
  /** Identifies the write: an owner that got no response recognizes by it whether its write was applied. */
  readonly writeId: { readonly epoch: ModRevision; readonly number: number }
  readonly firstAttempt: number
  readonly machines: ReadonlyArray<MachineId>
  readonly placed: ReadonlyArray<{ readonly jobId: JobId; readonly tasks: ReadonlyArray<PlacedTask> }>
  readonly finished: ReadonlyArray<{ readonly jobId: JobId; readonly runs: ReadonlyArray<TaskRun> }>
}

interface StoredPlacements {
  readonly w: readonly [ModRevision, number]
  readonly a: number
  readonly m: ReadonlyArray<MachineId>
  /** A job id, then four numbers per task: index, machine index, agent epoch, attempt offset. */
  readonly s: ReadonlyArray<readonly [JobId, ...Array<number>]>
  /** A job id, then two numbers per run: index of the first task, and count. */
  readonly d: ReadonlyArray<readonly [JobId, ...Array<number>]>
}
const NUMBERS_PER_TASK = 4
const NUMBERS_PER_RUN = 2

const decodePlacedTasks = (numbers: ReadonlyArray<number>): ReadonlyArray<PlacedTask> => {
  const tasks: Array<PlacedTask> = []
  for (let i = 0; i + NUMBERS_PER_TASK <= numbers.length; i += NUMBERS_PER_TASK) {
    tasks.push({
      index: numbers[i]!,
      machineIndex: numbers[i + 1]!,
      agentEpoch: numbers[i + 2]! as AgentEpoch,
      attemptOffset: numbers[i + 3]!,
    })
  }
  return tasks
}
const decodeRuns = (numbers: ReadonlyArray<number>): ReadonlyArray<TaskRun> => {
  const runs: Array<TaskRun> = []
  for (let i = 0; i + NUMBERS_PER_RUN <= numbers.length; i += NUMBERS_PER_RUN)
    runs.push({ first: numbers[i]!, count: numbers[i + 1]! })
  return runs
}

/** Codec of placement records. */
export const placementsCodec: RecordCodec<PlacementRecord, StoredPlacements> = {
  decode: ({ w: [epoch, number], a, m, s, d }) => ({
    writeId: { epoch, number },
    firstAttempt: a,
    machines: m,
    placed: s.map(([jobId, ...numbers]) => ({ jobId, tasks: decodePlacedTasks(numbers) })),
    finished: d.map(([jobId, ...numbers]) => ({ jobId, runs: decodeRuns(numbers) })),
  }),
  encode: ({ writeId, firstAttempt, machines, placed, finished }) => ({
    w: [writeId.epoch, writeId.number],
    a: firstAttempt,
    m: machines,
    s: placed.map(({ jobId, tasks }) => [
      jobId,
      ...tasks.flatMap((task) => [task.index, task.machineIndex, task.agentEpoch, task.attemptOffset]),
    ]),
    d: finished.map(({ jobId, runs }) => [jobId, ...runs.flatMap(({ first, count }) => [first, count])]),
  }),
}
