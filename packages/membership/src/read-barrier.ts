/**
 * Linearizable reads from the replica. Sends the requests that bring the replica up to date with a query;
 * a request that was sent before the query arrived never satisfies it.
 */
import { addMs, EARLIEST_TIME, type MonotonicTime } from "@sorreltally/protocol"
import { REPLICATED_KEYS, type StoreClient, type StoreError } from "@sorreltally/store"
import { Deferred, Effect, Result } from "effect"
import type { Replica } from "./replica.ts"

type Waiter = Deferred.Deferred<void, StoreError>

/** Options of a read barrier. */
export interface ReadBarrierOptions {
  readonly store: StoreClient
  readonly replica: Replica
  /** Minimum time between two requests to the store. */
  readonly spacingMs: () => number
  /** Called when the replica contains every change that was durable when the request was sent. */
  readonly onCaughtUp: (sentAt: MonotonicTime) => void
  readonly now: () => MonotonicTime
  /** Starts a fiber that the node's scope owns. */
  readonly fork: (effect: Effect.Effect<unknown>) => void
}

/**
 * Ensures that the replica is at least as recent as a query. One request to the store, *sent* after the
 * queries arrived, serves all of them: its response brings the replica up to the revision that it names,
 * and no response that a client received before the queries arrived is based on a newer revision.
 */
export class ReadBarrier {
  private waiters: Array<Waiter> = []
  private isServing = false
  private lastSentAt: MonotonicTime = EARLIEST_TIME

  constructor(private readonly options: ReadBarrierOptions) {}

  /** Waits until the replica contains every change durable at the call; fails if the store request fails. */
  readonly wait: Effect.Effect<void, StoreError> = Effect.suspend(() =>
    Effect.gen({ self: this }, function* () {
      const waiter = yield* Deferred.make<void, StoreError>()
      this.waiters.push(waiter)
      if (!this.isServing) {
        this.isServing = true
        this.options.fork(this.serve())
      }
      return yield* Deferred.await(waiter)
    }),
  )

  private serve() {
    return Effect.gen({ self: this }, function* () {
      const { spacingMs, now, onCaughtUp } = this.options
      while (this.waiters.length > 0) {
        const pauseMs = addMs(this.lastSentAt, spacingMs()) - now()
        if (pauseMs > 0) yield* Effect.sleep(pauseMs)
        const batch = this.waiters
        this.waiters = []
        this.lastSentAt = now()
        const result = yield* Effect.result(this.catchUp())
        if (Result.isSuccess(result)) onCaughtUp(this.lastSentAt)
        for (const waiter of batch)
          yield* Result.isSuccess(result)
            ? Deferred.succeed(waiter, undefined)
            : Deferred.fail(waiter, result.failure)
      }
      this.isServing = false
    })
  }
  private catchUp(): Effect.Effect<void, StoreError> {
    return Effect.gen({ self: this }, function* () {
      const { store, replica } = this.options
      const watched = yield* store.watch(REPLICATED_KEYS, replica.revision, 0)
      if (watched.kind === "events") return replica.applyEvents(watched.events, watched.revision)
      const { items, revision } = yield* store.list(REPLICATED_KEYS)
      replica.loadSnapshot(items, revision)
    })
  }
}
