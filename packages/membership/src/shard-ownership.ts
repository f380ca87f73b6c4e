import {
  addMs,
  type Incarnation,
  type Log,
  type ModRevision,
  type MonotonicTime,
  NEVER,
  type NodeName,
  type ShardName,
} from "@sorreltally/protocol"
import { keys, put, SHARDS, type ShardRecord, type StoreClient } from "@sorreltally/store"
import { Effect, Result } from "effect"
import type { NodeLeaseKeeper } from "./node-lease.ts"
import type { Replica } from "./replica.ts"
import { DEADLINE_SHARD, homeNodeOf, preferredOwner } from "./shards.ts"

/** What the rest of the controller does when a shard is acquired or lost. Both are synchronous. */
export interface ShardListener {
  readonly acquired: (shard: ShardName, epoch: ModRevision) => void
  readonly lost: (shard: ShardName) => void
}

/** How long a shard that never had an owner waits for its home node. */
const FIRST_START_MS = 4_000
/** How long a node that isn't the preferred owner leaves a shard to that one, and how much longer for each rank. */
const RIVAL_WAIT_MS = 1_500
const RIVAL_RANK_MS = 500
/** How long a node has to be alive before a shard fails back to it, and the pause between two. */
const MIN_ALIVE_MS = 15_000
const FAIL_BACK_SPACING_MS = 5_000
const LOOP_MS = 250
const RETRY_MS = 300

interface AliveSince {
  readonly incarnation: Incarnation | null
  readonly at: MonotonicTime
}

/** What the ownership of shards needs. */
export interface ShardOwnershipOptions {
  readonly self: NodeName
  /** All controllers, in the same order on every node. */
  readonly nodes: ReadonlyArray<NodeName>
  readonly shards: ReadonlyArray<ShardName>
  readonly store: StoreClient
  readonly replica: Replica
  readonly nodeLease: NodeLeaseKeeper
  readonly holdsLease: () => boolean
  readonly listener: ShardListener
  readonly now: () => MonotonicTime
  readonly log: Log
}

/**
 * Which shards this node owns, and how it comes by them: failover of shards
 * without an owner, and failing back to home nodes that are alive again.
 */
export class ShardOwnership {
  private readonly owned = new Map<ShardName, ModRevision>()
  /** The last epoch under which this process owned a shard. */
  private readonly lastEpoch = new Map<ShardName, ModRevision>()
  private readonly aliveSince = new Map<NodeName, AliveSince>()
  private readonly ownerlessSince = new Map<ShardName, MonotonicTime>()
  private failedBackAt: MonotonicTime = NEVER

  constructor(private readonly options: ShardOwnershipOptions) {
    this.options.replica.listen(SHARDS, (key, entry) => {
      const shard = key.slice(SHARDS.length) as ShardName
      const epoch = this.owned.get(shard)
      if (epoch !== undefined && entry !== null && entry.modRevision > epoch) this.drop(shard, "taken over")
    })
  }

  /** The owner on record, if the incarnation that acquired the shard still lives. */
  owner(shard: ShardName): NodeName | null {
    const record = this.options.replica.get(keys.shard(shard))
    if (record === null || record.value.owner === null) return null
    return this.incarnationOf(record.value.owner) === record.value.incarnation ? record.value.owner : null
  }
  private aliveNodes(): ReadonlySet<NodeName> {
    return new Set(this.options.nodes.filter((node) => this.incarnationOf(node) !== null))
  }
  private incarnationOf(node: NodeName): Incarnation | null {
    return this.options.replica.get(keys.node(node))?.value.incarnation ?? null
  }

  relinquish(shard: ShardName, reason: string): void {
    if (this.owned.has(shard)) this.drop(shard, reason)
  }
  dropAll(reason: string): void {
    for (const shard of [...this.owned.keys()]) this.drop(shard, reason)
  }
  private drop(shard: ShardName, reason: string): void {
    this.owned.delete(shard)
    this.options.log.info("shard lost", { shard, reason })
    this.options.listener.lost(shard)
  }
  private markAcquired(shard: ShardName, epoch: ModRevision, from: NodeName | null): void {
    // An earlier ownership of ours may still have writes under way that only a
    // new epoch fences, and its attempts and write numbers would be used twice.
    const former = this.lastEpoch.get(shard)
    if (former !== undefined && epoch <= former) return
    // Our response was late, and another node is the owner by now.
    if (this.options.replica.modRevision(keys.shard(shard)) > epoch) return
    this.owned.set(shard, epoch)
    this.lastEpoch.set(shard, epoch)
    this.options.log.info("shard acquired", { shard, epoch, from })
    this.options.listener.acquired(shard, epoch)
  }

