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

/** What the rest of the controller does when a part comes or goes. Both are synchronous. */
export interface ShardListener {
  readonly acquired: (shard: ShardName, epoch: ModRevision) => void
  readonly lost: (shard: ShardName) => void
}

/** How long a part that never had an owner waits for the node it is meant for. */
const FIRST_START_MS = 4_000
/** How long a node that isn't the preferred owner waits for that one, and how much longer for each rank. */
const RIVAL_WAIT_MS = 1_500
const RIVAL_RANK_MS = 500
/** How long a node has to be back before it gets a part back, and the pause between two. */
const BACK_FOR_MS = 15_000
const FAIL_BACK_SPACING_MS = 5_000
const LOOP_MS = 250
const RETRY_MS = 300

interface AliveSince {
  readonly incarnation: Incarnation | null
  readonly at: MonotonicTime
}

/**
 * Which parts this node owns, and how it comes by them: take-overs of parts
 * without an owner, and hand-backs to nodes that have returned.
 */
export class ShardOwnership {
  private readonly owned = new Map<ShardName, ModRevision>()
  /** The last epoch under which this process owned a part. */
  private readonly lastEpoch = new Map<ShardName, ModRevision>()
  private readonly aliveSince = new Map<NodeName, AliveSince>()
  private readonly orphanSince = new Map<ShardName, MonotonicTime>()
  private failedBackAt: MonotonicTime = NEVER

  constructor(
    private readonly self: NodeName,
    private readonly nodes: ReadonlyArray<NodeName>,
    private readonly shards: ReadonlyArray<ShardName>,
    private readonly store: StoreClient,
    private readonly replica: Replica,
    private readonly nodeLease: NodeLeaseKeeper,
    private readonly holdsLease: () => boolean,
    private readonly listener: ShardListener,
    private readonly now: () => MonotonicTime,
    private readonly log: Log,
  ) {
    this.replica.listen(SHARDS, (path, entry) => {
      const shard = path.slice(SHARDS.length) as ShardName
      const epoch = this.owned.get(shard)
      if (epoch !== undefined && entry !== null && entry.modRevision > epoch) this.drop(shard, "taken over")
    })
  }

  /** The owner on record, if it is still the process that took the part over. */
  owner(shard: ShardName): NodeName | null {
    const record = this.replica.get(keys.shard(shard))
    if (record === null || record.value.owner === null) return null
    return this.incarnationOf(record.value.owner) === record.value.incarnation ? record.value.owner : null
  }
  private alive(): ReadonlySet<NodeName> {
    return new Set(this.nodes.filter((node) => this.incarnationOf(node) !== null))
  }
  private incarnationOf(node: NodeName): Incarnation | null {
    return this.replica.get(keys.node(node))?.value.incarnation ?? null
  }

  relinquish(shard: ShardName, reason: string): void {
    if (this.owned.has(shard)) this.drop(shard, reason)
  }
  dropAll(reason: string): void {
    for (const shard of [...this.owned.keys()]) this.drop(shard, reason)
  }
  private drop(shard: ShardName, reason: string): void {
    this.owned.delete(shard)
    this.log.info("shard lost", { shard, reason })
    this.listener.lost(shard)
  }
  private gain(shard: ShardName, epoch: ModRevision, from: NodeName | null): void {
    // A former ownership of ours may still have writes under way that only a
    // new epoch fences, and its attempts and write numbers would be used twice.
    const former = this.lastEpoch.get(shard)
    if (former !== undefined && epoch <= former) return
    // Our answer was late, and somebody else is the owner by now.
    if (this.replica.modRevision(keys.shard(shard)) > epoch) return
    this.owned.set(shard, epoch)
    this.lastEpoch.set(shard, epoch)
    this.log.info("shard acquired", { shard, epoch, from })
    this.listener.acquired(shard, epoch)
  }

  readonly run: Effect.Effect<never> = Effect.suspend(() =>
    Effect.forever(
      Effect.gen({ self: this }, function* () {
        if (this.holdsLease()) {
          for (const shard of this.shards) {
            if (this.shouldAcquire(shard)) yield* this.takeOver(shard)
          }
          yield* this.failBack()
        }
        yield* Effect.sleep(LOOP_MS)
      }),
    ),
  )

  // --- hand-backs -------------------------------------------------------------

