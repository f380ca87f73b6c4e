/** Estimates run times from finished tasks of the same job class. A node's shards share one instance. */
import type { JobClassName, JobSpec } from "@sorreltally/protocol"

/** Minimum weight of the newest finished task in the running mean, which covers about the last thirty. */
const MIN_SAMPLE_WEIGHT = 0.06
/**
 * The first finished task has a weight of one in this many, as if earlier ones had run exactly as estimated.
 */
const FIRST_WEIGHT_DIVISOR = 4
/** The ratio of measured to estimated run time is limited to this factor, in both directions. */
const MAX_RATIO = 20

/**
 * The paper's "updated estimate of task execution time" (Algorithm 1, line 2): the user's estimate times the
 * mean ratio of measured to estimated run time of the class's finished tasks. Users' estimates err task by
 * task, and on some days all in one direction.
 */
export class RunTimeEstimates {
  /** Means of the logarithm of measured over estimated run time, and the number of samples. */
  private readonly byClass = new Map<
    JobClassName,
    { readonly meanLog: number; readonly sampleCount: number }
  >()

  /** Records the run time of a finished task. */
  record(spec: JobSpec, runTimeS: number): void {
    const ratio = Math.max(1 / MAX_RATIO, Math.min(MAX_RATIO, runTimeS / spec.estimatedRunS))
    const { meanLog, sampleCount } = this.byClass.get(spec.jobClass) ?? { meanLog: 0, sampleCount: 0 }
    const weight = Math.max(MIN_SAMPLE_WEIGHT, 1 / (sampleCount + FIRST_WEIGHT_DIVISOR))
    this.byClass.set(spec.jobClass, {
      meanLog: meanLog + weight * (Math.log(ratio) - meanLog),
      sampleCount: sampleCount + 1,
    })
  }

  /** Expected run time of a task, in seconds. */
  executionS(spec: JobSpec): number {
    return spec.estimatedRunS * Math.exp(this.byClass.get(spec.jobClass)?.meanLog ?? 0)
  }
}
