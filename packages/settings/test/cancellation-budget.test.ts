import assert from "node:assert/strict"
import { test } from "node:test"
import {
  budgetHolds,
  budgetInWords,
  CLOCK_DRIFT,
  cancellationBudget,
  defaultOperators,
  leaseSettingsError,
} from "../src/index.ts"

const derived = defaultOperators().membership
const withTtl = (ttl: number) => ({ ...derived, "grant-ttl-ms": ttl })

test("usual settings leave room for the usual grant", () => {
  for (const [leaseS, cancelS] of [
    [27, 47],
    [30, 50],
    [20, 28],
  ] as const) {
    const budget = cancellationBudget({ leaseS, cancellationLimitS: cancelS }, derived)
    assert.equal(budget.leaseTtlMs, 6_000)
    assert.equal(budget.leaseMarginMs, 400)
    assert.equal(budget.watchFreshMs, 6_000)
    assert.equal(budgetHolds(budget), true)
  }
})

test("a tight cancel_s shortens grant and watch together", () => {
  const budget = cancellationBudget({ leaseS: 10, cancellationLimitS: 13 }, derived)
  // 13 s - 10.005 s - 0.25 s of reaction, on a clock that may run slow.
  assert.equal(budget.watchFreshMs, 2_743)
  assert.equal(budget.leaseTtlMs, 2_743)
  assert.equal(budget.leaseMarginMs, 183)
  assert.equal(Math.ceil(budget.worstCaseMs), 13_000)
})

test("wherever any workable grant serves, the derived one does, on the slowest clocks", () => {
  for (let leaseS = 1; leaseS <= 120; leaseS += 0.5) {
    for (let spareS = 1.9; spareS <= 30; spareS += 0.1) {
      const cancelS = leaseS + spareS
      const budget = cancellationBudget({ leaseS, cancellationLimitS: cancelS }, derived)
      const entitlementMs = Math.max(budget.watchFreshMs, budget.leaseTtlMs - budget.leaseMarginMs)
      const goneByMs = (entitlementMs + leaseS * 1000) * (1 + CLOCK_DRIFT)
      assert.ok(goneByMs < cancelS * 1000, `${leaseS}/${cancelS}: ${goneByMs} ms`)
      assert.equal(budgetHolds(budget), true)
      // The grant can't end on the service's clock before the margin has passed on ours.
      assert.ok(budget.leaseMarginMs > budget.leaseTtlMs * CLOCK_DRIFT)
    }
  }
})

test("settings of the platform that no grant can serve get the shortest workable one", () => {
  for (const cancelS of [5, 27, 28]) {
    const times = { leaseS: 27, cancellationLimitS: cancelS }
    const budget = cancellationBudget(times, derived)
    assert.equal(budget.leaseTtlMs, 1_500)
    assert.equal(budget.watchFreshMs, 1_500)
    assert.equal(budgetHolds(budget), false)
    assert.match(budgetInWords(times, budget), /beyond cancel_s/)
    assert.equal(leaseSettingsError(times, derived), null)
  }
})

test("operators' grants that break the sum are refused with the field and the sum", () => {
  const times = { leaseS: 27, cancellationLimitS: 47 }
  assert.equal(leaseSettingsError(times, withTtl(15_000)), null)
  assert.match(
    leaseSettingsError(times, withTtl(30_000)) ?? "",
    /membership grant-ttl-ms: 30000 ms .* entitlement 29\.60 s \+ lease 27\.00 s .* beyond cancel_s 47\.00 s; at most 20126 ms/,
  )
  assert.equal(leaseSettingsError(times, withTtl(20_126)), null)
  assert.match(
    leaseSettingsError({ leaseS: 10, cancellationLimitS: 13 }, withTtl(6_000)) ?? "",
    /at most 3143 ms/,
  )
  assert.match(
    leaseSettingsError({ leaseS: 27, cancellationLimitS: 20 }, withTtl(6_000)) ?? "",
    /at most 1900 ms/,
  )
  assert.match(
    leaseSettingsError(times, { "grant-ttl-ms": 6_000, "grant-margin-ms": 4_000 }) ?? "",
    /grant-margin-ms: a margin of 4000 ms leaves too little of a grant of 6000 ms/,
  )
})
