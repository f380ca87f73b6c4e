/**
 * The second half of a plan: what the jobs still need once queued tasks are placed. Job after job,
 * in scheduling order, it decides what is published as unplaced, what is rented, and which machine
 * a job releases; each takes what it counts on from its team's headroom, so that those after it don't.
 */
import type { JobId, MachineId } from "@sorreltally/protocol"
import type { Bin } from "./bins.ts"
import type { Fleet } from "./fleet.ts"
import type { JobView, Snapshot } from "./input.ts"
import { tasksStartingTooLate } from "./lateness.ts"
import { QuotaBudget, tasksWithinQuota } from "./limits.ts"
import type { Plan, PlannedRental, UnplacedTasks } from "./output.ts"
import { reserveOnReady } from "./placement.ts"
import type { JobProgress } from "./placement-pass.ts"
import { onDemandJustified, planProvision, spotAvailable } from "./provisioning.ts"
import { releaseIdleMachine, releaseMachine } from "./release.ts"
import { planRentals, type RentalsByOffer } from "./renting.ts"

/** What the pass starts from. */
export interface DemandPassInput {
  readonly snapshot: Snapshot
  readonly fleet: Fleet
  /** The jobs' tasks after the placement pass; every job of the plan has an entry. */
  readonly progress: ReadonlyMap<JobId, JobProgress>
}

/** One pass: `run` once, then read the decisions. */
export class DemandPass {
  private readonly snapshot: Snapshot
  private readonly fleet: Fleet
  private readonly progress: ReadonlyMap<JobId, JobProgress>
  /** What may still be rented for, by team. */
  private readonly rentableQuota: QuotaBudget
  /** What machines of other shards may still be borrowed for, by team. */
  private readonly borrowableQuota: QuotaBudget
  private readonly assignedJobs = new Map<MachineId, JobId | null>()
  private readonly rentals: RentalsByOffer = new Map()
  private readonly unplaced: Array<UnplacedTasks> = []
  private readonly quotaLimitedJobs: Array<JobView> = []
  /** Cores of queued tasks of the jobs so far. */
  private backlogCores = 0
  private onDemandNeeded = false

  constructor({ snapshot, fleet, progress }: DemandPassInput) {
    this.snapshot = snapshot
    this.fleet = fleet
    this.progress = progress
    this.rentableQuota = new QuotaBudget(snapshot.limitHeadroom)
    this.borrowableQuota = new QuotaBudget(snapshot.limitHeadroom)
  }

  /** Decides for all jobs, in their order; called once. */
  run(jobs: ReadonlyArray<JobView>): void {
    for (const job of jobs) {
      const placed = job.queued - this.progressOf(job).queued
      this.rentableQuota.take(job, placed)
      this.borrowableQuota.take(job, placed)
    }
    for (const job of jobs) {
      if (this.progressOf(job).queued === 0) this.releaseOneMachine(job)
      else this.planQueuedJob(job)
    }
    for (const job of this.quotaLimitedJobs) releaseIdleMachine(this.assignedTo(job), this.assignedJobs)
  }

  /** What it decided, in the plan's terms. */
  decisions(): Pick<
    Plan,
    "rentals" | "assignedJobs" | "onDemandNeeded" | "unplaced" | "claims" | "quotaLimitedJobs"
  > {
    return {
      rentals: [...this.rentals].map(
        ([offer, { count, assignedJob }]): PlannedRental => ({ offer, count, assignedJob }),
      ),
      assignedJobs: this.assignedJobs,
      onDemandNeeded: this.onDemandNeeded,
      unplaced: this.unplaced,
      claims: this.rentableQuota.taken(),
      quotaLimitedJobs: new Set(this.quotaLimitedJobs.map(({ id }) => id)),
    }
  }

  private progressOf(job: JobView): JobProgress {
    return this.progress.get(job.id)!
  }
  private assignedTo(job: JobView): ReadonlyArray<Bin> {
    return this.fleet.assigned.get(job.id) ?? []
  }
  private releaseOneMachine(job: JobView): void {
    releaseMachine(job, this.assignedTo(job), this.progressOf(job), this.assignedJobs)
  }

  /** For a job with queued tasks left. */
  private planQueuedJob(job: JobView): void {
    const { queued } = this.progressOf(job)
    const lateTasks = tasksStartingTooLate(job, queued, this.backlogCores, this.snapshot.load)
    this.backlogCores += queued * job.spec.cores
    if (this.rentableQuota.tasksLeft(job) < queued) this.quotaLimitedJobs.push(job)
    this.recordUnplaced(job, queued, lateTasks)
    this.planMachines(job, lateTasks)
  }

  private recordUnplaced(job: JobView, queued: number, lateTasks: number): void {
    const { limitHeadroom, allocationHeadroom } = this.snapshot
    // What is preempted for urgent work frees quota as well: here each job counts on its team's headroom for itself.
    const tasksWithinLimit = tasksWithinQuota(job, limitHeadroom)
    if (!job.mayStart || !(tasksWithinLimit > 0)) return
    const tasks = Math.min(queued, this.borrowableQuota.tasksLeft(job))
    const startableTasks = Math.min(queued, tasksWithinQuota(job, allocationHeadroom))
    this.unplaced.push({ job, tasks, startableTasks, urgentTasks: Math.min(lateTasks, tasksWithinLimit) })
    this.borrowableQuota.take(job, tasks)
  }

  /** Machines for a job's queued tasks: those that are ready or boot first, then rentals. */
  private planMachines(job: JobView, lateTasks: number): void {
    const { snapshot, fleet } = this
    const { queued, running, tasksByZone } = this.progressOf(job)
    const headroom = this.rentableQuota.tasksLeft(job)
    const withinLimit = Math.min(queued, headroom)
    // The limit's headroom that tasks on ready or booting machines will take is no reason to rent more.
    const tasksOnReady = reserveOnReady(job, withinLimit, tasksByZone, fleet.ready, snapshot.reserve)
    // Guards against machine after machine for a task that waits for quota beside an empty one.
    const maxSlots = tasksOnReady >= withinLimit ? 0 : headroom - tasksOnReady
    const { requestedSlots, shortfall } = planProvision(
      { job, queued, running, maxSlots },
      fleet.booting,
      snapshot.deploymentS,
    )
    if (shortfall === 0) this.releaseOneMachine(job)
    const onDemandAllowed = onDemandJustified(job, lateTasks, snapshot.deploymentS)
    // What is ready needs no boot: it stays for all that spot has no room for and that starts too late.
    this.onDemandNeeded ||=
      headroom > 0 && (lateTasks > 0 || (shortfall > 0 && onDemandAllowed)) && !spotAvailable(job, snapshot)
    const rentedTasks = planRentals(
      { job, shortfall, onDemandAllowed: onDemandAllowed },
      snapshot,
      this.rentals,
      fleet.booting,
    )
    // What the market can't give a job stays for the others of its team.
    this.rentableQuota.take(job, tasksOnReady + requestedSlots + rentedTasks)
  }
}
