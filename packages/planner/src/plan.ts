import type { JobId, MachineId, MachineType, ZoneName } from "@sorreltally/wire"
import { canGiveBack, extraResources, newMachinesComeInTime } from "./deadline.ts"
import {
  allowed,
  EPSILON,
  fits,
  type Hireable,
  isReserved,
  type JobView,
  type MachineView,
  minus,
  type Plan,
  type PlannedHire,
  type PlannedPlacement,
  type Room,
  type Snapshot,
  slotsIn,
  spareCores,
  type Unplaced,
  zoneAllowance,
} from "./model.ts"

/** Seconds of fetching that other work rather takes than room beside the reserve's images. */
const RESERVED_S = 4

/** Above any price: steady machines are the fall-back once every fitting kind of spot is refused. */
const STEADY_LAST = 1e6

interface Slot {
  readonly machine: MachineView
  free: Room
}

/** Higher priority first, then work within its team's guarantee, then what is due first; work past saving goes last. */
const inOrder = (jobs: ReadonlyArray<JobView>): ReadonlyArray<JobView> => {
  const hopeless = (j: JobView) => (j.timeLeftS !== null && j.timeLeftS < j.executionS * 0.3 ? 1 : 0)
  const due = (j: JobView) => j.timeLeftS ?? (j.startWithinS ?? 600) - j.ageS
  return [...jobs].sort(
    (a, b) =>
      b.rank - a.rank ||
      hopeless(a) - hopeless(b) ||
      Number(b.withinGuarantee) - Number(a.withinGuarantee) ||
      due(a) - due(b) ||
      (a.id < b.id ? -1 : 1),
  )
}

export const plan = (snapshot: Snapshot): Plan => {
  const jobs = inOrder(snapshot.jobs)
  const slots: Array<Slot> = snapshot.machines.map((machine) => ({ machine, free: machine.free }))
  const placements: Array<PlannedPlacement> = []
  const holders = new Map<MachineId, JobId | null>()
  const queued = new Map<JobId, number>(jobs.map((j) => [j.id, j.queued]))
  const running = new Map<JobId, number>(jobs.map((j) => [j.id, j.running]))

  for (const job of jobs) {
    if (!job.mayStart || job.queued === 0) continue
    placeJob(job, slots, snapshot, placements, queued, running)
  }

  const coming = slots.filter((s) => s.machine.state === "coming")
  const hires = new Map<Hireable, { count: number; readonly holder: JobId }>()
  let steadyWanted = false
  let ahead = 0
  const unplaced: Array<Unplaced> = []
  for (const job of jobs) {
    const pending = queued.get(job.id) ?? 0
    const held = slots.filter((s) => s.machine.holder === job.id)
    if (pending === 0) {
      releaseOne(job, held, running.get(job.id) ?? 0, holders)
      continue
    }
    const late = startTooLate(job, pending, ahead, snapshot)
    ahead += pending * job.request.cores
    if (job.mayStart) {
      const room = roomOf(job, snapshot)
      if (room > 0) unplaced.push({ job, tasks: Math.min(pending, room), pressing: Math.min(late, room) })
    }
    let missing = wanted(job, pending, running.get(job.id) ?? 0, coming, snapshot)
    if (missing === 0) releaseOne(job, held, running.get(job.id) ?? 0, holders, pending)
    missing = Math.min(missing, roomOf(job, snapshot))
    const steady = steadyHelps(job, late, snapshot.deploymentS)
    steadyWanted ||= missing > 0 && steady && !spotOpen(job, snapshot)
    hire(job, missing, steady, snapshot, hires, coming)
  }
  return {
    placements,
    hires: [...hires].map(([hireable, { count, holder }]): PlannedHire => ({ hireable, count, holder })),
    holders,
    steadyWanted,
    unplaced,
  }
}

/** How many more tasks the job's team may start. */
const roomOf = (job: JobView, snapshot: Snapshot): number => {
  const room = snapshot.teams.get(job.request.owner)
  return room === undefined ? 0 : slotsIn(job.request, { ...room, mem_gb: Number.POSITIVE_INFINITY })
}

/** Seconds left in which a queued task should start; null: too late for any aim, or none. */
const startsWithinS = (job: JobView): number | null => {
  if (job.startWithinS !== null && job.ageS < job.startWithinS) return job.startWithinS - job.ageS
  if (job.timeLeftS !== null && job.timeLeftS > job.executionS) return job.timeLeftS - job.executionS
  return null
}

