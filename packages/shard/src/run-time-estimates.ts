/** What tasks probably take, from what tasks of their class took before. One for all shards of a node. */
import type { JobClassName, JobSpec } from "@sorreltally/protocol"

/** Weight of the newest finished task; about the last thirty count. */
const NEWEST_WEIGHT = 0.06
/** The first finished task counts as if so many had been before it, exactly as estimated. */
const FIRST_WEIGHT = 4
/** A task's measured time counts as within this many times its estimate, either way. */
const MAX_RATIO = 20

/**
 * The paper's "updated estimate of task execution time" (Algorithm 1, line 2): the owner's estimate
 * times what the class's finished tasks took in relation to theirs. Owners err
 * task by task, and on some days all in one direction.
 */
export class RunTimeEstimates {
  /** Means of the logarithm of measured over estimated time. */
  private readonly byClass = new Map<JobClassName, { readonly meanLog: number; readonly seen: number }>()

  /** A task of that specification ran for so many seconds. */
  learn(spec: JobSpec, tookS: number): void {
    const ratio = Math.max(1 / MAX_RATIO, Math.min(MAX_RATIO, tookS / spec.estimatedRunS))
    const { meanLog, seen } = this.byClass.get(spec.jobClass) ?? { meanLog: 0, seen: 0 }
    const weight = Math.max(NEWEST_WEIGHT, 1 / (seen + FIRST_WEIGHT))
    this.byClass.set(spec.jobClass, {
      meanLog: meanLog + weight * (Math.log(ratio) - meanLog),
      seen: seen + 1,
    })
  }

  /** Seconds that a task of that specification probably runs. */
  executionS(spec: JobSpec): number {
    return spec.estimatedRunS * Math.exp(this.byClass.get(spec.jobClass)?.meanLog ?? 0)
  }
}
