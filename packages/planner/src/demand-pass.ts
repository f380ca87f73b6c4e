/**
 * The second half of a plan: demand that is left once queued tasks are placed. For each job, in scheduling
 * order, it decides which tasks are published as unplaced, which machines are rented, and which machine the
 * job releases. Each job takes the quota it relies on from its team's headroom, so that later jobs of the
 * team don't rely on the same quota.
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
import { isOnDemandJustified, isSpotAvailable, planProvision } from "./provisioning.ts"
import { releaseIdleMachine, releaseMachine } from "./release.ts"
import { planRentals, type RentalsByOffer } from "./renting.ts"

/** Input of the demand pass. */
export interface DemandPassInput {
  readonly snapshot: Snapshot
  readonly fleet: Fleet
  /** Task counts of the jobs after the placement pass, with an entry for every job of the plan. */
  readonly progress: ReadonlyMap<JobId, JobProgress>
}

/** One demand pass: call `run` once, then read `decisions`. */
export class DemandPass {
  private readonly snapshot: Snapshot
  private readonly fleet: Fleet
  private readonly progress: ReadonlyMap<JobId, JobProgress>
  /** Quota for which machines may still be rented, by team. */
  private readonly rentableQuota: QuotaBudget
  /** Quota for which machines of other shards may still be borrowed, by team. */
  private readonly borrowableQuota: QuotaBudget
  private readonly assignedJobs = new Map<MachineId, JobId | null>()
  private readonly rentals: RentalsByOffer = new Map()
  private readonly unplaced: Array<UnplacedTasks> = []
  private readonly quotaLimitedJobs: Array<JobView> = []
  /** Cores of the queued tasks of the jobs planned so far. */
  private backlogCores = 0
  private onDemandNeeded = false

  constructor({ snapshot, fleet, progress }: DemandPassInput) {
    this.snapshot = snapshot
    this.fleet = fleet
    this.progress = progress
    this.rentableQuota = new QuotaBudget(snapshot.limitHeadroom)
    this.borrowableQuota = new QuotaBudget(snapshot.limitHeadroom)
  }

  /** Decides for all jobs, in the given order. Must be called only once. */
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
    for (const job of this.quotaLimitedJobs) releaseIdleMachine(this.assignedBins(job), this.assignedJobs)
  }

  /** The pass's part of the plan. */
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
  private assignedBins(job: JobView): ReadonlyArray<Bin> {
    return this.fleet.binsByAssignedJob.get(job.id) ?? []
  }
  private releaseOneMachine(job: JobView): void {
    releaseMachine(job, this.assignedBins(job), this.progressOf(job), this.assignedJobs)
  }

  /** Plans for a job that has queued tasks left. */
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
    // Preempting tasks for urgent work frees quota as well, so each job is checked against the whole headroom
    // of its team's limit, without what earlier jobs of the team took of it.
    const tasksWithinTeamLimit = tasksWithinQuota(job, limitHeadroom)
    if (!job.mayStart || !(tasksWithinTeamLimit > 0)) return
    const tasks = Math.min(queued, this.borrowableQuota.tasksLeft(job))
    const startableTasks = Math.min(queued, tasksWithinQuota(job, allocationHeadroom))
    this.unplaced.push({ job, tasks, startableTasks, urgentTasks: Math.min(lateTasks, tasksWithinTeamLimit) })
    this.borrowableQuota.take(job, tasks)
  }

  /** Finds machines for a job's queued tasks: ready and booting ones first, then rentals. */
  private planMachines(job: JobView, lateTasks: number): void {
    const { snapshot, fleet } = this
    const { queued, running, tasksByZone } = this.progressOf(job)
    const rentableTasks = this.rentableQuota.tasksLeft(job)
    const tasksWithinLimit = Math.min(queued, rentableTasks)
    // Headroom that tasks on ready or booting machines will use is not available for rentals.
    const tasksOnReady = reserveOnReady(job, tasksWithinLimit, tasksByZone, fleet.ready, snapshot.reserve)
    // Guards against renting one machine after another for a task that waits for quota although an empty
    // machine has capacity for it.
    const maxSlots = tasksOnReady >= tasksWithinLimit ? 0 : rentableTasks - tasksOnReady
    const { requestedSlots, shortfall } = planProvision(
      { job, queued, running, maxSlots },
      fleet.booting,
      snapshot.deploymentS,
    )
    if (shortfall === 0) this.releaseOneMachine(job)
    const onDemandAllowed = isOnDemandJustified(job, lateTasks, snapshot.deploymentS)
    // On-demand machines that are already up need no boot, so they are kept for any late task that spot has
    // no capacity for.
    this.onDemandNeeded ||=
      rentableTasks > 0 &&
      (lateTasks > 0 || (shortfall > 0 && onDemandAllowed)) &&
      !isSpotAvailable(job, snapshot)
    const rentedTasks = planRentals(
      { job, shortfall, onDemandAllowed },
      snapshot,
      this.rentals,
      fleet.booting,
    )
    // Headroom for which no machine can be rented stays available to the team's other jobs.
    this.rentableQuota.take(job, tasksOnReady + requestedSlots + rentedTasks)
  }
}