  readonly run: Effect.Effect<never> = Effect.suspend(() =>
    Effect.forever(
      Effect.gen({ self: this }, function* () {
        if (this.options.holdsLease()) {
          for (const shard of this.options.shards) {
            if (this.shouldAcquire(shard)) yield* this.acquire(shard)
          }
          yield* this.failBack()
        }
        yield* Effect.sleep(LOOP_MS)
      }),
    ),
  )

  // --- failing back -----------------------------------------------------------

  /**
   * Shards fail back to a home node that has been alive for a while, one at a
   * time: a node that acquired several does all their work, and all their calls.
   */
  private failBack() {
    return Effect.gen({ self: this }, function* () {
      const now = this.options.now()
      this.recordAliveNodes(now)
      if (now < addMs(this.failedBackAt, FAIL_BACK_SPACING_MS)) return
      for (const [shard, epoch] of this.owned) {
        const home = this.returnedHomeOf(shard, now)
        if (home === null) continue
        this.failedBackAt = now
        // First we stop, then the record says so: if it never does, we are the
        // owner on record without being one, and acquire the shard again.
        this.drop(shard, `failed back to ${home}`)
        return yield* this.release(shard, epoch)
      }
    })
  }
  private recordAliveNodes(now: MonotonicTime): void {
    for (const node of this.options.nodes) {
      const incarnation = this.incarnationOf(node)
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
      const key = keys.shard(shard)
      const record: ShardRecord = { owner: null, incarnation: null }
      const done = yield* Effect.result(
        this.options.store.compareAndSwap([{ key, modRevision: epoch }], [put(key, record)], 0),
      )
      if (Result.isSuccess(done) && done.success.ok)
        this.options.replica.applyWrite({ key, value: record, modRevision: done.success.revision })
    })
  }

  // --- acquiring --------------------------------------------------------------

  private shouldAcquire(shard: ShardName): boolean {
    if (this.owned.has(shard)) return false
    const owner = this.owner(shard)
    // Ours by the record yet not owned: we relinquished it, and need a new epoch.
    if (owner !== null && owner !== this.options.self) {
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
    const neverOwned =
      this.options.replica.get(keys.shard(shard)) === null &&
      homeNodeOf(shard, this.options.nodes) !== this.options.self
    if (neverOwned) return FIRST_START_MS
    if (preferredOwner(shard, this.options.nodes, this.aliveNodes()) === this.options.self) return 0
    return RIVAL_WAIT_MS + RIVAL_RANK_MS * this.options.nodes.indexOf(this.options.self)
  }

  private acquire(shard: ShardName) {
    return Effect.gen({ self: this }, function* () {
      const membershipLease = this.options.nodeLease.current
      if (membershipLease === null) return
      const key = keys.shard(shard)
      const record: ShardRecord = { owner: this.options.self, incarnation: membershipLease.incarnation }
      const from = this.options.replica.get(key)?.value.owner ?? null
      // The former owner's node key must be gone and our own must exist: a late
      // copy of this transaction changes nothing.
      const conditions = [
        { key, modRevision: this.options.replica.modRevision(key) },
        { key: keys.node(this.options.self), modRevision: membershipLease.nodeRevision },
      ]
      if (from !== null && from !== this.options.self)
        conditions.push({
          key: keys.node(from),
          modRevision: this.options.replica.modRevision(keys.node(from)),
        })
      const written = yield* Effect.result(
        this.options.store.compareAndSwap(conditions, [put(key, record)], 0),
      )
      if (Result.isFailure(written) || !written.success.ok) return yield* this.readOwner(shard, from)
      this.options.replica.applyWrite({ key, value: record, modRevision: written.success.revision })
      this.markAcquired(shard, written.success.revision, from)
    })
  }
  /**
   * The transaction was refused, or its outcome is unknown. If it was applied
   * without our knowing, the record says so; if that is unchanged, the next
   * attempt gets an epoch of its own.
   */
  private readOwner(shard: ShardName, from: NodeName | null) {
    return Effect.gen({ self: this }, function* () {
      const read = yield* Effect.result(this.options.store.get(keys.shard(shard)))
      if (Result.isFailure(read) || read.success === null) return yield* Effect.sleep(RETRY_MS)
      const seen = read.success
      this.options.replica.applyWrite(seen)
      const { owner, incarnation } = seen.value
      const ours = owner === this.options.self && incarnation === this.options.nodeLease.current?.incarnation
      if (ours && !this.owned.has(shard)) this.markAcquired(shard, seen.modRevision, from)
    })
  }
}
