import { addMs, type MonotonicTime, NEVER } from "@sorreltally/protocol"
import { REPLICATED, type StoreClient, type StoreError } from "@sorreltally/store"
import { Deferred, Effect, Result } from "effect"
import type { Replica } from "./replica.ts"

type Waiter = Deferred.Deferred<void, StoreError>

/**
 * Makes sure that the mirror is not older than a question. One request to the
 * state service, *sent* after the questions came, serves all of them: its
 * answer brings the mirror up to the revision that it names, and whatever was
 * told to anybody before is not newer than that.
 */
export class ReadBarrier {
  private waiting: Array<Waiter> = []
  private busy = false
  private lastSent: MonotonicTime = NEVER

  constructor(
    private readonly store: StoreClient,
    private readonly replica: Replica,
    private readonly spacingMs: number,
    /** Told when the mirror has been brought up, and when that was asked for. */
    private readonly broughtUp: (sent: MonotonicTime) => void,
    private readonly now: () => MonotonicTime,
    private readonly fork: (effect: Effect.Effect<unknown>) => void,
  ) {}

  /** Until the mirror holds all that was so when this was called. */
  readonly wait: Effect.Effect<void, StoreError> = Effect.suspend(() =>
    Effect.gen({ self: this }, function* () {
      const waiter = yield* Deferred.make<void, StoreError>()
      this.waiting.push(waiter)
      if (!this.busy) {
        this.busy = true
        this.fork(this.serve())
      }
      return yield* Deferred.await(waiter)
    }),
  )

  private serve() {
    return Effect.gen({ self: this }, function* () {
      while (this.waiting.length > 0) {
        const pauseMs = addMs(this.lastSent, this.spacingMs) - this.now()
        if (pauseMs > 0) yield* Effect.sleep(pauseMs)
        const asked = this.waiting
        this.waiting = []
        this.lastSent = this.now()
        const done = yield* Effect.result(this.bringUp())
        if (Result.isSuccess(done)) this.broughtUp(this.lastSent)
        for (const waiter of asked)
          yield* Result.isSuccess(done)
            ? Deferred.succeed(waiter, undefined)
            : Deferred.fail(waiter, done.failure)
      }
      this.busy = false
    })
  }
  private bringUp(): Effect.Effect<void, StoreError> {
    return Effect.gen({ self: this }, function* () {
      const news = yield* this.store.watch(REPLICATED, this.replica.revision, 0)
      if (news.kind === "events") return this.replica.applyEvents(news.events, news.revision)
      const { items, revision } = yield* this.store.list(REPLICATED)
      this.replica.loadSnapshot(items, revision)
    })
  }
}
