/**
 * Applies proven outcomes of placed tasks to their jobs: running, finished, or removed from the machine
 * without a result. It draws no conclusions about a machine: what a heartbeat proves is decided by the worker
 * session.
 */
import type { JobState, Placement } from "@sorreltally/jobs"
import { addMs, type MonotonicTime } from "@sorreltally/protocol"
import type { ClearedCause, Outcome, WorkerSession } from "@sorreltally/workers"
import type { WorkerCommunicationContext } from "./worker-communication-context.ts"

/**
 * A job pauses for this time doubled once per consecutive refused start (500 ms after the first one), up to
 * the maximum.
 */
const BASE_REFUSAL_PAUSE_MS = 250
const MAX_REFUSAL_PAUSE_MS = 30_000
/** With this many doublings the pause reaches the maximum. */
const MAX_REFUSAL_DOUBLINGS = 7

/** Applies outcomes of the tasks of one shard. */
export class TaskOutcomes {
  private changeCount = 0

  constructor(private readonly context: WorkerCommunicationContext) {}

  /**
   * Number of times that capacity became free or a machine came up. Comparing two values shows whether that
   * happened in between.
   */
  get capacityChangeCount(): number {
    return this.changeCount
  }

  /** Applies the outcomes that a heartbeat, an agent lease's expiry or a machine's deletion proves. */
  apply(session: WorkerSession, outcomes: ReadonlyArray<Outcome>): void {
    if (outcomes.length === 0) return
    const now = this.context.node.clocks.monotonicNow()
    let isCapacityFreed = false
    for (const outcome of outcomes) {
      const { placement } = outcome
      switch (outcome.kind) {
        case "running":
          this.applyRunning(session, placement, now)
          continue
        case "done":
          this.applyDone(session, placement, now)
          break
        case "cleared":
          this.applyCleared(session, placement, outcome.cause, now)
          break
      }
      isCapacityFreed = true
      this.context.registry.recordProgress(placement.job)
    }
    if (isCapacityFreed) this.recordCapacityChange()
  }

  /** Records that capacity may be available for tasks that could not be placed before. */
  recordCapacityChange(): void {
    this.changeCount++
    this.context.requestPlan()
  }

  private applyRunning(session: WorkerSession, placement: Placement, now: MonotonicTime): void {
    const { clocks, log } = this.context.node
    const { job } = placement
    job.markRunning(placement, now)
    log.debug("task running", {
      task: placement.task,
      jobClass: job.spec.jobClass,
      machine: session.id,
      waitedS: (clocks.wallNow() - job.submitted) / 1000,
      fetchedS: (now - placement.placedAt) / 1000,
    })
  }

  private applyDone(session: WorkerSession, placement: Placement, now: MonotonicTime): void {
    const { failures, node } = this.context
    const { job } = placement
    job.finish(placement.index)
    job.startRefusals = 0
    job.retryAfter = null
    failures.recordSuccess(job.id, session.id)
    if (placement.runningSince !== null && placement.stop === null)
      node.estimates.record(job.spec, (now - placement.runningSince) / 1000)
  }

  private applyCleared(
    session: WorkerSession,
    placement: Placement,
    cause: ClearedCause,
    now: MonotonicTime,
  ): void {
    const { job } = placement
    job.clear(placement)
    const pauseMs = this.retryPauseMs(cause, job, session, now)
    if (pauseMs > 0) job.retryAfter = addMs(now, pauseMs)
    this.context.node.log.debug("task left machine", { task: placement.task, machine: session.id, cause })
  }

  /** Returns how long, in ms, a job pauses after one of its tasks left its machine unfinished. */
  private retryPauseMs(
    cause: ClearedCause,
    job: JobState,
    session: WorkerSession,
    now: MonotonicTime,
  ): number {
    if (cause === "error") return this.recordFailure(job, session, now)
    if (cause !== "insufficientResources" && cause !== "unknown") return 0
    // Exponential backoff of starts that are refused repeatedly.
    job.startRefusals++
    return Math.min(
      MAX_REFUSAL_PAUSE_MS,
      BASE_REFUSAL_PAUSE_MS * 2 ** Math.min(MAX_REFUSAL_DOUBLINGS, job.startRefusals),
    )
  }

  private recordFailure(job: JobState, session: WorkerSession, now: MonotonicTime): number {
    const { failures, node } = this.context
    const wasSuspect = failures.isSuspect(job.id)
    const pauseMs = failures.recordFailure(job.id, session.id, now)
    if (!wasSuspect && failures.isSuspect(job.id))
      node.log.info("job suspect: failed on several machines", { job: job.id })
    return pauseMs
  }
}
