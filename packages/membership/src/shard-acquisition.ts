/**
 * Failover: decides which shards without an owner this node should acquire and when, and runs the
 * transaction that acquires them. The replica may lag, so only the transaction's conditions decide ownership.
 */
import type { MonotonicTime, NodeName, ShardName } from "@sorreltally/protocol"
import {
  type Condition,
  keys,
  put,
  type ShardRecord,
  type StoreClient,
  type StoreKey,
} from "@sorreltally/store"
import { Effect, Result } from "effect"
import type { ClusterView } from "./cluster-view.ts"
import type { MembershipLease, NodeLease } from "./node-lease.ts"
import type { OwnedShards } from "./owned-shards.ts"
import type { Replica } from "./replica.ts"
import { homeNodeOf, preferredOwner } from "./shards.ts"

/** Time that other nodes wait for the home node to acquire a shard that never had an owner. */
const HOME_NODE_WAIT_MS = 4_000
/** Time that a node leaves a shard to its preferred owner before it tries to acquire the shard itself. */
const NON_PREFERRED_WAIT_MS = 1_500
/** Additional wait per position in the list of nodes, so that the other nodes don't compete. */
const WAIT_PER_RANK_MS = 500
const RETRY_PAUSE_MS = 300

/** Options of the shard acquisition. */
export interface ShardAcquisitionOptions {
  readonly self: NodeName
  /** All controllers, in the same order on every node. */
  readonly nodes: ReadonlyArray<NodeName>
  readonly store: StoreClient
  readonly replica: Replica
  readonly cluster: ClusterView
  readonly nodeLease: NodeLease
  readonly ownedShards: OwnedShards
  readonly now: () => MonotonicTime
}

/** Acquires shards that have no owner. */
export class ShardAcquisition {
  /** Time at which this node first saw a shard without an owner. */
  private readonly ownerlessSince = new Map<ShardName, MonotonicTime>()

  constructor(private readonly options: ShardAcquisitionOptions) {}

  /** Whether this node should try to acquire the shard now. */
  isDue(shard: ShardName): boolean {
    const { self, cluster, ownedShards } = this.options
    if (ownedShards.has(shard)) return false
    const owner = cluster.ownerOf(shard)
    // A shard recorded as owned by this node but not in `ownedShards` was relinquished and needs a new epoch.
    if (owner !== null && owner !== self) {
      this.ownerlessSince.delete(shard)
      return false
    }
    const now = this.options.now()
    const ownerlessFrom = this.ownerlessSince.get(shard) ?? now
    this.ownerlessSince.set(shard, ownerlessFrom)
    return now - ownerlessFrom >= this.waitMs(shard)
  }
  /**
   * The wait before acquiring a shard without an owner. The preferred owner goes first and the other nodes
   * wait, so that they rarely compete. For a shard that never had an owner, other nodes wait for its home
   * node to start.
   */
  private waitMs(shard: ShardName): number {
    const { self, nodes, replica, cluster } = this.options
    const wasNeverOwned = replica.get(keys.shard(shard)) === null
    if (wasNeverOwned && homeNodeOf(shard, nodes) !== self) return HOME_NODE_WAIT_MS
    if (preferredOwner(shard, nodes, cluster.aliveNodes()) === self) return 0
    return NON_PREFERRED_WAIT_MS + WAIT_PER_RANK_MS * nodes.indexOf(self)
  }

  /** Makes one attempt to acquire the shard. */
  acquire(shard: ShardName) {
    return Effect.gen({ self: this }, function* () {
      const { self, store, replica, nodeLease, ownedShards } = this.options
      const membershipLease = nodeLease.current
      if (membershipLease === null) return
      const key = keys.shard(shard)
      const record: ShardRecord = { owner: self, incarnation: membershipLease.incarnation }
      const previousOwner = replica.get(key)?.value.owner ?? null
      const conditions = this.conditions(shard, membershipLease, previousOwner)
      const written = yield* Effect.result(store.compareAndSwap(conditions, [put(key, record)], 0))
      if (Result.isFailure(written) || !written.success.ok) return yield* this.readOwner(shard, previousOwner)
      replica.applyWrite({ key, value: record, modRevision: written.success.revision })
      ownedShards.addAcquired(shard, written.success.revision, previousOwner)
    })
  }
  /**
   * Conditions of the transaction: the shard record is unchanged, this node's node key exists, and the
   * previous owner's node key is as in the replica, where it is absent or belongs to a newer incarnation.
   * A delayed duplicate of the transaction therefore changes nothing.
   */
  private conditions(
    shard: ShardName,
    { nodeRevision }: MembershipLease,
    previousOwner: NodeName | null,
  ): ReadonlyArray<Condition> {
    const { self, replica } = this.options
    const unchanged = (key: StoreKey<unknown>): Condition => ({ key, modRevision: replica.modRevision(key) })
    const ownNodeExists = { key: keys.node(self), modRevision: nodeRevision }
    const conditions = [unchanged(keys.shard(shard)), ownNodeExists]
    return previousOwner === null || previousOwner === self
      ? conditions
      : [...conditions, unchanged(keys.node(previousOwner))]
  }
  /**
   * Reads the shard record after the transaction was refused or its outcome is unknown. If it was applied,
   * the record names this incarnation; if the record is unchanged, the next attempt gets a new epoch.
   */
  private readOwner(shard: ShardName, previousOwner: NodeName | null) {
    return Effect.gen({ self: this }, function* () {
      const { self, store, replica, nodeLease, ownedShards } = this.options
      const read = yield* Effect.result(store.get(keys.shard(shard)))
      if (Result.isFailure(read) || read.success === null) return yield* Effect.sleep(RETRY_PAUSE_MS)
      const entry = read.success
      replica.applyWrite(entry)
      const { owner, incarnation } = entry.value
      const isOwnIncarnation = owner === self && incarnation === nodeLease.current?.incarnation
      if (isOwnIncarnation && !ownedShards.has(shard))
        ownedShards.addAcquired(shard, entry.modRevision, previousOwner)
    })
  }
}
