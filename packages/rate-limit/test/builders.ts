import { processClocks } from "@sorreltally/protocol"
import { Effect } from "effect"
import { TestClock } from "effect/testing"
import { type RequestPriority, SharedRateLimit } from "../src/shared-rate-limit.ts"

/** Limit on requests per second; the single node uses up to 92% of it. */
const LIMIT_PER_SECOND = 10
/** Time until there is capacity for one more request. */
export const REQUEST_INTERVAL_MS = 1000 / (0.92 * LIMIT_PER_SECOND)
/** Additional time within which a queued request checks for capacity again. */
export const RECHECK_MS = 6
export const BURST_REQUESTS = 5

/** The rate limit of a single node, and the number of requests it has admitted. */
export const rateLimitOnTestClock = Effect.gen(function* () {
  const { monotonicNow: now } = yield* processClocks
  const rateLimit = new SharedRateLimit({ limit: LIMIT_PER_SECOND, nodeCount: 1, burst: BURST_REQUESTS, now })
  const sent = { count: 0 }
  /** Queues requests of cost 1 and counts each one when it is admitted. */
  const sendRequests = (count: number, priority: RequestPriority) =>
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
  return { rateLimit, sent, sendRequests }
})

/** Runs a test on a clock that the test advances explicitly. */
export const runOnTestClock = <A, E>(test: Effect.Effect<A, E>): Promise<A> =>
  Effect.runPromise(Effect.provide(test, TestClock.layer()))
