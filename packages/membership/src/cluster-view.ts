/**
 * Read-only view of the alive nodes and the shard owners in this node's replica. The replica may lag, so
 * every decision based on this view is fenced by the conditions of its transaction.
 */
import type { Incarnation, NodeName, ShardName } from "@sorreltally/protocol"
import { keys } from "@sorreltally/store"
import type { Replica } from "./replica.ts"

/** Nodes and shards of the cluster as recorded in the replica. */
export class ClusterView {
  constructor(
    private readonly replica: Replica,
    private readonly nodes: ReadonlyArray<NodeName>,
  ) {}

  /** The current incarnation of a node; null while its node key does not exist. */
  incarnationOf(node: NodeName): Incarnation | null {
    return this.replica.get(keys.node(node))?.value.incarnation ?? null
  }
  /** Nodes whose node keys exist. */
  aliveNodes(): ReadonlySet<NodeName> {
    return new Set(this.nodes.filter((node) => this.incarnationOf(node) !== null))
  }
  /** The recorded owner; null if the incarnation that acquired the shard is no longer alive. */
  ownerOf(shard: ShardName): NodeName | null {
    const record = this.replica.get(keys.shard(shard))
    if (record === null || record.value.owner === null) return null
    return this.incarnationOf(record.value.owner) === record.value.incarnation ? record.value.owner : null
  }
}
