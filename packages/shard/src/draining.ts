/**
 * Drains machines for other shards: a draining machine takes no new tasks, so that it can be lent once it is
 * empty. Only empty machines change shards, and under load none becomes empty by itself, because queued tasks
 * of this shard take the capacity of finished ones. Keeps which machine drains for which shard; changes
 * neither machines nor placements itself.
 */
import {
  isEligible,
  type MachineDemand,
  type MachineLoan,
  type MachineView,
  STARVED_RANK,
} from "@sorreltally/planner"
import type { MachineId, ShardName } from "@sorreltally/protocol"

/** Input of draining in one plan. */
export interface DrainingInput {
  readonly machines: ReadonlyArray<MachineView>
  /** Demands of other shards for which some machine of this shard would be lent. */
  readonly demands: ReadonlyArray<MachineDemand>
  /** Free cores for which the last plan found no use: the tasks of a draining machine fit there. */
  readonly unusedCores: number
  /** Whether a machine is drained for starved jobs of other shards even without such cores. */
  readonly mayDrainForStarved: boolean
}

/** The machines of one shard that drain for other shards. */
export class Draining {
  /** Draining machine by the shard that it will be lent to. */
  private readonly machineByShard = new Map<ShardName, MachineId>()

  /** Returns the machines for the plan, with the state of the draining ones changed. */
  apply({ machines, demands, unusedCores, mayDrainForStarved }: DrainingInput): ReadonlyArray<MachineView> {
    const demanding = new Set(demands.map(({ shard }) => shard))
    for (const shard of this.machineByShard.keys())
      if (!demanding.has(shard)) this.machineByShard.delete(shard)
    if (demands.length === 0) return machines
    let remainingCores = unusedCores
    for (const demand of demands) {
      const ignoresCores = mayDrainForStarved && demand.rank >= STARVED_RANK
      const chosen = this.chooseMachine(
        demand,
        machines,
        ignoresCores ? Number.POSITIVE_INFINITY : remainingCores,
      )
      if (chosen !== null) remainingCores -= chosen.type.cores
    }
    const drainedIds = new Set(this.machineByShard.values())
    return machines.map((view) => (drainedIds.has(view.id) ? { ...view, state: "draining" as const } : view))
  }

  /**
   * Loans of the drained machines that are empty now, each to the shard that it was drained for. They are
   * lent even if this shard has queued work, because draining machines take none of it and would stay unused.
   */
  *emptiedLoans(machines: ReadonlyArray<MachineView>): Iterable<MachineLoan> {
    for (const [to, machine] of this.machineByShard) {
      const view = machines.find(({ id }) => id === machine)
      if (view !== undefined && view.busyTasks === 0) yield { machine, to }
    }
  }

  /**
   * Chooses the machine to drain for a demand: of those whose tasks fit into the unused cores, the one with
   * the fewest tasks, which is likely to be empty soonest. It stays chosen while it is ready and demanded.
   * Returns a newly chosen machine; null: none, or an earlier choice still holds.
   */
  private chooseMachine(
    { shard, shape }: MachineDemand,
    machines: ReadonlyArray<MachineView>,
    unusedCores: number,
  ): MachineView | null {
    const current = this.machineByShard.get(shard)
    if (current !== undefined && machines.some(({ id, state }) => id === current && state === "ready"))
      return null
    this.machineByShard.delete(shard)
    const taken = new Set(this.machineByShard.values())
    let best: MachineView | null = null
    for (const view of machines) {
      if (view.state !== "ready" || taken.has(view.id) || !isEligible(shape, view)) continue
      if (view.type.cores > unusedCores || (view.reserved && Number.isFinite(unusedCores))) continue
      if (best === null || view.busyTasks < best.busyTasks) best = view
    }
    if (best !== null) this.machineByShard.set(shard, best.id)
    return best
  }
}
