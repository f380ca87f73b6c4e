import type { Placement } from "@sorreltally/jobs"
import {
  allowed,
  choosePreemptions,
  hasWaitedTooLong,
  type MachineDemand,
  type MachineView,
  minus,
  type Plan,
  shapeOf,
  slotsIn,
  type Victim,
} from "@sorreltally/planner"
import {
  addMs,
  type MachineId,
  type MonotonicTime,
  priorityRank,
  type ShardName,
  type WallTime,
} from "@sorreltally/protocol"
import type { ShardView } from "./shard-context.ts"

/** Room is made for this many jobs at a time, the most urgent ones. */
const MOST_JOBS = 6
/** The first tasks of a job that waited too long run at least this long: users count no shorter start. */
const FIRST_RUNS_MS = 30_000

/**
 * Guards against a job that waited too long, is placed ahead of all other work
 * and stopped for it at once, again and again.
 */
const isFirstOfStarved = ({ job, runningSince }: Placement, wall: WallTime, now: MonotonicTime): boolean =>
  job.done === 0 &&
  hasWaitedTooLong((wall - job.submitted) / 1000) &&
  (runningSince === null || now < addMs(runningSince, FIRST_RUNS_MS))

/** Stops work of lower rank where work of higher rank would otherwise come too late. */
export const preempt = (
  shard: ShardView,
  decided: Plan,
  needs: ReadonlyArray<MachineDemand>,
  share: number,
  lentLately: ReadonlyMap<ShardName, number>,
  views: ReadonlyArray<MachineView>,
  now: MonotonicTime,
  stoppedOn: (machine: MachineId) => void,
): void => {
  const foreign = needs.filter((n) => n.pressing > 0 && !n.shape.singleZone && !n.shape.spreadZones)
  const own = decided.unplaced
    .filter(({ job }) => !job.request.singleZone && !job.request.spreadZones)
    .slice(0, MOST_JOBS)
  const highest = Math.max(...foreign.map((n) => n.rank), ...own.map(({ job }) => job.rank))
  if (foreign.length === 0 && own.length === 0) return
  const victims = new Map<MachineId, Array<Victim<Placement>>>()
  // What is being stopped already is as good as gone.
  const soon = views.map((view) => {
    let { free, busyTasks } = view
    for (const placement of shard.machines.get(view.id)?.placements.values() ?? []) {
      const { request } = placement.job
      if (placement.stop !== null) {
        busyTasks--
        free = minus(free, request, -1)
        continue
      }
      if (priorityRank[request.priority] >= highest) continue
      if (isFirstOfStarved(placement, shard.node.clocks.wallNow(), now)) continue
      const saves = request.checkpointIntervalS > 0
      const ranS = placement.runningSince === null ? 0 : (now - placement.runningSince) / 1000
      const on = victims.get(view.id) ?? []
      victims.set(view.id, on)
      on.push({
        placement,
        machine: view.id,
        shape: shapeOf(request),
        rank: priorityRank[request.priority],
        lossCoreS: (saves ? Math.min(ranS, request.checkpointSaveS) : ranS) * request.cores,
        savesS: saves ? request.checkpointSaveS : 0,
      })
    }
    return { ...view, free, busyTasks }
  })
  if (victims.size === 0) return
  for (const on of victims.values())
    on.sort((a, b) => a.lossCoreS / a.shape.cores - b.lossCoreS / b.shape.cores)
  const stopped = new Set<Placement>()
  const stopAll = (chosen: ReadonlyArray<Victim<Placement>>) => {
    for (const { placement, savesS } of chosen) {
      stopped.add(placement)
      placement.job.stop(placement, { reason: "preempted", gracePeriodS: savesS + 1, since: now })
      stoppedOn(placement.machine)
      shard.node.log.debug("task preempted", { task: placement.task, machine: placement.machine })
    }
  }
  const left = (usable: (v: Victim<Placement>) => boolean) => (machine: MachineId) =>
    (victims.get(machine) ?? []).filter((v) => !stopped.has(v.placement) && usable(v))
  for (const { job, startable, pressing } of own) {
    // Work that can save gives way to any of higher rank; other work is given
    // up only where it has to be, and only for what a team is guaranteed.
    const forced = job.withinGuarantee ? pressing : 0
    let missing = startable
    for (const view of soon) {
      if (missing <= 0) break
      if (view.state !== "up" || !allowed(job.request, view)) continue
      const take = Math.min(missing, slotsIn(job.request, view.free))
      view.free = minus(view.free, job.request, take)
      missing -= take
    }
    if (missing <= 0) continue
    const shape = shapeOf(job.request)
    const saving = choosePreemptions(
      shape,
      job.rank,
      missing,
      soon,
      left((v) => v.savesS > 0),
      false,
    )
    if (saving.length > 0) stopAll(saving)
    else if (forced > 0) {
      stopAll(
        choosePreemptions(
          shape,
          job.rank,
          Math.min(missing, forced),
          soon,
          left(() => true),
          false,
        ),
      )
    }
  }
  for (const need of foreign) {
    let missing = Math.ceil(need.pressing * share) - (lentLately.get(need.shard) ?? 0)
    for (const view of soon) {
      if (view.state === "up" && view.busyTasks === 0 && allowed(need.shape, view)) {
        missing -= slotsIn(need.shape, view.type)
      }
    }
    if (missing <= 0) continue
    stopAll(
      choosePreemptions(
        need.shape,
        need.rank,
        missing,
        soon,
        left(() => true),
        true,
      ),
    )
  }
}