  /**
   * A node that is back for a while gets its part back, one part at a time: a
   * node that took over several does all their work, and all their calls.
   */
  private failBack() {
    return Effect.gen({ self: this }, function* () {
      const now = this.now()
      this.noteWhoIsAlive(now)
      if (now < addMs(this.failedBackAt, FAIL_BACK_SPACING_MS)) return
      for (const [shard, epoch] of this.owned) {
        const home = this.returnedHomeOf(shard, now)
        if (home === null) continue
        this.failedBackAt = now
        // First we stop, then the record says so: if it never does, we are the
        // owner on record without being one, and take the part over again.
        this.drop(shard, `failed back to ${home}`)
        return yield* this.release(shard, epoch)
      }
    })
  }
  private noteWhoIsAlive(now: MonotonicTime): void {
    for (const node of this.nodes) {
      const incarnation = this.incarnationOf(node)
      const known = this.aliveSince.get(node)
      if (known === undefined || known.incarnation !== incarnation)
        this.aliveSince.set(node, { incarnation, at: now })
    }
  }
  /** The node that the part is meant for, if that isn't this one and has been back for long enough. */
  private returnedHomeOf(shard: ShardName, now: MonotonicTime): NodeName | null {
    // The leader stays where it is: its move would be felt by every deadline.
    if (shard === DEADLINE_SHARD) return null
    const home = homeNodeOf(shard, this.nodes)
    if (home === null || home === this.self) return null
    const since = this.aliveSince.get(home)
    if (since === undefined || since.incarnation === null) return null
    return now < addMs(since.at, BACK_FOR_MS) ? null : home
  }
  /** Conditioned on our epoch: carried out late, after somebody took the part over, it does nothing. */
  private release(shard: ShardName, epoch: ModRevision) {
    return Effect.gen({ self: this }, function* () {
      const path = keys.shard(shard)
      const record: ShardRecord = { owner: null, incarnation: null }
      const done = yield* Effect.result(
        this.store.compareAndSwap([{ key: path, modRevision: epoch }], [put(path, record)], 0),
      )
      if (Result.isSuccess(done) && done.success.ok)
        this.replica.applyWrite({ key: path, value: record, modRevision: done.success.revision })
    })
  }

  // --- take-overs -------------------------------------------------------------

  private shouldAcquire(shard: ShardName): boolean {
    if (this.owned.has(shard)) return false
    const owner = this.owner(shard)
    // Ours by the record yet not owned: we disowned it, and need a new epoch.
    if (owner !== null && owner !== this.self) {
      this.orphanSince.delete(shard)
      return false
    }
    const now = this.now()
    const since = this.orphanSince.get(shard) ?? now
    this.orphanSince.set(shard, since)
    return now - since >= this.patienceMs(shard)
  }
  /**
   * Others wait a little, so that the preferred owner usually meets no rival;
   * a part that nobody ever owned waits for its home to start.
   */
  private patienceMs(shard: ShardName): number {
    const neverOwned =
      this.replica.get(keys.shard(shard)) === null && homeNodeOf(shard, this.nodes) !== this.self
    if (neverOwned) return FIRST_START_MS
    if (preferredOwner(shard, this.nodes, this.alive()) === this.self) return 0
    return RIVAL_WAIT_MS + RIVAL_RANK_MS * this.nodes.indexOf(this.self)
  }

  private takeOver(shard: ShardName) {
    return Effect.gen({ self: this }, function* () {
      const counters = this.nodeLease.current
      if (counters === null) return
      const path = keys.shard(shard)
      const record: ShardRecord = { owner: this.self, incarnation: counters.incarnation }
      const from = this.replica.get(path)?.value.owner ?? null
      // The former owner's live key must be gone and our own must stand: a late
      // copy of this transaction changes nothing.
      const when = [
        { key: path, modRevision: this.replica.modRevision(path) },
        { key: keys.node(this.self), modRevision: counters.nodeRevision },
      ]
      if (from !== null && from !== this.self)
        when.push({ key: keys.node(from), modRevision: this.replica.modRevision(keys.node(from)) })
      const won = yield* Effect.result(this.store.compareAndSwap(when, [put(path, record)], 0))
      if (Result.isFailure(won) || !won.success.ok) return yield* this.lookWhoOwns(shard, from)
      this.replica.applyWrite({ key: path, value: record, modRevision: won.success.revision })
      this.gain(shard, won.success.revision, from)
    })
  }
  /**
   * Lost the race, or don't know. If we did win without hearing of it, the
   * record says so; if it says nothing new, the next attempt gives a clean epoch.
   */
  private lookWhoOwns(shard: ShardName, from: NodeName | null) {
    return Effect.gen({ self: this }, function* () {
      const read = yield* Effect.result(this.store.get(keys.shard(shard)))
      if (Result.isFailure(read) || read.success === null) return yield* Effect.sleep(RETRY_MS)
      const seen = read.success
      this.replica.applyWrite(seen)
      const { owner, incarnation } = seen.value as ShardRecord
      const ours = owner === this.self && incarnation === this.nodeLease.current?.incarnation
      if (ours && !this.owned.has(shard)) this.gain(shard, seen.modRevision, from)
    })
  }
}
