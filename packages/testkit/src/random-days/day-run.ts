/** Runs one random day as a scenario. */
import type { DrawnPair } from "../faults/effects.ts"
import { readScenario } from "../scenarios/scenario.ts"
import type { TraceDigest } from "../simulation/trace-digest.ts"
import { type RandomDay, scenarioOf } from "./random-day.ts"

/** What one run of a random day showed. */
export interface DayResult {
  readonly seed: number
  readonly failures: ReadonlyArray<string>
  readonly pairs: ReadonlyArray<DrawnPair>
  readonly starts: number
  readonly tookMs: number
}

/** Runs a day to its end; a day that throws has failed. */
export const runDay = (day: RandomDay, trace?: TraceDigest): DayResult => {
  const began = performance.now()
  const tookMs = () => Math.round(performance.now() - began)
  try {
    const { failures, deployment } = readScenario(scenarioOf(day)).run({ trace })
    return {
      seed: day.seed,
      failures,
      pairs: deployment.pairs,
      starts: deployment.invariants.starts,
      tookMs: tookMs(),
    }
  } catch (cause) {
    const thrown = `threw: ${(cause as Error).stack ?? String(cause)}`
    return { seed: day.seed, failures: [thrown], pairs: [], starts: 0, tookMs: tookMs() }
  }
}
