/** Placement of the queued tasks of one job on ready machines. */
import type { ZoneName } from "@sorreltally/protocol"
import { type Bin, hasCapacity, type MachineGroup, takeCapacity, tasksFitting } from "./bins.ts"
import { EPSILON, fits, slotsIn } from "./capacity.ts"
import { isEligible, zoneAllowance } from "./eligibility.ts"
import type { ReadyCapacity } from "./fleet.ts"
import type { JobView, Reserve, Snapshot } from "./input.ts"
import { tasksWithinQuota } from "./limits.ts"
import type { PlannedPlacement } from "./output.ts"

/** Seconds of image fetch that tasks below the reserve's rank accept rather than use a reserved machine. */
const RESERVED_PENALTY_S = 4

/** Score penalty of an empty machine that another shard could borrow, as a share of the task's run time. */
const LENDABLE_PENALTY_RUN_SHARE = 0.5

/** The tasks of a job to place, and constraints on the machines. */
export interface PlacementRequest {
  readonly job: JobView
  readonly maxTasks: number
  /** Whether only machines with its image in the cache are considered. */
  readonly cachedOnly: boolean
  /** Number of the job's uncleared tasks by zone; placed tasks are added to it. */
  readonly tasksByZone: Map<ZoneName, number>
}

/**
 * Returns the zone with the most slots for a job that is bound to a single zone and has no task placed yet;
 * null for other jobs.
 */
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

/** Whether the job's rank is too low to use the reserve. */
const isBelowReserve = (job: JobView, reserve: Reserve): boolean => job.rank < reserve.rank

/** Score of a bin for a task of the job, higher is better; null: the task doesn't fit or may not use it. */
const scoreOf = (
  { job, cachedOnly }: PlacementRequest,
  bin: Bin,
  ready: ReadyCapacity,
  snapshot: Snapshot,
): number | null => {
  const { machine } = bin
  if (!fits(job.spec, bin.free) || job.avoidedMachines.has(machine.id)) return null
  if (cachedOnly && !machine.images.has(job.spec.image)) return null
  const usesReserve = isBelowReserve(job, snapshot.reserve) && bin.reserved
  if (usesReserve && ready.spareCores < job.spec.cores) return null
  const isLendable = snapshot.otherShardsLackMachines && machine.busyTasks === 0
  const penalty =
    (usesReserve ? RESERVED_PENALTY_S : 0) + (isLendable ? job.executionS * LENDABLE_PENALTY_RUN_SHARE : 0)
  return suitability(job, bin) - penalty
}

/** Bins into which a task of the job fits, best first. */
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

/**
 * Suitability of a machine, in equivalent seconds of image fetch. A cached image counts most, since the task
 * and its capacity are idle during a fetch; then tight packing.
 */
const suitability = (job: JobView, { machine, free }: Bin): number => {
  const fetchS = machine.images.has(job.spec.image)
    ? 0
    : job.spec.imageGb / Math.max(EPSILON, machine.type.imagePullGbPerS)
  const leftoverShare = (free.cores - job.spec.cores) / Math.max(EPSILON, machine.type.cores)
  const assigned = machine.assignedJob === job.id ? 1 : 0
  // On-demand machines are filled last, so that they become empty first and can be released.
  return -fetchS - 2 * leftoverShare + 0.5 * assigned + (machine.spot ? 2 : 0)
}

/** Number of further tasks of the job, up to `maxTasks`, that may be placed on a bin. */
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

/** Places queued tasks of a job within `snapshot.allocationHeadroom` of its team. Returns their number. */
export const placeJob = (
  request: PlacementRequest,
  ready: ReadyCapacity,
  snapshot: Snapshot,
  placements: Array<PlannedPlacement>,
): number => {
  const { job, maxTasks, tasksByZone } = request
  const { spec } = job
  const headroom = snapshot.allocationHeadroom.get(spec.team)
  const limit = Math.min(maxTasks, tasksWithinQuota(job, snapshot.allocationHeadroom))
  if (headroom === undefined || limit <= 0) return 0
  const groups = ready.groups.filter((group) => group.bins.length > 0 && isEligible(spec, group))
  let tasksLeft = limit
  for (const { bin } of rankedBins(request, groups, ready, snapshot)) {
    if (tasksLeft <= 0) break
    const { machine } = bin
    const count = placeableTasks(request, bin, tasksLeft, ready, snapshot)
    if (count <= 0) continue
    takeCapacity(bin, spec, count)
    if (bin.reserved) ready.spareCores -= spec.cores * count
    headroom.cores -= spec.cores * count
    headroom.accelerators -= spec.accelerators * count
    tasksByZone.set(machine.zone, (tasksByZone.get(machine.zone) ?? 0) + count)
    for (let i = 0; i < count; i++) placements.push({ job: job.id, machine: machine.id })
    tasksLeft -= count
  }
  if (tasksLeft < limit) for (const group of groups) group.bins = group.bins.filter(hasCapacity)
  return limit - tasksLeft
}

/**
 * Takes capacity on ready machines for queued tasks that wait for something other than a machine, mostly for
 * their shard's quota allocation. Returns the number of these tasks.
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
  let tasksLeft = maxTasks
  for (const group of ready.groups) {
    if (tasksLeft <= 0) break
    if (!isEligible(spec, group)) continue
    for (const bin of group.bins) {
      if (bin.reserved && isBelowReserve(job, reserve)) continue
      const count = Math.min(tasksLeft, tasksFitting(spec, bin), zoneAllowance(spec, tasksByZone, group.zone))
      if (count <= 0) continue
      takeCapacity(bin, spec, count)
      tasksByZone.set(group.zone, (tasksByZone.get(group.zone) ?? 0) + count)
      tasksLeft -= count
    }
  }
  return maxTasks - tasksLeft
}
