import { processClocks } from "@sorreltally/protocol"
import { Effect } from "effect"
import { TestClock } from "effect/testing"
import { type RequestPriority, SharedRateLimit } from "../src/shared-rate-limit.ts"

/** Requests a second of the only node, which uses 92% of them. */
const LIMIT = 10
/** So long it takes until there is capacity for one request more. */
export const REQUEST_MS = 1000 / (0.92 * LIMIT)
/** And a little longer until a request that waits for it looks again. */
export const LOOK_AGAIN_MS = 6
export const BURST = 5

/** The only node's rate limit, and how many requests it has let go. */
export const rateLimitOnTestClock = Effect.gen(function* () {
  const { monotonicNow: now } = yield* processClocks
  const rateLimit = new SharedRateLimit({ limit: LIMIT, nodes: 1, burst: BURST, now })
  const sent = { count: 0 }
  /** Makes requests of cost 1, each of which is let go when its turn comes. */
  const request = (count: number, priority: RequestPriority) =>
    Effect.gen(function* () {
      for (let i = 0; i < count; i++)
        yield* Effect.forkChild(
          Effect.andThen(
            rateLimit.acquire(1, priority),
            Effect.sync(() => sent.count++),
          ),
        )
      yield* TestClock.adjust(0)
    })
  return { rateLimit, sent, request }
})

/** Runs a test on a clock that only moves when told to. */
export const onTestClock = <A, E>(test: Effect.Effect<A, E>): Promise<A> =>
  Effect.runPromise(Effect.provide(test, TestClock.layer()))
