import { addMs, type MonotonicTime, NEVER } from "@sorreltally/protocol"
import { REPLICATED, type StoreClient } from "@sorreltally/store"
import { Effect, Result } from "effect"
import type { Replica } from "./replica.ts"

/** Share of the state service's requests that all nodes' watches may use. */
const WATCH_SHARE = 0.3
/** Watches in the time after which a mirror without news counts as stale. */
const WATCHES_PER_FRESH = 3
/** Beyond its blocking time, a watch's answer is waited for this long. */
const LONGEST_ANSWER_MS = 2_000
/**
 * A node whose parts have no work watches this much less often: of jobs it
 * hears by hints, for users it asks anew, and every change is paid by all nodes.
 */
const IDLE_FACTOR = 3
/** The pause between watches takes at most this share of the time after which a mirror is stale. */
const LONGEST_PAUSE_SHARE = 1 / 4
const RETRY_MS = 200

/** The pause between two watches of one node, by what the state service takes of all of them. */
export const watchSpacingMs = (nodes: number, stateRps: number): number =>
  (1000 * nodes) / (WATCH_SHARE * stateRps)

/** Keeps the mirror up to date, and knows until when it counts as fresh. */
export class ReplicaWatch {
  private freshUntil: MonotonicTime = NEVER

  constructor(
    private readonly store: StoreClient,
    private readonly replica: Replica,
    private readonly spacingMs: number,
    /**
     * An owner hears of cancellations by its watch; so one that hasn't been
     * told anything for this long must stop acting.
     */
    private readonly freshMs: number,
    /** It has work, and should hear of changes as soon as can be. */
    private readonly busy: () => boolean,
    private readonly now: () => MonotonicTime,
  ) {}

  isFresh(now: MonotonicTime): boolean {
    return now < this.freshUntil
  }
  /**
   * The mirror holds all that was so when a request was sent. What became
   * durable after the sending may be missing, however late the answer came.
   */
  broughtUpTo(sent: MonotonicTime): void {
    this.freshUntil = Math.max(this.freshUntil, addMs(sent, this.freshMs)) as MonotonicTime
  }

  readonly run: Effect.Effect<never> = Effect.suspend(() =>
    Effect.forever(
      Effect.gen({ self: this }, function* () {
        const sent = this.now()
        const blockMs = this.freshMs / WATCHES_PER_FRESH
        const answerMs = Math.min(LONGEST_ANSWER_MS, blockMs)
        const { revision } = this.replica
        const news = yield* Effect.result(
          this.store.watch(REPLICATED, revision, Math.floor(blockMs), Math.floor(answerMs)),
        )
        if (Result.isFailure(news)) return yield* Effect.sleep(RETRY_MS)
        if (news.success.kind === "compacted") return yield* this.readAll()
        this.replica.applyEvents(news.success.events, news.success.revision)
        this.broughtUpTo(sent)
        // Every change wakes every node's watch: what comes in one go costs one request.
        yield* Effect.sleep(this.pauseMs())
      }),
    ),
  )
  private pauseMs(): number {
    const pauseMs = this.busy() ? this.spacingMs : IDLE_FACTOR * this.spacingMs
    return Math.min(pauseMs, LONGEST_PAUSE_SHARE * this.freshMs)
  }
  private readAll() {
    return Effect.gen({ self: this }, function* () {
      const read = yield* Effect.result(this.store.list(REPLICATED))
      if (Result.isFailure(read)) return yield* Effect.sleep(RETRY_MS)
      this.replica.loadSnapshot(read.success.items, read.success.revision)
    })
  }
}
