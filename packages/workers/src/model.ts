import type { Placement } from "@sorreltally/jobs"
import type {
  Address,
  AgentEpoch,
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

export interface LeaseTimes {
  readonly leaseS: number
  readonly heartbeatIntervalS: number
}

/** What the state service holds of one machine. */
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
export interface FreeRoom {
  cores: number
  accelerators: number
  memGb: number
}

/** Hearsay of a machine's former owner: good enough to send orders, no proof of anything. */
export interface MachineHandoff {
  readonly address: Address
  readonly agentEpoch: AgentEpoch
  readonly sequence: SequenceNumber
  readonly silentMs: number
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

/** What a report or answer says about a placement. */
export type Outcome =
  | { readonly kind: "done"; readonly placement: Placement }
  /** Off the machine without a result; `cause` is the worker's word, or ours when the task just went. */
  | { readonly kind: "cleared"; readonly placement: Placement; readonly cause: string }
  | { readonly kind: "running"; readonly placement: Placement }
