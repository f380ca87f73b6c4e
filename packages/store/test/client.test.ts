import assert from "node:assert/strict"
import { test } from "node:test"
import type { LeaseId, ShardName } from "@sorreltally/protocol"
import { Effect, Fiber } from "effect"
import { TestClock } from "effect/testing"
import { put } from "../src/model.ts"
import { keys } from "../src/records/keys.ts"
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

// Guards against a transaction that the store refuses for ever: it has to be built anew within lower limits.
test("a transaction that the store rejects is not sent again, and lowers the limits", () =>
  runOnTestClock(
    Effect.gen(function* () {
      const { client, requests } = yield* makeClientWithResponses(
        stubResponse(400, { error: "too large" }),
        stubResponse(200, { epoch: 9 }),
      )
      const limits = client.limits
      const write = put(keys.shard("deadline" as ShardName), { owner: null, incarnation: null })
      const operations = Array.from({ length: 6 }, () => write)
      const rejection = yield* Effect.flip(client.compareAndSwap([], operations, 1))
      const repetition = yield* Effect.flip(client.compareAndSwap([], operations, 1))
      assert.deepEqual([rejection.outcome, rejection.status], ["rejected", 400])
      assert.deepEqual([repetition.outcome, repetition.status], ["rejected", 0])
      assert.equal(requests.length, 1)
      assert.notEqual(client.limits, limits)
      const smaller = operations.slice(0, client.limits.maxOperations)
      assert.deepEqual(yield* client.compareAndSwap([], smaller, 1), { ok: true, revision: 9 })
    }),
  ))

test("a put with an expired lease is refused, not rejected: it succeeds with another lease", () =>
  runOnTestClock(
    Effect.gen(function* () {
      const { client, requests } = yield* makeClientWithResponses(
        stubResponse(400, { error: "no such lease" }),
        stubResponse(200, { epoch: 9 }),
      )
      const limits = client.limits
      const error = yield* Effect.flip(client.compareAndSwap([], [sampleWrite], 0))
      assert.equal(error.outcome, "refused")
      assert.equal((yield* client.compareAndSwap([], [sampleWrite], 0)).ok, true)
      assert.equal(requests.length, 2)
      assert.equal(client.limits, limits)
    }),
  ))
