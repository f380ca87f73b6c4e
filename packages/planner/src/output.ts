/** Output of the planner: the decisions of one plan, which the caller executes. */
import type { JobId, MachineId, TeamName } from "@sorreltally/protocol"
import type { JobView, Offer, QuotaHeadroom } from "./input.ts"

/** Placement of the job's next queued task on a machine. */
export interface PlannedPlacement {
  readonly job: JobId
  readonly machine: MachineId
}

/** Machines to rent. */
export interface PlannedRental {
  readonly offer: Offer
  readonly count: number
  /** Job for which the machines are rented; null: for the shared pool. */
  readonly assignedJob: JobId | null
}

/** Queued tasks of a job for which no ready machine has capacity. */
export interface UnplacedTasks {
  readonly job: JobView
  /** Number of tasks within the team's limit, after the earlier jobs of the plan. */
  readonly tasks: number
  /** Number of tasks that could start at once if there were capacity. */
  readonly startableTasks: number
  /** Number of tasks that start too late for an objective or the deadline without preemption. */
  readonly urgentTasks: number
}

/** All decisions of one plan. */
export interface Plan {
  readonly placements: ReadonlyArray<PlannedPlacement>
  readonly rentals: ReadonlyArray<PlannedRental>
  /** New assigned jobs of machines whose assignment changes; null: released to the shared pool. */
  readonly assignedJobs: ReadonlyMap<MachineId, JobId | null>
  /** Whether some work needs machines that spot can't provide; on-demand machines are then kept. */
  readonly onDemandNeeded: boolean
  /** Queued tasks without capacity, in scheduling order of their jobs. */
  readonly unplaced: ReadonlyArray<UnplacedTasks>
  /**
   * Quota that the plan claims beyond what is in use, by team: for tasks that it places, expects on machines
   * or rents machines for.
   */
  readonly claims: ReadonlyMap<TeamName, QuotaHeadroom>
  /** Free cores on ready machines that queued tasks can't use because of their teams' limits. */
  readonly unusedCores: number
  /** Jobs with queued tasks for which their teams' limits allow neither a start nor a rental. */
  readonly quotaLimitedJobs: ReadonlySet<JobId>
  /** Ready, empty machines that no queued task can use: none fits, or the teams' limits let none start. */
  readonly idleMachines: ReadonlySet<MachineId>
}
