/**
 * Linearizable reads from the replica. Owns the requests that bring the replica up to a query's moment;
 * never lets a query pass on a request that was sent before the query arrived.
 */
import { addMs, EARLIEST_TIME, type MonotonicTime } from "@sorreltally/protocol"
import { REPLICATED, type StoreClient, type StoreError } from "@sorreltally/store"
import { Deferred, Effect, Result } from "effect"
import type { Replica } from "./replica.ts"

type Waiter = Deferred.Deferred<void, StoreError>

/** What a read barrier needs. */
export interface ReadBarrierOptions {
  readonly store: StoreClient
  readonly replica: Replica
  /** The least time between two requests to the store. */
  readonly spacingMs: number
  /** Called when the replica holds all that was durable at that moment, at which its request was sent. */
  readonly caughtUp: (sent: MonotonicTime) => void
  readonly now: () => MonotonicTime
  /** Starts a fiber that the node's scope owns. */
  readonly fork: (effect: Effect.Effect<unknown>) => void
}

/**
 * Makes sure that the replica is not older than a query. One request to the
 * store, *sent* after the queries arrived, serves all of them: its response
 * brings the replica up to the revision that it names, and whatever anybody was
 * answered before is not newer than that.
 */
export class ReadBarrier {
  private waiting: Array<Waiter> = []
  private isServing = false
  private lastSent: MonotonicTime = EARLIEST_TIME

  constructor(private readonly options: ReadBarrierOptions) {}

  /** Until the replica holds all that was durable when this was begun; fails when the store can't say. */
  readonly wait: Effect.Effect<void, StoreError> = Effect.suspend(() =>
    Effect.gen({ self: this }, function* () {
      const waiter = yield* Deferred.make<void, StoreError>()
      this.waiting.push(waiter)
      if (!this.isServing) {
        this.isServing = true
        this.options.fork(this.serve())
      }
      return yield* Deferred.await(waiter)
    }),
  )

  private serve() {
    return Effect.gen({ self: this }, function* () {
      const { spacingMs, now, caughtUp } = this.options
      while (this.waiting.length > 0) {
        const pauseMs = addMs(this.lastSent, spacingMs) - now()
        if (pauseMs > 0) yield* Effect.sleep(pauseMs)
        const served = this.waiting
        this.waiting = []
        this.lastSent = now()
        const done = yield* Effect.result(this.catchUp())
        if (Result.isSuccess(done)) caughtUp(this.lastSent)
        for (const waiter of served)
          yield* Result.isSuccess(done)
            ? Deferred.succeed(waiter, undefined)
            : Deferred.fail(waiter, done.failure)
      }
      this.isServing = false
    })
  }
  private catchUp(): Effect.Effect<void, StoreError> {
    return Effect.gen({ self: this }, function* () {
      const { store, replica } = this.options
      const watched = yield* store.watch(REPLICATED, replica.revision, 0)
      if (watched.kind === "events") return replica.applyEvents(watched.events, watched.revision)
      const { items, revision } = yield* store.list(REPLICATED)
      replica.loadSnapshot(items, revision)
    })
  }
}
