/** Types of the data about a worker and its machine; they contain no logic. */
import type { Placement } from "@sorreltally/jobs"
import type {
  Address,
  AgentEpoch,
  ExitReason,
  FencingToken,
  ImageName,
  MachineId,
  MachineTypeName,
  SequenceNumber,
  ShardName,
  WallTime,
  ZoneName,
} from "@sorreltally/protocol"
import type { MachineBlock, StoreKey } from "@sorreltally/store"

/** Lease duration and heartbeat interval of all workers, from the platform's settings, in seconds. */
export interface LeaseTimes {
  /** A worker kills all its tasks once this time has passed since it sent its last answered heartbeat. */
  readonly leaseS: number
  /** Interval between heartbeats; the actual interval varies by up to 25 %. */
  readonly heartbeatIntervalS: number
}

/** Whether a worker's message is a heartbeat, or the response to a direct request of the owner. */
export type MessageSource = "heartbeat" | "direct"

/** Counters that order a worker's messages: the one with the larger (agent epoch, sequence) is newer. */
export interface MessageCounters {
  readonly agentEpoch: AgentEpoch
  readonly sequence: SequenceNumber
}

/** One machine's record in the store. */
export interface MachineEntry {
  readonly id: MachineId
  /** Key of the machine block that contains the record. */
  readonly block: StoreKey<MachineBlock>
  readonly shard: ShardName
  /** The lowest fencing token that a command to the machine may carry. */
  readonly token: FencingToken
  readonly machineType: MachineTypeName
  readonly zone: ZoneName
  readonly spot: boolean
  readonly rentedAt: WallTime
}

/** Capacity of a machine that isn't used by a task that is, or may be, on it. */
export interface FreeCapacity {
  cores: number
  accelerators: number
  memGb: number
}

/** Unverified state from a machine's former owner: sufficient for sending commands, but proof of nothing. */
export interface MachineHandoff {
  readonly address: Address
  readonly agentEpoch: AgentEpoch
  readonly sequence: SequenceNumber
  /** Milliseconds since the former owner received the worker's latest message. */
  readonly silentMs: number
  /** Images that the machine has probably cached, with their sizes in GB, least recently used first. */
  readonly images: ReadonlyArray<readonly [ImageName, number]>
}

/** A heartbeat that differs from an earlier one of the same agent epoch only in its counters. */
export interface RepeatedHeartbeat {
  readonly machineId: MachineId
  readonly agentEpoch: AgentEpoch
  readonly sequence: SequenceNumber
  readonly fencingToken: FencingToken
  /** The sequence number of the heartbeat that it repeats. */
  readonly repeatedSequence: SequenceNumber
}

/** Why a task has provably left its machine without a result: its exit reason, or the owner's evidence. */
export type ClearedCause =
  | ExitReason
  | "exited"
  | "lease expired"
  | "worker restarted"
  | "never started"
  | "machine deleted"
  | "machine moved"

/** Outcome of a placement, proven by a message of its worker, a lease expiry or a machine's deletion. */
export type Outcome =
  /** The task completed, and its result counts. */
  | { readonly kind: "done"; readonly placement: Placement }
  /** The task has provably left the machine without a result. */
  | { readonly kind: "cleared"; readonly placement: Placement; readonly cause: ClearedCause }
  /** The task was reported as running for the first time. */
  | { readonly kind: "running"; readonly placement: Placement }
