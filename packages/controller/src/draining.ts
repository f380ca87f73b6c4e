/**
 * Machines that take nothing new so that they can be lent once they are empty.
 * Under overload no machine is ever empty by itself: what ends makes room for
 * what waits here, and jobs of parts without machines would never begin.
 */
import { allowed, type MachineView, type Need, OVERDUE_RANK } from "@sorreltally/planner"
import type { MachineId, PartName } from "@sorreltally/wire"

export class Draining {
  /** The machine that is emptied for each part with jobs that waited too long. */
  private readonly machines = new Map<PartName, MachineId>()

  /** The views as the plan is to see them: machines that are emptied take nothing new. */
  apply(views: ReadonlyArray<MachineView>, needs: ReadonlyArray<Need>): ReadonlyArray<MachineView> {
    const overdue = needs.filter(({ rank }) => rank >= OVERDUE_RANK)
    const asking = new Set(overdue.map(({ part }) => part))
    for (const part of this.machines.keys()) if (!asking.has(part)) this.machines.delete(part)
    if (overdue.length === 0) return views
    for (const need of overdue) this.choose(need, views)
    const drained = new Set(this.machines.values())
    return views.map((view) => (drained.has(view.id) ? { ...view, state: "closing" as const } : view))
  }

  /** The one that is empty soonest, as far as the number of its tasks tells; it stays chosen until it is gone. */
  private choose({ part, shape }: Need, views: ReadonlyArray<MachineView>): void {
    const before = this.machines.get(part)
    if (before !== undefined && views.some(({ id, state }) => id === before && state === "up")) return
    this.machines.delete(part)
    const taken = new Set(this.machines.values())
    let best: MachineView | null = null
    for (const view of views) {
      if (view.state !== "up" || taken.has(view.id) || !allowed(shape, view)) continue
      if (best === null || view.busyTasks < best.busyTasks) best = view
    }
    if (best !== null) this.machines.set(part, best.id)
  }
}
