/** Which queued tasks of one job go to which ready machines. */
import type { ZoneName } from "@sorreltally/protocol"
import { type Bin, hasCapacity, type MachineGroup, takeCapacity, tasksFitting } from "./bins.ts"
import { EPSILON, fits, slotsIn } from "./capacity.ts"
import { isEligible, zoneAllowance } from "./eligibility.ts"
import type { ReadyCapacity } from "./fleet.ts"
import type { JobView, Reserve, Snapshot } from "./input.ts"
import { tasksWithinQuota } from "./limits.ts"
import type { PlannedPlacement } from "./output.ts"

/** Seconds of fetching an image that other work rather takes than capacity beside the reserve's images. */
const RESERVED_PENALTY_S = 4

/** Share of a run that it is worth to leave a machine empty that another shard waits for. */
const LENDABLE_PENALTY_RUN_SHARE = 0.5

/** What to place, and where it may go. */
export interface PlacementRequest {
  readonly job: JobView
  readonly maxTasks: number
  /** Only where its image is cached. */
  readonly cachedOnly: boolean
  /** Its uncleared tasks by zone; those placed are added. */
  readonly tasksByZone: Map<ZoneName, number>
}

/** For a job whose tasks stay in one zone and of which none is placed: the zone with the most capacity. */
const zoneWithMostSlots = (
  job: JobView,
  tasksByZone: ReadonlyMap<ZoneName, number>,
  groups: ReadonlyArray<MachineGroup>,
): ZoneName | null => {
  if (!job.spec.singleZone || tasksByZone.size > 0) return null
  const slotsByZone = new Map<ZoneName, number>()
  for (const group of groups) {
    let slots = slotsByZone.get(group.zone) ?? 0
    for (const bin of group.bins) slots += slotsIn(job.spec, bin.free)
    slotsByZone.set(group.zone, slots)
  }
  let best: ZoneName | null = null
  for (const [zone, slots] of slotsByZone)
    if (best === null || slots > (slotsByZone.get(best) ?? 0)) best = zone
  return best
}

/** Is the reserve kept from this job? */
const isBelowReserve = (job: JobView, reserve: Reserve): boolean => job.rank < reserve.rank

/** How well a bin suits a task of the job; null: it can't go there, or mustn't. */
const scoreOf = (
  { job, cachedOnly }: PlacementRequest,
  bin: Bin,
  ready: ReadyCapacity,
  snapshot: Snapshot,
): number | null => {
  const { machine } = bin
  if (!fits(job.spec, bin.free) || job.avoidedMachines.has(machine.id)) return null
  if (cachedOnly && !machine.images.has(job.spec.image)) return null
  const reserved = isBelowReserve(job, snapshot.reserve) && bin.reserved
  if (reserved && ready.spareCores < job.spec.cores) return null
  const lendable = snapshot.otherShardsWait && machine.busyTasks === 0
  const penalty =
    (reserved ? RESERVED_PENALTY_S : 0) + (lendable ? job.executionS * LENDABLE_PENALTY_RUN_SHARE : 0)
  return suitability(job, bin) - penalty
}

/** Bins that a task of the job fits into, best first. */
const rankedBins = (
  request: PlacementRequest,
  groups: ReadonlyArray<MachineGroup>,
  ready: ReadyCapacity,
  snapshot: Snapshot,
): ReadonlyArray<{ readonly bin: Bin; readonly score: number }> => {
  const requiredZone = zoneWithMostSlots(request.job, request.tasksByZone, groups)
  const ranked: Array<{ readonly bin: Bin; readonly score: number }> = []
  for (const group of groups) {
    if (requiredZone !== null && group.zone !== requiredZone) continue
    for (const bin of group.bins) {
      const score = scoreOf(request, bin, ready, snapshot)
      if (score !== null) ranked.push({ bin, score })
    }
  }
  return ranked.sort((a, b) => b.score - a.score)
}

