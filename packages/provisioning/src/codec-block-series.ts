/**
 * Codec of the names under which blocks of machine records are numbered. They are part of stored keys: an
 * earlier version's blocks must be found under the same names.
 */
import type { MachineTypeName, ShardName, ZoneName } from "@sorreltally/protocol"

/** Machines that the cloud rents out alike: one type, in one zone, spot or on-demand. */
export interface CapacityPool {
  readonly machineType: MachineTypeName
  readonly zone: ZoneName
  readonly spot: boolean
}

/** Blocks of adopted machines are numbered apart from those of every shard. */
export const ADOPTED = "adopted"

/** Name of the series in which the blocks of one shard, or the adopted ones, and of one pool are numbered. */
export const blockSeries = (
  by: ShardName | typeof ADOPTED,
  { machineType, zone, spot }: CapacityPool,
): string => `${by}~${machineType}~${zone}~${spot ? "spot" : "steady"}`
