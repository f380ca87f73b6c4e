/** Reports as controllers hand them on to a machine's owner, and the owner's answers. */
import type { Address, Attempt, MachineId, TaskId, Tenure, Tick, Token, TypeName, ZoneName } from "./ids.ts"
import {
  exitReasonFromWire,
  exitReasonToWire,
  type Heartbeat,
  phaseFromWire,
  phaseToWire,
  type ReportedTask,
  type WireCommand,
} from "./workers.ts"

type PackedTask = readonly [TaskId, Attempt, status: string, cause: string | null, stored: boolean | null]
/** A report without the names of its fields: those are most of its bytes. */
export type PackedReport = readonly [
  MachineId,
  Address,
  TypeName,
  ZoneName,
  loaners: boolean,
  Tenure,
  Tick,
  Token,
  warningS: number | null,
  tasks: ReadonlyArray<PackedTask>,
]
/** A report that differs by its counters alone from one of the same session, the one with the tick `since`. */
type PackedRepeat = readonly [MachineId, Tenure, Tick, Token, since: Tick]
export interface RepeatedReport {
  readonly machineId: MachineId
  readonly agentEpoch: Tenure
  readonly sequence: Tick
  readonly fencingToken: Token
  /** The sequence number of the report that it repeats. */
  readonly since: Tick
}

/** Reports that came to one node and are for the owner to answer; each has a number. */
export interface RelayedReports {
  /** The life of the sending process: a later one counts from the start again. */
  readonly life: number
  /** Time of day at which they were handed on, in milliseconds. */
  readonly at: number
  readonly reports: ReadonlyArray<readonly [number: number, report: PackedReport]>
  readonly repeats: ReadonlyArray<readonly [number: number, repeat: PackedRepeat]>
}
/** Status of a relayed answer by which the owner asks for the whole report. */
export const SEND_WHOLE = 0
export interface RelayedAnswers {
  readonly life: number
  readonly answers: ReadonlyArray<
    readonly [number: number, status: number, token: Token | null, orders: ReadonlyArray<WireCommand>]
  >
}

/** Commands to one worker that another node is to send: number, address, token, tenure, orders. */
export type RelayedCommand = readonly [
  number: number,
  Address,
  Token,
  Tenure,
  orders: ReadonlyArray<WireCommand>,
]
export interface RelayedCommands {
  readonly life: number
  readonly at: number
  readonly commands: ReadonlyArray<RelayedCommand>
}
/** Status of commands that were surely not sent. */
export const NOT_SENT = -1
/** What came of them: the worker's status, 0 for no answer, and its report. */
export type RelayedReply = readonly [number: number, status: number, report: PackedReport | null]
export interface RelayedReplies {
  readonly life: number
  readonly replies: ReadonlyArray<RelayedReply>
}

/** About what a packed report and each of its tasks take in a message, in bytes. */
export const PACKED_REPORT_BYTES = 120
export const PACKED_TASK_BYTES = 48

export const packReport = (heartbeat: Heartbeat): PackedReport => [
  heartbeat.machineId,
  heartbeat.address,
  heartbeat.machineType,
  heartbeat.zone,
  heartbeat.spot,
  heartbeat.agentEpoch,
  heartbeat.sequence,
  heartbeat.fencingToken,
  heartbeat.preemptionNoticeS ?? null,
  heartbeat.tasks.map(packTask),
]
const packTask = ({ taskId, attempt, phase, exitReason, checkpointed }: ReportedTask): PackedTask => [
  taskId,
  attempt,
  phaseToWire(phase),
  exitReason == null ? null : exitReasonToWire(exitReason),
  checkpointed ?? null,
]
export const unpackReport = ([
  machineId,
  address,
  machineType,
  zone,
  spot,
  agentEpoch,
  sequence,
  fencingToken,
  preemptionNoticeS,
  tasks,
]: PackedReport): Heartbeat => ({
  machineId,
  address,
  machineType,
  zone,
  spot,
  agentEpoch,
  sequence,
  fencingToken,
  preemptionNoticeS,
  tasks: tasks.map(unpackTask),
})
const unpackTask = ([taskId, attempt, status, cause, checkpointed]: PackedTask): ReportedTask => ({
  taskId,
  attempt,
  phase: phaseFromWire(status),
  exitReason: cause === null ? null : exitReasonFromWire(cause),
  checkpointed,
})
export const packRepeat = (heartbeat: Heartbeat, since: Tick): PackedRepeat => [
  heartbeat.machineId,
  heartbeat.agentEpoch,
  heartbeat.sequence,
  heartbeat.fencingToken,
  since,
]
export const unpackRepeat = ([
  machineId,
  agentEpoch,
  sequence,
  fencingToken,
  since,
]: PackedRepeat): RepeatedReport => ({ machineId, agentEpoch, sequence, fencingToken, since })

const sameTask = (a: ReportedTask, b: ReportedTask): boolean =>
  a.taskId === b.taskId &&
  a.attempt === b.attempt &&
  a.phase === b.phase &&
  (a.exitReason ?? null) === (b.exitReason ?? null) &&
  (a.checkpointed ?? null) === (b.checkpointed ?? null)
/** Does a heartbeat say what an earlier one of the same agent epoch said, but for its counters? */
export const repeats = (heartbeat: Heartbeat, earlier: Heartbeat): boolean =>
  heartbeat.agentEpoch === earlier.agentEpoch &&
  heartbeat.address === earlier.address &&
  (heartbeat.preemptionNoticeS ?? null) === null &&
  (earlier.preemptionNoticeS ?? null) === null &&
  heartbeat.tasks.length === earlier.tasks.length &&
  heartbeat.tasks.every((task, i) => sameTask(task, earlier.tasks[i]!))
