/**
 * Actions and expectations about users and the state service, and the events that `counted-at-least` and
 * `counted-at-most` count.
 */
import {
  jobsNotStartedWithin,
  largestJobsOfClasses,
  underservedGroups,
} from "../invariants/service-objectives.ts"
import type { SimulatedDeployment } from "../simulation/simulated-deployment.ts"
import { type Action, type Args, nodeArgument, numberArgument } from "./actions.ts"

const millisecondsArgument = (args: Args, index: number, fallbackS: number): number =>
  numberArgument(args, index, fallbackS) * 1000

/** Actions about users and the state service. Times are in seconds. */
export const userActions: Record<string, Action> = {
  "state-outage": (deployment, args) => {
    deployment.state.setOutage(true)
    deployment.simulation.after(millisecondsArgument(args, 0, 10), () => deployment.state.setOutage(false))
  },
  /** Arguments: KiB per value, changes per transaction, changes and requests per second; limits never rise. */
  "lower-state-limits": (deployment, args) =>
    deployment.state.lowerLimits({
      value_kb: numberArgument(args, 0, 2),
      txn_ops: numberArgument(args, 1, 4),
      write_rps: numberArgument(args, 2, Number.POSITIVE_INFINITY),
      rps: numberArgument(args, 3, Number.POSITIVE_INFINITY),
    }),
  "state-refuses": (deployment, args) => {
    const refused = nodeArgument(deployment, args)
    deployment.state.setRefused(refused, true)
    deployment.simulation.after(millisecondsArgument(args, 1, 10), () =>
      deployment.state.setRefused(refused, false),
    )
  },
  /** Arguments: largest extra delay of each answer of the state service, in ms, and duration in seconds. */
  "state-slow": (deployment, args) => {
    deployment.state.faults.maxExtraDelayMs = numberArgument(args, 0, 800)
    deployment.simulation.after(millisecondsArgument(args, 1, 20), () => {
      deployment.state.faults.maxExtraDelayMs = 0
    })
  },
  /** A share of transactions gets no answer and is applied 2 to 12 s later. */
  "late-transactions": (deployment, args) => {
    deployment.state.faults.lateTransactionShare = numberArgument(args, 0, 0.2)
    deployment.simulation.after(millisecondsArgument(args, 1, 20), () => {
      deployment.state.faults.lateTransactionShare = 0
    })
  },
  /** A share of transactions is applied at once, and their answers are lost. */
  "lost-answers": (deployment, args) => {
    deployment.state.faults.lostAnswerShare = numberArgument(args, 0, 0.2)
    deployment.simulation.after(millisecondsArgument(args, 1, 20), () => {
      deployment.state.faults.lostAnswerShare = 0
    })
  },
  "cancel-burst": (deployment, args) => {
    const machines = new Set(deployment.userFaults.cancelBurst(numberArgument(args, 0, 4)))
    const hangMs = millisecondsArgument(args, 1, 0)
    if (hangMs <= 0) return
    for (const machine of deployment.cloud.machines.values()) {
      if (!machines.has(machine.id)) continue
      machine.setHung(true)
      deployment.simulation.after(hangMs, () => machine.setHung(false))
    }
  },
  "cancel-at-end": (deployment, args) =>
    deployment.userFaults.cancelAtEnds(numberArgument(args, 0, 0.3), millisecondsArgument(args, 1, 60)),
  "cancel-some": (deployment, args) =>
    deployment.userFaults.cancelSome(numberArgument(args, 0, 0.25), millisecondsArgument(args, 1, 60)),
  "unusual-requests": (deployment, args) =>
    deployment.userFaults.sendUnusualRequests(millisecondsArgument(args, 0, 60)),
  "immediate-polls": (deployment, args) =>
    deployment.userFaults.pollImmediately(millisecondsArgument(args, 0, 60), numberArgument(args, 1, 0.15)),
}
/** Actions that don't impair the service: they don't extend the time within which polls may go unanswered. */
export const HARMLESS_ACTIONS: ReadonlySet<string> = new Set([
  "immediate-polls",
  "unusual-requests",
  "cancel-at-end",
  "cancel-some",
  "lower-state-limits",
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
    "cancellations at the end of a job answered done": userFaults.count.endsDone,
    "jobs with task ends far apart across a crash": userFaults.count.endsFarApart,
    "jobs cancelled in a burst": userFaults.count.cancelledInBurst,
    "machines hung after a burst of cancellations": userFaults.count.hungAfterBurst,
    "unusual requests": userFaults.count.unusualRequests,
    "invalid jobs refused": userFaults.count.invalidJobsRefused,
    "late transactions": state.faults.count.late,
    "late transactions refused": state.faults.count.lateRefused,
    "late transactions applied": state.faults.count.lateApplied,
    "late transactions carried out after a newer one": state.faults.count.lateAfterNewer,
    "lost answers": state.faults.count.lostAnswers,
    "changes with a lost answer first read by another node": state.faults.count.lostReadByOthers,
    "messages of the state service delayed": state.faults.count.slow,
    "transactions over lowered limits": state.count.rejected,
    "requests over the rate limits": state.count.refused,
    "changes that create a job": state.operations.count.create,
    "changes that cancel a job": state.operations.count.cancel,
    "changes that compact a job page": state.operations.count.compact,
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

/** The failure for an event name that is not counted. */
export const unknownEvent = (name: string, counts: Readonly<Record<string, number>>): string =>
  `unknown event "${name}", expected one of: ${Object.keys(counts).join(", ")}`

/** Expectations about users and the state service. */
export const userExpectations: Record<
  string,
  (deployment: SimulatedDeployment, args: Args) => string | null
> = {
  /** At least half of the jobs of every class and team, and of the largest jobs of every class, is done. */
  "half-done-per-group": (deployment) => {
    const groups = underservedGroups(deployment.invariants.users)
    return groups.length === 0 ? null : `less than half of the jobs done: ${groups.join(", ")}`
  },
  "started-within": (deployment, args) => {
    const { users, firstStartAt } = deployment.invariants
    const late = jobsNotStartedWithin(
      users,
      firstStartAt,
      millisecondsArgument(args, 0, 240),
      deployment.simulation.now,
    )
    return late.length === 0
      ? null
      : `no task started within ${args[0] ?? 240} s of the submission of ${late.join(", ")}`
  },
  "largest-started-within": (deployment, args) => {
    const { users, firstStartAt } = deployment.invariants
    const largest = largestJobsOfClasses(users)
    const late = jobsNotStartedWithin(
      users,
      firstStartAt,
      millisecondsArgument(args, 0, 240),
      deployment.simulation.now,
    )
    const missing = late.filter((job) => largest.has(job))
    return missing.length === 0
      ? null
      : `no task started within ${args[0] ?? 240} s of the submission of ${missing.join(", ")}`
  },
  /** Puts and deletes from submission to end, as the average over all jobs. */
  "changes-per-job-at-most": (deployment, args) => {
    const { jobOperations, count } = deployment.state.operations
    const changesPerJob = jobOperations / deployment.users.jobs.length
    const byKind = JSON.stringify(count)
    return changesPerJob <= numberArgument(args, 0, 2)
      ? null
      : `${changesPerJob.toFixed(2)} changes per job, expected at most ${args[0] ?? 2}: ${byKind}`
  },
  "counted-at-most": (deployment, args) => {
    const counts = eventCounts(deployment)
    const count = counts[args[0]!]
    if (count === undefined) return unknownEvent(args[0]!, counts)
    return count <= numberArgument(args, 1, 0)
      ? null
      : `"${args[0]}" happened ${count} times, expected at most ${args[1] ?? 0}`
  },
}
