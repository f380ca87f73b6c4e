/**
 * Failover: which shards without an owner this node should acquire, when, and the transaction that does it.
 * Never acquires on the replica's word alone: the transaction's conditions decide.
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
import type { MembershipLease, NodeLeaseKeeper } from "./node-lease.ts"
import type { OwnedShards } from "./owned-shards.ts"
import type { Replica } from "./replica.ts"
import { homeNodeOf, preferredOwner } from "./shards.ts"

/** How long a shard that never had an owner waits for its home node. */
const FIRST_START_MS = 4_000
/** How long a node that isn't the preferred owner leaves a shard to that one, and how much longer for each rank. */
const RIVAL_WAIT_MS = 1_500
const RIVAL_RANK_MS = 500
const RETRY_MS = 300

/** What the acquisition of shards needs. */
export interface ShardAcquisitionOptions {
  readonly self: NodeName
  /** All controllers, in the same order on every node. */
  readonly nodes: ReadonlyArray<NodeName>
  readonly store: StoreClient
  readonly replica: Replica
  readonly cluster: ClusterView
  readonly nodeLease: NodeLeaseKeeper
  readonly owned: OwnedShards
  readonly now: () => MonotonicTime
}

/** Acquires shards that have no owner. */
export class ShardAcquisition {
  /** Since when this node has seen a shard without an owner. */
  private readonly ownerlessSince = new Map<ShardName, MonotonicTime>()

  constructor(private readonly options: ShardAcquisitionOptions) {}

  /** Whether this node should try to acquire the shard now. */
  isDue(shard: ShardName): boolean {
    const { self, cluster, owned } = this.options
    if (owned.has(shard)) return false
    const owner = cluster.ownerOf(shard)
    // Ours by the record yet not owned: we relinquished it, and need a new epoch.
    if (owner !== null && owner !== self) {
      this.ownerlessSince.delete(shard)
      return false
    }
    const now = this.options.now()
    const since = this.ownerlessSince.get(shard) ?? now
    this.ownerlessSince.set(shard, since)
    return now - since >= this.waitMs(shard)
  }
  /**
   * The preferred owner goes first and others wait a little, so that it usually
   * has no rival; a shard that never had an owner waits for its home node to start.
   */
  private waitMs(shard: ShardName): number {
    const { self, nodes, replica, cluster } = this.options
    const neverOwned = replica.get(keys.shard(shard)) === null
    if (neverOwned && homeNodeOf(shard, nodes) !== self) return FIRST_START_MS
    if (preferredOwner(shard, nodes, cluster.aliveNodes()) === self) return 0
    return RIVAL_WAIT_MS + RIVAL_RANK_MS * nodes.indexOf(self)
  }

  /** Tries once to acquire the shard. */
  acquire(shard: ShardName) {
    return Effect.gen({ self: this }, function* () {
      const { self, store, replica, nodeLease, owned } = this.options
      const membershipLease = nodeLease.current
      if (membershipLease === null) return
      const key = keys.shard(shard)
      const record: ShardRecord = { owner: self, incarnation: membershipLease.incarnation }
      const from = replica.get(key)?.value.owner ?? null
      const conditions = this.conditions(shard, membershipLease, from)
      const written = yield* Effect.result(store.compareAndSwap(conditions, [put(key, record)], 0))
      if (Result.isFailure(written) || !written.success.ok) return yield* this.readOwner(shard, from)
      replica.applyWrite({ key, value: record, modRevision: written.success.revision })
      owned.acquire(shard, written.success.revision, from)
    })
  }
  /**
   * The former owner's node key must be gone and our own must exist: a late
   * copy of this transaction changes nothing.
   */
  private conditions(
    shard: ShardName,
    { nodeRevision }: MembershipLease,
    from: NodeName | null,
  ): ReadonlyArray<Condition> {
    const { self, replica } = this.options
    const unchanged = (key: StoreKey<unknown>): Condition => ({ key, modRevision: replica.modRevision(key) })
    const own = { key: keys.node(self), modRevision: nodeRevision }
    const conditions = [unchanged(keys.shard(shard)), own]
    return from === null || from === self ? conditions : [...conditions, unchanged(keys.node(from))]
  }
  /**
   * The transaction was refused, or its outcome is unknown. If it was applied
   * without our knowing, the record says so; if that is unchanged, the next
   * attempt gets an epoch of its own.
   */
  private readOwner(shard: ShardName, from: NodeName | null) {
    return Effect.gen({ self: this }, function* () {
      const { self, store, replica, nodeLease, owned } = this.options
      const read = yield* Effect.result(store.get(keys.shard(shard)))
      if (Result.isFailure(read) || read.success === null) return yield* Effect.sleep(RETRY_MS)
      const entry = read.success
      replica.applyWrite(entry)
      const { owner, incarnation } = entry.value
      const isOurs = owner === self && incarnation === nodeLease.current?.incarnation
      if (isOurs && !owned.has(shard)) owned.acquire(shard, entry.modRevision, from)
    })
  }
}
