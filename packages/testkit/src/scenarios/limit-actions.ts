import { type Action, number } from "./actions.ts"

/** Scenario verbs that bring teams to their limits and make room scarce. */
export const limitActions: Record<string, Action> = {
  /** So many machines of each type and kind are to be had in one zone. */
  "zone-capacity": (deployment, args) => deployment.cloud.zoneCapacity.set(args[0]!, number(args, 1, 0)),
  /** Every message takes up to so many seconds longer, for so many seconds. */
  "slow-links": (deployment, args) => {
    deployment.network.slowMs = number(args, 0, 0.4) * 1000
    deployment.simulation.after(number(args, 1, 60) * 1000, () => {
      deployment.network.slowMs = 0
    })
  },
}
