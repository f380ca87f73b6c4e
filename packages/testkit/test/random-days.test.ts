import assert from "node:assert/strict"
import { test } from "node:test"
import { faultEffects } from "../src/faults/effects.ts"
import { drawDay, faultNames, pairsOf, scenarioOf } from "../src/random-days/random-day.ts"
import { readScenario } from "../src/scenarios/scenario.ts"

/** Seeds 1 to `DAYS` run here; `npm run sweep` runs others. */
const DAYS = 30
const MIN_SHARE_MET = 0.75

let drawnPairCount = 0
let metPairs = 0
for (let seed = 1; seed <= DAYS; seed++) {
  test(`random day ${seed}: no invariant breaks and all jobs end`, () => {
    const text = scenarioOf(drawDay(seed))
    const { failures, deployment } = readScenario(text).run()
    assert.deepEqual(failures, [], text)
    drawnPairCount += deployment.pairs.length
    metPairs += deployment.pairs.filter((pair) => pair.met).length
  })
}

test("most second faults meet the effect of the first one", () => {
  assert.ok(metPairs >= MIN_SHARE_MET * drawnPairCount, `${metPairs} of ${drawnPairCount} pairs met`)
})

test("every fault is the first one of some pair", () => {
  const days = Array.from({ length: DAYS }, (_, i) => drawDay(i + 1))
  const firstFaults = new Set(days.flatMap(pairsOf).map(({ first }) => first))
  assert.deepEqual([...firstFaults].sort(), [...faultNames].sort())
})

test("n * n days with n faults contain every pair and every effect", () => {
  const dayCount = faultNames.length * faultNames.length
  const pairs = Array.from({ length: dayCount }, (_, i) => drawDay(i + 1)).flatMap(pairsOf)
  const drawnPairs = new Set(pairs.map(({ first, second }) => `${first} ${second}`))
  assert.equal(drawnPairs.size, faultNames.length * faultNames.length)
  assert.deepEqual(new Set(pairs.map(({ effect }) => effect)), new Set(faultEffects))
})

test("a first fault has begun before every second fault", () => {
  for (let seed = 1; seed <= 200; seed++) {
    const { faults } = drawDay(seed)
    for (const { pair, atS } of faults) {
      if (pair === null) continue
      const earlierFaults = faults.filter((fault) => fault.atS <= atS && fault.pair === null)
      assert.ok(earlierFaults.length > 0, `seed ${seed}: nothing begins before ${pair.second}`)
    }
  }
})

test("a simulated day is deterministic", () => {
  const firstRun = readScenario(scenarioOf(drawDay(3))).run().deployment
  const secondRun = readScenario(scenarioOf(drawDay(3))).run().deployment
  assert.deepEqual(firstRun.logged, secondRun.logged)
  assert.equal(firstRun.invariants.starts, secondRun.invariants.starts)
})
