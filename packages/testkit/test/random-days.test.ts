import assert from "node:assert/strict"
import { test } from "node:test"
import { faultEffects } from "../src/faults/effects.ts"
import { drawDay, faultNames, pairsOf, scenarioOf } from "../src/random-days/random-day.ts"
import { readScenario } from "../src/scenarios/scenario.ts"

/** Other seeds are for sweeps: `npm run sweep`. */
const DAYS = 30
const MIN_SHARE_MET = 0.75

let drawn = 0
let met = 0
for (let seed = 1; seed <= DAYS; seed++) {
  test(`random day ${seed}: no invariant breaks and all work ends`, () => {
    const text = scenarioOf(drawDay(seed))
    const { failures, deployment } = readScenario(text).run()
    assert.deepEqual(failures, [], text)
    drawn += deployment.pairs.length
    met += deployment.pairs.filter((pair) => pair.met).length
  })
}

test("most second faults really met the effect of the first one", () => {
  assert.ok(met >= MIN_SHARE_MET * drawn, `${met} of ${drawn} pairs met`)
})

test("the days have every fault as a first one", () => {
  const days = Array.from({ length: DAYS }, (_, i) => drawDay(i + 1))
  const firsts = new Set(days.flatMap(pairsOf).map(({ first }) => first))
  assert.deepEqual([...firsts].sort(), [...faultNames].sort())
})

test("every pair and every effect comes up once the whole square of pairs is drawn", () => {
  const days = faultNames.length * faultNames.length
  const pairs = Array.from({ length: days }, (_, i) => drawDay(i + 1)).flatMap(pairsOf)
  const square = new Set(pairs.map(({ first, second }) => `${first} ${second}`))
  assert.equal(square.size, faultNames.length * faultNames.length)
  assert.deepEqual(new Set(pairs.map(({ effect }) => effect)), new Set(faultEffects))
})

test("a second fault begins inside the window of an effect of its first one", () => {
  for (let seed = 1; seed <= 200; seed++) {
    const { faults } = drawDay(seed)
    for (const { meets, atS } of faults) {
      if (meets === null) continue
      const first = faults.filter((fault) => fault.atS <= atS && fault.meets === null)
      assert.ok(first.length > 0, `seed ${seed}: nothing begins before ${meets.second}`)
    }
  }
})

test("a simulated day repeats exactly", () => {
  const once = readScenario(scenarioOf(drawDay(3))).run().deployment
  const again = readScenario(scenarioOf(drawDay(3))).run().deployment
  assert.deepEqual(once.logged, again.logged)
  assert.equal(once.invariants.starts, again.invariants.starts)
})
