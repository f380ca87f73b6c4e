/** Who owns a shard. */
import type { Incarnation, NodeName } from "@sorreltally/protocol"

/**
 * A shard's owner; null for both after a release. The modification revision of
 * this record is the shard's epoch: it is written at failovers and releases
 * only. Stored as it is.
 */
export interface ShardRecord {
  readonly owner: NodeName | null
  readonly incarnation: Incarnation | null
}
