/** Which kinds of machine are asked for: the cheapest for the work, spot before on-demand. */
import { type JobId, MAX_TASKS_ON_MACHINE, type MachineId, type MachineType } from "@sorreltally/protocol"
import { binOf, type MachineGroup } from "./bins.ts"
import { EPSILON, fits, slotsIn, subtractTasks } from "./capacity.ts"
import { isEligible, zoneAllowance } from "./eligibility.ts"
import type { Capacity, JobView, MachineView, Offer, Snapshot } from "./input.ts"

/** Above any price: on-demand machines are the fall-back once every fitting kind of spot is refused. */
const ON_DEMAND_COST_PENALTY = 1e6

/** A kind that costs at most this much more is asked as well, rather than waiting for the cheapest one's answer. */
const MAX_COST_RATIO_TO_CHEAPEST = 1.1

/** Rentals planned so far, by what is asked for; the first job to ask has the machines assigned. */
export type RentalsByOffer = Map<Offer, { count: number; readonly assignedJob: JobId }>

/** Money for a second of one task's work on a machine that first has to boot. */
const costPerTaskSecond = (job: JobView, shortfall: number, type: MachineType, price: number): number => {
  const slots = Math.max(1, Math.min(shortfall, slotsIn(job.spec, type)))
  return (price * (type.bootS + job.executionS)) / (slots * job.executionS)
}

/** What that costs at best, whether such machines can be had now or not. */
const lowestCostPerTaskSecond = (
  job: JobView,
  shortfall: number,
  types: ReadonlyArray<MachineType>,
): number => {
  let cheapest = Number.POSITIVE_INFINITY
  for (const type of types) {
    if (!fits(job.spec, type)) continue
    const price = job.spec.spotAllowed ? Math.min(type.spotPrice, type.onDemandPrice) : type.onDemandPrice
    cheapest = Math.min(cheapest, costPerTaskSecond(job, shortfall, type, price))
  }
  return cheapest
}

/** The tasks of a job for which machines are to be rented. */
export interface RentalDemand {
  readonly job: JobView
  /** How many. */
  readonly shortfall: number
  readonly onDemandAllowed: boolean
}

interface RankedOffer {
  readonly offer: Offer
  readonly cost: number
}

/** Offers that the job may use, the cheapest first; of equally cheap ones, the zone with fewer of our machines. */
const rankedOffers = (
  { job, shortfall, onDemandAllowed }: RentalDemand,
  snapshot: Snapshot,
): ReadonlyArray<RankedOffer> => {
  const maxOnDemandCost =
    snapshot.maxOnDemandCostRatio * lowestCostPerTaskSecond(job, shortfall, snapshot.machineTypes)
  const ranked: Array<RankedOffer> = []
  for (const offer of snapshot.offers) {
    if (!isEligible(job.spec, offer) || zoneAllowance(job.spec, job.tasksByZone, offer.zone) <= 0) continue
    const cost = costPerTaskSecond(job, shortfall, offer.type, offer.price)
    if (!offer.spot && (!onDemandAllowed || (job.spec.spotAllowed && cost > maxOnDemandCost))) continue
    ranked.push({ offer, cost: cost + (offer.spot ? 0 : ON_DEMAND_COST_PENALTY) })
  }
  return ranked.sort((a, b) =>
    Math.abs(a.cost - b.cost) < EPSILON ? a.offer.machinesInZone - b.offer.machinesInZone : a.cost - b.cost,
  )
}

/**
 * Asks for the cheapest kind that fits. What one rental can't hold is asked of
 * kinds about as cheap. Returns for how many of the tasks it asked.
 */
export const planRentals = (
  demand: RentalDemand,
  snapshot: Snapshot,
  rentals: RentalsByOffer,
  booting: Array<MachineGroup>,
): number => {
  const { job, shortfall } = demand
  if (shortfall <= 0) return 0
  const offers = rankedOffers(demand, snapshot)
  const maxCost = (offers[0]?.cost ?? 0) * MAX_COST_RATIO_TO_CHEAPEST
  let tasksLeft = shortfall
  for (const { offer, cost } of offers) {
    if (tasksLeft <= 0 || cost > maxCost + EPSILON) break
    if (offer.hasPendingRequest) continue
    const planned = rentals.get(offer)
    const tasksPerMachine = Math.min(slotsIn(job.spec, offer.type), MAX_TASKS_ON_MACHINE)
    const count = Math.min(
      Math.ceil(tasksLeft / tasksPerMachine),
      snapshot.maxMachinesPerRental - (planned?.count ?? 0),
    )
    if (count <= 0) continue
    if (planned === undefined) rentals.set(offer, { count, assignedJob: job.id })
    else planned.count += count
    const spareSlots = tasksPerMachine * count - tasksLeft
    tasksLeft -= tasksPerMachine * count
    // What the last machine has to spare is there for the jobs that follow.
    if (spareSlots > 0)
      addSpareCapacity(job, offer, subtractTasks(offer.type, job.spec, tasksPerMachine - spareSlots), booting)
  }
  return shortfall - Math.max(0, tasksLeft)
}

const NO_IMAGES = { has: () => false }

/** Adds the free capacity of a machine to be rented to the booting ones. */
const addSpareCapacity = (
  job: JobView,
  { type, zone, spot }: Offer,
  free: Capacity,
  booting: Array<MachineGroup>,
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
  const bin = binOf(machine)
  const group = booting.find((group) => group.type === type && group.zone === zone && group.spot === spot)
  if (group === undefined) booting.push({ type, zone, spot, bins: [bin] })
  else group.bins.push(bin)
}
