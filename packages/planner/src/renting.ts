/** Chooses the kinds of machine to rent: the cheapest for the work, spot before on-demand. */
import { type JobId, MAX_TASKS_ON_MACHINE, type MachineId, type MachineType } from "@sorreltally/protocol"
import { binOf, type MachineGroup } from "./bins.ts"
import { EPSILON, fits, slotsIn, subtractTasks } from "./capacity.ts"
import { isEligible, zoneAllowance } from "./eligibility.ts"
import type { Capacity, JobView, MachineView, Offer, Snapshot } from "./input.ts"

/**
 * Added to the cost of on-demand machines. Above any price, so that they are rented only once every fitting
 * spot kind is refused.
 */
const ON_DEMAND_COST_PENALTY = 1e6

/**
 * Maximum cost, relative to the cheapest kind, of the other kinds that are requested without waiting for the
 * response about the cheapest.
 */
const MAX_COST_RATIO_TO_CHEAPEST = 1.1

/** Rentals planned so far, by offer. The machines are assigned to the first job that requests them. */
export type RentalsByOffer = Map<Offer, { count: number; readonly assignedJob: JobId }>

/** Cost per second of one task's run time on a machine that first has to boot. */
const costPerTaskSecond = (job: JobView, shortfall: number, type: MachineType, price: number): number => {
  const slots = Math.max(1, Math.min(shortfall, slotsIn(job.spec, type)))
  return (price * (type.bootS + job.executionS)) / (slots * job.executionS)
}

/** Lowest such cost of all machine types, whether or not they are offered now. */
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

/** Tasks of a job for which machines are to be rented. */
export interface RentalDemand {
  readonly job: JobView
  /** Number of tasks without a slot. */
  readonly shortfall: number
  readonly onDemandAllowed: boolean
}

interface RankedOffer {
  readonly offer: Offer
  readonly cost: number
}

/** Offers that the job may use, cheapest first; ties go to the zone with the fewest rented machines. */
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
 * Plans rentals of the cheapest kind that fits. Tasks beyond the size of one rental go to kinds within
 * `MAX_COST_RATIO_TO_CHEAPEST`. Returns the number of tasks covered.
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
    // Spare capacity of the last machine is available to later jobs.
    if (spareSlots > 0)
      addSpareCapacity(job, offer, subtractTasks(offer.type, job.spec, tasksPerMachine - spareSlots), booting)
  }
  return shortfall - Math.max(0, tasksLeft)
}

const NO_IMAGES = { has: () => false }

/** Adds the free capacity of a machine to be rented to the booting machines. */
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
  const sameKind = booting.find((group) => group.type === type && group.zone === zone && group.spot === spot)
  if (sameKind === undefined) booting.push({ type, zone, spot, bins: [bin] })
  else sameKind.bins.push(bin)
}
