import type { JobClassName, JobSpec } from "@sorreltally/protocol"

/** Weight of the newest finished task; about the last thirty count. */
const NEWEST = 0.06
const FIRST_WEIGHT = 4

/**
 * The paper's "updated estimate of task execution time": the owner's estimate
 * times what the lane's finished tasks took in relation to theirs. Owners err
 * task by task, and on some days all in one direction.
 */
export class RunTimeEstimates {
  private readonly lanes = new Map<JobClassName, { log: number; seen: number }>()

  learn(request: JobSpec, tookS: number): void {
    const ratio = Math.log(Math.max(0.05, Math.min(20, tookS / request.estimatedRunS)))
    const jobClass = this.lanes.get(request.jobClass) ?? { log: 0, seen: 0 }
    const weight = Math.max(NEWEST, 1 / (jobClass.seen + FIRST_WEIGHT))
    this.lanes.set(request.jobClass, {
      log: jobClass.log + weight * (ratio - jobClass.log),
      seen: jobClass.seen + 1,
    })
  }
  executionS(request: JobSpec): number {
    return request.estimatedRunS * Math.exp(this.lanes.get(request.jobClass)?.log ?? 0)
  }
}
