/**
 * The shards that this node owns, and the loop that acquires and fails back shards. The decisions are in
 * `shard-acquisition.ts` and `shard-fail-back.ts`; none is made while the node does not hold its lease.
 */
import type { Log, MonotonicTime, NodeName, ShardName } from "@sorreltally/protocol"
import type { StoreClient } from "@sorreltally/store"
import { Effect } from "effect"
import { ClusterView } from "./cluster-view.ts"
import type { NodeLease } from "./node-lease.ts"
import { OwnedShards, type ShardListener } from "./owned-shards.ts"
import type { Replica } from "./replica.ts"
import { ShardAcquisition } from "./shard-acquisition.ts"
import { ShardFailBack } from "./shard-fail-back.ts"

const CHECK_INTERVAL_MS = 250

/** Options of the shard ownership. */
export interface ShardOwnershipOptions {
  readonly self: NodeName
  /** All controllers, in the same order on every node. */
  readonly nodes: ReadonlyArray<NodeName>
  readonly shards: ReadonlyArray<ShardName>
  readonly store: StoreClient
  readonly replica: Replica
  readonly nodeLease: NodeLease
  /** Whether this node may act for its shards, see `Membership.holdsLease`. */
  readonly holdsLease: () => boolean
  readonly listener: ShardListener
  readonly now: () => MonotonicTime
  readonly log: Log
}

/** Acquires shards without an owner, and fails shards back to home nodes that are alive again. */
export class ShardOwnership {
  private readonly cluster: ClusterView
  private readonly ownedShards: OwnedShards
  private readonly acquisition: ShardAcquisition
  private readonly failBack: ShardFailBack

  constructor(private readonly options: ShardOwnershipOptions) {
    const { self, nodes, store, replica, nodeLease, listener, now, log } = options
    const cluster = new ClusterView(replica, nodes)
    const ownedShards = new OwnedShards(replica, listener, log)
    this.cluster = cluster
    this.ownedShards = ownedShards
    this.acquisition = new ShardAcquisition({
      self,
      nodes,
      store,
      replica,
      cluster,
      nodeLease,
      ownedShards,
      now,
    })
    this.failBack = new ShardFailBack({ self, nodes, store, replica, cluster, ownedShards, now })
  }

  /** The recorded owner; null if the incarnation that acquired the shard is no longer alive. */
  ownerOf(shard: ShardName): NodeName | null {
    return this.cluster.ownerOf(shard)
  }
  /** Stops owning a shard, if this node owns it; it may be acquired again under a new epoch. */
  relinquish(shard: ShardName, reason: string): void {
    this.ownedShards.remove(shard, reason)
  }
  /** Stops owning all shards. */
  relinquishAll(reason: string): void {
    this.ownedShards.removeAll(reason)
  }

  /** Acquires and fails back shards until interrupted. */
  readonly run: Effect.Effect<never> = Effect.suspend(() =>
    Effect.forever(
      Effect.gen({ self: this }, function* () {
        const { holdsLease, shards } = this.options
        if (holdsLease()) {
          for (const shard of shards) {
            if (this.acquisition.isDue(shard)) yield* this.acquisition.acquire(shard)
          }
          yield* this.failBack.failBackOne()
        }
        yield* Effect.sleep(CHECK_INTERVAL_MS)
      }),
    ),
  )
}
