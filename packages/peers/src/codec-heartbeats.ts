/**
 * Codec of the heartbeats and commands that controllers forward to each other, and of the replies and
 * results. Most bytes of a heartbeat are the names of its fields, so forwarded heartbeats are encoded as
 * tuples, and a heartbeat that repeats an earlier one is reduced to its counters.
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

/** Approximate encoded size of a forwarded heartbeat without its tasks. */
export const HEARTBEAT_BYTES = 120
/** Approximate encoded size of each task in a forwarded heartbeat. */
export const HEARTBEAT_TASK_BYTES = 48

// --- wire forms -----------------------------------------------------------------

type PackedTask = readonly [
  TaskId,
  Attempt,
  phase: string,
  exitReason: string | null,
  checkpointed: boolean | null,
]
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
type PackedRepeat = readonly [
  MachineId,
  AgentEpoch,
  SequenceNumber,
  FencingToken,
  repeatedSequence: SequenceNumber,
]
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
const unpackTask = ([
  taskId,
  attempt,
  wirePhase,
  wireExitReason,
  checkpointed,
]: PackedTask): ReportedTask => ({
  taskId,
  attempt,
  phase: phaseFromWire(wirePhase),
  exitReason: wireExitReason === null ? null : exitReasonFromWire(wireExitReason),
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

/** Encodes the body of a message that forwards heartbeats. */
export const packHeartbeats = (message: ForwardedHeartbeats): PackedHeartbeats => ({
  life: message.senderStartedAt,
  at: message.sentAt,
  reports: message.heartbeats.map(({ id, heartbeat }) => [id, packHeartbeat(heartbeat)]),
  repeats: message.repeats.map(({ id, repeat }) => [id, packRepeat(repeat)]),
})
/** Decodes a message body encoded by `packHeartbeats`. */
export const unpackHeartbeats = ({ life, at, reports, repeats }: PackedHeartbeats): ForwardedHeartbeats => ({
  kind: "heartbeats",
  senderStartedAt: life,
  sentAt: at,
  heartbeats: reports.map(([id, packed]) => ({ id, heartbeat: unpackHeartbeat(packed) })),
  repeats: repeats.map(([id, packed]) => ({ id, repeat: unpackRepeat(packed) })),
})

/** Encodes the body of a message with replies to heartbeats. */
export const packReplies = ({ recipientStartedAt, replies }: ForwardedReplies): PackedReplies => ({
  life: recipientStartedAt,
  answers: replies.map(({ id, status, body }) => [id, status, body.baton ?? null, body.orders ?? []]),
})
/** Decodes a message body encoded by `packReplies`. */
export const unpackReplies = ({ life, answers }: PackedReplies): ForwardedReplies => ({
  kind: "heartbeatReplies",
  recipientStartedAt: life,
  replies: answers.map(([id, status, fencingToken, orders]) => ({
    id,
    status,
    body: fencingToken === null ? {} : { baton: fencingToken, orders },
  })),
})

/** Encodes the body of a message that forwards commands. */
export const packCommands = ({ senderStartedAt, sentAt, commands }: ForwardedCommands): PackedCommands => ({
  life: senderStartedAt,
  at: sentAt,
  commands: commands.map(({ id, address, batch }) => [id, address, batch.baton, batch.tenure, batch.orders]),
})
/** Decodes a message body encoded by `packCommands`. */
export const unpackCommands = ({ life, at, commands }: PackedCommands): ForwardedCommands => ({
  kind: "commands",
  senderStartedAt: life,
  sentAt: at,
  commands: commands.map(([id, address, baton, tenure, orders]) => ({
    id,
    address,
    batch: { baton, tenure, orders },
  })),
})

/** Encodes the body of a message with results of commands. */
export const packResults = ({ recipientStartedAt, results }: CommandResults): PackedResults => ({
  life: recipientStartedAt,
  replies: results.map(({ id, status, heartbeat }) => [
    id,
    status,
    heartbeat === null ? null : packHeartbeat(heartbeat),
  ]),
})
/** Decodes a message body encoded by `packResults`. */
export const unpackResults = ({ life, replies }: PackedResults): CommandResults => ({
  kind: "commandResults",
  recipientStartedAt: life,
  results: replies.map(([id, status, packed]) => ({
    id,
    status,
    heartbeat: packed === null ? null : unpackHeartbeat(packed),
  })),
})

const isSameTaskState = (a: ReportedTask, b: ReportedTask): boolean =>
  a.taskId === b.taskId &&
  a.attempt === b.attempt &&
  a.phase === b.phase &&
  (a.exitReason ?? null) === (b.exitReason ?? null) &&
  (a.checkpointed ?? null) === (b.checkpointed ?? null)
/** Returns whether a heartbeat differs only by its counters from an earlier one of the same agent epoch. */
export const isRepeat = (heartbeat: Heartbeat, earlier: Heartbeat): boolean =>
  heartbeat.agentEpoch === earlier.agentEpoch &&
  heartbeat.address === earlier.address &&
  (heartbeat.preemptionNoticeS ?? null) === null &&
  (earlier.preemptionNoticeS ?? null) === null &&
  heartbeat.tasks.length === earlier.tasks.length &&
  heartbeat.tasks.every((task, i) => isSameTaskState(task, earlier.tasks[i]!))
