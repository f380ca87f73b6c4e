/** Neither scenarios nor their guards may become fewer. */
import assert from "node:assert/strict"
import { readdirSync, readFileSync } from "node:fs"
import { it } from "node:test"
import { readScenario } from "../src/scenarios/scenario.ts"

// The numbers before names and layout of the sources were changed. A guard names source text, so that a
// rename can break it; it has to be adapted then, not removed.
const MIN_SCENARIOS = 84
const MIN_GUARDS = 76

const scenarios = readdirSync("scenarios").map((file) =>
  readScenario(readFileSync(`scenarios/${file}`, "utf8")),
)

it(`there are at least ${MIN_SCENARIOS} scenarios`, () => {
  assert.ok(scenarios.length >= MIN_SCENARIOS, `${scenarios.length}`)
})
it(`scenarios have at least ${MIN_GUARDS} guards`, () => {
  const guards = scenarios.reduce((sum, scenario) => sum + scenario.guards.length, 0)
  assert.ok(guards >= MIN_GUARDS, `${guards}`)
})
