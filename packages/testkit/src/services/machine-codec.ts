/**
 * How a simulated machine stands on the wire and in dumps of a deployment; the
 * only place of the stand-in where heartbeats' and dumps' names are spelt. Both
 * forms are kept byte for byte: fixtures hold them.
 */
import type { WireHeartbeat } from "@sorreltally/protocol"
import type { TaskPhase, WorkerTask } from "./worker-tasks.ts"

/** A task on a machine, as plain data. Its names are those of the wire; `progressS` is always 0. */
export interface TaskDump {
  readonly job: string
  readonly index: number
  readonly attempt: number
  readonly status: string
  readonly cause: string | null
  readonly stored: boolean
  readonly progressS: number
  readonly since: number
}
/** `failed`: the cloud says that it ended on its own. */
export type MachineStatus = "booting" | "running" | "failed"
/** A machine and its worker, as plain data. Times are in milliseconds. */
export interface MachineDump {
  readonly id: string
  readonly type: string
  readonly zone: string
  readonly spot: boolean
  readonly status: MachineStatus
  readonly rented: number
  readonly tenure: number
  readonly tick: number
  readonly baton: number
  readonly lastAnswered: number
  readonly images: ReadonlyArray<string>
  readonly tasks: ReadonlyArray<TaskDump>
}

const statusOf = (phase: TaskPhase): string => (phase === "checkpointing" ? "flushing" : phase)
const phaseOf = (status: string): TaskPhase =>
  status === "flushing" ? "checkpointing" : (status as Exclude<TaskPhase, "checkpointing">)

/** What a heartbeat says of a worker and its machine. */
export interface HeartbeatFields {
  readonly machineId: string
  readonly machineType: string
  readonly zone: string
  readonly spot: boolean
  readonly agentEpoch: number
  readonly sequence: number
  readonly fencingToken: number
  /** Seconds until a spot machine is taken; null: no notice. */
  readonly preemptionNoticeS: number | null
  readonly tasks: Iterable<readonly [taskId: string, task: WorkerTask]>
}
/** The body of a heartbeat, and of a worker's answer to commands. */
export const encodeHeartbeat = (fields: HeartbeatFields): WireHeartbeat => {
  const pieces = [...fields.tasks].map(([piece, { attempt, phase, exitReason, checkpointed }]) => ({
    piece,
    try: attempt,
    status: statusOf(phase),
    ...(exitReason === null ? {} : { cause: exitReason, stored: checkpointed }),
  }))
  return {
    host: fields.machineId,
    address: `${fields.machineId}:9000`,
    build: fields.machineType,
    site: fields.zone,
    loaners: fields.spot,
    tenure: fields.agentEpoch,
    tick: fields.sequence,
    baton: fields.fencingToken,
    warning_s: fields.preemptionNoticeS,
    pieces,
  } as unknown as WireHeartbeat
}

/** A task as plain data, in the order of fields that fixtures have. */
export const dumpTask = (task: WorkerTask): TaskDump => {
  const { job, index, attempt, phase, exitReason, checkpointed, since } = task
  const status = statusOf(phase)
  return { job, index, attempt, status, cause: exitReason, stored: checkpointed, progressS: 0, since }
}
/** The task that a dump speaks of, without a timer. */
export const restoredTask = (dump: TaskDump): WorkerTask => ({
  job: dump.job,
  index: dump.index,
  attempt: dump.attempt,
  phase: phaseOf(dump.status),
  exitReason: dump.cause,
  checkpointed: dump.stored,
  since: dump.since,
  cancelTimer: () => {},
})
