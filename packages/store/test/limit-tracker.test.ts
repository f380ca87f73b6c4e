import assert from "node:assert/strict"
import { describe, it } from "node:test"
import type { MonotonicTime } from "@sorreltally/protocol"
import { type LimitChangeCause, LimitTracker } from "../src/limit-tracker.ts"
import { keepsLimits, type StoreLimits, storeLimits } from "../src/limits.ts"
import type { TransactionSize } from "../src/transaction-size.ts"

const configured = storeLimits({ requestsPerSecond: 150, writesPerSecond: 15, valueKb: 8, maxOperations: 8 })
const announced = storeLimits({ requestsPerSecond: 150, writesPerSecond: 10, valueKb: 2, maxOperations: 4 })

const sizeOf = (size: Partial<TransactionSize>): TransactionSize => ({
  operations: 1,
  conditions: 2,
  largestValueBytes: 100,
  totalBytes: 1_000,
  ...size,
})

/** Transactions of all kinds of sizes. */
const sizes = [1, 2, 3, 8].flatMap((operations) =>
  [0, 8, 9, 32].flatMap((conditions) =>
    [0, 1_000, 1_025, 8_192].map((largestValueBytes) => ({ operations, conditions, largestValueBytes })),
  ),
)

const trackerWith = (announcedLimits: StoreLimits | null) => {
  const changes: Array<LimitChangeCause> = []
  const clock = { ms: 0 }
  const tracker = new LimitTracker({
    configured,
    announced: announcedLimits,
    now: () => clock.ms as MonotonicTime,
    onChanged: (_, cause) => changes.push(cause),
  })
  const admits = (size: Partial<TransactionSize>, text = "") => tracker.admits(sizeOf(size), () => text)
  const reject = (size: Partial<TransactionSize>, text = "") =>
    tracker.recordRejection(sizeOf(size), () => text)
  return { tracker, changes, clock, admits, reject }
}

describe("after a rejection", () => {
  it("the announced limits apply together, the rate too", () => {
    const { tracker, changes, reject } = trackerWith(announced)
    assert.equal(reject({ conditions: 25 }), true)
    assert.deepEqual(tracker.current, announced)
    assert.deepEqual(changes, ["announced"])
  })

  // Guards against a transaction that is sent again for ever: whatever was rejected is not admitted again.
  it("no transaction of the same size is admitted, whatever its size is", () => {
    for (const announcedLimits of [announced, null])
      for (const size of sizes) {
        const { admits, reject } = trackerWith(announcedLimits)
        // Limits fall several times: what was accepted before proves nothing.
        for (let round = 0; round < 4; round++) {
          reject(size, "the same")
          assert.equal(admits(size, "the same"), false, JSON.stringify({ announcedLimits, ...size }))
        }
      }
  })

  it("only the limits that the store has not proved are lowered without an announcement", () => {
    const { tracker, reject } = trackerWith(null)
    tracker.recordAcceptance(sizeOf({ largestValueBytes: 6_000 }))
    reject({ conditions: 30, largestValueBytes: 5_000 })
    assert.equal(tracker.current.maxOperations, 4)
    assert.equal(tracker.current.valueKb, 8)
  })

  it("another reduction is noticed although the store accepted as large transactions before", () => {
    const { tracker, reject } = trackerWith(announced)
    reject({ conditions: 25 })
    tracker.recordAcceptance(sizeOf({ conditions: 16 }))
    reject({ conditions: 16 })
    assert.equal(tracker.current.maxConditions, 8)
  })

  it("transactions that were under way at the same time don't lower the limits further", () => {
    const { tracker, changes, reject } = trackerWith(announced)
    reject({ conditions: 25 })
    reject({ conditions: 24 })
    reject({ largestValueBytes: 3_000 })
    assert.deepEqual(tracker.current, announced)
    assert.equal(changes.length, 1)
  })

  it("of a small transaction, only that one is refused from then on", () => {
    const { tracker, admits, reject } = trackerWith(null)
    assert.equal(reject({}, "malformed"), false)
    assert.deepEqual(tracker.current, configured)
    assert.equal(admits({}, "malformed"), false)
    assert.equal(admits({}, "another"), true)
  })
})

describe("the write rate", () => {
  it("falls with what was in use, and rises again to the stated one after a time without rejections", () => {
    const { tracker, clock, changes } = trackerWith(null)
    tracker.recordRateRejection()
    tracker.lowerWriteRate(0.6)
    assert.equal(tracker.current.writesPerSecond, 9)
    clock.ms = 29_000
    tracker.recordAcceptance(sizeOf({}))
    assert.equal(tracker.current.writesPerSecond, 9)
    for (clock.ms = 31_000; clock.ms < 300_000; clock.ms += 5_000) tracker.recordAcceptance(sizeOf({}))
    assert.equal(tracker.current.writesPerSecond, 15)
    assert.deepEqual(new Set(changes), new Set(["inferred", "recovered"]))
  })

  it("limits the operations of one transaction to a second's worth", () => {
    const slow = storeLimits({ ...configured, writesPerSecond: 3 })
    assert.equal(slow.maxWrites, 3)
    assert.equal(keepsLimits(sizeOf({ operations: 8 }), slow), true)
  })
})
