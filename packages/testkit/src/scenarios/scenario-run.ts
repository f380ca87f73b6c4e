/**
 * Runs what a scenario says on each of its seeds and judges it: the invariants,
 * the log, and what the scenario expects at its end. It never reads the format.
 */
import { epochsOwnedTwice } from "../invariants/epoch-invariant.ts"
import type { DeploymentSetup } from "../simulation/deployment.ts"
import { SimulatedDeployment } from "../simulation/simulated-deployment.ts"
import type { TraceDigest } from "../simulation/trace-digest.ts"
import type { Action, Args } from "./actions.ts"
import { happened } from "./user-actions.ts"

/** How a scenario is watched while it runs. */
export interface RunOptions {
  /** Takes in the messages of all seeds. */
  readonly trace?: TraceDigest
  /** Is handed each deployment before its time begins. */
  readonly prepare?: (deployment: SimulatedDeployment) => void
}
/** What a run showed; `deployment`: of the first seed that failed, or of the first one. */
export interface Result {
  readonly failures: ReadonlyArray<string>
  readonly deployment: SimulatedDeployment
}

/** One action at its time. */
export interface ScenarioEvent {
  readonly atS: number
  readonly action: Action
  readonly args: Args
  /** Invariants that bear with faults do so for as long. */
  readonly lastsS: number
}
/** Faults that a scenario has to bring together, by the name under which that is counted. */
export interface Coincidence {
  readonly name: string
  readonly atLeast: number
}
/** What a scenario makes happen, and what it asks for. */
export interface ScenarioPlan {
  readonly setup: DeploymentSetup
  readonly untilS: number
  /** Empty: the seed of the setup alone. */
  readonly seeds: ReadonlyArray<number>
  readonly events: ReadonlyArray<ScenarioEvent>
  /** Hold on every seed: what is wrong at its end, or null. */
  readonly expectations: ReadonlyArray<(deployment: SimulatedDeployment) => string | null>
  /** Counted over all seeds. */
  readonly coincidences: ReadonlyArray<Coincidence>
}

/** So many broken invariants are listed. */
const MAX_LISTED = 5

/** Counted over all seeds of a scenario: whether rare faults meet on one seed changes with every random draw. */
const missedCoincidence = (
  { name, atLeast }: Coincidence,
  deployments: ReadonlyArray<SimulatedDeployment>,
): string | null => {
  let total = 0
  for (const deployment of deployments) {
    const count = happened(deployment)[name]
    if (count === undefined) return `nothing is counted as ${name}`
    total += count
  }
  return total >= atLeast ? null : `${name}: ${total} times, expected ${atLeast}`
}

const failuresOf = (plan: ScenarioPlan, deployment: SimulatedDeployment): ReadonlyArray<string> => {
  const { violations } = deployment.invariants
  const failures = violations.slice(0, MAX_LISTED)
  if (violations.length > MAX_LISTED) failures.push(`… and ${violations.length - MAX_LISTED} more`)
  for (const line of deployment.logged) if (line.includes(" error ")) failures.push(line)
  failures.push(...epochsOwnedTwice(deployment.logged))
  for (const expectation of plan.expectations) {
    const complaint = expectation(deployment)
    if (complaint !== null) failures.push(complaint)
  }
  return failures
}

/** Everything but the coincidences has to hold on each seed. */
const runSeed = (plan: ScenarioPlan, seed: number, { trace, prepare }: RunOptions): Result => {
  const deployment = new SimulatedDeployment({ ...plan.setup, seed })
  trace?.run(seed)
  deployment.network.trace = trace ?? null
  prepare?.(deployment)
  for (const { atS, action, args, lastsS } of plan.events)
    deployment.simulation.after(atS * 1000, () => {
      deployment.invariants.recordFault(lastsS * 1000)
      action(deployment, args)
    })
  deployment.simulation.runUntil(plan.untilS * 1000)
  return { failures: failuresOf(plan, deployment), deployment }
}

/** Runs the plan on each of its seeds; `seedShift` is added to every one. */
export const runPlan = (plan: ScenarioPlan, seedShift: number, options: RunOptions): Result => {
  const seeds = plan.seeds.length === 0 ? [plan.setup.seed] : plan.seeds
  const runs = seeds.map((seed) => runSeed(plan, seed + seedShift, options))
  const failures = runs.flatMap((run) => run.failures)
  const deployments = runs.map(({ deployment }) => deployment)
  for (const coincidence of plan.coincidences) {
    const complaint = missedCoincidence(coincidence, deployments)
    if (complaint !== null) failures.push(complaint)
  }
  const shown = runs.find((run) => run.failures.length > 0) ?? runs[0]!
  return { failures, deployment: shown.deployment }
}
