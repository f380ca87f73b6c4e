/**
 * Fail back: decides when a shard that this node acquired returns to its home node, and clears the recorded
 * owner. At most one shard fails back at a time, and the leader's shard never does.
 */
import {
  addMs,
  EARLIEST_TIME,
  type Incarnation,
  type ModRevision,
  type MonotonicTime,
  type NodeName,
  type ShardName,
} from "@sorreltally/protocol"
import { keys, put, type ShardRecord, type StoreClient } from "@sorreltally/store"
import { Effect, Result } from "effect"
import type { ClusterView } from "./cluster-view.ts"
import type { OwnedShards } from "./owned-shards.ts"
import type { Replica } from "./replica.ts"
import { DEADLINE_SHARD, homeNodeOf } from "./shards.ts"

/** Time that a home node must have been alive before a shard fails back to it. */
const MIN_HOME_ALIVE_MS = 15_000
/** Minimum time between two shards failing back. */
const FAIL_BACK_PAUSE_MS = 5_000

/** The incarnation of a node seen in the replica; null while its node key does not exist. */
interface ObservedIncarnation {
  readonly incarnation: Incarnation | null
  readonly firstSeenAt: MonotonicTime
}

/** Options of the shard fail back. */
export interface ShardFailBackOptions {
  readonly self: NodeName
  /** All controllers, in the same order on every node. */
  readonly nodes: ReadonlyArray<NodeName>
  readonly store: StoreClient
  readonly replica: Replica
  readonly cluster: ClusterView
  readonly ownedShards: OwnedShards
  readonly now: () => MonotonicTime
}

/** Relinquishes shards whose home nodes are alive again. */
export class ShardFailBack {
  private readonly observedIncarnations = new Map<NodeName, ObservedIncarnation>()
  private lastFailBackAt: MonotonicTime = EARLIEST_TIME

  constructor(private readonly options: ShardFailBackOptions) {}

  /**
   * Fails back at most one shard to a home node that has been alive for `MIN_HOME_ALIVE_MS`. A node that
   * acquired several shards carries all of their work and all of their requests, so shards are returned.
   */
  failBackOne() {
    return Effect.gen({ self: this }, function* () {
      const { ownedShards } = this.options
      const now = this.options.now()
      this.recordIncarnations(now)
      if (now < addMs(this.lastFailBackAt, FAIL_BACK_PAUSE_MS)) return
      for (const [shard, epoch] of ownedShards.entries()) {
        const homeNode = this.failBackTargetOf(shard, now)
        if (homeNode === null) continue
        this.lastFailBackAt = now
        // Stop owning the shard before clearing the recorded owner. If that write is never applied, this node
        // is the recorded owner without owning the shard, and acquires it again.
        ownedShards.remove(shard, `failed back to ${homeNode}`)
        return yield* this.clearOwner(shard, epoch)
      }
    })
  }
  private recordIncarnations(now: MonotonicTime): void {
    for (const node of this.options.nodes) {
      const incarnation = this.options.cluster.incarnationOf(node)
      const observed = this.observedIncarnations.get(node)
      if (observed === undefined || observed.incarnation !== incarnation)
        this.observedIncarnations.set(node, { incarnation, firstSeenAt: now })
    }
  }
  /** The shard's home node if it is another node that has been alive long enough; otherwise null. */
  private failBackTargetOf(shard: ShardName, now: MonotonicTime): NodeName | null {
    // The leader's shard does not fail back: moving it would delay every job with a deadline.
    if (shard === DEADLINE_SHARD) return null
    const homeNode = homeNodeOf(shard, this.options.nodes)
    if (homeNode === null || homeNode === this.options.self) return null
    const observed = this.observedIncarnations.get(homeNode)
    if (observed === undefined || observed.incarnation === null) return null
    return now < addMs(observed.firstSeenAt, MIN_HOME_ALIVE_MS) ? null : homeNode
  }
  /**
   * Clears the recorded owner. The write is conditioned on the shard epoch: applied late, after another node
   * acquired the shard, it has no effect.
   */
  private clearOwner(shard: ShardName, epoch: ModRevision) {
    return Effect.gen({ self: this }, function* () {
      const { store, replica } = this.options
      const key = keys.shard(shard)
      const record: ShardRecord = { owner: null, incarnation: null }
      const written = yield* Effect.result(
        store.compareAndSwap([{ key, modRevision: epoch }], [put(key, record)], 0),
      )
      if (Result.isSuccess(written) && written.success.ok)
        replica.applyWrite({ key, value: record, modRevision: written.success.revision })
    })
  }
}
