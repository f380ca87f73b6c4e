import type { JobId, MachineId, MachineType, ZoneName } from "@sorreltally/wire"
import { canGiveBack, extraResources, newMachinesComeInTime } from "./deadline.ts"
import { LimitRoom, tasksWithin } from "./limits.ts"
import {
  allowed,
  EPSILON,
  fits,
  type Hireable,
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
import { inTiers } from "./order.ts"
import { isOverdue, tasksToBegin } from "./overdue.ts"

/** Seconds of fetching that other work rather takes than room beside the reserve's images. */
const RESERVED_S = 4

/** Part of a run that it is worth to leave a machine empty that another part waits for. */
const LENDABLE = 0.5

/** Above any price: steady machines are the fall-back once every fitting kind of spot is refused. */
const STEADY_LAST = 1e6

/** A kind that costs at most this much more is asked as well, rather than waiting for the cheapest one's answer. */
const ABOUT_AS_CHEAP = 1.1

interface Slot {
  readonly machine: MachineView
  readonly reserved: boolean
  free: Room
}

/** Machines alike in all that decides whether a job may run there. */
interface Kind {
  readonly type: MachineType
  readonly zone: ZoneName
  readonly spot: boolean
  /** Those that still have room. */
  slots: Array<Slot>
}

const byKind = (slots: Iterable<Slot>): Array<Kind> => {
  const kinds = new Map<string, Kind>()
  for (const slot of slots) {
    const { type, zone, spot } = slot.machine
    const name = `${type.name}|${zone}|${spot}`
    const kind = kinds.get(name)
    if (kind === undefined) kinds.set(name, { type, zone, spot, slots: [slot] })
    else kind.slots.push(slot)
  }
  return [...kinds.values()]
}

export const plan = (snapshot: Snapshot): Plan => {
  const tiers = inTiers(snapshot.jobs, snapshot.load())
  const jobs = tiers.flat()
  const placements: Array<PlannedPlacement> = []
  const holders = new Map<MachineId, JobId | null>()
  const queued = new Map<JobId, number>(jobs.map((j) => [j.id, j.queued]))
  const running = new Map<JobId, number>(jobs.map((j) => [j.id, j.running]))

  const up: Array<Slot> = []
  const coming: Array<Slot> = []
  const held = new Map<JobId, Array<Slot>>()
  for (const machine of snapshot.machines) {
    if (machine.state !== "up" && machine.state !== "coming") continue
    const slot: Slot = { machine, reserved: machine.reserved, free: machine.free }
    if (machine.state === "coming") coming.push(slot)
    else if (machine.free.cores > EPSILON) up.push(slot)
    if (machine.holder === null) continue
    const of = held.get(machine.holder)
    if (of === undefined) held.set(machine.holder, [slot])
    else of.push(slot)
  }
  const floor: Floor = { kinds: byKind(up), spare: spareCores(snapshot.machines, snapshot.reserve) }
  // A job may be looked at twice: where its tasks are counts those placed a moment ago.
  const zones = new Map<JobId, Map<ZoneName, number>>()
  const place = (job: JobView, most: number, cached = false) => {
    const left = queued.get(job.id) ?? 0
    if (!job.mayStart || left === 0) return
    const inZones = zones.get(job.id) ?? new Map(job.zones)
    zones.set(job.id, inZones)
    const placed = placeJob(job, Math.min(left, most), cached, inZones, floor, snapshot, placements)
    queued.set(job.id, left - placed)
    running.set(job.id, (running.get(job.id) ?? 0) + placed)
  }
  for (const job of jobs) if (isOverdue(job)) place(job, tasksToBegin(job))
  for (const tier of tiers) {
    for (const run of runsOf(tier, canWait)) {
      if (run.length > 1) for (const job of run) place(job, job.queued, true)
      for (const job of run) place(job, job.queued)
    }
  }

  const rentable = new LimitRoom(snapshot.limits)
  const borrowable = new LimitRoom(snapshot.limits)
  for (const job of jobs) {
    const placed = job.queued - (queued.get(job.id) ?? 0)
    rentable.take(job, placed)
    borrowable.take(job, placed)
  }
  const limited: Array<JobView> = []

  let ahead = 0
  let steadyWanted = false
  const hires = new Map<Hireable, { count: number; readonly holder: JobId }>()
  const unplaced: Array<Unplaced> = []
  const comingKinds = byKind(coming)
  for (const job of jobs) {
    const pending = queued.get(job.id) ?? 0
    const own = held.get(job.id) ?? []
    if (pending === 0) {
      releaseOne(job, own, running.get(job.id) ?? 0, holders)
      continue
    }
    const late = startTooLate(job, pending, ahead, snapshot)
    ahead += pending * job.request.cores
    const room = rentable.tasksLeft(job)
    const allowedTasks = Math.min(pending, room)
    if (allowedTasks < pending) limited.push(job)
    // What is stopped for urgent work frees quota as well: here each job counts on its team's room for itself.
    const alone = roomOf(job, snapshot.limits)
    if (job.mayStart && alone > 0) {
      const tasks = Math.min(pending, borrowable.tasksLeft(job))
      const startable = Math.min(pending, roomOf(job, snapshot.teams))
      unplaced.push({ job, tasks, startable, pressing: Math.min(late, alone) })
      borrowable.take(job, tasks)
    }
    // The limit's room that tasks on machines that are up, or coming, will take is no reason to rent more.
    const onUp = expectOnUp(job, allowedTasks, zones.get(job.id) ?? job.zones, floor, snapshot.reserve)
    const { requested, missing } = wanted(
      job,
      pending,
      running.get(job.id) ?? 0,
      room - onUp,
      comingKinds,
      snapshot,
    )
    if (missing === 0) releaseOne(job, own, running.get(job.id) ?? 0, holders, pending)
    const steady = steadyHelps(job, late, snapshot.deploymentS)
    // What is up needs no boot: it stays for all that spot has no room for and that comes too late.
    steadyWanted ||= room > 0 && (late > 0 || (missing > 0 && steady)) && !spotOpen(job, snapshot)
    const asked = hire(job, missing, steady, snapshot, hires, comingKinds)
    // What the market can't give a job stays for the others of its team.
    rentable.take(job, onUp + requested + asked)
  }
  for (const job of limited) releaseIdle(held.get(job.id) ?? [], holders)
  return {
    placements,
    hires: [...hires].map(([hireable, { count, holder }]): PlannedHire => ({ hireable, count, holder })),
    holders,
    steadyWanted,
    unplaced,
    claims: rentable.taken(),
    // Otherwise it is fragments, or waits for a report: no reason to empty a machine.
    unusedCores: limited.length > 0 ? unusedCores(up) : 0,
    idle: new Set(up.filter(isIdle).map(({ machine }) => machine.id)),
  }
}

/** Room that is kept in reserve is of use. */
const unusedCores = (up: ReadonlyArray<Slot>): number => {
  let cores = 0
  for (const { free, reserved } of up) if (!reserved) cores += free.cores
  return cores
}

/** Nothing runs there, and no queued task is placed or expected there: each of those replaces `free`. */
const isIdle = ({ machine, free }: Slot): boolean =>
  machine.state === "up" && machine.busyTasks === 0 && free === machine.free

/**
 * Takes room on machines that are up for queued tasks that wait for something
 * else than a machine: for their part's share of the team's limit, mostly.
 * Returns for how many.
 */
const expectOnUp = (
  job: JobView,
  most: number,
  placed: ReadonlyMap<ZoneName, number>,
  floor: Floor,
  reserve: Snapshot["reserve"],
): number => {
  const { request } = job
  const zones = new Map(placed)
  let left = most
  for (const kind of floor.kinds) {
    if (left <= 0) break
    if (!allowed(request, kind)) continue
    for (const slot of kind.slots) {
      if (slot.reserved && job.rank < reserve.rank) continue
      const take = Math.min(left, slotsIn(request, slot.free), zoneAllowance(request, zones, kind.zone))
      if (take <= 0) continue
      slot.free = minus(slot.free, request, take)
      zones.set(kind.zone, (zones.get(kind.zone) ?? 0) + take)
      left -= take
    }
  }
  return most - left
}

/** A job held back by its team's limit gives back a machine on which the limit lets nothing run. */
const releaseIdle = (held: ReadonlyArray<Slot>, holders: Map<MachineId, JobId | null>): void => {
  const idle = held.find(isIdle)
  if (idle !== undefined) holders.set(idle.machine.id, null)
}

/**
 * A job without a deadline that has more than this part of its time to start
 * left lets others go before it on machines that have their image: where one
 * task ends, its image's next one begins at once, instead of both jobs fetching
 * on each other's machines. What is judged by a job's last task, deadlines
 * and the time when it is done, keeps its order.
 */
const YIELDS = 0.5
const canWait = ({ timeLeftS, startWithinS, ageS }: JobView): boolean =>
  timeLeftS === null && startWithinS !== null && ageS < startWithinS * (1 - YIELDS)
/** Neighbours that pass, together; all others alone. */
const runsOf = <A>(all: ReadonlyArray<A>, passes: (one: A) => boolean): ReadonlyArray<ReadonlyArray<A>> => {
  const runs: Array<Array<A>> = []
  let open: Array<A> | null = null
  for (const one of all) {
    const joins = passes(one)
    if (joins && open !== null) open.push(one)
    else {
      runs.push([one])
      open = joins ? runs.at(-1)! : null
    }
  }
  return runs
}

/** How many more tasks the job's team may start. */
const roomOf = (job: JobView, teams: Snapshot["teams"]): number => {
  const room = teams.get(job.request.owner)
  return room === undefined ? 0 : tasksWithin(job, room)
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
  const { ending } = snapshot.load()
  const last = Math.min(ending.length, Math.floor(withinS))
  for (let s = 0; s < last; s++) {
    const ended = ending[s] ?? 0
    if (ended > 0) cores += ended * (1 + Math.floor((withinS - s) / executionS))
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

/** Room on machines that are up, as the plan fills it. */
interface Floor {
  readonly kinds: ReadonlyArray<Kind>
  /** Cores on machines with the reserve's images that work of lower rank may still take. */
  spare: number
}

/** For a job whose tasks stay together and of which none is placed: the zone with the most room. */
const roomiestZone = (
  job: JobView,
  zones: ReadonlyMap<ZoneName, number>,
  kinds: ReadonlyArray<Kind>,
): ZoneName | null => {
  if (!job.request.together || zones.size > 0) return null
  const room = new Map<ZoneName, number>()
  for (const kind of kinds) {
    let slots = room.get(kind.zone) ?? 0
    for (const slot of kind.slots) slots += slotsIn(job.request, slot.free)
    room.set(kind.zone, slots)
  }
  let best: ZoneName | null = null
  for (const [zone, slots] of room) if (best === null || slots > (room.get(best) ?? 0)) best = zone
  return best
}

/** Returns how many of its tasks found room. */
const placeJob = (
  job: JobView,
  most: number,
  /** Only where its image is. */
  cached: boolean,
  zones: Map<ZoneName, number>,
  floor: Floor,
  snapshot: Snapshot,
  placements: Array<PlannedPlacement>,
): number => {
  const { request } = job
  const team = snapshot.teams.get(request.owner)
  let left = Math.min(most, roomOf(job, snapshot.teams))
  if (team === undefined || left <= 0) return 0
  const below = job.rank < snapshot.reserve.rank
  const kinds = floor.kinds.filter((kind) => kind.slots.length > 0 && allowed(request, kind))
  const only = roomiestZone(job, zones, kinds)
  const options: Array<{ readonly slot: Slot; readonly score: number }> = []
  for (const kind of kinds) {
    if (only !== null && kind.zone !== only) continue
    for (const slot of kind.slots) {
      if (!fits(request, slot.free)) continue
      if (cached && !slot.machine.images.has(request.bundle)) continue
      const kept = below && slot.reserved
      if (kept && floor.spare < request.cores) continue
      const lendable = snapshot.othersWait && slot.machine.busyTasks === 0
      const cost = (kept ? RESERVED_S : 0) + (lendable ? job.executionS * LENDABLE : 0)
      options.push({ slot, score: suitability(job, slot) - cost })
    }
  }
  options.sort((a, b) => b.score - a.score)
  let placed = 0
  for (const { slot } of options) {
    if (left <= 0) break
    const { machine } = slot
    let take = Math.min(left, slotsIn(request, slot.free), zoneAllowance(request, zones, machine.zone))
    if (below && slot.reserved) take = Math.min(take, Math.floor((floor.spare + EPSILON) / request.cores))
    if (take <= 0) continue
    slot.free = minus(slot.free, request, take)
    if (slot.reserved) floor.spare -= request.cores * take
    team.cores -= request.cores * take
    team.accelerators -= request.accelerators * take
    zones.set(machine.zone, (zones.get(machine.zone) ?? 0) + take)
    for (let i = 0; i < take; i++) placements.push({ job: job.id, machine: machine.id })
    left -= take
    placed += take
  }
  if (placed > 0) for (const kind of kinds) kind.slots = kind.slots.filter((s) => s.free.cores > EPSILON)
  return placed
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

/** What a job counts on beyond the machines that are up, in slots. */
interface Provision {
  /** On machines that are coming. */
  readonly requested: number
  /** On machines to ask for. */
  readonly missing: number
}

/**
 * Slots to ask for beyond what runs and what is coming; takes what it counts
 * on from `coming`. Never more than `most`, which the team's limit allows.
 */
const wanted = (
  job: JobView,
  pending: number,
  running: number,
  most: number,
  coming: ReadonlyArray<Kind>,
  snapshot: Snapshot,
): Provision => {
  const needed = (requestedResources: number): number =>
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
  const extra = (requested: number): number => Math.min(needed(requested), most - requested)
  // Machines asked for on this job's behalf come first, then room that others left on theirs.
  let requested = 0
  const kinds = coming.filter((kind) => kind.slots.length > 0 && allowed(job.request, kind))
  for (const own of [true, false]) {
    for (const kind of kinds) {
      for (const slot of kind.slots) {
        if ((slot.machine.holder === job.id) !== own) continue
        const missing = extra(requested)
        if (missing === 0) return { requested, missing }
        const take = Math.min(missing, slotsIn(job.request, slot.free))
        slot.free = minus(slot.free, job.request, take)
        requested += take
      }
      kind.slots = kind.slots.filter((s) => s.free.cores > EPSILON)
    }
  }
  return { requested, missing: extra(requested) }
}

/**
 * Without a deadline, enough slots to start the queue in half the time in
 * which the aims want it started. What runs now makes room in time only if
 * that leaves more than one round.
 */
const baseFleet = (job: JobView, pending: number, running: number, requested: number): number => {
  const horizon = Math.max(0, (job.startWithinS ?? 120) / 2 - job.ageS)
  const rounds = Math.max(1, Math.floor(horizon / job.executionS) + 1)
  return Math.max(0, Math.ceil(pending / rounds) - (rounds > 1 ? running : 0) - requested)
}

const releaseOne = (
  job: JobView,
  held: ReadonlyArray<Slot>,
  running: number,
  holders: Map<MachineId, JobId | null>,
  pending = 0,
): void => {
  let idlest: Slot | null = null
  let free = 0
  for (const slot of held) {
    free += slotsIn(job.request, slot.free)
    const { state, busyTasks } = slot.machine
    if (state === "up" && (idlest === null || busyTasks < idlest.machine.busyTasks)) idlest = slot
  }
  if (idlest === null) return
  const input = {
    pendingTasks: pending,
    resources: running + free,
    executionTime: job.executionS,
    timeLeft: job.timeLeftS ?? Number.POSITIVE_INFINITY,
  }
  if (pending === 0 || canGiveBack(input, slotsIn(job.request, idlest.machine.type)))
    holders.set(idlest.machine.id, null)
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

/**
 * Asks for the cheapest kind that fits: spot before steady, the zone with
 * fewer of our machines before others. What one rental can't hold is asked of
 * kinds about as cheap. Returns for how many of the missing tasks it asked.
 */
const hire = (
  job: JobView,
  missing: number,
  steadyToo: boolean,
  snapshot: Snapshot,
  hires: Map<Hireable, { count: number; readonly holder: JobId }>,
  coming: Array<Kind>,
): number => {
  if (missing <= 0) return 0
  const dearest = snapshot.dearestSteady * cheapestWork(job, missing, snapshot)
  const options: Array<{ readonly option: Hireable; readonly cost: number }> = []
  for (const option of snapshot.market) {
    if (!allowed(job.request, option) || zoneAllowance(job.request, job.zones, option.zone) <= 0) continue
    const work = costOfWork(job, missing, option.type, option.price)
    if (!option.spot && (!steadyToo || (job.request.loaners && work > dearest))) continue
    options.push({ option, cost: work + (option.spot ? 0 : STEADY_LAST) })
  }
  options.sort((a, b) =>
    Math.abs(a.cost - b.cost) < EPSILON ? a.option.ours - b.option.ours : a.cost - b.cost,
  )
  const limit = (options[0]?.cost ?? 0) * ABOUT_AS_CHEAP
  let left = missing
  for (const { option, cost } of options) {
    if (left <= 0 || cost > limit + EPSILON) break
    if (option.asked) continue
    const asked = hires.get(option)
    const per = slotsIn(job.request, option.type)
    const count = Math.min(Math.ceil(left / per), snapshot.rentalSize - (asked?.count ?? 0))
    if (count <= 0) continue
    if (asked === undefined) hires.set(option, { count, holder: job.id })
    else asked.count += count
    const spare = per * count - left
    left -= per * count
    // What the last machine has to spare is there for the jobs that follow.
    if (spare > 0) leaveToOthers(job, option, minus(option.type, job.request, per - spare), coming)
  }
  return missing - Math.max(0, left)
}

const leaveToOthers = (
  job: JobView,
  { type, zone, spot }: Hireable,
  free: Room,
  coming: Array<Kind>,
): void => {
  const machine: MachineView = {
    id: "" as MachineId,
    type,
    zone,
    spot,
    free,
    busyTasks: 0,
    images: NO_IMAGES,
    reserved: false,
    state: "coming",
    holder: job.id,
  }
  const slot: Slot = { machine, reserved: false, free }
  const alike = coming.find((k) => k.type === type && k.zone === zone && k.spot === spot)
  if (alike === undefined) coming.push({ type, zone, spot, slots: [slot] })
  else alike.slots.push(slot)
}
const NO_IMAGES = { has: () => false }
