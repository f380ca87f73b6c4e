/**
 * Which shards this node owns, and the loop by which it comes by them and lets them go. The decisions stand
 * in `shard-acquisition.ts` and `shard-fail-back.ts`; neither is made while the node doesn't hold its lease.
 */
import type { Log, MonotonicTime, NodeName, ShardName } from "@sorreltally/protocol"
import type { StoreClient } from "@sorreltally/store"
import { Effect } from "effect"
import { ClusterView } from "./cluster-view.ts"
import type { NodeLeaseKeeper } from "./node-lease.ts"
import { OwnedShards, type ShardListener } from "./owned-shards.ts"
import type { Replica } from "./replica.ts"
import { ShardAcquisition } from "./shard-acquisition.ts"
import { ShardFailBack } from "./shard-fail-back.ts"

const LOOP_MS = 250

/** What the ownership of shards needs. */
export interface ShardOwnershipOptions {
  readonly self: NodeName
  /** All controllers, in the same order on every node. */
  readonly nodes: ReadonlyArray<NodeName>
  readonly shards: ReadonlyArray<ShardName>
  readonly store: StoreClient
  readonly replica: Replica
  readonly nodeLease: NodeLeaseKeeper
  /** Whether this node may act at all, see `Membership`. */
  readonly holdsLease: () => boolean
  readonly listener: ShardListener
  readonly now: () => MonotonicTime
  readonly log: Log
}

/** Acquires shards without an owner, and lets shards go whose home nodes are alive again. */
export class ShardOwnership {
  private readonly cluster: ClusterView
  private readonly owned: OwnedShards
  private readonly acquisition: ShardAcquisition
  private readonly failBack: ShardFailBack

  constructor(private readonly options: ShardOwnershipOptions) {
    const { self, nodes, store, replica, nodeLease, listener, now, log } = options
    const cluster = new ClusterView(replica, nodes)
    const owned = new OwnedShards(replica, listener, log)
    this.cluster = cluster
    this.owned = owned
    this.acquisition = new ShardAcquisition({ self, nodes, store, replica, cluster, nodeLease, owned, now })
    this.failBack = new ShardFailBack({ self, nodes, store, replica, cluster, owned, now })
  }

  /** The owner on record, if the incarnation that acquired the shard still lives. */
  owner(shard: ShardName): NodeName | null {
    return this.cluster.ownerOf(shard)
  }
  /** Stops owning a shard, if this node does; it may be acquired again under a new epoch. */
  relinquish(shard: ShardName, reason: string): void {
    this.owned.lose(shard, reason)
  }
  /** Stops owning all shards. */
  loseAll(reason: string): void {
    this.owned.loseAll(reason)
  }

  /** Looks after all shards for as long as it isn't interrupted. */
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
        yield* Effect.sleep(LOOP_MS)
      }),
    ),
  )
}
