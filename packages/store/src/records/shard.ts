/** Record of a shard's owner. */
import type { Incarnation, NodeName } from "@sorreltally/protocol"

/**
 * A shard's owner; both fields are null after the owner has relinquished the shard. The mod revision of this
 * record is the shard epoch: the record is written only when the shard is acquired, also in a failover, or
 * relinquished. Stored without a codec.
 */
export interface ShardRecord {
  readonly owner: NodeName | null
  readonly incarnation: Incarnation | null
}
