/** Actions of scenarios: ends of controllers, node leases and shards. */
import { type Action, node, number } from "./actions.ts"

/** Scenario verbs around leases and shards. Times are in seconds. */
export const membershipActions: Record<string, Action> = {
  /** How many leaders end, one every so often, and how soon each is back. */
  "end-leaders": (deployment, args) =>
    deployment.membershipFaults.crashLeaders(
      number(args, 0, 10),
      number(args, 1, 12) * 1000,
      number(args, 2, 1) * 1000,
    ),
  "cancel-at-hand-overs": (deployment, args) =>
    deployment.membershipFaults.cancelAtOwnerChanges(number(args, 0, 1), number(args, 1, 60) * 1000),
  /** As a rolling restart does it: each controller in turn. */
  "end-each": (deployment, args) => {
    for (const [i, name] of deployment.names.entries())
      deployment.simulation.after(i * number(args, 0, 1) * 1000, () =>
        deployment.crash(name, number(args, 1, 0.3) * 1000),
      )
  },
  "end-leader": (deployment, args) => deployment.membershipFaults.crashLeader(number(args, 0, 0.3) * 1000),
  "state-refuses-leader": (deployment, args) => {
    const leader = deployment.membershipFaults.currentLeader()
    deployment.state.refuse(leader, true)
    deployment.simulation.after(number(args, 0, 10) * 1000, () => deployment.state.refuse(leader, false))
  },
  /** A cancellation at one node; another one is asked when that one can't. */
  "cancel-at": (deployment, args) =>
    deployment.users.cancel(deployment.users.jobs[number(args, 1, 0)]!, undefined, node(deployment, args)),
}
