/** Which tasks run where, and which have finished. */
import type { AgentEpoch, JobId, MachineId, ModRevision } from "@sorreltally/protocol"
import type { RecordCodec } from "./record-codec.ts"

/** One task that was placed, as a placement record tells it. */
export interface PlacedTask {
  readonly index: number
  /** Place of its machine in the record's list. */
  readonly machine: number
  readonly agentEpoch: AgentEpoch
  /** The attempt, counted from the record's first. */
  readonly attemptOffset: number
}
/** Consecutive finished tasks of a job. */
export interface TaskRun {
  readonly first: number
  readonly count: number
}
/** Placements and finished tasks of many jobs of one shard; see `PlacementLedger`. */
export interface PlacementRecord {
  /** Which write this is: an owner that got no answer recognizes its own. */
  readonly write: { readonly epoch: ModRevision; readonly number: number }
  readonly firstAttempt: number
  readonly machines: ReadonlyArray<MachineId>
  readonly placed: ReadonlyArray<{ readonly jobId: JobId; readonly tasks: ReadonlyArray<PlacedTask> }>
  readonly finished: ReadonlyArray<{ readonly jobId: JobId; readonly runs: ReadonlyArray<TaskRun> }>
}

interface StoredPlacements {
  readonly w: readonly [ModRevision, number]
  readonly a: number
  readonly m: ReadonlyArray<MachineId>
  /** A job's id, then four numbers a task: index, machine, agent epoch, attempt. */
  readonly s: ReadonlyArray<readonly [JobId, ...Array<number>]>
  /** A job's id, then two numbers a run: first task and count. */
  readonly d: ReadonlyArray<readonly [JobId, ...Array<number>]>
}
const NUMBERS_A_TASK = 4
const NUMBERS_A_RUN = 2

const decodePlacedTasks = (numbers: ReadonlyArray<number>): ReadonlyArray<PlacedTask> => {
  const tasks: Array<PlacedTask> = []
  for (let i = 0; i + NUMBERS_A_TASK <= numbers.length; i += NUMBERS_A_TASK) {
    tasks.push({
      index: numbers[i]!,
      machine: numbers[i + 1]!,
      agentEpoch: numbers[i + 2]! as AgentEpoch,
      attemptOffset: numbers[i + 3]!,
    })
  }
  return tasks
}
const decodeRuns = (numbers: ReadonlyArray<number>): ReadonlyArray<TaskRun> => {
  const runs: Array<TaskRun> = []
  for (let i = 0; i + NUMBERS_A_RUN <= numbers.length; i += NUMBERS_A_RUN)
    runs.push({ first: numbers[i]!, count: numbers[i + 1]! })
  return runs
}

/** Codec of placement records. */
export const placementsCodec: RecordCodec<PlacementRecord, StoredPlacements> = {
  decode: ({ w: [epoch, number], a, m, s, d }) => ({
    write: { epoch, number },
    firstAttempt: a,
    machines: m,
    placed: s.map(([jobId, ...numbers]) => ({ jobId, tasks: decodePlacedTasks(numbers) })),
    finished: d.map(([jobId, ...numbers]) => ({ jobId, runs: decodeRuns(numbers) })),
  }),
  encode: ({ write, firstAttempt, machines, placed, finished }) => ({
    w: [write.epoch, write.number],
    a: firstAttempt,
    m: machines,
    s: placed.map(({ jobId, tasks }) => [
      jobId,
      ...tasks.flatMap((task) => [task.index, task.machine, task.agentEpoch, task.attemptOffset]),
    ]),
    d: finished.map(({ jobId, runs }) => [jobId, ...runs.flatMap(({ first, count }) => [first, count])]),
  }),
}
