/**
 * Owns what one shard's owner knows of a job's tasks. It never does I/O, and
 * never frees a task from its machine: a placement counts until whoever has
 * the proof that the task is off the machine clears it.
 */
import type {
  AgentEpoch,
  Attempt,
  JobId,
  JobSpec,
  MachineId,
  ModRevision,
  MonotonicTime,
  TaskId,
  WallTime,
} from "@sorreltally/protocol"
import type { JobPage, JobRecord, StoreKey } from "@sorreltally/store"

/** A task that is, or may be, on a machine. It counts until it is cleared. */
export interface Placement {
  readonly job: JobState
  /** The task's place in its job's array, from 0. */
  readonly index: number
  readonly task: TaskId
  readonly machine: MachineId
  /** The machine's agent epoch when the task was placed: once it rises, the task is off the machine. */
  readonly agentEpoch: AgentEpoch
  readonly attempt: Attempt
  /** Only a durable placement may be started. */
  durable: boolean
  /**
   * Made by a former owner. It may be older than what that owner knew, so it
   * is never started anew: either the machine reports the task, or the task is
   * surely off it.
   */
  readonly fromPreviousOwner: boolean
  /** Not null: the task is to leave the machine. */
  stop: { readonly reason: StopReason; readonly gracePeriodS: number; readonly since: MonotonicTime } | null
  /** When this owner placed it, or adopted it from a former one. */
  readonly placedAt: MonotonicTime
  /** When the machine first reported that it runs; null: not yet. */
  runningSince: MonotonicTime | null
  /** How often the worker was commanded to start it without effect. */
  unacknowledgedStarts: number
}
/** Why a task is to leave its machine. */
type StopReason = "cancelled" | "preempted" | "drain"

/** One job's tasks as its owner knows them. Each task is finished, placed, or queued. */
export class JobState {
  readonly spec: JobSpec
  readonly submitted: WallTime
  /** By task index; 1: finished. */
  private readonly finishedFlags: Uint8Array
  private finishedCount = 0
  /** By task index. */
  readonly placements = new Map<number, Placement>()
  /** Tasks that were placed once and are to run again. */
  private readonly requeued: Array<number> = []
  /** Tasks from this index on were never placed by this owner. */
  private nextUnplaced = 0
  /** Finished tasks that the store doesn't know of yet. */
  readonly unsavedFinishes = new Set<number>()
  /** When a failed or refused task may be tried again; null: at once. */
  retryAfter: MonotonicTime | null = null
  /** How often starts were refused since one succeeded. */
  startRefusals = 0
  /** Its cancellation is durable. */
  cancelled: boolean
  /** Its final state is durable. */
  finalized = false
  /** Placed tasks that run. */
  runningCount = 0
  /** Placed tasks that are to leave their machine. */
  stoppingCount = 0

  constructor(
    readonly id: JobId,
    record: JobRecord,
    /** The job page that holds its record, and that page's latest known revision. */
    readonly pageKey: StoreKey<JobPage>,
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

  /** How many tasks are finished. */
  get finishedTaskCount(): number {
    return this.finishedCount
  }

  /** How many tasks are neither finished nor placed. */
  get queuedCount(): number {
    return this.taskCount - this.finishedCount - this.placements.size
  }

  /** Whether no task of it is placed or finished. */
  get notStarted(): boolean {
    return this.placements.size === 0 && this.finishedCount === 0
  }

  /** Whether every task is finished. */
  get allFinished(): boolean {
    return this.finishedCount === this.taskCount
  }

  /** Whether nothing is left to do but to write its final state. */
  get awaitsFinalState(): boolean {
    return this.allFinished || (this.cancelled && this.placements.size === 0)
  }

  /** Whether that task is finished, durably or not. */
  isFinished(index: number): boolean {
    return this.finishedFlags[index] === 1
  }

  /** Whether the store knows that the task is finished: the worker may purge it. */
  finishIsDurable(index: number): boolean {
    return this.isFinished(index) && !this.unsavedFinishes.has(index)
  }

  /** The next task to place, in order; null when none is queued. */
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

  /** The task is placed: it counts from now on. */
  place(placement: Placement): void {
    this.placements.set(placement.index, placement)
  }

  /** The machine reports that the task runs. */
  markRunning(placement: Placement, now: MonotonicTime): void {
    placement.runningSince = now
    this.runningCount++
  }

  /** The task is to leave its machine. */
  stop(placement: Placement, stop: NonNullable<Placement["stop"]>): void {
    if (placement.stop === null) this.stoppingCount++
    placement.stop = stop
  }

  /** The task is off its machine without having finished. */
  clear(placement: Placement): void {
    if (!this.removePlacement(placement)) return
    this.requeued.push(placement.index)
  }

  /** The task finished; its finish isn't durable yet. */
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

  /** Adopts finishes that a former owner wrote. */
  restoreFinished(first: number, count: number): void {
    for (let index = first; index < Math.min(this.taskCount, first + count); index++) {
      if (this.isFinished(index)) continue
      this.markFinished(index)
      this.placements.delete(index)
    }
  }

  /** Adopts a placement that a former owner wrote. */
  restorePlacement(placement: Placement): void {
    if (this.isFinished(placement.index)) return
    const current = this.placements.get(placement.index)
    // Attempts only ever rise: the highest is the newest.
    if (current === undefined || current.attempt < placement.attempt) this.place(placement)
  }
}
