import { largestOfClasses, notBegunWithin, unserved } from "../invariants/service-objectives.ts"
import type { World } from "../simulation/simulated-deployment.ts"
import { type Action, type Args, node, number } from "./actions.ts"

const seconds = (args: Args, at: number, or: number): number => number(args, at, or) * 1000

/** What users and the state service can be made to do. Times are in seconds. */
export const userActions: Record<string, Action> = {
  "state-outage": (world, args) => {
    world.state.outage(true)
    world.sim.after(seconds(args, 0, 10), () => world.state.outage(false))
  },
  "state-refuses": (world, args) => {
    const refused = node(world, args)
    world.state.refuse(refused, true)
    world.sim.after(seconds(args, 1, 10), () => world.state.refuse(refused, false))
  },
  /** Every answer of the state service takes up to that many milliseconds longer, for so long. */
  "state-slow": (world, args) => {
    world.state.faults.slowMs = number(args, 0, 800)
    world.sim.after(seconds(args, 1, 20), () => {
      world.state.faults.slowMs = 0
    })
  },
  /** A share of transactions gets no answer and is carried out 2 to 12 s later. */
  "late-transactions": (world, args) => {
    world.state.faults.lateShare = number(args, 0, 0.2)
    world.sim.after(seconds(args, 1, 20), () => {
      world.state.faults.lateShare = 0
    })
  },
  /** A share of transactions is carried out at once, and its answer lost. */
  "lost-answers": (world, args) => {
    world.state.faults.lostShare = number(args, 0, 0.2)
    world.sim.after(seconds(args, 1, 20), () => {
      world.state.faults.lostShare = 0
    })
  },
  "cancel-burst": (world, args) => {
    const machines = new Set(world.userTroubles.cancelBurst(number(args, 0, 4)))
    const hangMs = seconds(args, 1, 0)
    if (hangMs <= 0) return
    for (const machine of world.cloud.machines.values()) {
      if (!machines.has(machine.id)) continue
      machine.hang(true)
      world.sim.after(hangMs, () => machine.hang(false))
    }
  },
  "cancel-at-end": (world, args) =>
    world.userTroubles.cancelAtEnds(number(args, 0, 0.3), seconds(args, 1, 60)),
  "cancel-some": (world, args) => world.userTroubles.cancelSome(number(args, 0, 0.25), seconds(args, 1, 60)),
  "odd-requests": (world, args) => world.userTroubles.oddRequests(seconds(args, 0, 60)),
  "close-polls": (world, args) => world.userTroubles.closePolls(seconds(args, 0, 60), number(args, 1, 0.15)),
}
/** Verbs of which the service takes no harm: the time until questions have to be answered again doesn't wait for their end. */
export const HARMLESS: ReadonlySet<string> = new Set([
  "close-polls",
  "odd-requests",
  "cancel-at-end",
  "cancel-some",
])

/** How often something really happened, by its name. */
export const happened = (world: World): Readonly<Record<string, number>> => ({
  ...world.sim.occurrences.all(),
  ...world.userTroubles.count,
  ...world.state.faults.count,
  ...world.state.operations.count,
  ...world.membershipTroubles.count,
  ...world.limitMeetings.count,
  startsAfterCancellation: world.rules.startsAfterCancellation,
})

/** What a scenario can ask for of users and the state service. */
export const userExpectations: Record<string, (world: World, args: Args) => string | null> = {
  /** At least half of every class, of every team, and of every class's largest jobs is done. */
  served: (world) => {
    const groups = unserved(world.rules.users)
    return groups.length === 0 ? null : `less than half is done of ${groups.join(", ")}`
  },
  "begun-within": (world, args) => {
    const { users, begunAt } = world.rules
    const late = notBegunWithin(users, begunAt, seconds(args, 0, 240), world.sim.now)
    return late.length === 0 ? null : `nothing began within ${args[0]} s of ${late.join(", ")}`
  },
  "largest-begun-within": (world, args) => {
    const { users, begunAt } = world.rules
    const largest = largestOfClasses(users)
    const late = notBegunWithin(users, begunAt, seconds(args, 0, 240), world.sim.now)
    const missing = late.filter((job) => largest.has(job))
    return missing.length === 0 ? null : `nothing began within ${args[0]} s of ${missing.join(", ")}`
  },
  /** Puts and deletes from submission to end, over all jobs. */
  "operations-a-job-at-most": (world, args) => {
    const { ofJobs, count } = world.state.operations
    const each = ofJobs / world.users.jobs.length
    return each <= number(args, 0, 2) ? null : `${each.toFixed(2)} changes a job: ${JSON.stringify(count)}`
  },
  "happened-at-most": (world, args) => {
    const count = happened(world)[args[0]!]
    if (count === undefined) return `nothing is counted as ${args[0]}`
    return count <= number(args, 1, 0) ? null : `${args[0]}: ${count} times, expected at most ${args[1] ?? 0}`
  },
}
