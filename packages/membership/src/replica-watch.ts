/**
 * Keeps the replica up to date by watching the store, and decides until when it counts as fresh. Never
 * counts an answer as fresher than the moment when its request was sent.
 */
import { addMs, EARLIEST_TIME, type MonotonicTime } from "@sorreltally/protocol"
import { REPLICATED, type StoreClient } from "@sorreltally/store"
import { Effect, Result } from "effect"
import type { Replica } from "./replica.ts"

/** Share of the store's requests that all nodes' watches may use. */
const WATCH_SHARE = 0.3
/** Watches in the time after which a replica that wasn't refreshed counts as stale. */
const WATCHES_PER_FRESHNESS = 3
/** Beyond its blocking time, a watch's response is waited for this long. */
const MAX_RESPONSE_MS = 2_000
/**
 * A node whose shards have no work watches this much less often: of jobs it
 * learns from its peers, for users it asks the store, and every change is paid by all nodes.
 */
const IDLE_FACTOR = 3
/** The pause between watches takes at most this share of the time after which a replica is stale. */
const MAX_PAUSE_SHARE = 1 / 4
const RETRY_MS = 200

/** The pause between two watches of one node, by the requests a second that the store takes of all nodes. */
export const watchSpacingMs = (nodes: number, requestsPerSecond: number): number =>
  (1000 * nodes) / (WATCH_SHARE * requestsPerSecond)

/** What a watch of the replica needs. */
export interface ReplicaWatchOptions {
  readonly store: StoreClient
  readonly replica: Replica
  /** The pause between two watches. */
  readonly spacingMs: number
  /**
   * An owner learns of cancellations by its watch: one whose replica was not
   * refreshed for this long must stop acting.
   */
  readonly freshMs: number
  /** Whether this node's shards have work, and should learn of changes as soon as can be. */
  readonly isBusy: () => boolean
  readonly now: () => MonotonicTime
}

/** Watches the replicated keys, and knows until when the replica counts as fresh. */
export class ReplicaWatch {
  private freshUntil: MonotonicTime = EARLIEST_TIME

  constructor(private readonly options: ReplicaWatchOptions) {}

  /** Whether the replica holds all that was durable `freshMs` ago. */
  isFresh(now: MonotonicTime): boolean {
    return now < this.freshUntil
  }
  /**
   * The replica holds all that was durable when a request was sent. What became
   * durable after the sending may be missing, however late the response came.
   */
  markCurrentAsOf(sent: MonotonicTime): void {
    this.freshUntil = Math.max(this.freshUntil, addMs(sent, this.options.freshMs)) as MonotonicTime
  }

  /**
   * Watches for as long as it isn't interrupted. A loop rather than a
   * `Schedule`, as each pause depends on how the watch before it ended.
   */
  readonly run: Effect.Effect<never> = Effect.suspend(() => Effect.forever(this.watchOnce()))

  private watchOnce() {
    return Effect.gen({ self: this }, function* () {
      const { store, replica, freshMs, now } = this.options
      const sent = now()
      const blockMs = freshMs / WATCHES_PER_FRESHNESS
      const responseMs = Math.min(MAX_RESPONSE_MS, blockMs)
      const watched = yield* Effect.result(
        store.watch(REPLICATED, replica.revision, Math.floor(blockMs), Math.floor(responseMs)),
      )
      if (Result.isFailure(watched)) return yield* Effect.sleep(RETRY_MS)
      if (watched.success.kind === "compacted") return yield* this.readAll()
      replica.applyEvents(watched.success.events, watched.success.revision)
      this.markCurrentAsOf(sent)
      // Every change wakes every node's watch: changes that come together cost one request.
      yield* Effect.sleep(this.pauseMs())
    })
  }
  private pauseMs(): number {
    const { spacingMs, freshMs, isBusy } = this.options
    return Math.min(isBusy() ? spacingMs : IDLE_FACTOR * spacingMs, MAX_PAUSE_SHARE * freshMs)
  }
  private readAll() {
    return Effect.gen({ self: this }, function* () {
      const { store, replica } = this.options
      const read = yield* Effect.result(store.list(REPLICATED))
      if (Result.isFailure(read)) return yield* Effect.sleep(RETRY_MS)
      replica.loadSnapshot(read.success.items, read.success.revision)
    })
  }
}
