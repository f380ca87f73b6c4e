/**
 * The shards that all work is divided into, and which node should own each. Pure functions of the
 * configured nodes and of who is alive; who does own a shard is decided by the store alone.
 */
import { hashText, type JobId, type NodeName, type ShardName } from "@sorreltally/protocol"

/** The shard of all jobs with a deadline. Its owner is the leader. */
export const DEADLINE_SHARD = "deadline" as ShardName
/** Stored and sent between nodes: names of earlier versions. */
const SHARD_PREFIX = "part-"
const shardAt = (index: number): ShardName => `${SHARD_PREFIX}${index}` as ShardName

/** All shards of a deployment: the deadline shard, and one for each configured node. */
export const allShards = (nodes: ReadonlyArray<NodeName>): ReadonlyArray<ShardName> => [
  DEADLINE_SHARD,
  ...nodes.map((_, index) => shardAt(index)),
]

/** The shard that a job belongs to for good, of a deployment with that many nodes. */
export const shardOf = (job: JobId, hasDeadline: boolean, nodes: number): ShardName =>
  hasDeadline ? DEADLINE_SHARD : shardAt(hashText(job) % nodes)

/** The node that owns a shard while all nodes are alive; null for a shard of a larger deployment. */
export const homeNodeOf = (shard: ShardName, nodes: ReadonlyArray<NodeName>): NodeName | null =>
  (shard === DEADLINE_SHARD ? nodes[0] : nodes[Number(shard.slice(SHARD_PREFIX.length))]) ?? null

/**
 * The node that should own a shard, given who is alive: its home node if that
 * is alive, else one picked by a hash of the shard's name, so that the shards of
 * a dead node are spread. Null while no node is alive.
 */
export const preferredOwner = (
  shard: ShardName,
  nodes: ReadonlyArray<NodeName>,
  alive: ReadonlySet<NodeName>,
): NodeName | null => {
  const living = nodes.filter((node) => alive.has(node))
  if (living.length === 0) return null
  const home = homeNodeOf(shard, nodes)
  if (home !== null && alive.has(home)) return home
  return living[hashText(shard) % living.length] ?? null
}