/** Cores that come free within that time as running tasks end, counting the room that then comes free again. */
const coresFreedWithin = (snapshot: Snapshot, withinS: number, executionS: number): number => {
  let cores = 0
  for (const task of snapshot.running) {
    if (task.remainingS <= withinS)
      cores += task.cores * (1 + Math.floor((withinS - task.remainingS) / executionS))
  }
  return cores
}

/** Queued tasks of a job that running ones won't make room for in time; `ahead`: cores of the jobs that go first. */
const startTooLate = (job: JobView, pending: number, ahead: number, snapshot: Snapshot): number => {
  const withinS = startsWithinS(job)
  if (withinS === null) return 0
  const freed = coresFreedWithin(snapshot, withinS, job.executionS) - ahead
  return Math.max(0, pending - Math.floor(Math.max(0, freed) / job.request.cores))
}

const placeJob = (
  job: JobView,
  slots: ReadonlyArray<Slot>,
  snapshot: Snapshot,
  placements: Array<PlannedPlacement>,
  queued: Map<JobId, number>,
  running: Map<JobId, number>,
): void => {
  const { request } = job
  const team = snapshot.teams.get(request.owner)
  if (team === undefined) return
  const zones = new Map<ZoneName, number>(job.zones)
  const usable = slots.filter((s) => s.machine.state === "up" && allowed(request, { ...s.machine }))
  const below = job.rank < snapshot.reserve.rank
  let spare = below ? spareCores(slots, snapshot.reserve) : Number.POSITIVE_INFINITY
  const reserved = new Set(below ? usable.filter((s) => isReserved(s.machine, snapshot.reserve)) : [])
  for (let left = job.queued; left > 0; left--) {
    if (team.cores + EPSILON < request.cores || team.accelerators + EPSILON < request.accelerators) return
    let best: Slot | null = null
    let bestScore = Number.NEGATIVE_INFINITY
    for (const slot of usable) {
      if (!fits(request, slot.free) || zoneAllowance(request, zones, slot.machine.zone) <= 0) continue
      if (reserved.has(slot) && spare < request.cores) continue
      const score = suitability(job, slot) - (reserved.has(slot) ? RESERVED_S : 0)
      if (score > bestScore) {
        best = slot
        bestScore = score
      }
    }
    if (best === null) return
    best.free = minus(best.free, request)
    if (reserved.has(best)) spare -= request.cores
    team.cores -= request.cores
    team.accelerators -= request.accelerators
    zones.set(best.machine.zone, (zones.get(best.machine.zone) ?? 0) + 1)
    placements.push({ job: job.id, machine: best.machine.id })
    queued.set(job.id, left - 1)
    running.set(job.id, (running.get(job.id) ?? 0) + 1)
  }
}

/** The image counts most: a fetch is time that the task, and the room it takes, only wait. Then tight packing. */
const suitability = (job: JobView, { machine, free }: Slot): number => {
  const fetchS = machine.images.has(job.request.bundle)
    ? 0
    : job.request.image_gb / Math.max(EPSILON, machine.type.pull_gb_per_s)
  const leftover = (free.cores - job.request.cores) / Math.max(EPSILON, machine.type.cores)
  const mine = machine.holder === job.id ? 1 : 0
  // Steady machines fill last, so that they empty first and can be given back.
  return -fetchS - 2 * leftover + 0.5 * mine + (machine.spot ? 2 : 0)
}

/** Slots to ask for beyond what runs and what is coming; takes what it counts on from `coming`. */
const wanted = (
  job: JobView,
  pending: number,
  running: number,
  coming: ReadonlyArray<Slot>,
  snapshot: Snapshot,
): number => {
  const extra = (requestedResources: number): number =>
    job.timeLeftS !== null
      ? extraResources({
          pendingTasks: pending,
          resources: running,
          requestedResources,
          executionTime: job.executionS,
          timeLeft: job.timeLeftS,
          deploymentTime: snapshot.deploymentS,
        })
      : baseFleet(job, pending, running, requestedResources)
  // Machines asked for on this job's behalf come first, then room that others left on theirs.
  let requested = 0
  for (const own of [true, false]) {
    for (const slot of coming) {
      if ((slot.machine.holder === job.id) !== own || !allowed(job.request, { ...slot.machine })) continue
      const missing = extra(requested)
      if (missing === 0) return 0
      const take = Math.min(missing, slotsIn(job.request, slot.free))
      slot.free = minus(slot.free, job.request, take)
      requested += take
    }
  }
  return extra(requested)
}

/** Without a deadline, enough slots to start the queue in half the time in which the aims want it started. */
const baseFleet = (job: JobView, pending: number, running: number, requested: number): number => {
  const horizon = Math.max(0, (job.startWithinS ?? 120) / 2 - job.ageS)
  const rounds = Math.max(1, Math.floor(horizon / job.executionS) + 1)
  return Math.max(0, Math.ceil(pending / rounds) - running - requested)
}

