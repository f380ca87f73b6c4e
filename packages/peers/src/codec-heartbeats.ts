/**
 * Codec of heartbeats and commands as controllers forward them to a machine's owner, and of what comes
 * back. Most bytes of a heartbeat are the names of its fields, so forwarded ones go as tuples, and one
 * that repeats an earlier one goes as its counters.
 */
import {
  type Address,
  type AgentEpoch,
  type Attempt,
  exitReasonFromWire,
  exitReasonToWire,
  type FencingToken,
  type Heartbeat,
  type MachineId,
  type MachineTypeName,
  phaseFromWire,
  phaseToWire,
  type ReportedTask,
  type SequenceNumber,
  type TaskId,
  type WireCommand,
  type ZoneName,
} from "@sorreltally/protocol"
import type { RepeatedHeartbeat } from "@sorreltally/workers"
import type { CommandResults, ForwardedCommands, ForwardedHeartbeats, ForwardedReplies } from "./messages.ts"

/** About what a forwarded heartbeat and each of its tasks take in a message, in bytes. */
export const HEARTBEAT_BYTES = 120
export const HEARTBEAT_TASK_BYTES = 48

// --- frames' forms --------------------------------------------------------------

type PackedTask = readonly [TaskId, Attempt, status: string, cause: string | null, stored: boolean | null]
type PackedHeartbeat = readonly [
  MachineId,
  Address,
  MachineTypeName,
  ZoneName,
  spot: boolean,
  AgentEpoch,
  SequenceNumber,
  FencingToken,
  preemptionNoticeS: number | null,
  tasks: ReadonlyArray<PackedTask>,
]
type PackedRepeat = readonly [MachineId, AgentEpoch, SequenceNumber, FencingToken, since: SequenceNumber]
/** The body of a message of kind `reports`. */
export interface PackedHeartbeats {
  readonly life: number
  readonly at: number
  readonly reports: ReadonlyArray<readonly [id: number, PackedHeartbeat]>
  readonly repeats: ReadonlyArray<readonly [id: number, PackedRepeat]>
}
type PackedReply = readonly [
  id: number,
  status: number,
  FencingToken | null,
  commands: ReadonlyArray<WireCommand>,
]
/** The body of a message of kind `answers`. */
export interface PackedReplies {
  readonly life: number
  readonly answers: ReadonlyArray<PackedReply>
}
type PackedCommand = readonly [
  id: number,
  Address,
  FencingToken,
  AgentEpoch,
  commands: ReadonlyArray<WireCommand>,
]
/** The body of a message of kind `commands`. */
export interface PackedCommands {
  readonly life: number
  readonly at: number
  readonly commands: ReadonlyArray<PackedCommand>
}
type PackedResult = readonly [id: number, status: number, PackedHeartbeat | null]
/** The body of a message of kind `replies`. */
export interface PackedResults {
  readonly life: number
  readonly replies: ReadonlyArray<PackedResult>
}

// --- codecs ---------------------------------------------------------------------

const packTask = ({ taskId, attempt, phase, exitReason, checkpointed }: ReportedTask): PackedTask => [
  taskId,
  attempt,
  phaseToWire(phase),
  exitReason == null ? null : exitReasonToWire(exitReason),
  checkpointed ?? null,
]
const unpackTask = ([taskId, attempt, status, cause, checkpointed]: PackedTask): ReportedTask => ({
  taskId,
  attempt,
  phase: phaseFromWire(status),
  exitReason: cause === null ? null : exitReasonFromWire(cause),
  checkpointed,
})

