/**
 * Applies what is proven of placed tasks to their jobs: running, finished, or off their machine without a result.
 * Concludes nothing about a machine itself: what a heartbeat proves is the worker session's to say.
 */
import type { JobState, Placement } from "@sorreltally/jobs"
import { addMs, type MonotonicTime } from "@sorreltally/protocol"
import type { ClearedCause, Outcome, WorkerSession } from "@sorreltally/workers"
import type { WorkerCommunicationContext } from "./worker-communication-context.ts"

/** A job pauses this long after its first refused start, twice as long after each further one, up to the maximum. */
const REFUSAL_PAUSE_MS = 250
const MAX_REFUSAL_PAUSE_MS = 30_000
/** Doublings beyond this many change nothing: the maximum is reached. */
const MAX_REFUSAL_DOUBLINGS = 7

/** Applies outcomes of one shard's tasks. */
export class TaskOutcomes {
  private changes = 0

  constructor(private readonly context: WorkerCommunicationContext) {}

  /** How often capacity became free or a machine came up: whoever compares two readings sees whether it did. */
  get capacityChanges(): number {
    return this.changes
  }

  /** Applies to the jobs what a heartbeat, a lease's expiry or a machine's deletion proves of their tasks. */
  apply(session: WorkerSession, outcomes: ReadonlyArray<Outcome>): void {
    if (outcomes.length === 0) return
    const now = this.context.node.clocks.monotonicNow()
    let isCapacityFreed = false
    for (const outcome of outcomes) {
      const { placement } = outcome
      switch (outcome.kind) {
        case "running":
          this.taskRunning(session, placement, now)
          continue
        case "done":
          this.taskDone(session, placement, now)
          break
        case "cleared":
          this.taskCleared(session, placement, outcome.cause, now)
          break
      }
      isCapacityFreed = true
      this.context.registry.settle(placement.job)
    }
    if (isCapacityFreed) this.capacityChanged()
  }

  /** Tasks may find room now that didn't before. */
  capacityChanged(): void {
    this.changes++
    this.context.changed()
  }

  private taskRunning(session: WorkerSession, placement: Placement, now: MonotonicTime): void {
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

  private taskDone(session: WorkerSession, placement: Placement, now: MonotonicTime): void {
    const { failures, node } = this.context
    const { job } = placement
    job.finish(placement.index)
    job.startRefusals = 0
    job.retryAfter = null
    failures.recordSuccess(job.id, session.id)
    if (placement.runningSince !== null && placement.stop === null)
      node.estimates.learn(job.spec, (now - placement.runningSince) / 1000)
  }

  private taskCleared(
    session: WorkerSession,
    placement: Placement,
    cause: ClearedCause,
    now: MonotonicTime,
  ): void {
    const { job } = placement
    job.clear(placement)
    const pauseMs = this.pauseAfter(cause, job, session, now)
    if (pauseMs > 0) job.retryAfter = addMs(now, pauseMs)
    this.context.node.log.debug("task left machine", { task: placement.task, machine: session.id, cause })
  }

  /** How long in ms a job pauses after a task of it left its machine unfinished. */
  private pauseAfter(cause: ClearedCause, job: JobState, session: WorkerSession, now: MonotonicTime): number {
    if (cause === "error") return this.recordFailure(job, session, now)
    if (cause !== "insufficientResources" && cause !== "unknown") return 0
    // Repeatedly refused starts are retried ever less often.
    job.startRefusals++
    return Math.min(
      MAX_REFUSAL_PAUSE_MS,
      REFUSAL_PAUSE_MS * 2 ** Math.min(MAX_REFUSAL_DOUBLINGS, job.startRefusals),
    )
  }

  private recordFailure(job: JobState, session: WorkerSession, now: MonotonicTime): number {
    const { failures, node } = this.context
    const wasSuspect = failures.isSuspect(job.id)
    const pauseMs = failures.recordFailure(job.id, session.id, now)
    if (!wasSuspect && failures.isSuspect(job.id))
      node.log.info("job fails on every machine", { job: job.id })
    return pauseMs
  }
}