const releaseOne = (
  job: JobView,
  held: ReadonlyArray<Slot>,
  running: number,
  holders: Map<MachineId, JobId | null>,
  pending = 0,
): void => {
  const up = held
    .filter((s) => s.machine.state === "up")
    .sort((a, b) => a.machine.busyTasks - b.machine.busyTasks)
  const slot = up[0]
  if (slot === undefined) return
  const free = held.reduce((sum, s) => sum + slotsIn(job.request, s.free), 0)
  const input = {
    pendingTasks: pending,
    resources: running + free,
    executionTime: job.executionS,
    timeLeft: job.timeLeftS ?? Number.POSITIVE_INFINITY,
  }
  if (pending === 0 || canGiveBack(input, slotsIn(job.request, slot.machine.type))) {
    holders.set(slot.machine.id, null)
  }
}

const spotOpen = (job: JobView, snapshot: Snapshot): boolean =>
  snapshot.market.some((option) => option.spot && allowed(job.request, option))

/**
 * Steady machines cost several times as much. They are the fall-back where
 * what runs now ends too late for the queue, and are asked for no sooner than
 * they have to be: until then spot may open again, or another part lend.
 */
const steadyHelps = (job: JobView, late: number, deploymentS: number): boolean => {
  if (!job.request.loaners) return true
  if (late === 0) return false
  if (job.timeLeftS === null) {
    return (job.startWithinS ?? 2 * deploymentS) - job.ageS < 1.5 * deploymentS
  }
  const spareS = job.timeLeftS - job.executionS - deploymentS
  // Half a run more than it takes: owners' estimates are often that far off.
  const soon = spareS < (deploymentS + job.executionS) / 2
  return soon && spareS > 0 && newMachinesComeInTime(job.executionS, job.timeLeftS, deploymentS)
}

/** Money for a second of one task's work on a machine that first has to boot. */
const costOfWork = (job: JobView, missing: number, type: MachineType, price: number): number => {
  const slots = Math.max(1, Math.min(missing, slotsIn(job.request, type)))
  return (price * (type.startup_s + job.executionS)) / (slots * job.executionS)
}
/** What that costs at best, whether such machines can be had now or not. */
const cheapestWork = (job: JobView, missing: number, snapshot: Snapshot): number => {
  let cheapest = Number.POSITIVE_INFINITY
  for (const type of snapshot.types) {
    if (!fits(job.request, type)) continue
    const price = job.request.loaners ? Math.min(type.spot_price, type.hourly) : type.hourly
    cheapest = Math.min(cheapest, costOfWork(job, missing, type, price))
  }
  return cheapest
}

/** Asks for the cheapest kind that fits: spot before steady, the zone with fewer of our machines before others. */
const hire = (
  job: JobView,
  missing: number,
  steadyToo: boolean,
  snapshot: Snapshot,
  hires: Map<Hireable, { count: number; readonly holder: JobId }>,
  coming: Array<Slot>,
): void => {
  if (missing <= 0) return
  let pick: Hireable | null = null
  let pickCost = Number.POSITIVE_INFINITY
  const dearest = snapshot.dearestSteady * cheapestWork(job, missing, snapshot)
  for (const option of snapshot.market) {
    if (!allowed(job.request, option) || zoneAllowance(job.request, job.zones, option.zone) <= 0) continue
    const work = costOfWork(job, missing, option.type, option.price)
    if (!option.spot && (!steadyToo || (job.request.loaners && work > dearest))) continue
    const cost = work + (option.spot ? 0 : STEADY_LAST)
    const closer = pick !== null && Math.abs(cost - pickCost) < EPSILON && option.ours < pick.ours
    if (cost < pickCost - EPSILON || closer) {
      pick = option
      pickCost = cost
    }
  }
  if (pick === null || pick.asked) return
  const per = slotsIn(job.request, pick.type)
  const count = Math.ceil(missing / per)
  const asked = hires.get(pick)
  if (asked === undefined) hires.set(pick, { count, holder: job.id })
  else asked.count += count
  // What the last machine has to spare is there for the jobs that follow.
  const spare = per * count - missing
  if (spare > 0) {
    const free = minus(pick.type, job.request, per - spare)
    const { type, zone, spot } = pick
    coming.push({
      machine: {
        id: "" as MachineId,
        type,
        zone,
        spot,
        free,
        busyTasks: 0,
        images: new Set(),
        state: "coming",
        holder: job.id,
      },
      free,
    })
  }
}