const packHeartbeat = (heartbeat: Heartbeat): PackedHeartbeat => [
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
const unpackHeartbeat = ([
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
]: PackedHeartbeat): Heartbeat => ({
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

const packRepeat = (repeat: RepeatedHeartbeat): PackedRepeat => [
  repeat.machineId,
  repeat.agentEpoch,
  repeat.sequence,
  repeat.fencingToken,
  repeat.repeatedSequence,
]
const unpackRepeat = ([
  machineId,
  agentEpoch,
  sequence,
  fencingToken,
  repeatedSequence,
]: PackedRepeat): RepeatedHeartbeat => ({ machineId, agentEpoch, sequence, fencingToken, repeatedSequence })

/** The body of a message that forwards heartbeats. */
export const packHeartbeats = (message: ForwardedHeartbeats): PackedHeartbeats => ({
  life: message.senderLife,
  at: message.sentAt,
  reports: message.heartbeats.map(({ id, heartbeat }) => [id, packHeartbeat(heartbeat)]),
  repeats: message.repeats.map(({ id, repeat }) => [id, packRepeat(repeat)]),
})
/** Decodes what `packHeartbeats` made. */
export const unpackHeartbeats = ({ life, at, reports, repeats }: PackedHeartbeats): ForwardedHeartbeats => ({
  kind: "heartbeats",
  senderLife: life,
  sentAt: at,
  heartbeats: reports.map(([id, packed]) => ({ id, heartbeat: unpackHeartbeat(packed) })),
  repeats: repeats.map(([id, packed]) => ({ id, repeat: unpackRepeat(packed) })),
})

/** The body of a message with replies to heartbeats. */
export const packReplies = ({ recipientLife, replies }: ForwardedReplies): PackedReplies => ({
  life: recipientLife,
  answers: replies.map(({ id, status, body }) => [id, status, body.baton ?? null, body.orders ?? []]),
})
/** Decodes what `packReplies` made. */
export const unpackReplies = ({ life, answers }: PackedReplies): ForwardedReplies => ({
  kind: "heartbeatReplies",
  recipientLife: life,
  replies: answers.map(([id, status, token, orders]) => ({
    id,
    status,
    body: token === null ? {} : { baton: token, orders },
  })),
})

/** The body of a message that forwards commands. */
export const packCommands = ({ senderLife, sentAt, commands }: ForwardedCommands): PackedCommands => ({
  life: senderLife,
  at: sentAt,
  commands: commands.map(({ id, address, batch }) => [id, address, batch.baton, batch.tenure, batch.orders]),
})
/** Decodes what `packCommands` made. */
export const unpackCommands = ({ life, at, commands }: PackedCommands): ForwardedCommands => ({
  kind: "commands",
  senderLife: life,
  sentAt: at,
  commands: commands.map(([id, address, baton, tenure, orders]) => ({
    id,
    address,
    batch: { baton, tenure, orders },
  })),
})

/** The body of a message with results of commands. */
export const packResults = ({ recipientLife, results }: CommandResults): PackedResults => ({
  life: recipientLife,
  replies: results.map(({ id, status, heartbeat }) => [
    id,
    status,
    heartbeat === null ? null : packHeartbeat(heartbeat),
  ]),
})
/** Decodes what `packResults` made. */
export const unpackResults = ({ life, replies }: PackedResults): CommandResults => ({
  kind: "commandResults",
  recipientLife: life,
  results: replies.map(([id, status, packed]) => ({
    id,
    status,
    heartbeat: packed === null ? null : unpackHeartbeat(packed),
  })),
})

const sameTask = (a: ReportedTask, b: ReportedTask): boolean =>
  a.taskId === b.taskId &&
  a.attempt === b.attempt &&
  a.phase === b.phase &&
  (a.exitReason ?? null) === (b.exitReason ?? null) &&
  (a.checkpointed ?? null) === (b.checkpointed ?? null)
/** Does a heartbeat say what an earlier one of the same agent epoch said, but for its counters? */
export const isRepeat = (heartbeat: Heartbeat, earlier: Heartbeat): boolean =>
  heartbeat.agentEpoch === earlier.agentEpoch &&
  heartbeat.address === earlier.address &&
  (heartbeat.preemptionNoticeS ?? null) === null &&
  (earlier.preemptionNoticeS ?? null) === null &&
  heartbeat.tasks.length === earlier.tasks.length &&
  heartbeat.tasks.every((task, i) => sameTask(task, earlier.tasks[i]!))
