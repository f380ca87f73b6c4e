/**
 * The messages between controllers, by kind. All are one-way, and each may be lost, late or repeated. Their
 * wire form is defined in the codecs alone.
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
import type { Entry, JobEnd, JobPage, MachineBlock } from "@sorreltally/store"
import type { MachineHandoff, RepeatedHeartbeat } from "@sorreltally/workers"

/**
 * Heartbeats that one node received and that the machines' owner is to answer; each has an id for its reply.
 */
export interface ForwardedHeartbeats {
  readonly kind: "heartbeats"
  /**
   * Time of day at which the sending process started, in milliseconds. It identifies the process: ids start
   * over in a later process of the node.
   */
  readonly senderStartedAt: number
  /** Time of day at which the heartbeats were forwarded, in milliseconds. */
  readonly sentAt: number
  readonly heartbeats: ReadonlyArray<{ readonly id: number; readonly heartbeat: Heartbeat }>
  readonly repeats: ReadonlyArray<{ readonly id: number; readonly repeat: RepeatedHeartbeat }>
}

/** Status of a forwarded reply in which the owner asks for the full heartbeat instead of a repeat. */
export const FULL_HEARTBEAT_NEEDED = 0
/** The owner's reply to one forwarded heartbeat; the body of a refusal is empty. */
export interface ForwardedReply {
  readonly id: number
  readonly status: number
  readonly body: Partial<WireHeartbeatReply>
}
/** The owner's replies to forwarded heartbeats. */
export interface ForwardedReplies {
  readonly kind: "heartbeatReplies"
  /** `senderStartedAt` of the message that forwarded the heartbeats. */
  readonly recipientStartedAt: number
  readonly replies: ReadonlyArray<ForwardedReply>
}

/** Commands to one worker, for another node to send. */
export interface ForwardedCommand {
  readonly id: number
  readonly address: Address
  readonly batch: WireCommandBatch
}
/** Commands for another node to send. */
export interface ForwardedCommands {
  readonly kind: "commands"
  /** Start time of the sending process; see `ForwardedHeartbeats`. */
  readonly senderStartedAt: number
  /** Time of day at which the commands were forwarded, in milliseconds. */
  readonly sentAt: number
  readonly commands: ReadonlyArray<ForwardedCommand>
}
/** Status of commands that are known not to have been sent. */
export const NOT_SENT = -1
/**
 * Result of forwarded commands to one worker: its heartbeat, and its status, 0 without a response, or
 * `NOT_SENT`.
 */
export interface CommandResult {
  readonly id: number
  readonly status: number
  readonly heartbeat: Heartbeat | null
}
/** Results of forwarded commands. */
export interface CommandResults {
  readonly kind: "commandResults"
  /** `senderStartedAt` of the message that forwarded the commands. */
  readonly recipientStartedAt: number
  readonly results: ReadonlyArray<CommandResult>
}

/** A machine in the cloud's list, reduced to the fields that every node needs. */
export interface ListedMachineState {
  readonly id: MachineId
  readonly status: string
  readonly zone: ZoneName
}
/** The cloud's list of machines, published by the leader. */
export interface MachineListMessage {
  readonly kind: "machineList"
  readonly machines: ReadonlyArray<ListedMachineState>
}

/** Load that a node publishes. */
export interface NodeLoad {
  /** True if the node can act for its shards and answer users. */
  readonly healthy: boolean
  /** Writes to the store per second by this node. */
  readonly writesPerSecond: number
  /** Heartbeats per second that this node receives from workers. */
  readonly heartbeatsPerSecond: number
  /**
   * True if the node owns more workers than it should answer alone, so that others forward heartbeats to it.
   */
  readonly sharesHeartbeats: boolean
}
/** Publishes the load of the sending node. */
export interface NodeLoadMessage {
  readonly kind: "nodeLoad"
  readonly load: NodeLoad
}

/** A job page that was written, sent so that the job's owner receives it before its watch delivers it. */
export interface JobChangedMessage {
  readonly kind: "jobChanged"
  readonly page: Entry<JobPage>
}

/** Demand of one shard, published by its owner. */
export interface PublishedDemand {
  readonly shard: ShardName
  readonly demand: ShardDemand
}
/** Demand of the sender's shards. */
export interface DemandMessage {
  readonly kind: "demand"
  readonly demands: ReadonlyArray<PublishedDemand>
}

/** Machines handed off to a shard of the recipient, with the stored machine block that assigns them to it. */
export interface MachineHandoffMessage {
  readonly kind: "machineHandoff"
  readonly shard: ShardName
  readonly block: Entry<MachineBlock>
  readonly machines: ReadonlyArray<{ readonly machineId: MachineId; readonly handoff: MachineHandoff }>
}

/** Numbers of a job's finished and running tasks, for display. */
export interface TaskCounts {
  readonly jobId: JobId
  readonly done: number
  readonly running: number
}
/** Progress of the sender's jobs, and the jobs that have ended. */
export interface JobProgressMessage {
  readonly kind: "jobProgress"
  readonly counts: ReadonlyArray<TaskCounts>
  readonly ends: ReadonlyArray<JobEnd>
}

/** Any message between controllers. All are one-way, and each may be lost, late or repeated. */
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
