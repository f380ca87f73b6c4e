import assert from "node:assert/strict"
import { test } from "node:test"
import { Effect } from "effect"
import { TestClock } from "effect/testing"
import { BURST, LOOK_AGAIN_MS, onTestClock, REQUEST_MS, rateLimitOnTestClock } from "./builders.ts"

test("after a pause a burst goes at once, and the next request when there is capacity", () =>
  onTestClock(
    Effect.gen(function* () {
      const { sent, request } = yield* rateLimitOnTestClock
      yield* request(BURST + 1, 2)
      assert.equal(sent.count, BURST)
      yield* TestClock.adjust(REQUEST_MS - 1)
      assert.equal(sent.count, BURST)
      yield* TestClock.adjust(1 + LOOK_AGAIN_MS)
      assert.equal(sent.count, BURST + 1)
    }),
  ))

test("a request of an immediate priority goes at once, at the expense of those that queue", () =>
  onTestClock(
    Effect.gen(function* () {
      const { sent, request } = yield* rateLimitOnTestClock
      yield* request(BURST + 1, 2)
      yield* request(1, 1)
      assert.equal(sent.count, BURST + 1)
      yield* TestClock.adjust(2 * REQUEST_MS - 1)
      assert.equal(sent.count, BURST + 1)
      yield* TestClock.adjust(1 + LOOK_AGAIN_MS)
      assert.equal(sent.count, BURST + 2)
    }),
  ))

test("a rejection takes what is left of the burst and lowers the rate, once for several together", () =>
  onTestClock(
    Effect.gen(function* () {
      const { rateLimit, sent, request } = yield* rateLimitOnTestClock
      rateLimit.rejected()
      rateLimit.rejected()
      yield* request(1, 2)
      // At three quarters of the rate it takes 133 ms; at 9/16 of it, it would take 178.
      yield* TestClock.adjust(130)
      assert.equal(sent.count, 0)
      yield* TestClock.adjust(10)
      assert.equal(sent.count, 1)
    }),
  ))
