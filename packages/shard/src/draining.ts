/**
 * Machines that take nothing new so that they can be lent once they are empty.
 * Only empty machines change shards, and under load none is ever empty by
 * itself: what ends makes room for what waits here. It remembers which machine
 * drains for whom, and changes neither machines nor placements itself.
 */
import {
  isEligible,
  type MachineDemand,
  type MachineLoan,
  type MachineView,
  STARVED_RANK,
} from "@sorreltally/planner"
import type { MachineId, ShardName } from "@sorreltally/protocol"

/** What may be drained in one plan. */
export interface DrainingInput {
  readonly machines: ReadonlyArray<MachineView>
  /** Demands of other shards that some machine of ours would be lent to. */
  readonly demands: ReadonlyArray<MachineDemand>
  /** Free cores of no use to us, as the last plan found: the tasks of a draining machine fit there. */
  readonly unusedCores: number
  /** Starved jobs of other shards are served even where there are no such cores. */
  readonly forStarved: boolean
}

/** The draining machines of one shard. */
export class Draining {
  /** The machine that drains for each shard that lacks machines. */
  private readonly machines = new Map<ShardName, MachineId>()

  /** The machines as the plan is to see them, the drained ones in that state. */
  apply({ machines, demands, unusedCores, forStarved }: DrainingInput): ReadonlyArray<MachineView> {
    const demanding = new Set(demands.map(({ shard }) => shard))
    for (const shard of this.machines.keys()) if (!demanding.has(shard)) this.machines.delete(shard)
    if (demands.length === 0) return machines
    let unused = unusedCores
    for (const demand of demands) {
      const starved = forStarved && demand.rank >= STARVED_RANK
      const chosen = this.choose(demand, machines, starved ? Number.POSITIVE_INFINITY : unused)
      if (chosen !== null) unused -= chosen.type.cores
    }
    const drained = new Set(this.machines.values())
    return machines.map((view) => (drained.has(view.id) ? { ...view, state: "draining" as const } : view))
  }

  /**
   * Machines that are empty by now, for the shard that they were drained for: they go there
   * whatever waits here, or they would be of use to nobody.
   */
  *emptied(machines: ReadonlyArray<MachineView>): Iterable<MachineLoan> {
    for (const [to, machine] of this.machines) {
      const view = machines.find(({ id }) => id === machine)
      if (view !== undefined && view.busyTasks === 0) yield { machine, to }
    }
  }

  /**
   * The one that is empty soonest, as far as the number of its tasks shows,
   * and whose tasks the unused cores can take. It stays chosen until it is
   * gone. Returns one that is newly chosen, else null.
   */
  private choose(
    { shard, shape }: MachineDemand,
    machines: ReadonlyArray<MachineView>,
    unusedCores: number,
  ): MachineView | null {
    const current = this.machines.get(shard)
    if (current !== undefined && machines.some(({ id, state }) => id === current && state === "ready"))
      return null
    this.machines.delete(shard)
    const taken = new Set(this.machines.values())
    let best: MachineView | null = null
    for (const view of machines) {
      if (view.state !== "ready" || taken.has(view.id) || !isEligible(shape, view)) continue
      if (view.type.cores > unusedCores || (view.reserved && Number.isFinite(unusedCores))) continue
      if (best === null || view.busyTasks < best.busyTasks) best = view
    }
    if (best !== null) this.machines.set(shard, best.id)
    return best
  }
}
