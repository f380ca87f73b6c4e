/** Computes one plan: placements, rentals and releases. Pure: equal snapshots give equal plans. */
import { isIdle, unusedCores } from "./bins.ts"
import { DemandPass } from "./demand-pass.ts"
import { fleetOf } from "./fleet.ts"
import type { Snapshot } from "./input.ts"
import { schedulingTiers } from "./order.ts"
import type { Plan } from "./output.ts"
import { placeQueuedTasks } from "./placement-pass.ts"

/**
 * Places queued tasks, then decides what the remaining tasks need. Placed tasks are subtracted from
 * `snapshot.allocationHeadroom`.
 */
export const plan = (snapshot: Snapshot): Plan => {
  const tiers = schedulingTiers(snapshot.jobs, snapshot.load())
  const fleet = fleetOf(snapshot)
  const { placements, progress } = placeQueuedTasks(tiers, fleet.ready, snapshot)
  const demand = new DemandPass({ snapshot, fleet, progress })
  demand.run(tiers.flat())
  const decisions = demand.decisions()
  const ready = fleet.ready.bins
  return {
    ...decisions,
    placements,
    // If no team limit binds, free cores are fragments or wait for a heartbeat, which is no reason to
    // drain a machine.
    unusedCores: decisions.quotaLimitedJobs.size > 0 ? unusedCores(ready) : 0,
    idleMachines: new Set(ready.filter(isIdle).map(({ machine }) => machine.id)),
  }
}
