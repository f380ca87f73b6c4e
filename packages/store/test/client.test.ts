import assert from "node:assert/strict"
import { test } from "node:test"
import type { LeaseId } from "@sorreltally/protocol"
import { Effect, Fiber } from "effect"
import { TestClock } from "effect/testing"
import { clientWith, onTestClock, type Response, response, write } from "./builders.ts"

/** How a transaction fails that gets this response, and after how many requests. */
const failureAfter = (only: Response) =>
  Effect.gen(function* () {
    const { client, requests } = yield* clientWith(only)
    const error = yield* Effect.flip(client.compareAndSwap([], [write], 2))
    return { error, sent: requests.length }
  })

test("a transaction without a response has an unknown outcome and is not repeated", () =>
  onTestClock(
    Effect.gen(function* () {
      const { error, sent } = yield* failureAfter("none")
      assert.deepEqual([error.operation, error.outcome, error.status], ["compareAndSwap", "unknown", 0])
      assert.match(error.message, /compareAndSwap without a response/)
      assert.equal(sent, 1)
    }),
  ))

test("a transaction that the store refuses is known not to have been applied", () =>
  onTestClock(
    Effect.gen(function* () {
      const { error, sent } = yield* failureAfter(response(503))
      assert.deepEqual([error.operation, error.outcome, error.status], ["compareAndSwap", "refused", 503])
      assert.match(error.message, /compareAndSwap refused with status 503/)
      assert.equal(sent, 1)
    }),
  ))

test("a transaction over the rate is sent again once there is capacity", () =>
  onTestClock(
    Effect.gen(function* () {
      const { client, requests } = yield* clientWith(response(429), response(200, { epoch: 9 }))
      const transaction = yield* Effect.forkChild(client.compareAndSwap([], [write], 2))
      yield* TestClock.adjust(100)
      assert.equal(requests.length, 1)
      yield* TestClock.adjust(100)
      assert.equal(requests.length, 2)
      assert.deepEqual(yield* Fiber.join(transaction), { ok: true, revision: 9 })
    }),
  ))

test("a keep-alive of a lease that is gone says that it has expired", () =>
  onTestClock(
    Effect.gen(function* () {
      const { client } = yield* clientWith(response(404))
      assert.equal(yield* client.keepAlive(7 as LeaseId, 500), false)
    }),
  ))
