/** Which queued tasks go to which machines that are up. */
import type { ZoneName } from "@sorreltally/protocol"
import { type Bin, hasCapacity, type MachineGroup, tasksFitting } from "./bins.ts"
import { tasksWithinQuota } from "./limits.ts"
import {
  allowed,
  EPSILON,
  fits,
  type JobView,
  minus,
  type PlannedPlacement,
  type Snapshot,
  slotsIn,
  zoneAllowance,
} from "./model.ts"

/** Seconds of fetching that other work rather takes than room beside the reserve's images. */
const RESERVED_S = 4

/** Part of a run that it is worth to leave a machine empty that another part waits for. */
const LENDABLE = 0.5

/** Room on machines that are up, as the plan fills it. */
export interface ReadyCapacity {
  readonly kinds: ReadonlyArray<MachineGroup>
  /** Cores on machines with the reserve's images that work of lower rank may still take. */
  spare: number
}

/** For a job whose tasks stay together and of which none is placed: the zone with the most room. */
const roomiestZone = (
  job: JobView,
  zones: ReadonlyMap<ZoneName, number>,
  kinds: ReadonlyArray<MachineGroup>,
): ZoneName | null => {
  if (!job.spec.singleZone || zones.size > 0) return null
  const room = new Map<ZoneName, number>()
  for (const kind of kinds) {
    let slots = room.get(kind.zone) ?? 0
    for (const slot of kind.slots) slots += slotsIn(job.spec, slot.free)
    room.set(kind.zone, slots)
  }
  let best: ZoneName | null = null
  for (const [zone, slots] of room) if (best === null || slots > (room.get(best) ?? 0)) best = zone
  return best
}

/** Returns how many of its tasks found room. */
export const placeJob = (
  job: JobView,
  most: number,
  /** Only where its image is. */
  cached: boolean,
  zones: Map<ZoneName, number>,
  floor: ReadyCapacity,
  snapshot: Snapshot,
  placements: Array<PlannedPlacement>,
): number => {
  const { spec } = job
  const team = snapshot.teams.get(spec.team)
  let left = Math.min(most, tasksWithinQuota(job, snapshot.teams))
  if (team === undefined || left <= 0) return 0
  const below = job.rank < snapshot.reserve.rank
  const kinds = floor.kinds.filter((kind) => kind.slots.length > 0 && allowed(spec, kind))
  const only = roomiestZone(job, zones, kinds)
  const options: Array<{ readonly slot: Bin; readonly score: number }> = []
  for (const kind of kinds) {
    if (only !== null && kind.zone !== only) continue
    for (const slot of kind.slots) {
      if (!fits(spec, slot.free) || job.avoids.has(slot.machine.id)) continue
      if (cached && !slot.machine.images.has(spec.image)) continue
      const kept = below && slot.reserved
      if (kept && floor.spare < spec.cores) continue
      const lendable = snapshot.otherShardsWait && slot.machine.busyTasks === 0
      const cost = (kept ? RESERVED_S : 0) + (lendable ? job.executionS * LENDABLE : 0)
      options.push({ slot, score: suitability(job, slot) - cost })
    }
  }
  options.sort((a, b) => b.score - a.score)
  let placed = 0
  for (const { slot } of options) {
    if (left <= 0) break
    const { machine } = slot
    let take = Math.min(left, tasksFitting(spec, slot), zoneAllowance(spec, zones, machine.zone))
    if (below && slot.reserved) take = Math.min(take, Math.floor((floor.spare + EPSILON) / spec.cores))
    if (take <= 0) continue
    slot.free = minus(slot.free, spec, take)
    slot.tasksLeft -= take
    if (slot.reserved) floor.spare -= spec.cores * take
    team.cores -= spec.cores * take
    team.accelerators -= spec.accelerators * take
    zones.set(machine.zone, (zones.get(machine.zone) ?? 0) + take)
    for (let i = 0; i < take; i++) placements.push({ job: job.id, machine: machine.id })
    left -= take
    placed += take
  }
  if (placed > 0) for (const kind of kinds) kind.slots = kind.slots.filter(hasCapacity)
  return placed
}

/** The image counts most: a fetch is time that the task, and the room it takes, only wait. Then tight packing. */
const suitability = (job: JobView, { machine, free }: Bin): number => {
  const fetchS = machine.images.has(job.spec.image)
    ? 0
    : job.spec.imageGb / Math.max(EPSILON, machine.type.imagePullGbPerS)
  const leftover = (free.cores - job.spec.cores) / Math.max(EPSILON, machine.type.cores)
  const mine = machine.assignedJob === job.id ? 1 : 0
  // Steady machines fill last, so that they empty first and can be given back.
  return -fetchS - 2 * leftover + 0.5 * mine + (machine.spot ? 2 : 0)
}

/**
 * Takes room on machines that are up for queued tasks that wait for something
 * else than a machine: for their part's share of the team's limit, mostly.
 * Returns for how many.
 */
export const reserveOnReady = (
  job: JobView,
  most: number,
  placed: ReadonlyMap<ZoneName, number>,
  floor: ReadyCapacity,
  reserve: Snapshot["reserve"],
): number => {
  const { spec } = job
  const zones = new Map(placed)
  let left = most
  for (const kind of floor.kinds) {
    if (left <= 0) break
    if (!allowed(spec, kind)) continue
    for (const slot of kind.slots) {
      if (slot.reserved && job.rank < reserve.rank) continue
      const take = Math.min(left, tasksFitting(spec, slot), zoneAllowance(spec, zones, kind.zone))
      if (take <= 0) continue
      slot.free = minus(slot.free, spec, take)
      slot.tasksLeft -= take
      zones.set(kind.zone, (zones.get(kind.zone) ?? 0) + take)
      left -= take
    }
  }
  return most - left
}
