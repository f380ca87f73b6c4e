/**
 * Failing back: when a shard that this node acquired goes back to its home node, and the write that lets
 * it go. Never fails back more than one shard at a time, nor the leader's.
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

/** How long a node has to be alive before a shard fails back to it, and the pause between two. */
const MIN_ALIVE_MS = 15_000
const FAIL_BACK_SPACING_MS = 5_000

interface AliveSince {
  readonly incarnation: Incarnation | null
  readonly at: MonotonicTime
}

/** What failing back needs. */
export interface ShardFailBackOptions {
  readonly self: NodeName
  /** All controllers, in the same order on every node. */
  readonly nodes: ReadonlyArray<NodeName>
  readonly store: StoreClient
  readonly replica: Replica
  readonly cluster: ClusterView
  readonly owned: OwnedShards
  readonly now: () => MonotonicTime
}

/** Lets shards go whose home nodes are alive again. */
export class ShardFailBack {
  private readonly aliveSince = new Map<NodeName, AliveSince>()
  private failedBackAt: MonotonicTime = EARLIEST_TIME

  constructor(private readonly options: ShardFailBackOptions) {}

  /**
   * Shards fail back to a home node that has been alive for a while, one at a
   * time: a node that acquired several does all their work, and all their calls.
   */
  failBackOne() {
    return Effect.gen({ self: this }, function* () {
      const { owned } = this.options
      const now = this.options.now()
      this.recordAliveNodes(now)
      if (now < addMs(this.failedBackAt, FAIL_BACK_SPACING_MS)) return
      for (const [shard, epoch] of owned.entries()) {
        const home = this.returnedHomeOf(shard, now)
        if (home === null) continue
        this.failedBackAt = now
        // First we stop, then the record says so: if it never does, we are the
        // owner on record without being one, and acquire the shard again.
        owned.lose(shard, `failed back to ${home}`)
        return yield* this.release(shard, epoch)
      }
    })
  }
  private recordAliveNodes(now: MonotonicTime): void {
    for (const node of this.options.nodes) {
      const incarnation = this.options.cluster.incarnationOf(node)
      const known = this.aliveSince.get(node)
      if (known === undefined || known.incarnation !== incarnation)
        this.aliveSince.set(node, { incarnation, at: now })
    }
  }
  /** The shard's home node, if that isn't this one and has been alive for long enough. */
  private returnedHomeOf(shard: ShardName, now: MonotonicTime): NodeName | null {
    // The leader stays where it is: moving it would delay every job with a deadline.
    if (shard === DEADLINE_SHARD) return null
    const home = homeNodeOf(shard, this.options.nodes)
    if (home === null || home === this.options.self) return null
    const since = this.aliveSince.get(home)
    if (since === undefined || since.incarnation === null) return null
    return now < addMs(since.at, MIN_ALIVE_MS) ? null : home
  }
  /** Conditioned on our epoch: carried out late, after another node acquired the shard, it does nothing. */
  private release(shard: ShardName, epoch: ModRevision) {
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
