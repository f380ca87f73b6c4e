/** What has been proven stays proven: neither scenarios nor their guards become fewer. */
import assert from "node:assert/strict"
import { readdirSync, readFileSync } from "node:fs"
import { it } from "node:test"
import { readScenario } from "../src/scenarios/scenario.ts"

// As many as there were before names and layout of the sources were changed. Guards name
// source text, so that a rename can break one; dropping it would be the easy way out.
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