/** The image counts most: a fetch is time that the task, and the capacity it takes, only wait. Then tight packing. */
const suitability = (job: JobView, { machine, free }: Bin): number => {
  const fetchS = machine.images.has(job.spec.image)
    ? 0
    : job.spec.imageGb / Math.max(EPSILON, machine.type.imagePullGbPerS)
  const leftover = (free.cores - job.spec.cores) / Math.max(EPSILON, machine.type.cores)
  const assigned = machine.assignedJob === job.id ? 1 : 0
  // On-demand machines fill last, so that they empty first and can be released.
  return -fetchS - 2 * leftover + 0.5 * assigned + (machine.spot ? 2 : 0)
}

/** How many more tasks of the job, up to `maxTasks`, may be placed on a bin. */
const placeableTasks = (
  { job, tasksByZone }: PlacementRequest,
  bin: Bin,
  maxTasks: number,
  ready: ReadyCapacity,
  snapshot: Snapshot,
): number => {
  const { spec } = job
  const fitting = Math.min(
    maxTasks,
    tasksFitting(spec, bin),
    zoneAllowance(spec, tasksByZone, bin.machine.zone),
  )
  if (!bin.reserved || !isBelowReserve(job, snapshot.reserve)) return fitting
  return Math.min(fitting, Math.floor((ready.spareCores + EPSILON) / spec.cores))
}

/** Places queued tasks of a job, within its team's headroom in `snapshot.teams`; returns how many. */
export const placeJob = (
  request: PlacementRequest,
  ready: ReadyCapacity,
  snapshot: Snapshot,
  placements: Array<PlannedPlacement>,
): number => {
  const { job, maxTasks, tasksByZone } = request
  const { spec } = job
  const team = snapshot.allocationHeadroom.get(spec.team)
  const limit = Math.min(maxTasks, tasksWithinQuota(job, snapshot.allocationHeadroom))
  if (team === undefined || limit <= 0) return 0
  const groups = ready.groups.filter((group) => group.bins.length > 0 && isEligible(spec, group))
  let left = limit
  for (const { bin } of rankedBins(request, groups, ready, snapshot)) {
    if (left <= 0) break
    const { machine } = bin
    const count = placeableTasks(request, bin, left, ready, snapshot)
    if (count <= 0) continue
    takeCapacity(bin, spec, count)
    if (bin.reserved) ready.spareCores -= spec.cores * count
    team.cores -= spec.cores * count
    team.accelerators -= spec.accelerators * count
    tasksByZone.set(machine.zone, (tasksByZone.get(machine.zone) ?? 0) + count)
    for (let i = 0; i < count; i++) placements.push({ job: job.id, machine: machine.id })
    left -= count
  }
  if (left < limit) for (const group of groups) group.bins = group.bins.filter(hasCapacity)
  return limit - left
}

/**
 * Takes capacity on ready machines for queued tasks that wait for something else than a machine: for
 * their shard's quota allocation, mostly. Returns for how many.
 */
export const reserveOnReady = (
  job: JobView,
  maxTasks: number,
  placedByZone: ReadonlyMap<ZoneName, number>,
  ready: ReadyCapacity,
  reserve: Reserve,
): number => {
  const { spec } = job
  const tasksByZone = new Map(placedByZone)
  let left = maxTasks
  for (const group of ready.groups) {
    if (left <= 0) break
    if (!isEligible(spec, group)) continue
    for (const bin of group.bins) {
      if (bin.reserved && isBelowReserve(job, reserve)) continue
      const count = Math.min(left, tasksFitting(spec, bin), zoneAllowance(spec, tasksByZone, group.zone))
      if (count <= 0) continue
      takeCapacity(bin, spec, count)
      tasksByZone.set(group.zone, (tasksByZone.get(group.zone) ?? 0) + count)
      left -= count
    }
  }
  return maxTasks - left
}
