import assert from "node:assert/strict"
import { test } from "node:test"
import { Effect, Fiber } from "effect"
import { TestClock } from "effect/testing"
import { NodeKeyExistsError } from "../src/node-lease.ts"
import {
  KEEP_ALIVE_MS,
  LEASE_MARGIN_MS,
  LEASE_TTL_MS,
  makeNodeLease,
  NODE,
  runOnTestClock,
  storeWith,
} from "./builders.ts"

test("a join while the node key exists fails with a typed error and leaves no valid lease", () =>
  runOnTestClock(
    Effect.gen(function* () {
      const store = storeWith({
        compareAndSwap: () => Effect.succeed({ ok: false, failedKeys: ["s/live/a"] }),
      })
      const { nodeLease, now } = yield* makeNodeLease(store)
      const error = yield* Effect.flip(nodeLease.join([]))
      assert.ok(error instanceof NodeKeyExistsError)
      assert.equal(error.node, NODE)
      assert.equal(nodeLease.isValid(now()), false)
    }),
  ))

test("a lease is valid for its TTL minus the margin, counted from the request that created it", () =>
  runOnTestClock(
    Effect.gen(function* () {
      const { nodeLease, now } = yield* makeNodeLease(storeWith())
      yield* nodeLease.join([])
      yield* TestClock.adjust(LEASE_TTL_MS - LEASE_MARGIN_MS - 1)
      assert.equal(nodeLease.isValid(now()), true)
      yield* TestClock.adjust(1)
      assert.equal(nodeLease.isValid(now()), false)
    }),
  ))

test("renewal returns at the next keep-alive after the lease has expired", () =>
  runOnTestClock(
    Effect.gen(function* () {
      const { nodeLease, now } = yield* makeNodeLease(storeWith({ keepAlive: () => Effect.succeed(false) }))
      yield* nodeLease.join([])
      const joinedAt = now()
      const renewal = yield* Effect.forkChild(nodeLease.renew)
      yield* TestClock.adjust(KEEP_ALIVE_MS)
      yield* Fiber.join(renewal)
      assert.equal(now() - joinedAt, KEEP_ALIVE_MS)
    }),
  ))
