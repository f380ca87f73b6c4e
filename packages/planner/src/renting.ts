/** Which kinds of machine are asked for: the cheapest for the work, spot before steady. */
import { type JobId, MAX_TASKS_ON_MACHINE, type MachineId, type MachineType } from "@sorreltally/protocol"
import { binOf, type MachineGroup } from "./bins.ts"
import {
  allowed,
  type Capacity,
  EPSILON,
  fits,
  type JobView,
  type MachineView,
  minus,
  type Offer,
  type Snapshot,
  slotsIn,
  zoneAllowance,
} from "./model.ts"

/** Above any price: steady machines are the fall-back once every fitting kind of spot is refused. */
const ON_DEMAND_PENALTY = 1e6

/** A kind that costs at most this much more is asked as well, rather than waiting for the cheapest one's answer. */
const ABOUT_AS_CHEAP = 1.1

/** Money for a second of one task's work on a machine that first has to boot. */
const costOfWork = (job: JobView, missing: number, type: MachineType, price: number): number => {
  const slots = Math.max(1, Math.min(missing, slotsIn(job.spec, type)))
  return (price * (type.bootS + job.executionS)) / (slots * job.executionS)
}
/** What that costs at best, whether such machines can be had now or not. */
const cheapestWork = (job: JobView, missing: number, snapshot: Snapshot): number => {
  let cheapest = Number.POSITIVE_INFINITY
  for (const type of snapshot.types) {
    if (!fits(job.spec, type)) continue
    const price = job.spec.spotAllowed ? Math.min(type.spotPrice, type.onDemandPrice) : type.onDemandPrice
    cheapest = Math.min(cheapest, costOfWork(job, missing, type, price))
  }
  return cheapest
}

/**
 * Asks for the cheapest kind that fits: spot before steady, the zone with
 * fewer of our machines before others. What one rental can't hold is asked of
 * kinds about as cheap. Returns for how many of the missing tasks it asked.
 */
export const planRentals = (
  job: JobView,
  missing: number,
  onDemandAllowed: boolean,
  snapshot: Snapshot,
  rentals: Map<Offer, { count: number; readonly assignedJob: JobId }>,
  coming: Array<MachineGroup>,
): number => {
  if (missing <= 0) return 0
  const dearest = snapshot.maxOnDemandCostRatio * cheapestWork(job, missing, snapshot)
  const options: Array<{ readonly option: Offer; readonly cost: number }> = []
  for (const option of snapshot.market) {
    if (!allowed(job.spec, option) || zoneAllowance(job.spec, job.zones, option.zone) <= 0) continue
    const work = costOfWork(job, missing, option.type, option.price)
    if (!option.spot && (!onDemandAllowed || (job.spec.spotAllowed && work > dearest))) continue
    options.push({ option, cost: work + (option.spot ? 0 : ON_DEMAND_PENALTY) })
  }
  options.sort((a, b) =>
    Math.abs(a.cost - b.cost) < EPSILON ? a.option.ours - b.option.ours : a.cost - b.cost,
  )
  const limit = (options[0]?.cost ?? 0) * ABOUT_AS_CHEAP
  let left = missing
  for (const { option, cost } of options) {
    if (left <= 0 || cost > limit + EPSILON) break
    if (option.asked) continue
    const asked = rentals.get(option)
    const per = Math.min(slotsIn(job.spec, option.type), MAX_TASKS_ON_MACHINE)
    const count = Math.min(Math.ceil(left / per), snapshot.rentalSize - (asked?.count ?? 0))
    if (count <= 0) continue
    if (asked === undefined) rentals.set(option, { count, assignedJob: job.id })
    else asked.count += count
    const spare = per * count - left
    left -= per * count
    // What the last machine has to spare is there for the jobs that follow.
    if (spare > 0) leaveToOthers(job, option, minus(option.type, job.spec, per - spare), coming)
  }
  return missing - Math.max(0, left)
}

const leaveToOthers = (
  job: JobView,
  { type, zone, spot }: Offer,
  free: Capacity,
  coming: Array<MachineGroup>,
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
    state: "booting",
    assignedJob: job.id,
  }
  const slot = binOf(machine)
  const alike = coming.find((k) => k.type === type && k.zone === zone && k.spot === spot)
  if (alike === undefined) coming.push({ type, zone, spot, slots: [slot] })
  else alike.slots.push(slot)
}
const NO_IMAGES = { has: () => false }
