/** Runs one random day as a scenario. */
import type { DrawnPair } from "../faults/effects.ts"
import { readScenario } from "../scenarios/scenario.ts"
import type { TraceDigest } from "../simulation/trace-digest.ts"
import { type RandomDay, scenarioOf } from "./random-day.ts"

/** Result of one run of a random day. */
export interface DayResult {
  readonly seed: number
  /** Broken invariants and expectations; empty if the day passed. */
  readonly failures: ReadonlyArray<string>
  readonly pairs: ReadonlyArray<DrawnPair>
  readonly taskStarts: number
  readonly durationMs: number
}

/** Runs a day to its end. An exception counts as a failure of the day. */
export const runDay = (day: RandomDay, trace?: TraceDigest): DayResult => {
  const startedMs = performance.now()
  const elapsedMs = () => Math.round(performance.now() - startedMs)
  try {
    const { failures, deployment } = readScenario(scenarioOf(day)).run({ trace })
    return {
      seed: day.seed,
      failures,
      pairs: deployment.pairs,
      taskStarts: deployment.invariants.starts,
      durationMs: elapsedMs(),
    }
  } catch (cause) {
    const failure = `threw: ${(cause as Error).stack ?? String(cause)}`
    return { seed: day.seed, failures: [failure], pairs: [], taskStarts: 0, durationMs: elapsedMs() }
  }
}
