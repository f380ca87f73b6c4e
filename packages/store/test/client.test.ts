import assert from "node:assert/strict"
import { test } from "node:test"
import type { LeaseId } from "@sorreltally/protocol"
import { Effect, Fiber } from "effect"
import { TestClock } from "effect/testing"
import {
  makeClientWithResponses,
  runOnTestClock,
  type StubResponse,
  sampleWrite,
  stubResponse,
} from "./builders.ts"

/** Returns the error of a transaction that gets this reply, and the number of requests sent. */
const failCompareAndSwap = (reply: StubResponse) =>
  Effect.gen(function* () {
    const { client, requests } = yield* makeClientWithResponses(reply)
    const error = yield* Effect.flip(client.compareAndSwap([], [sampleWrite], 2))
    return { error, sent: requests.length }
  })

test("a transaction without a response has an unknown outcome and is not repeated", () =>
  runOnTestClock(
    Effect.gen(function* () {
      const { error, sent } = yield* failCompareAndSwap("none")
      assert.deepEqual([error.operation, error.outcome, error.status], ["compareAndSwap", "unknown", 0])
      assert.match(error.message, /compareAndSwap without a response/)
      assert.equal(sent, 1)
    }),
  ))

test("a transaction that the store refuses is reported as not applied", () =>
  runOnTestClock(
    Effect.gen(function* () {
      const { error, sent } = yield* failCompareAndSwap(stubResponse(503))
      assert.deepEqual([error.operation, error.outcome, error.status], ["compareAndSwap", "refused", 503])
      assert.match(error.message, /compareAndSwap refused with status 503/)
      assert.equal(sent, 1)
    }),
  ))

test("a transaction over the write rate is retried once there is capacity", () =>
  runOnTestClock(
    Effect.gen(function* () {
      const { client, requests } = yield* makeClientWithResponses(
        stubResponse(429),
        stubResponse(200, { epoch: 9 }),
      )
      const transaction = yield* Effect.forkChild(client.compareAndSwap([], [sampleWrite], 2))
      yield* TestClock.adjust(100)
      assert.equal(requests.length, 1)
      yield* TestClock.adjust(100)
      assert.equal(requests.length, 2)
      assert.deepEqual(yield* Fiber.join(transaction), { ok: true, revision: 9 })
    }),
  ))

test("a keep-alive of a lease that no longer exists reports it as expired", () =>
  runOnTestClock(
    Effect.gen(function* () {
      const { client } = yield* makeClientWithResponses(stubResponse(404))
      assert.equal(yield* client.keepAlive(7 as LeaseId, 500), false)
    }),
  ))
