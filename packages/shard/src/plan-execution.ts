/**
 * Carries one plan's decisions out: placements, rentals, and machines' assigned jobs. A placement
 * made here is only proposed: it starts nothing before the job registry has made it durable, with
 * conditions that fence an owner that lost the shard.
 */
import type { JobState, Placement } from "@sorreltally/jobs"
import type { Plan } from "@sorreltally/planner"
import {
  type Attempt,
  type MachineId,
  type ModRevision,
  type MonotonicTime,
  makeTaskId,
} from "@sorreltally/protocol"
import type { QuotaAllocation } from "@sorreltally/quota"
import type { JobRegistry } from "./job-registry.ts"
import type { Rentals } from "./rentals.ts"
import type { ShardView } from "./shard-context.ts"

/** Attempts that one owner can make before its numbers reach those of the next shard epoch. */
const ATTEMPTS_PER_EPOCH = 2 ** 20

/** What decisions act on. */
export interface PlanExecutionOptions {
  readonly shard: ShardView
  /** The shard epoch of this owner. */
  readonly epoch: ModRevision
  readonly registry: JobRegistry
  readonly quotas: QuotaAllocation
  readonly rentals: () => Rentals
}

/** The only place where a shard's placements are made. */
export class PlanExecution {
  private attempts = 0

  constructor(private readonly options: PlanExecutionOptions) {}

  /** All decisions of a plan but those that its caller publishes. */
  carryOut({ placements, assignedJobs, rentals, onDemandNeeded }: Plan, now: MonotonicTime): void {
    const { shard } = this.options
    for (const { job: id, machine } of placements) {
      const job = shard.jobs.get(id)
      if (job !== undefined) this.place(job, machine, now)
    }
    for (const [machine, assignedJob] of assignedJobs) {
      const assignment = shard.assignments.get(machine)
      if (assignment !== undefined) assignment.assignedJob = assignedJob
    }
    for (const rental of rentals) this.options.rentals().scaleOut(rental)
    if (onDemandNeeded) for (const assignment of shard.assignments.values()) assignment.closing = false
  }

  /** Places the job's next queued task; none if the machine is gone or its agent is unknown. */
  private place(job: JobState, machine: MachineId, now: MonotonicTime): void {
    const { shard, epoch, registry, quotas } = this.options
    const session = shard.machines.get(machine)
    if (session === undefined || session.agentEpoch === null) return
    const index = job.nextQueued()
    if (index === null) return
    // The epoch makes attempts of different owners differ, the counter those of one.
    const attempt = (epoch * ATTEMPTS_PER_EPOCH + ++this.attempts) as Attempt
    const placement: Placement = {
      job,
      index,
      task: makeTaskId(job.id, index),
      machine,
      agentEpoch: session.agentEpoch,
      attempt,
      durable: false,
      inherited: false,
      stop: null,
      placedAt: now,
      runningSince: null,
      unacknowledgedStarts: 0,
    }
    job.place(placement)
    session.addPlacement(placement)
    registry.place(placement)
    quotas.taskStarted(job.spec.team)
  }
}
