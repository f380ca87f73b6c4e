/**
 * State of a job's tasks, as known to the owner of its shard. It does no I/O and
 * never concludes on its own that a task is off its machine: a placement counts
 * until the code that has proof of that clears it.
 */
import {
  type AgentEpoch,
  type Attempt,
  isNewerAttempt,
  type JobId,
  type JobSpec,
  type MachineId,
  type ModRevision,
  type MonotonicTime,
  type TaskId,
  type WallTime,
} from "@sorreltally/protocol"
import type { JobPage, JobRecord, StoreKey } from "@sorreltally/store"

/** Placement of a task that is or may be on a machine. It counts until it is cleared. */
export interface Placement {
  readonly job: JobState
  /** Index of the task in its job, from 0. */
  readonly index: number
  readonly task: TaskId
  readonly machine: MachineId
  /** Agent epoch of the machine at the time of placement: once it rises, the task is off the machine. */
  readonly agentEpoch: AgentEpoch
  readonly attempt: Attempt
  /** Whether the store holds the placement; only then may the task be started. */
  durable: boolean
  /**
   * Whether a previous owner made the placement. What this owner restored may be
   * older than what the previous owner knew, so it never starts the task again:
   * the placement stands until the machine reports the task, or the task is
   * proven to be off the machine.
   */
  readonly fromPreviousOwner: boolean
  /** Why and how the task is to leave its machine; null if it is to stay. */
  stop: { readonly reason: StopReason; readonly gracePeriodS: number; readonly since: MonotonicTime } | null
  /** Time at which this owner made the placement, or restored it from a previous owner. */
  readonly placedAt: MonotonicTime
  /** Time of the machine's first report that the task runs; null before that. */
  runningSince: MonotonicTime | null
  /** Number of start commands for the task that had no effect. */
  unacknowledgedStarts: number
}
/** Reason for which a task is to leave its machine. */
type StopReason = "cancelled" | "preempted" | "drain"

/** State of one job's tasks. Each task is finished, placed or queued. */
export class JobState {
  readonly spec: JobSpec
  readonly submitted: WallTime
  /** By task index: 1 if the task is finished, else 0. */
  private readonly finishedFlags: Uint8Array
  private finishedCount = 0
  /** Placements by task index. */
  readonly placements = new Map<number, Placement>()
  /** Indexes of tasks that were placed before and are queued again. */
  private readonly requeued: Array<number> = []
  /** Lowest index from which on this owner has placed no task. */
  private nextUnplaced = 0
  /** Indexes of finished tasks whose finishes aren't durable yet. */
  readonly unsavedFinishes = new Set<number>()
  /** Earliest time at which a task may be placed again after a failure or a refused start; null: at once. */
  retryAfter: MonotonicTime | null = null
  /** Number of refused starts since the last successful one. */
  startRefusals = 0
  /** Whether the job's cancellation is durable. */
  cancelled: boolean
  /** Whether the job's final state is durable. */
  finalized = false
  /** Number of placed tasks that run. */
  runningCount = 0
  /** Number of placed tasks that are to leave their machine. */
  stoppingCount = 0

  constructor(
    readonly id: JobId,
    record: JobRecord,
    /** Key of the job page that holds the job's record; another one after the record has moved. */
    public pageKey: StoreKey<JobPage>,
    /** Latest known mod revision of that page. */
    public modRevision: ModRevision,
  ) {
    this.spec = record.spec
    this.submitted = record.submittedAt as WallTime
    this.cancelled = record.cancelled
    this.finishedFlags = new Uint8Array(record.spec.taskCount)
  }

  get taskCount(): number {
    return this.spec.taskCount
  }

  /** Number of finished tasks. */
  get finishedTaskCount(): number {
    return this.finishedCount
  }

  /** Number of tasks that are neither finished nor placed. */
  get queuedCount(): number {
    return this.taskCount - this.finishedCount - this.placements.size
  }

  /** Whether no task of the job is placed or finished. */
  get notStarted(): boolean {
    return this.placements.size === 0 && this.finishedCount === 0
  }

  /** Whether all tasks are finished. */
  get allFinished(): boolean {
    return this.finishedCount === this.taskCount
  }

  /** Whether only the job's final state remains to be written. */
  get awaitsFinalState(): boolean {
    return this.allFinished || (this.cancelled && this.placements.size === 0)
  }

  /** Whether the task is finished, durably or not. */
  isFinished(index: number): boolean {
    return this.finishedFlags[index] === 1
  }

  /** Whether the task's finish is durable, so that the worker may purge the task. */
  finishIsDurable(index: number): boolean {
    return this.isFinished(index) && !this.unsavedFinishes.has(index)
  }

  /** Removes the next task to place from the queue and returns its index; null if none is queued. */
  nextQueued(): number | null {
    for (let index = this.requeued.pop(); index !== undefined; index = this.requeued.pop()) {
      if (!this.isFinished(index) && !this.placements.has(index)) return index
    }
    while (this.nextUnplaced < this.taskCount) {
      const index = this.nextUnplaced++
      if (!this.isFinished(index) && !this.placements.has(index)) return index
    }
    return null
  }

  /** Adds a placement, which counts until it is cleared. */
  place(placement: Placement): void {
    this.placements.set(placement.index, placement)
  }

  /** Records the machine's first report that the task runs. */
  markRunning(placement: Placement, now: MonotonicTime): void {
    placement.runningSince = now
    this.runningCount++
  }

  /** Records that the task is to leave its machine. */
  stop(placement: Placement, stop: NonNullable<Placement["stop"]>): void {
    if (placement.stop === null) this.stoppingCount++
    placement.stop = stop
  }

  /** Removes the placement of a task that is off its machine unfinished, and queues the task again. */
  clear(placement: Placement): void {
    if (!this.removePlacement(placement)) return
    this.requeued.push(placement.index)
  }

  /** Records that the task finished; its finish isn't durable yet. */
  finish(index: number): void {
    const placement = this.placements.get(index)
    if (placement !== undefined) this.removePlacement(placement)
    if (this.isFinished(index)) return
    this.markFinished(index)
    this.unsavedFinishes.add(index)
  }

  private removePlacement(placement: Placement): boolean {
    if (this.placements.get(placement.index) !== placement) return false
    this.placements.delete(placement.index)
    if (placement.runningSince !== null) this.runningCount--
    if (placement.stop !== null) this.stoppingCount--
    return true
  }

  private markFinished(index: number): void {
    this.finishedFlags[index] = 1
    this.finishedCount++
  }

  /** Restores finishes that a previous owner wrote. */
  restoreFinished(first: number, count: number): void {
    for (let index = first; index < Math.min(this.taskCount, first + count); index++) {
      if (this.isFinished(index)) continue
      this.markFinished(index)
      this.placements.delete(index)
    }
  }

  /** Restores a placement that a previous owner wrote. */
  restorePlacement(placement: Placement): void {
    if (this.isFinished(placement.index)) return
    const current = this.placements.get(placement.index)
    if (current === undefined || isNewerAttempt(placement.attempt, current.attempt)) this.place(placement)
  }
}
