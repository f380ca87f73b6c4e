/** One plan: what starts where, what is rented, and what is given back. */
import type { JobId, MachineId, ZoneName } from "@sorreltally/protocol"
import { type Bin, binOf, byKind as groupByKind, hasCapacity, isIdle, unusedCores } from "./bins.ts"
import { tasksStartingTooLate } from "./lateness.ts"
import { QuotaBudget, tasksWithinQuota } from "./limits.ts"
import {
  type JobView,
  type Offer,
  type Plan,
  type PlannedPlacement,
  type PlannedRental,
  type Snapshot,
  spareCores,
  type Unplaced,
} from "./model.ts"
import { schedulingTiers } from "./order.ts"
import { placeJob, type ReadyCapacity, reserveOnReady } from "./placement.ts"
import { onDemandJustified, planProvision, spotAvailable } from "./provisioning.ts"
import { releaseIdle, releaseMachine } from "./release.ts"
import { planRentals } from "./renting.ts"
import { isOverdue, tasksToBegin } from "./starvation.ts"
import { canWait, runsOf } from "./yielding.ts"

export const plan = (snapshot: Snapshot): Plan => {
  const tiers = schedulingTiers(snapshot.jobs, snapshot.load())
  const jobs = tiers.flat()
  const placements: Array<PlannedPlacement> = []
  const assignedJobs = new Map<MachineId, JobId | null>()
  const queued = new Map<JobId, number>(jobs.map((j) => [j.id, j.queued]))
  const running = new Map<JobId, number>(jobs.map((j) => [j.id, j.running]))

  const up: Array<Bin> = []
  const coming: Array<Bin> = []
  const held = new Map<JobId, Array<Bin>>()
  for (const machine of snapshot.machines) {
    if (machine.state !== "ready" && machine.state !== "booting") continue
    const slot = binOf(machine)
    if (machine.state === "booting") coming.push(slot)
    else if (hasCapacity(slot)) up.push(slot)
    if (machine.assignedJob === null) continue
    const of = held.get(machine.assignedJob)
    if (of === undefined) held.set(machine.assignedJob, [slot])
    else of.push(slot)
  }
  const floor: ReadyCapacity = {
    kinds: groupByKind(up),
    spare: spareCores(snapshot.machines, snapshot.reserve),
  }
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

  const rentable = new QuotaBudget(snapshot.limits)
  const borrowable = new QuotaBudget(snapshot.limits)
  for (const job of jobs) {
    const placed = job.queued - (queued.get(job.id) ?? 0)
    rentable.take(job, placed)
    borrowable.take(job, placed)
  }
  const limited: Array<JobView> = []

  let ahead = 0
  let onDemandNeeded = false
  const rentals = new Map<Offer, { count: number; readonly assignedJob: JobId }>()
  const unplaced: Array<Unplaced> = []
  const comingKinds = groupByKind(coming)
  for (const job of jobs) {
    const pending = queued.get(job.id) ?? 0
    const own = held.get(job.id) ?? []
    if (pending === 0) {
      releaseMachine(job, own, running.get(job.id) ?? 0, assignedJobs)
      continue
    }
    const late = tasksStartingTooLate(job, pending, ahead, snapshot)
    ahead += pending * job.spec.cores
    const room = rentable.tasksLeft(job)
    const allowedTasks = Math.min(pending, room)
    if (allowedTasks < pending) limited.push(job)
    // What is stopped for urgent work frees quota as well: here each job counts on its team's room for itself.
    const alone = tasksWithinQuota(job, snapshot.limits)
    if (job.mayStart && alone > 0) {
      const tasks = Math.min(pending, borrowable.tasksLeft(job))
      const startable = Math.min(pending, tasksWithinQuota(job, snapshot.teams))
      unplaced.push({ job, tasks, startable, urgent: Math.min(late, alone) })
      borrowable.take(job, tasks)
    }
    // The limit's room that tasks on machines that are up, or coming, will take is no reason to rent more.
    const onUp = reserveOnReady(job, allowedTasks, zones.get(job.id) ?? job.zones, floor, snapshot.reserve)
    const { requested, missing } = planProvision(
      job,
      pending,
      running.get(job.id) ?? 0,
      // Guards against machine after machine for a task that waits for quota beside an empty one.
      onUp >= allowedTasks ? 0 : room - onUp,
      comingKinds,
      snapshot,
    )
    if (missing === 0) releaseMachine(job, own, running.get(job.id) ?? 0, assignedJobs, pending)
    const onDemand = onDemandJustified(job, late, snapshot.deploymentS)
    // What is up needs no boot: it stays for all that spot has no room for and that comes too late.
    onDemandNeeded ||= room > 0 && (late > 0 || (missing > 0 && onDemand)) && !spotAvailable(job, snapshot)
    const asked = planRentals(job, missing, onDemand, snapshot, rentals, comingKinds)
    // What the market can't give a job stays for the others of its team.
    rentable.take(job, onUp + requested + asked)
  }
  for (const job of limited) releaseIdle(held.get(job.id) ?? [], assignedJobs)
  return {
    placements,
    rentals: [...rentals].map(
      ([offer, { count, assignedJob }]): PlannedRental => ({ offer, count, assignedJob }),
    ),
    assignedJobs,
    onDemandNeeded,
    unplaced,
    claims: rentable.taken(),
    // Otherwise it is fragments, or waits for a report: no reason to empty a machine.
    unusedCores: limited.length > 0 ? unusedCores(up) : 0,
    quotaLimited: new Set(limited.map(({ id }) => id)),
    idle: new Set(up.filter(isIdle).map(({ machine }) => machine.id)),
  }
}
