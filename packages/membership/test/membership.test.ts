import assert from "node:assert/strict"
import { test } from "node:test"
import { StoreError } from "@sorreltally/store"
import { Effect } from "effect"
import { TestClock } from "effect/testing"
import { KEEP_ALIVE_MS, LEASE, membershipOn, onTestClock, storeWith } from "./builders.ts"

const unavailable = new StoreError({ operation: "createLease", outcome: "refused", status: 503 })

test("a node whose lease has expired loses its shards and its right to act before the TTL is over", () =>
  onTestClock(
    Effect.gen(function* () {
      let leases = 0
      const store = storeWith({
        keepAlive: () => Effect.succeed(false),
        createLease: () =>
          Effect.suspend(() => (leases++ === 0 ? Effect.succeed(LEASE) : Effect.fail(unavailable))),
      })
      const { membership, owned } = yield* membershipOn(store)
      yield* Effect.forkChild(membership.run)
      yield* TestClock.adjust(KEEP_ALIVE_MS - 1)
      assert.equal(membership.holdsLease(), true)
      assert.deepEqual([...owned], membership.shards)
      yield* TestClock.adjust(1)
      assert.equal(membership.holdsLease(), false)
      assert.equal(owned.size, 0)
    }),
  ))
