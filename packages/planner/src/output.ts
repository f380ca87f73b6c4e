/** What a plan decides. Only the caller carries it out: the planner changes nothing outside the plan. */
import type { JobId, MachineId, TeamName } from "@sorreltally/protocol"
import type { JobView, Offer, QuotaHeadroom } from "./input.ts"

/** The job's next queued task goes to this machine. */
export interface PlannedPlacement {
  readonly job: JobId
  readonly machine: MachineId
}

/** Machines to ask for. */
export interface PlannedRental {
  readonly offer: Offer
  readonly count: number
  /** The job on whose behalf; null: for the pool. */
  readonly assignedJob: JobId | null
}

/** Queued tasks of a job for which no ready machine has capacity. */
export interface UnplacedTasks {
  readonly job: JobView
  /** Those that the team's limit leaves room for beside the jobs before. */
  readonly tasks: number
  /** Those of them that could start at once if there were capacity. */
  readonly startableTasks: number
  /** Those of them that start too late for an objective or the deadline unless capacity is made. */
  readonly urgentTasks: number
}

/** All decisions of one plan. */
export interface Plan {
  readonly placements: ReadonlyArray<PlannedPlacement>
  readonly rentals: ReadonlyArray<PlannedRental>
  /** Machines whose assigned job changes; null: to the pool. */
  readonly assignedJobs: ReadonlyMap<MachineId, JobId | null>
  /** Some work needs machines that spot can't provide: on-demand ones that we have are kept in use. */
  readonly onDemandNeeded: boolean
  /** Queued tasks without capacity, most urgent job first. */
  readonly unplaced: ReadonlyArray<UnplacedTasks>
  /** What the plan counts on of each team's limit beyond what is used: placed, expected on machines, or rented for. */
  readonly claims: ReadonlyMap<TeamName, QuotaHeadroom>
  /** Cores on ready machines for which our queued tasks have no use because of their teams' limits. */
  readonly unusedCores: number
  /** Jobs of which the teams' limits let some queued tasks neither start nor rent. */
  readonly quotaLimitedJobs: ReadonlySet<JobId>
  /** Machines that are ready, empty and of use to no queued task: none fits, or the teams' limits let none start. */
  readonly idleMachines: ReadonlySet<MachineId>
}
