/** One plan: what starts where, what is rented, and what is released. Pure: equal snapshots give equal plans. */
import { isIdle, unusedCores } from "./bins.ts"
import { DemandPass } from "./demand-pass.ts"
import { fleetOf } from "./fleet.ts"
import type { Snapshot } from "./input.ts"
import { schedulingTiers } from "./order.ts"
import type { Plan } from "./output.ts"
import { placeQueuedTasks } from "./placement-pass.ts"

/** Places queued tasks, then decides what the rest needs. What is placed is taken from `snapshot.teams`. */
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
    // Where no limit binds it is fragments, or waits for a heartbeat: no reason to empty a machine.
    unusedCores: decisions.quotaLimitedJobs.size > 0 ? unusedCores(ready) : 0,
    idleMachines: new Set(ready.filter(isIdle).map(({ machine }) => machine.id)),
  }
}
