import assert from "node:assert/strict"
import { test } from "node:test"
import type { DayResult } from "../src/random-days/day-run.ts"
import { drawDay, type RandomDay, scenarioOf } from "../src/random-days/random-day.ts"
import { shrink } from "../src/random-days/shrink.ts"

const MAX_RUNS = 500
const resultOf = ({ seed }: RandomDay, failures: ReadonlyArray<string>): DayResult => ({
  seed,
  failures,
  pairs: [],
  taskStarts: 0,
  durationMs: 0,
})

test("a failing day is reduced to the events that are needed for its failure", () => {
  const day = drawDay(1)
  const fault = day.faults[2]!
  const cancelled = day.users.find(({ action }) => action === "cancel")!
  const run = (candidate: RandomDay) => {
    const fails = candidate.faults.includes(fault) && candidate.users.includes(cancelled)
    // Times and job ids differ from run to run, and smaller days may fail in other ways.
    const count = candidate.users.length
    return resultOf(candidate, fails ? [`quota at ${count}.5 s: run-00000${count % 10}/1`] : ["went_back"])
  }
  const smallest = shrink(day, run(day), run, MAX_RUNS)
  assert.deepEqual(smallest.faults, [fault])
  assert.deepEqual(
    smallest.users.map(({ action, job }) => [action, job]),
    [
      ["submit", cancelled.job],
      ["cancel", cancelled.job],
    ],
  )
  // Jobs are numbered by their position among those that are left.
  assert.match(scenarioOf(smallest), /\(cancel 0\)/)
})
