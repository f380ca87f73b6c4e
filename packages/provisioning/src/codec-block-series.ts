/**
 * Codec of the names of block series, in which blocks of machine records are numbered. The names are part of
 * stored keys: blocks written by an earlier version must be found under the same names.
 */
import type { MachineTypeName, ShardName, ZoneName } from "@sorreltally/protocol"

/** Machines that the cloud offers on the same terms: one type, in one zone, spot or on-demand. */
export interface CapacityPool {
  readonly machineType: MachineTypeName
  readonly zone: ZoneName
  readonly spot: boolean
}

/** Prefix in place of a shard's name: blocks of adopted machines have series of their own. */
export const ADOPTED_SERIES_PREFIX = "adopted"

/** Name of the series that numbers a shard's blocks, or those of adopted machines, in one capacity pool. */
export const blockSeries = (
  prefix: ShardName | typeof ADOPTED_SERIES_PREFIX,
  { machineType, zone, spot }: CapacityPool,
): string => `${prefix}~${machineType}~${zone}~${spot ? "spot" : "steady"}`
