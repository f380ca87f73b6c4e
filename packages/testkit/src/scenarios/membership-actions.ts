/** Actions around crashes of controllers, node leases and shards. */
import { type Action, nodeArgument, numberArgument } from "./actions.ts"

/** Actions around leases and shards. Times are in seconds. */
export const membershipActions: Record<string, Action> = {
  /** Arguments: number of crashes, interval between them, and downtime of each leader. */
  "crash-leaders": (deployment, args) =>
    deployment.membershipFaults.crashLeaders(
      numberArgument(args, 0, 10),
      numberArgument(args, 1, 12) * 1000,
      numberArgument(args, 2, 1) * 1000,
    ),
  "cancel-at-owner-changes": (deployment, args) =>
    deployment.membershipFaults.cancelAtOwnerChanges(
      numberArgument(args, 0, 1),
      numberArgument(args, 1, 60) * 1000,
    ),
  /** Restarts each controller in turn. Arguments: interval between crashes, and downtime. */
  "rolling-restart": (deployment, args) => {
    for (const [i, name] of deployment.names.entries())
      deployment.simulation.after(i * numberArgument(args, 0, 1) * 1000, () =>
        deployment.crash(name, numberArgument(args, 1, 0.3) * 1000),
      )
  },
  "crash-leader": (deployment, args) =>
    deployment.membershipFaults.crashLeader(numberArgument(args, 0, 0.3) * 1000),
  "state-refuses-leader": (deployment, args) => {
    const leader = deployment.membershipFaults.currentLeader()
    deployment.state.setRefused(leader, true)
    deployment.simulation.after(numberArgument(args, 0, 10) * 1000, () =>
      deployment.state.setRefused(leader, false),
    )
  },
  /** Cancels a job at one node; the user tries another one if that node can't answer. */
  "cancel-at-node": (deployment, args) =>
    deployment.users.cancel(
      deployment.users.jobs[numberArgument(args, 1, 0)]!,
      undefined,
      nodeArgument(deployment, args),
    ),
}
