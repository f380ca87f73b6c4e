/**
 * The messages between controllers, by their kinds. None is answered, and each may be lost, late or repeated.
 * Only the codecs know how they look in a frame.
 */
import type { ShardDemand } from "@sorreltally/planner"
import type {
  Address,
  Heartbeat,
  JobId,
  MachineId,
  ShardName,
  WireCommandBatch,
  WireHeartbeatReply,
  ZoneName,
} from "@sorreltally/protocol"
import type { Entry, JobEnd } from "@sorreltally/store"
import type { MachineHandoff, RepeatedHeartbeat } from "@sorreltally/workers"

/** Heartbeats that came to one node and are for the owner to answer; each has a number. */
export interface ForwardedHeartbeats {
  readonly kind: "heartbeats"
  /** The life of the sending process: a later one counts from the start again. */
  readonly senderLife: number
  /** Time of day at which they were forwarded, in milliseconds. */
  readonly sentAt: number
  readonly heartbeats: ReadonlyArray<{ readonly id: number; readonly heartbeat: Heartbeat }>
  readonly repeats: ReadonlyArray<{ readonly id: number; readonly repeat: RepeatedHeartbeat }>
}

/** Status of a forwarded reply by which the owner asks for the whole heartbeat. */
export const SEND_WHOLE = 0
/** The owner's reply to one forwarded heartbeat; the body of a refusal is empty. */
export interface ForwardedReply {
  readonly id: number
  readonly status: number
  readonly body: Partial<WireHeartbeatReply>
}
/** The owner's replies to forwarded heartbeats. */
export interface ForwardedReplies {
  readonly kind: "heartbeatReplies"
  /** The life of the process that forwarded them. */
  readonly recipientLife: number
  readonly replies: ReadonlyArray<ForwardedReply>
}

/** Commands to one worker that another node is to send. */
export interface ForwardedCommand {
  readonly id: number
  readonly address: Address
  readonly batch: WireCommandBatch
}
/** Commands that another node is to send. */
export interface ForwardedCommands {
  readonly kind: "commands"
  readonly senderLife: number
  readonly sentAt: number
  readonly commands: ReadonlyArray<ForwardedCommand>
}
/** Status of commands that were surely not sent. */
export const NOT_SENT = -1
/** What came of forwarded commands: the worker's status, 0 for no answer, and its heartbeat. */
export interface CommandResult {
  readonly id: number
  readonly status: number
  readonly heartbeat: Heartbeat | null
}
/** What came of forwarded commands. */
export interface CommandResults {
  readonly kind: "commandResults"
  readonly recipientLife: number
  readonly results: ReadonlyArray<CommandResult>
}

/** A machine of the cloud's list, as far as every node needs to know it. */
export interface ListedMachineState {
  readonly id: MachineId
  readonly status: string
  readonly zone: ZoneName
}
/** The cloud's list, as the leader publishes it. */
export interface MachineListMessage {
  readonly kind: "machineList"
  readonly machines: ReadonlyArray<ListedMachineState>
}

/** One node's load, as it publishes it. */
export interface NodeLoad {
  /** It can act for its shards and answer users. */
  readonly healthy: boolean
  /** Writes to the store that it makes a second. */
  readonly writesPerSecond: number
  /** Heartbeats of workers that come to it a second. */
  readonly heartbeatsPerSecond: number
  /** It has more workers than it should answer alone: the others forward their heartbeats to it. */
  readonly sharesHeartbeats: boolean
}
/** One node's load. */
export interface NodeLoadMessage {
  readonly kind: "nodeLoad"
  readonly load: NodeLoad
}

/** A job page that was written: the job's owner should know before the watch brings it. */
export interface JobChangedMessage {
  readonly kind: "jobChanged"
  readonly page: Entry
}

/** What a shard lacks, as its owner publishes it. */
export interface PublishedDemand {
  readonly shard: ShardName
  readonly demand: ShardDemand
}
/** What the sender's shards lack. */
export interface DemandMessage {
  readonly kind: "demand"
  readonly demands: ReadonlyArray<PublishedDemand>
}

/** Machines that moved to a shard of the receiver, and the record that says so. */
export interface MachineHandoffMessage {
  readonly kind: "machineHandoff"
  readonly shard: ShardName
  readonly block: Entry
  readonly machines: ReadonlyArray<{ readonly machineId: MachineId; readonly handoff: MachineHandoff }>
}

/** A job's tasks that are done and that run, for display. */
export interface TaskCounts {
  readonly jobId: JobId
  readonly done: number
  readonly running: number
}
/** How far the sender's jobs are, and which have ended. */
export interface JobProgressMessage {
  readonly kind: "jobProgress"
  readonly counts: ReadonlyArray<TaskCounts>
  readonly ends: ReadonlyArray<JobEnd>
}

/** All messages between controllers. None is answered, and each may be lost, late or repeated. */
export type PeerMessage =
  | ForwardedHeartbeats
  | ForwardedReplies
  | ForwardedCommands
  | CommandResults
  | MachineListMessage
  | NodeLoadMessage
  | JobChangedMessage
  | DemandMessage
  | MachineHandoffMessage
  | JobProgressMessage
