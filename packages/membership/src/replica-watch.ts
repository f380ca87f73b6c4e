/**
 * Keeps the replica up to date by watching the store, and tracks until when it counts as fresh. Freshness
 * is counted from when a request was sent, never from when its response arrived.
 */
import { addMs, EARLIEST_TIME, type MonotonicTime } from "@sorreltally/protocol"
import { REPLICATED_KEYS, type StoreClient, type StoreError } from "@sorreltally/store"
import { Effect, Result } from "effect"
import type { Replica } from "./replica.ts"

/** Share of the store's request rate limit that the watches of all nodes may use together. */
const WATCH_REQUEST_SHARE = 0.3
/** Watches within `maxStalenessMs`. */
const WATCHES_PER_MAX_STALENESS = 3
/** Maximum wait for the response of a watch beyond its blocking time. */
const MAX_RESPONSE_TIMEOUT_MS = 2_000
/**
 * A node whose shards have no work multiplies its pause between watches by this factor. It receives new
 * jobs from its peers and reads the store to answer users, and every change costs a watch on every node.
 */
const IDLE_PAUSE_FACTOR = 3
/** Upper bound of the pause between watches as a fraction of `maxStalenessMs`. */
const MAX_PAUSE_FRACTION = 1 / 4
const RETRY_PAUSE_MS = 200
const TOO_MANY_REQUESTS = 429
/** Bursts of requests may cause as many refusals in a row. */
const REFUSALS_BEFORE_BACKOFF = 5

/** The pause between two watches of one node, given the store's request rate limit for all nodes together. */
export const watchSpacingMs = (nodeCount: number, requestsPerSecond: number): number =>
  (1000 * nodeCount) / (WATCH_REQUEST_SHARE * requestsPerSecond)

/** Options of a replica watch. */
export interface ReplicaWatchOptions {
  readonly store: StoreClient
  readonly replica: Replica
  /** Pause between two watches while this node's shards have work. */
  readonly spacingMs: () => number
  /**
   * An owner receives cancellations through its watch, so an owner whose replica has not been refreshed for
   * this long must stop acting.
   */
  readonly maxStalenessMs: number
  /** Whether this node's shards have work, so that the replica has to follow changes closely. */
  readonly isBusy: () => boolean
  readonly now: () => MonotonicTime
}

/** Watches the replicated keys, and tracks until when the replica counts as fresh. */
export class ReplicaWatch {
  private freshUntil: MonotonicTime = EARLIEST_TIME
  /** Number of consecutive watches that the store refused for its request rate. */
  private refusals = 0

  constructor(private readonly options: ReplicaWatchOptions) {}

  /** Whether the replica contains every change that was durable `maxStalenessMs` ago. */
  isFresh(now: MonotonicTime): boolean {
    return now < this.freshUntil
  }
  /**
   * Records that the replica contains every change that was durable at `sentAt`, when a request was sent.
   * Changes that became durable after that may be missing, however late the response arrived.
   */
  markCurrentAsOf(sentAt: MonotonicTime): void {
    this.freshUntil = Math.max(this.freshUntil, addMs(sentAt, this.options.maxStalenessMs)) as MonotonicTime
  }

  /**
   * Watches until interrupted. A loop rather than a `Schedule`, because each pause depends on how the
   * previous watch ended.
   */
  readonly run: Effect.Effect<never> = Effect.suspend(() => Effect.forever(this.watchOnce()))

  private watchOnce() {
    return Effect.gen({ self: this }, function* () {
      const { store, replica, maxStalenessMs, now } = this.options
      const sentAt = now()
      const blockMs = maxStalenessMs / WATCHES_PER_MAX_STALENESS
      const responseTimeoutMs = Math.min(MAX_RESPONSE_TIMEOUT_MS, blockMs)
      const watched = yield* Effect.result(
        store.watch(REPLICATED_KEYS, replica.revision, Math.floor(blockMs), Math.floor(responseTimeoutMs)),
      )
      if (Result.isFailure(watched)) return yield* Effect.sleep(this.retryPauseMs(watched.failure))
      this.refusals = 0
      if (watched.success.kind === "compacted") return yield* this.readAll()
      replica.applyEvents(watched.success.events, watched.success.revision)
      this.markCurrentAsOf(sentAt)
      // Every change ends the watch of every node; the pause lets one watch return several changes.
      yield* Effect.sleep(this.pauseMs())
    })
  }
  private pauseMs(): number {
    const { spacingMs, maxStalenessMs, isBusy } = this.options
    const idealMs = isBusy() ? spacingMs() : IDLE_PAUSE_FACTOR * spacingMs()
    return Math.min(idealMs, MAX_PAUSE_FRACTION * maxStalenessMs)
  }
  /**
   * The pause after a failed watch. It doubles while the store goes on refusing watches for its request rate:
   * its limit is lower than the spacing of the watches assumes.
   */
  private retryPauseMs({ status }: StoreError): number {
    this.refusals = status === TOO_MANY_REQUESTS ? this.refusals + 1 : 0
    const doublings = Math.max(0, this.refusals - REFUSALS_BEFORE_BACKOFF)
    return Math.min(2 ** doublings * RETRY_PAUSE_MS, MAX_PAUSE_FRACTION * this.options.maxStalenessMs)
  }
  private readAll() {
    return Effect.gen({ self: this }, function* () {
      const { store, replica } = this.options
      const read = yield* Effect.result(store.list(REPLICATED_KEYS))
      if (Result.isFailure(read)) return yield* Effect.sleep(RETRY_PAUSE_MS)
      replica.loadSnapshot(read.success.items, read.success.revision)
    })
  }
}
