import assert from "node:assert/strict"
import { test } from "node:test"
import { StoreError } from "@sorreltally/store"
import { Effect } from "effect"
import { TestClock } from "effect/testing"
import { KEEP_ALIVE_MS, LEASE_ID, makeMembership, runOnTestClock, storeWith } from "./builders.ts"

const unavailable = new StoreError({ operation: "createLease", outcome: "refused", status: 503 })

test("a node whose keep-alive finds its lease expired loses its shards before the TTL has elapsed", () =>
  runOnTestClock(
    Effect.gen(function* () {
      let leaseRequests = 0
      const store = storeWith({
        keepAlive: () => Effect.succeed(false),
        createLease: () =>
          Effect.suspend(() => (leaseRequests++ === 0 ? Effect.succeed(LEASE_ID) : Effect.fail(unavailable))),
      })
      const { membership, ownedShards } = yield* makeMembership(store)
      yield* Effect.forkChild(membership.run)
      yield* TestClock.adjust(KEEP_ALIVE_MS - 1)
      assert.equal(membership.holdsLease(), true)
      assert.deepEqual([...ownedShards], membership.shards)
      yield* TestClock.adjust(1)
      assert.equal(membership.holdsLease(), false)
      assert.equal(ownedShards.size, 0)
    }),
  ))
