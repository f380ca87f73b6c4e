/**
 * The shards that all work is divided into, and the node that should own each. Pure functions of the
 * configured nodes and the alive nodes; the actual owner is decided by the store alone.
 */
import { hashText, type JobId, type NodeName, type ShardName } from "@sorreltally/protocol"

/** The shard of all jobs with a deadline. Its owner is the leader. */
export const DEADLINE_SHARD = "deadline" as ShardName
/** Shard names are stored and sent between nodes: the prefix stays compatible with earlier versions. */
const SHARD_PREFIX = "part-"
const shardAt = (index: number): ShardName => `${SHARD_PREFIX}${index}` as ShardName

/** All shards of a deployment: the deadline shard, and one for each configured node. */
export const allShards = (nodes: ReadonlyArray<NodeName>): ReadonlyArray<ShardName> => [
  DEADLINE_SHARD,
  ...nodes.map((_, index) => shardAt(index)),
]

/** The shard of a job in a deployment of `nodeCount` nodes; it never changes. */
export const shardOf = (job: JobId, hasDeadline: boolean, nodeCount: number): ShardName =>
  hasDeadline ? DEADLINE_SHARD : shardAt(hashText(job) % nodeCount)

/** The node that owns a shard while all nodes are alive; null for a shard of a larger deployment. */
export const homeNodeOf = (shard: ShardName, nodes: ReadonlyArray<NodeName>): NodeName | null =>
  (shard === DEADLINE_SHARD ? nodes[0] : nodes[Number(shard.slice(SHARD_PREFIX.length))]) ?? null

/**
 * The node that should own a shard: its home node if alive, otherwise an alive node selected by a hash of
 * the shard's name, so that the shards of a dead node are spread. Null while no node is alive.
 */
export const preferredOwner = (
  shard: ShardName,
  nodes: ReadonlyArray<NodeName>,
  aliveNodes: ReadonlySet<NodeName>,
): NodeName | null => {
  const candidates = nodes.filter((node) => aliveNodes.has(node))
  if (candidates.length === 0) return null
  const homeNode = homeNodeOf(shard, nodes)
  if (homeNode !== null && aliveNodes.has(homeNode)) return homeNode
  return candidates[hashText(shard) % candidates.length] ?? null
}
