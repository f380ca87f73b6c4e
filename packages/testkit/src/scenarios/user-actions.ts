/**
 * Actions and expectations of scenarios about users and the state service, and the events
 * that `happened` counts.
 */
import {
  jobsNotStartedWithin,
  largestJobsOfClasses,
  underservedGroups,
} from "../invariants/service-objectives.ts"
import type { SimulatedDeployment } from "../simulation/simulated-deployment.ts"
import { type Action, type Args, node, number } from "./actions.ts"

const seconds = (args: Args, at: number, or: number): number => number(args, at, or) * 1000

/** What users and the state service can be made to do. Times are in seconds. */
export const userActions: Record<string, Action> = {
  "state-outage": (deployment, args) => {
    deployment.state.outage(true)
    deployment.simulation.after(seconds(args, 0, 10), () => deployment.state.outage(false))
  },
  "state-refuses": (deployment, args) => {
    const refused = node(deployment, args)
    deployment.state.refuse(refused, true)
    deployment.simulation.after(seconds(args, 1, 10), () => deployment.state.refuse(refused, false))
  },
  /** Every answer of the state service takes up to that many milliseconds longer, for so long. */
  "state-slow": (deployment, args) => {
    deployment.state.faults.slowMs = number(args, 0, 800)
    deployment.simulation.after(seconds(args, 1, 20), () => {
      deployment.state.faults.slowMs = 0
    })
  },
  /** A share of transactions gets no answer and is carried out 2 to 12 s later. */
  "late-transactions": (deployment, args) => {
    deployment.state.faults.lateShare = number(args, 0, 0.2)
    deployment.simulation.after(seconds(args, 1, 20), () => {
      deployment.state.faults.lateShare = 0
    })
  },
  /** A share of transactions is carried out at once, and its answer lost. */
  "lost-answers": (deployment, args) => {
    deployment.state.faults.lostShare = number(args, 0, 0.2)
    deployment.simulation.after(seconds(args, 1, 20), () => {
      deployment.state.faults.lostShare = 0
    })
  },
  "cancel-burst": (deployment, args) => {
    const machines = new Set(deployment.userFaults.cancelBurst(number(args, 0, 4)))
    const hangMs = seconds(args, 1, 0)
    if (hangMs <= 0) return
    for (const machine of deployment.cloud.machines.values()) {
      if (!machines.has(machine.id)) continue
      machine.hang(true)
      deployment.simulation.after(hangMs, () => machine.hang(false))
    }
  },
  "cancel-at-end": (deployment, args) =>
    deployment.userFaults.cancelAtEnds(number(args, 0, 0.3), seconds(args, 1, 60)),
  "cancel-some": (deployment, args) =>
    deployment.userFaults.cancelSome(number(args, 0, 0.25), seconds(args, 1, 60)),
  "odd-requests": (deployment, args) => deployment.userFaults.sendOddRequests(seconds(args, 0, 60)),
  "close-polls": (deployment, args) =>
    deployment.userFaults.pollClosely(seconds(args, 0, 60), number(args, 1, 0.15)),
}
/** Verbs of which the service takes no harm: the time until questions have to be answered again doesn't wait for their end. */
export const HARMLESS: ReadonlySet<string> = new Set([
  "close-polls",
  "odd-requests",
  "cancel-at-end",
  "cancel-some",
])

/** How often something really happened, by its name. */
export const happened = (deployment: SimulatedDeployment): Readonly<Record<string, number>> => ({
  ...deployment.simulation.occurrences.all(),
  ...deployment.userFaults.count,
  ...deployment.state.faults.count,
  ...deployment.state.operations.count,
  ...deployment.membershipFaults.count,
  ...deployment.limitCoincidences.count,
  startsAfterCancellation: deployment.invariants.startsAfterCancellation,
})

/** What a scenario can ask for of users and the state service. */
export const userExpectations: Record<
  string,
  (deployment: SimulatedDeployment, args: Args) => string | null
> = {
  /** At least half of every class, of every team, and of every class's largest jobs is done. */
  served: (deployment) => {
    const groups = underservedGroups(deployment.invariants.users)
    return groups.length === 0 ? null : `less than half is done of ${groups.join(", ")}`
  },
  "begun-within": (deployment, args) => {
    const { users, firstStartAt } = deployment.invariants
    const late = jobsNotStartedWithin(users, firstStartAt, seconds(args, 0, 240), deployment.simulation.now)
    return late.length === 0 ? null : `nothing began within ${args[0]} s of ${late.join(", ")}`
  },
  "largest-begun-within": (deployment, args) => {
    const { users, firstStartAt } = deployment.invariants
    const largest = largestJobsOfClasses(users)
    const late = jobsNotStartedWithin(users, firstStartAt, seconds(args, 0, 240), deployment.simulation.now)
    const missing = late.filter((job) => largest.has(job))
    return missing.length === 0 ? null : `nothing began within ${args[0]} s of ${missing.join(", ")}`
  },
  /** Puts and deletes from submission to end, over all jobs. */
  "operations-a-job-at-most": (deployment, args) => {
    const { ofJobs, count } = deployment.state.operations
    const each = ofJobs / deployment.users.jobs.length
    return each <= number(args, 0, 2) ? null : `${each.toFixed(2)} changes a job: ${JSON.stringify(count)}`
  },
  "happened-at-most": (deployment, args) => {
    const count = happened(deployment)[args[0]!]
    if (count === undefined) return `nothing is counted as ${args[0]}`
    return count <= number(args, 1, 0) ? null : `${args[0]}: ${count} times, expected at most ${args[1] ?? 0}`
  },
}
