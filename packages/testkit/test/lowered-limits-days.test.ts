import assert from "node:assert/strict"
import { test } from "node:test"
import { drawLoweredLimitsDay } from "../src/random-days/lowered-limits-day.ts"
import { scenarioOf } from "../src/random-days/random-day.ts"
import { readScenario } from "../src/scenarios/scenario.ts"

/** Seeds 1 to `DAYS` run here; `npm run sweep -- --lowered-limits` runs others. */
const DAYS = 24

let rejected = 0
for (let seed = 1; seed <= DAYS; seed++) {
  test(`random day ${seed} with limits lowered twice: no invariant breaks and all jobs end`, () => {
    const text = scenarioOf(drawLoweredLimitsDay(seed))
    const { failures, deployment } = readScenario(text).run()
    assert.deepEqual(failures, [], text)
    rejected += deployment.state.count.rejected
  })
}

test("on most days the lowered limits are noticed", () => {
  assert.ok(rejected >= DAYS, `${rejected} transactions rejected on ${DAYS} days`)
})
