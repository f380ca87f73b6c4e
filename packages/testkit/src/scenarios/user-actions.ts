/**
 * Actions and expectations of scenarios about users and the state service, and the events
 * that `counted-at-least` and `counted-at-most` count.
 */
import { largestOfClasses, notBegunWithin, unserved } from "../invariants/service-objectives.ts"
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
  "unusual-requests": (deployment, args) => deployment.userFaults.oddRequests(seconds(args, 0, 60)),
  "immediate-polls": (deployment, args) =>
    deployment.userFaults.closePolls(seconds(args, 0, 60), number(args, 1, 0.15)),
}
/** Verbs of which the service takes no harm: the time until questions have to be answered again doesn't wait for their end. */
export const HARMLESS: ReadonlySet<string> = new Set([
  "immediate-polls",
  "unusual-requests",
  "cancel-at-end",
  "cancel-some",
])

/** How often each event happened in the deployment, by the event's name in scenarios. */
export const eventCounts = (deployment: SimulatedDeployment): Readonly<Record<string, number>> => {
  const { userFaults, membershipFaults, limitCoincidences, state } = deployment
  return {
    ...deployment.simulation.occurrences.all(),
    "answers soon after an acceptance": userFaults.count.closeAfterAccepted,
    "answers soon after a confirmed cancellation": userFaults.count.closeAfterCancelled,
    "answers soon after the end of a job": userFaults.count.closeAfterEnd,
    "cancellations at the end of a job answered cancelled": userFaults.count.endsCancelled,
    "cancellations at the end of a job answered done": userFaults.count.endsTold,
    "jobs with task ends far apart across a crash": userFaults.count.endsFarApart,
    "jobs cancelled in a burst": userFaults.count.burst,
    "machines hung after a burst of cancellations": userFaults.count.burstHung,
    "unusual requests": userFaults.count.odd,
    "invalid jobs refused": userFaults.count.oddRefused,
    "late transactions": state.faults.count.late,
    "late transactions refused": state.faults.count.lateRefused,
    "late transactions applied": state.faults.count.lateApplied,
    "late transactions carried out after a newer one": state.faults.count.lateAfterNewer,
    "lost answers": state.faults.count.lostAnswers,
    "changes with a lost answer first read by another node": state.faults.count.lostReadByOthers,
    "messages of the state service delayed": state.faults.count.slow,
    "changes that create a job": state.operations.count.create,
    "changes that cancel a job": state.operations.count.cancel,
    "changes that fold a job page": state.operations.count.fold,
    "changes that record ends of jobs": state.operations.count.end,
    "changes that start tasks": state.operations.count.start,
    "changes that finish tasks": state.operations.count.finish,
    "changes that archive jobs": state.operations.count.archive,
    "other changes": state.operations.count.other,
    "shards handed back": membershipFaults.count.handBacks,
    failovers: membershipFaults.count.takeOvers,
    "leader changes": membershipFaults.count.leaderChanges,
    "failovers to a former owner": membershipFaults.count.retaken,
    "cancellations confirmed just after an owner change": membershipFaults.count.cancelledAtHandOver,
    "heartbeats with cancelled tasks answered without state service":
      membershipFaults.count.answersWithoutState,
    "node leases published": membershipFaults.count.joins,
    "seconds without a leader": membershipFaults.count.secondsWithoutLeader,
    "leader changes with every team at its limit": limitCoincidences.count.leaderChangesAtLimit,
    "cancelled tasks out of reach at a leader change": limitCoincidences.count.cancelledOutOfReach,
    "cancellations between two leaders": limitCoincidences.count.cancelledBetweenLeaders,
    "checks with urgent and other work waiting on slow links": limitCoincidences.count.overloadedOnSlowLinks,
    "starts after a cancellation": deployment.invariants.startsAfterCancellation,
  }
}

/** What a scenario can ask for of users and the state service. */
export const userExpectations: Record<
  string,
  (deployment: SimulatedDeployment, args: Args) => string | null
> = {
  /** At least half of every class, of every team, and of every class's largest jobs is done. */
  "half-done-per-group": (deployment) => {
    const groups = unserved(deployment.invariants.users)
    return groups.length === 0 ? null : `less than half is done of ${groups.join(", ")}`
  },
  "started-within": (deployment, args) => {
    const { users, begunAt } = deployment.invariants
    const late = notBegunWithin(users, begunAt, seconds(args, 0, 240), deployment.simulation.now)
    return late.length === 0 ? null : `nothing began within ${args[0]} s of ${late.join(", ")}`
  },
  "largest-started-within": (deployment, args) => {
    const { users, begunAt } = deployment.invariants
    const largest = largestOfClasses(users)
    const late = notBegunWithin(users, begunAt, seconds(args, 0, 240), deployment.simulation.now)
    const missing = late.filter((job) => largest.has(job))
    return missing.length === 0 ? null : `nothing began within ${args[0]} s of ${missing.join(", ")}`
  },
  /** Puts and deletes from submission to end, over all jobs. */
  "changes-per-job-at-most": (deployment, args) => {
    const { ofJobs, count } = deployment.state.operations
    const each = ofJobs / deployment.users.jobs.length
    return each <= number(args, 0, 2) ? null : `${each.toFixed(2)} changes a job: ${JSON.stringify(count)}`
  },
  "counted-at-most": (deployment, args) => {
    const count = eventCounts(deployment)[args[0]!]
    if (count === undefined) return `nothing is counted as ${args[0]}`
    return count <= number(args, 1, 0) ? null : `${args[0]}: ${count} times, expected at most ${args[1] ?? 0}`
  },
}
