import assert from "node:assert/strict"
import { test } from "node:test"
import { Effect } from "effect"
import { TestClock } from "effect/testing"
import type { SharedRateLimit } from "../src/shared-rate-limit.ts"
import {
  BURST_REQUESTS,
  RECHECK_MS,
  REQUEST_INTERVAL_MS,
  rateLimitOnTestClock,
  runOnTestClock,
} from "./builders.ts"

test("an idle node sends a burst at once, and the next request when there is capacity", () =>
  runOnTestClock(
    Effect.gen(function* () {
      const { sent, sendRequests } = yield* rateLimitOnTestClock
      yield* sendRequests(BURST_REQUESTS + 1, 2)
      assert.equal(sent.count, BURST_REQUESTS)
      yield* TestClock.adjust(REQUEST_INTERVAL_MS - 1)
      assert.equal(sent.count, BURST_REQUESTS)
      yield* TestClock.adjust(1 + RECHECK_MS)
      assert.equal(sent.count, BURST_REQUESTS + 1)
    }),
  ))

test("a request of an immediate priority is sent at once and delays the queued ones", () =>
  runOnTestClock(
    Effect.gen(function* () {
      const { sent, sendRequests } = yield* rateLimitOnTestClock
      yield* sendRequests(BURST_REQUESTS + 1, 2)
      yield* sendRequests(1, 1)
      assert.equal(sent.count, BURST_REQUESTS + 1)
      yield* TestClock.adjust(2 * REQUEST_INTERVAL_MS - 1)
      assert.equal(sent.count, BURST_REQUESTS + 1)
      yield* TestClock.adjust(1 + RECHECK_MS)
      assert.equal(sent.count, BURST_REQUESTS + 2)
    }),
  ))

test("rejections in quick succession empty the token bucket and lower the rate once", () =>
  runOnTestClock(
    Effect.gen(function* () {
      const { rateLimit, sent, sendRequests } = yield* rateLimitOnTestClock
      rateLimit.recordRejection()
      rateLimit.recordRejection()
      yield* sendRequests(1, 2)
      // One token takes 133 ms at 3/4 of the rate, and would take 178 ms at 9/16 (lowered twice).
      yield* TestClock.adjust(130)
      assert.equal(sent.count, 0)
      yield* TestClock.adjust(10)
      assert.equal(sent.count, 1)
    }),
  ))

/** Records a rejection every half second, for the given time; returns whether one disproved the limit. */
const rejectFor = (rateLimit: SharedRateLimit, seconds: number) =>
  Effect.gen(function* () {
    let isDisproved = false
    for (let i = 0; i < 2 * seconds; i++) {
      yield* TestClock.adjust(500)
      if (rateLimit.recordRejection()) isDisproved = true
    }
    return isDisproved
  })

test("rejections disprove the limit only if they go on while the nodes use much less than it", () =>
  runOnTestClock(
    Effect.gen(function* () {
      const { rateLimit } = yield* rateLimitOnTestClock
      assert.equal(yield* rejectFor(rateLimit, 3), false)
      yield* TestClock.adjust(10_000)
      rateLimit.setPeerUsage(9)
      assert.equal(yield* rejectFor(rateLimit, 20), false)
      rateLimit.setPeerUsage(2)
      assert.equal(yield* rejectFor(rateLimit, 6), true)
    }),
  ))

test("a lower limit applies at once", () =>
  runOnTestClock(
    Effect.gen(function* () {
      const { rateLimit, sent, sendRequests } = yield* rateLimitOnTestClock
      rateLimit.setLimit(1, 1)
      yield* sendRequests(3, 2)
      assert.equal(sent.count, 1)
      yield* TestClock.adjust(1_000 / 0.92 + RECHECK_MS)
      assert.equal(sent.count, 2)
    }),
  ))
