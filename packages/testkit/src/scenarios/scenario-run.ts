/**
 * Runs the plan of a scenario on each of its seeds, and collects failures: broken invariants, errors in the
 * log, and expectations that are not met at the end. Independent of the file format.
 */
import { epochsOwnedTwice } from "../invariants/epoch-invariant.ts"
import type { DeploymentSetup } from "../simulation/deployment.ts"
import { SimulatedDeployment } from "../simulation/simulated-deployment.ts"
import type { TraceDigest } from "../simulation/trace-digest.ts"
import type { Action, Args } from "./actions.ts"
import { eventCounts, unknownEvent } from "./user-actions.ts"

/** Options of a run for observing it. */
export interface RunOptions {
  /** Receives the messages of the runs of all seeds. */
  readonly trace?: TraceDigest
  /** Called with each deployment before its simulation starts. */
  readonly prepare?: (deployment: SimulatedDeployment) => void
}
/** Result of a run; `deployment` is that of the first seed that failed, or else of the first seed. */
export interface ScenarioResult {
  readonly failures: ReadonlyArray<string>
  readonly deployment: SimulatedDeployment
}

/** An action and the time at which it is applied. */
export interface ScenarioEvent {
  readonly atS: number
  readonly action: Action
  readonly args: Args
  /** Time for which invariants tolerate the effects of the fault; 0 if the action is no fault. */
  readonly faultDurationS: number
}
/** Minimum count of an event, which shows that the scenario's faults met. */
export interface MinEventCount {
  readonly name: string
  readonly atLeast: number
}
/** Setup, actions and expectations of a scenario. */
export interface ScenarioPlan {
  readonly setup: DeploymentSetup
  readonly untilS: number
  /** If empty, the scenario is run on the seed of the setup only. */
  readonly seeds: ReadonlyArray<number>
  readonly events: ReadonlyArray<ScenarioEvent>
  /** Checked at the end of the run on each seed; each returns a failure or null. */
  readonly expectations: ReadonlyArray<(deployment: SimulatedDeployment) => string | null>
  /** Checked against the sum over all seeds. */
  readonly minEventCounts: ReadonlyArray<MinEventCount>
}

const MAX_LISTED_VIOLATIONS = 5

/** Sums the event over all seeds, as whether rare faults meet on one seed changes with every random draw. */
const eventCountFailure = (
  { name, atLeast }: MinEventCount,
  deployments: ReadonlyArray<SimulatedDeployment>,
): string | null => {
  let total = 0
  for (const deployment of deployments) {
    const counts = eventCounts(deployment)
    const count = counts[name]
    if (count === undefined) return unknownEvent(name, counts)
    total += count
  }
  return total >= atLeast ? null : `"${name}" happened ${total} times, expected at least ${atLeast}`
}

const failuresOf = (plan: ScenarioPlan, deployment: SimulatedDeployment): ReadonlyArray<string> => {
  const { violations } = deployment.invariants
  const failures = violations.slice(0, MAX_LISTED_VIOLATIONS)
  if (violations.length > MAX_LISTED_VIOLATIONS)
    failures.push(`and ${violations.length - MAX_LISTED_VIOLATIONS} more broken invariants`)
  for (const line of deployment.logged) if (line.includes(" error ")) failures.push(line)
  failures.push(...epochsOwnedTwice(deployment.logged))
  for (const expectation of plan.expectations) {
    const failure = expectation(deployment)
    if (failure !== null) failures.push(failure)
  }
  return failures
}

/** Runs one seed; all expectations but the minimum counts of events are checked for it alone. */
const runSeed = (plan: ScenarioPlan, seed: number, { trace, prepare }: RunOptions): ScenarioResult => {
  const deployment = new SimulatedDeployment({ ...plan.setup, seed })
  trace?.recordRunStart(seed)
  deployment.network.trace = trace ?? null
  prepare?.(deployment)
  for (const { atS, action, args, faultDurationS } of plan.events)
    deployment.simulation.after(atS * 1000, () => {
      deployment.invariants.recordFault(faultDurationS * 1000)
      action(deployment, args)
    })
  deployment.simulation.runUntil(plan.untilS * 1000)
  return { failures: failuresOf(plan, deployment), deployment }
}

/** Runs the plan on each of its seeds, to which `seedShift` is added. */
export const runPlan = (plan: ScenarioPlan, seedShift: number, options: RunOptions): ScenarioResult => {
  const seeds = plan.seeds.length === 0 ? [plan.setup.seed] : plan.seeds
  const runs = seeds.map((seed) => runSeed(plan, seed + seedShift, options))
  const failures = runs.flatMap((run) => run.failures)
  const deployments = runs.map(({ deployment }) => deployment)
  for (const minEventCount of plan.minEventCounts) {
    const failure = eventCountFailure(minEventCount, deployments)
    if (failure !== null) failures.push(failure)
  }
  const shown = runs.find((run) => run.failures.length > 0) ?? runs[0]!
  return { failures, deployment: shown.deployment }
}
