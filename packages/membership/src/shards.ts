import { hashText, type JobId, type NodeName, type ShardName } from "@sorreltally/protocol"

/** Its owner is the leader. */
export const DEADLINE_SHARD = "deadline" as ShardName
const shardAt = (index: number): ShardName => `part-${index}` as ShardName

export const allShards = (nodes: ReadonlyArray<NodeName>): ReadonlyArray<ShardName> => [
  DEADLINE_SHARD,
  ...nodes.map((_, index) => shardAt(index)),
]

export const shardOf = (job: JobId, hasDeadline: boolean, nodes: number): ShardName =>
  hasDeadline ? DEADLINE_SHARD : shardAt(hashText(job) % nodes)

/** The node that a part is meant for while all are alive. */
export const homeNodeOf = (shard: ShardName, nodes: ReadonlyArray<NodeName>): NodeName | null =>
  (shard === DEADLINE_SHARD ? nodes[0] : nodes[Number(shard.slice("part-".length))]) ?? null

/**
 * Who should own a part, given who is alive: its own node if that lives, else
 * one picked by the part's name, so that a dead node's parts are spread.
 */
export const preferredOwner = (
  shard: ShardName,
  nodes: ReadonlyArray<NodeName>,
  alive: ReadonlySet<NodeName>,
): NodeName | null => {
  const living = nodes.filter((n) => alive.has(n))
  if (living.length === 0) return null
  const home = homeNodeOf(shard, nodes)
  if (home !== null && alive.has(home)) return home
  return living[hashText(shard) % living.length] ?? null
}
