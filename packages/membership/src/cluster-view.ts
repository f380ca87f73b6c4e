/**
 * Who is alive and who owns what, by this node's replica. Decides nothing and writes nothing: the replica
 * may lag, so every decision made on this view is fenced by the conditions of its transaction.
 */
import type { Incarnation, NodeName, ShardName } from "@sorreltally/protocol"
import { keys } from "@sorreltally/store"
import type { Replica } from "./replica.ts"

/** The nodes and shards of the cluster, as the replica shows them. */
export class ClusterView {
  constructor(
    private readonly replica: Replica,
    private readonly nodes: ReadonlyArray<NodeName>,
  ) {}

  /** A node's present incarnation; null while its node key doesn't exist. */
  incarnationOf(node: NodeName): Incarnation | null {
    return this.replica.get(keys.node(node))?.value.incarnation ?? null
  }
  /** The nodes whose node keys exist. */
  aliveNodes(): ReadonlySet<NodeName> {
    return new Set(this.nodes.filter((node) => this.incarnationOf(node) !== null))
  }
  /** The owner on record, if the incarnation that acquired the shard still lives. */
  ownerOf(shard: ShardName): NodeName | null {
    const record = this.replica.get(keys.shard(shard))
    if (record === null || record.value.owner === null) return null
    return this.incarnationOf(record.value.owner) === record.value.incarnation ? record.value.owner : null
  }
}
