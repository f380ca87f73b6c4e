import assert from "node:assert/strict"
import { test } from "node:test"
import { readScenario } from "../src/scenarios/scenario.ts"

// Guards against a scenario that seems to play several seeds and plays one.
test("an entry that takes one number refuses several, and says where", () => {
  assert.throws(() => readScenario('(scenario "x"\n  (seed 1 2 3))'), /line 2: seed takes one number, not 3/)
  assert.throws(() => readScenario('(scenario "x" (until))'), /line 1: until takes one number, not 0/)
  assert.equal(readScenario('(scenario "x" (seeds 1 2 3) (until 10))').name, "x")
})
