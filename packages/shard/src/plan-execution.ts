/**
 * Executes the decisions of a plan: placements, rentals, and the assigned jobs of machines. A placement made
 * here is only proposed: it starts nothing until the job registry has made it durable, with conditions that
 * fence an owner that has lost the shard.
 */
import type { JobState, Placement } from "@sorreltally/jobs"
import type { Plan } from "@sorreltally/planner"
import {
  type MachineId,
  type ModRevision,
  type MonotonicTime,
  makeAttempt,
  makeTaskId,
} from "@sorreltally/protocol"
import type { QuotaAllocation } from "@sorreltally/quota"
import type { JobRegistry } from "./job-registry.ts"
import type { Rentals } from "./rentals.ts"
import type { ShardView } from "./shard-context.ts"

/** Options of plan execution. */
export interface PlanExecutionOptions {
  readonly shard: ShardView
  /** Shard epoch under which this node owns the shard. */
  readonly epoch: ModRevision
  readonly registry: JobRegistry
  readonly quotas: QuotaAllocation
  readonly rentals: () => Rentals
}

/** Executes the plans of one shard; its placements are made nowhere else. */
export class PlanExecution {
  private attemptCount = 0

  constructor(private readonly options: PlanExecutionOptions) {}

  /** Executes all decisions of a plan, except for the demand that the caller publishes. */
  execute({ placements, assignedJobs, rentals, onDemandNeeded }: Plan, now: MonotonicTime): void {
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
    if (onDemandNeeded)
      for (const assignment of shard.assignments.values()) assignment.isDrainingForRelease = false
  }

  /** Places the job's next queued task; does nothing if the machine is gone or its agent epoch is unknown. */
  private place(job: JobState, machine: MachineId, now: MonotonicTime): void {
    const { shard, epoch, registry, quotas } = this.options
    const session = shard.machines.get(machine)
    if (session === undefined || session.agentEpoch === null) return
    const index = job.nextQueued()
    if (index === null) return
    const attempt = makeAttempt(epoch, ++this.attemptCount)
    const placement: Placement = {
      job,
      index,
      task: makeTaskId(job.id, index),
      machine,
      agentEpoch: session.agentEpoch,
      attempt,
      durable: false,
      fromPreviousOwner: false,
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
