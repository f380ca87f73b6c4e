/** The data that describe a worker's machine to its owner; no logic stands here. */
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

/** Times that the platform sets for all workers, in seconds. */
export interface LeaseTimes {
  /** A worker kills all its tasks when the last answered heartbeat was sent longer ago than this. */
  readonly leaseS: number
  /** Interval of heartbeats, give or take a quarter. */
  readonly heartbeatIntervalS: number
}

/** How a message of a worker came: as its heartbeat, or as the response to a request of ours. */
export type MessageSource = "heartbeat" | "direct"

/** Where a worker's messages stand: of two, the one with the larger (agent epoch, sequence) is newer. */
export interface MessageCounters {
  readonly agentEpoch: AgentEpoch
  readonly sequence: SequenceNumber
}

/** What the store holds of one machine. */
export interface MachineEntry {
  readonly id: MachineId
  /** The record that it stands in. */
  readonly block: StoreKey<MachineBlock>
  readonly shard: ShardName
  /** Every command to it carries at least this token. */
  readonly token: FencingToken
  readonly machineType: MachineTypeName
  readonly zone: ZoneName
  readonly spot: boolean
  readonly rentedAt: WallTime
}

/** Room on a machine that no task that may be there takes. */
export interface FreeCapacity {
  cores: number
  accelerators: number
  memGb: number
}

/** Unverified state from a machine's former owner: enough to send commands, no proof of anything. */
export interface MachineHandoff {
  readonly address: Address
  readonly agentEpoch: AgentEpoch
  readonly sequence: SequenceNumber
  /** Milliseconds since the former owner's latest message from it. */
  readonly silentMs: number
  /** Images that it probably holds, with their sizes in GB, least recently used first. */
  readonly images: ReadonlyArray<readonly [ImageName, number]>
}

/** A heartbeat that differs by its counters alone from an earlier one of the same agent epoch. */
export interface RepeatedHeartbeat {
  readonly machineId: MachineId
  readonly agentEpoch: AgentEpoch
  readonly sequence: SequenceNumber
  readonly fencingToken: FencingToken
  /** The sequence number of the heartbeat that it repeats. */
  readonly repeatedSequence: SequenceNumber
}

/** Why a task is surely off its machine without a result: the worker's exit reason, or how its owner knows. */
export type ClearedCause =
  | ExitReason
  | "exited"
  | "lease expired"
  | "worker restarted"
  | "never started"
  | "machine deleted"
  | "machine moved"

/** What happened to a placement, as a message of its worker or the end of a lease shows it. */
export type Outcome =
  /** Completed; its result is kept. */
  | { readonly kind: "done"; readonly placement: Placement }
  /** Surely off the machine without a result. */
  | { readonly kind: "cleared"; readonly placement: Placement; readonly cause: ClearedCause }
  /** Seen running for the first time. */
  | { readonly kind: "running"; readonly placement: Placement }
