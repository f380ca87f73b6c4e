import assert from "node:assert/strict"
import { describe, it } from "node:test"
import {
  budgetHolds,
  CLOCK_DRIFT,
  cancellationBudget,
  checkNodeLease,
  defaultOperators,
  describeBudget,
  type NodeLeaseSettings,
  type WorkerTimes,
} from "../src/index.ts"
import { outcomeOf } from "./builders.ts"

const derived = defaultOperators().membership
const withTtl = (nodeLeaseTtlMs: number) => ({ ...derived, nodeLeaseTtlMs })
const times = (leaseS: number, cancellationLimitS: number): WorkerTimes => ({ leaseS, cancellationLimitS })
const check = (workers: WorkerTimes, operators: NodeLeaseSettings) =>
  outcomeOf(checkNodeLease(workers, operators, "o"))

describe("the derived node lease", () => {
  it("has its usual times where the usual settings leave room for them", () => {
    for (const workers of [times(27, 47), times(30, 50), times(20, 28)]) {
      const budget = cancellationBudget(workers, derived)
      assert.equal(budget.leaseTtlMs, 6_000)
      assert.equal(budget.leaseMarginMs, 400)
      assert.equal(budget.watchFreshMs, 6_000)
      assert.equal(budgetHolds(budget), true)
    }
  })

  it("is shortened together with the watch by a tight cancel_s", () => {
    const budget = cancellationBudget(times(10, 13), derived)
    // 13 s - 10.005 s - 0.25 s of reaction, on a clock that may run slow.
    assert.equal(budget.watchFreshMs, 2_743)
    assert.equal(budget.leaseTtlMs, 2_743)
    assert.equal(budget.leaseMarginMs, 183)
    assert.equal(Math.ceil(budget.worstCaseMs), 13_000)
  })

  it("keeps cancel_s on the slowest clocks wherever any usable node lease does", () => {
    for (let leaseS = 1; leaseS <= 120; leaseS += 0.5) {
      for (let spareS = 1.9; spareS <= 30; spareS += 0.1) {
        const cancelS = leaseS + spareS
        const budget = cancellationBudget(times(leaseS, cancelS), derived)
        const validityMs = Math.max(budget.watchFreshMs, budget.leaseTtlMs - budget.leaseMarginMs)
        const goneByMs = (validityMs + leaseS * 1000) * (1 + CLOCK_DRIFT)
        assert.ok(goneByMs < cancelS * 1000, `${leaseS}/${cancelS}: ${goneByMs} ms`)
        assert.equal(budgetHolds(budget), true)
        // The node lease can't expire on the store's clock before the margin has passed on ours.
        assert.ok(budget.leaseMarginMs > budget.leaseTtlMs * CLOCK_DRIFT)
      }
    }
  })

  it("is the shortest usable one where the platform's settings allow none", () => {
    for (const cancelS of [5, 27, 28]) {
      const workers = times(27, cancelS)
      const budget = cancellationBudget(workers, derived)
      assert.equal(budget.leaseTtlMs, 1_500)
      assert.equal(budget.watchFreshMs, 1_500)
      assert.equal(budgetHolds(budget), false)
      assert.match(describeBudget(workers, budget), /beyond cancel_s/)
      assert.equal(check(workers, derived), "accepted")
    }
  })
})

describe("the operators' node lease", () => {
  it("is refused with setting, sum and limit where it breaks the budget", () => {
    const workers = times(27, 47)
    assert.equal(check(workers, withTtl(15_000)), "accepted")
    assert.match(
      check(workers, withTtl(30_000)),
      /o: membership grant-ttl-ms: 30000 ms .* entitlement 29\.60 s \+ lease 27\.00 s .* beyond cancel_s 47\.00 s; at most 20126 ms/,
    )
    assert.equal(check(workers, withTtl(20_126)), "accepted")
    assert.match(check(times(10, 13), withTtl(6_000)), /at most 3143 ms/)
    assert.match(check(times(27, 20), withTtl(6_000)), /at most 1900 ms/)
  })

  it("is refused where its margin takes more than half of it", () => {
    assert.match(
      check(times(27, 47), { nodeLeaseTtlMs: 6_000, nodeLeaseMarginMs: 4_000 }),
      /grant-margin-ms: a margin of 4000 ms leaves too little of a grant of 6000 ms/,
    )
  })
})
