import { hashText, type JobId, type NodeName, type ShardName } from "@sorreltally/protocol"

/** Its owner is the leader. */
export const DEADLINE = "deadline" as ShardName
const partAt = (index: number): ShardName => `part-${index}` as ShardName

export const allParts = (nodes: ReadonlyArray<NodeName>): ReadonlyArray<ShardName> => [
  DEADLINE,
  ...nodes.map((_, index) => partAt(index)),
]

export const shardOf = (job: JobId, hasDeadline: boolean, nodes: number): ShardName =>
  hasDeadline ? DEADLINE : partAt(hashText(job) % nodes)

/** The node that a part is meant for while all are alive. */
export const homeOf = (part: ShardName, nodes: ReadonlyArray<NodeName>): NodeName | null =>
  (part === DEADLINE ? nodes[0] : nodes[Number(part.slice("part-".length))]) ?? null

/**
 * Who should own a part, given who is alive: its own node if that lives, else
 * one picked by the part's name, so that a dead node's parts are spread.
 */
export const preferredOwner = (
  part: ShardName,
  nodes: ReadonlyArray<NodeName>,
  alive: ReadonlySet<NodeName>,
): NodeName | null => {
  const living = nodes.filter((n) => alive.has(n))
  if (living.length === 0) return null
  const home = homeOf(part, nodes)
  if (home !== null && alive.has(home)) return home
  return living[hashText(part) % living.length] ?? null
}
