import assert from "node:assert/strict"
import { test } from "node:test"
import { readScenario } from "../src/scenarios/scenario.ts"

// Guards against a scenario that seems to run on several seeds and runs on one.
test("an entry that takes one number refuses several, with the line and the number found", () => {
  assert.throws(
    () => readScenario('(scenario "x"\n  (seed 1 2 3))'),
    /line 2: seed takes one number, found 3/,
  )
  assert.throws(() => readScenario('(scenario "x" (until))'), /line 1: until takes one number, found 0/)
  assert.equal(readScenario('(scenario "x" (seeds 1 2 3) (until 10))').name, "x")
})
