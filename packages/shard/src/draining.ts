/**
 * Machines that take nothing new so that they can be lent once they are empty.
 * Only empty machines change parts, and under load none is ever empty by
 * itself: what ends makes room for what waits here.
 */
import {
  allowed,
  type MachineDemand,
  type MachineLoan,
  type MachineView,
  STARVED_RANK,
} from "@sorreltally/planner"
import type { MachineId, ShardName } from "@sorreltally/protocol"

export class Draining {
  /** The machine that is emptied for each part that lacks machines. */
  private readonly machines = new Map<ShardName, MachineId>()

  /**
   * The views as the plan is to see them: machines that are emptied take
   * nothing new. `unusedCores` of the last plan are room of no use to us;
   * `forStarved`: jobs of other parts that waited too long are served all the same.
   */
  apply(
    views: ReadonlyArray<MachineView>,
    needs: ReadonlyArray<MachineDemand>,
    unusedCores: number,
    forStarved: boolean,
  ): ReadonlyArray<MachineView> {
    const asking = new Set(needs.map(({ shard }) => shard))
    for (const shard of this.machines.keys()) if (!asking.has(shard)) this.machines.delete(shard)
    if (needs.length === 0) return views
    let unused = unusedCores
    for (const need of needs) {
      const starved = forStarved && need.rank >= STARVED_RANK
      const chosen = this.choose(need, views, starved ? Number.POSITIVE_INFINITY : unused)
      if (chosen !== null) unused -= chosen.type.cores
    }
    const drained = new Set(this.machines.values())
    return views.map((view) => (drained.has(view.id) ? { ...view, state: "draining" as const } : view))
  }

  /**
   * Machines that are empty by now, for whom they were emptied: they go there
   * whatever waits here, or they would be of use to nobody.
   */
  *emptied(views: ReadonlyArray<MachineView>): Iterable<MachineLoan> {
    for (const [to, machine] of this.machines) {
      const view = views.find(({ id }) => id === machine)
      if (view !== undefined && view.busyTasks === 0) yield { machine, to }
    }
  }

  /**
   * The one that is empty soonest, as far as the number of its tasks tells,
   * and whose tasks the unused room has place for. It stays chosen until it is
   * gone. Returns one that is newly chosen.
   */
  private choose(
    { shard, shape }: MachineDemand,
    views: ReadonlyArray<MachineView>,
    unused: number,
  ): MachineView | null {
    const before = this.machines.get(shard)
    if (before !== undefined && views.some(({ id, state }) => id === before && state === "ready")) return null
    this.machines.delete(shard)
    const taken = new Set(this.machines.values())
    let best: MachineView | null = null
    for (const view of views) {
      if (view.state !== "ready" || taken.has(view.id) || !allowed(shape, view)) continue
      if (view.type.cores > unused || (view.reserved && Number.isFinite(unused))) continue
      if (best === null || view.busyTasks < best.busyTasks) best = view
    }
    if (best !== null) this.machines.set(shard, best.id)
    return best
  }
}
