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

const derivedNodeLease = defaultOperators().membership
const withTtl = (nodeLeaseTtlMs: number) => ({ ...derivedNodeLease, nodeLeaseTtlMs })
const times = (leaseS: number, cancellationLimitS: number): WorkerTimes => ({ leaseS, cancellationLimitS })
const check = (workers: WorkerTimes, operators: NodeLeaseSettings) =>
  outcomeOf(checkNodeLease(workers, operators, "o"))

describe("the derived node lease", () => {
  it("has its default times if the platform's settings allow them", () => {
    for (const workers of [times(27, 47), times(30, 50), times(20, 28)]) {
      const budget = cancellationBudget(workers, derivedNodeLease)
      assert.equal(budget.leaseTtlMs, 6_000)
      assert.equal(budget.leaseMarginMs, 400)
      assert.equal(budget.watchFreshMs, 6_000)
      assert.equal(budgetHolds(budget), true)
    }
  })

  it("is shortened together with the watch freshness by a short cancel_s", () => {
    const budget = cancellationBudget(times(10, 13), derivedNodeLease)
    // 13 s - 10.005 s agent lease - 0.25 s worker reaction, divided by 1.0005 for a slow clock.
    assert.equal(budget.watchFreshMs, 2_743)
    assert.equal(budget.leaseTtlMs, 2_743)
    assert.equal(budget.leaseMarginMs, 183)
    assert.equal(Math.ceil(budget.worstCaseMs), 13_000)
  })

  it("keeps within cancel_s on the slowest clocks if any usable node lease does", () => {
    for (let leaseS = 1; leaseS <= 120; leaseS += 0.5) {
      for (let spareS = 1.9; spareS <= 30; spareS += 0.1) {
        const cancelS = leaseS + spareS
        const budget = cancellationBudget(times(leaseS, cancelS), derivedNodeLease)
        const validityMs = Math.max(budget.watchFreshMs, budget.leaseTtlMs - budget.leaseMarginMs)
        const latestExpiryMs = (validityMs + leaseS * 1000) * (1 + CLOCK_DRIFT)
        assert.ok(latestExpiryMs < cancelS * 1000, `${leaseS}/${cancelS}: ${latestExpiryMs} ms`)
        assert.equal(budgetHolds(budget), true)
        // The node lease must not expire on the store's clock before the validity ends on the owner's clock.
        assert.ok(budget.leaseMarginMs > budget.leaseTtlMs * CLOCK_DRIFT)
      }
    }
  })

  it("is the shortest usable one if the platform's settings allow none", () => {
    for (const cancelS of [5, 27, 28]) {
      const workers = times(27, cancelS)
      const budget = cancellationBudget(workers, derivedNodeLease)
      assert.equal(budget.leaseTtlMs, 1_500)
      assert.equal(budget.watchFreshMs, 1_500)
      assert.equal(budgetHolds(budget), false)
      assert.match(describeBudget(workers, budget), /beyond cancel_s/)
      assert.equal(check(workers, derivedNodeLease), "accepted")
    }
  })
})

describe("the operators' node lease", () => {
  it("is refused with the setting, the sum and the limit if it exceeds the budget", () => {
    const workers = times(27, 47)
    assert.equal(check(workers, withTtl(15_000)), "accepted")
    assert.equal(
      check(workers, withTtl(30_000)),
      "o: membership grant-ttl-ms: 30000 ms is too long for facts.workers.cancel_s:" +
        " lease validity 29.60 s + agent lease 27.00 s + clock drift and worker reaction = 56.88 s," +
        " beyond cancel_s = 47.00 s; expected at most 20126 ms, or unset",
    )
    assert.equal(check(workers, withTtl(20_126)), "accepted")
    assert.match(check(times(10, 13), withTtl(6_000)), /at most 3143 ms/)
    assert.match(check(times(27, 20), withTtl(6_000)), /at most 1900 ms/)
  })

  it("is refused if its margin is longer than half of its TTL", () => {
    assert.match(
      check(times(27, 47), { nodeLeaseTtlMs: 6_000, nodeLeaseMarginMs: 4_000 }),
      /grant-margin-ms: 4000 ms is too long for grant-ttl-ms 6000 ms; expected at most half of it, 3000 ms/,
    )
  })
})
