import assert from "node:assert/strict"
import { test } from "node:test"
import { Effect, Fiber } from "effect"
import { TestClock } from "effect/testing"
import { NodeKeyExistsError } from "../src/node-lease.ts"
import {
  KEEP_ALIVE_MS,
  LEASE_MARGIN_MS,
  LEASE_TTL_MS,
  NODE,
  nodeLeaseOn,
  onTestClock,
  storeWith,
} from "./builders.ts"

test("a join while the node key exists fails with a typed error, and no lease is held", () =>
  onTestClock(
    Effect.gen(function* () {
      const store = storeWith({
        compareAndSwap: () => Effect.succeed({ ok: false, failedKeys: ["s/live/a"] }),
      })
      const { nodeLease, now } = yield* nodeLeaseOn(store)
      const error = yield* Effect.flip(nodeLease.join([]))
      assert.ok(error instanceof NodeKeyExistsError)
      assert.equal(error.node, NODE)
      assert.equal(nodeLease.holds(now()), false)
    }),
  ))

test("a lease is held until its TTL less the margin after the request that made it", () =>
  onTestClock(
    Effect.gen(function* () {
      const { nodeLease, now } = yield* nodeLeaseOn(storeWith())
      yield* nodeLease.join([])
      yield* TestClock.adjust(LEASE_TTL_MS - LEASE_MARGIN_MS - 1)
      assert.equal(nodeLease.holds(now()), true)
      yield* TestClock.adjust(1)
      assert.equal(nodeLease.holds(now()), false)
    }),
  ))

test("an expired lease ends its renewal at the next keep-alive", () =>
  onTestClock(
    Effect.gen(function* () {
      const { nodeLease, now } = yield* nodeLeaseOn(storeWith({ keepAlive: () => Effect.succeed(false) }))
      yield* nodeLease.join([])
      const joinedAt = now()
      const renewal = yield* Effect.forkChild(nodeLease.renew)
      yield* TestClock.adjust(KEEP_ALIVE_MS)
      yield* Fiber.join(renewal)
      assert.equal(now() - joinedAt, KEEP_ALIVE_MS)
    }),
  ))
