/**
 * Jobs of one shard: restores them in a failover, follows the job index, and has placements and final states
 * written to the store. It never lets a task start whose placement isn't durable, and never ends a job while
 * one of its placements may still run.
 */
import { JobEndsWriter, JobState, type LiveJob, type Placement, PlacementWriter } from "@sorreltally/jobs"
import { shardOf } from "@sorreltally/membership"
import {
  type JobId,
  type JobSpec,
  type MachineId,
  type ModRevision,
  type MonotonicTime,
  type ShardName,
  splitTaskId,
  type TaskId,
} from "@sorreltally/protocol"
import type { Entry, PlacementRecord } from "@sorreltally/store"
import { Effect } from "effect"
import type { NodeContext } from "./shard-context.ts"

/** Callbacks of the job registry. */
export interface JobRegistryEvents {
  /** The placements are durable: their tasks may be started. */
  readonly onPlacementsDurable: (placements: ReadonlyArray<Placement>) => void
  /** A job was added: newly accepted, or restored in a failover. */
  readonly onJobAdded: (spec: JobSpec) => void
  /** Requests a plan, after a change that may allow or require one. */
  readonly requestPlan: () => void
  /** Removes a placement from its machine: the task left the machine, or never reached it. */
  readonly releasePlacement: (placement: Placement) => void
  /** Marks a machine whose worker needs commands before its next heartbeat. */
  readonly markCommandsDue: (machine: MachineId) => void
  /** A job was removed after its end: state that is kept about it has to be discarded. */
  readonly onJobRemoved: (job: JobState) => void
  /** Whether failover is complete, so that the jobs' placements are known. */
  readonly isReady: () => boolean
}

/** Options of the job registry. */
export interface JobRegistryOptions {
  readonly shard: ShardName
  /** Shard epoch; it fences every write for the shard. */
  readonly epoch: ModRevision
  readonly node: NodeContext
  /** Whether failover is complete and the node holds its node lease. */
  readonly mayAct: () => boolean
  readonly events: JobRegistryEvents
}

/** Jobs of one shard, from their acceptance or restoration to their end. */
export class JobRegistry {
  readonly jobs = new Map<JobId, JobState>()
  private readonly shard: ShardName
  private readonly node: NodeContext
  private readonly events: JobRegistryEvents
  private readonly placementWriter: PlacementWriter
  private readonly jobEnds: JobEndsWriter
  private readonly now: () => MonotonicTime

  constructor({ shard, epoch, node, mayAct, events }: JobRegistryOptions) {
    this.shard = shard
    this.node = node
    this.events = events
    const { store, membership, clocks, jobIndex } = node
    const now = clocks.monotonicNow
    this.now = now
    this.placementWriter = new PlacementWriter({
      shard,
      epoch,
      store,
      membership,
      now,
      mayWrite: mayAct,
      events: {
        onPlacementsDurable: events.onPlacementsDurable,
        onPlacementAbandoned: (placement) => this.abandonPlacement(placement),
      },
    })
    this.jobEnds = new JobEndsWriter({
      shard,
      epoch,
      store,
      membership,
      jobIndex,
      now,
      mayWrite: mayAct,
      events: {
        onJobsEnded: (ends) => node.onJobsEnded(ends),
        compactJobPage: (page) => node.compactJobPage(page),
      },
    })
  }

  /** Number of placement slots that contain a record. */
  get usedSlotCount(): number {
    return this.placementWriter.ledger.usedSlotCount
  }
  /** Writes placements and final states to the store until it is interrupted; runs in the shard's fiber. */
  readonly run: Effect.Effect<void> = Effect.suspend(() =>
    Effect.all([this.placementWriter.run, this.jobEnds.run], { concurrency: "unbounded", discard: true }),
  )

  /** Restores the jobs from the job index, and the placements that former owners recorded in the slots. */
  restore(slots: ReadonlyArray<Entry<PlacementRecord>>): void {
    for (const job of this.node.jobIndex.liveJobs()) this.jobChanged(job.id, job)
    const jobOf = (id: JobId) => this.jobs.get(id) ?? null
    const now = this.now()
    for (const { key, value: record, modRevision } of slots) {
      const slot = Number(key.slice(key.lastIndexOf("/") + 1))
      this.placementWriter.ledger.restore({ slot, modRevision, record, jobOf, restoredAt: now })
    }
  }

  /** Queues a placement to be written to the store; its task may start only once the placement is durable. */
  place(placement: Placement): void {
    this.placementWriter.enqueue(placement)
  }

  /** Handles a change of the job index, for a job of any shard; `entry` is null when the job has ended. */
  jobChanged(id: JobId, entry: LiveJob | null): void {
    const existing = this.jobs.get(id)
    if (entry === null) {
      // Only the shard's owner ends a job: this node wrote the end, possibly without receiving the response.
      if (existing !== undefined) this.remove(existing)
      return
    }
    const { record, pageKey, modRevision } = entry
    if (shardOf(id, record.spec.deadlineS != null, this.node.nodeCount) !== this.shard) return
    if (existing === undefined) {
      const job = new JobState(id, record, pageKey, modRevision)
      this.jobs.set(id, job)
      this.events.onJobAdded(record.spec)
      // During failover the placements aren't read yet, so a cancelled job would appear to have none.
      if (this.events.isReady() && job.awaitsFinalState) this.recordProgress(job)
      this.events.requestPlan()
      return
    }
    if (modRevision > existing.modRevision) {
      existing.pageKey = pageKey
      existing.modRevision = modRevision
    }
    if (record.cancelled && !existing.cancelled) this.cancel(existing)
  }

  /**
   * Has the job's final state written if it is due, otherwise its finished tasks. Called after a task
   * finished or left its machine, after a cancellation, and after a failover.
   */
  recordProgress(job: JobState): void {
    if (job.finalized) return
    if (!job.awaitsFinalState) return this.placementWriter.recordFinishes(job)
    this.placementWriter.discardFinishes(job)
    this.jobEnds.add(job)
  }

  /** Whether the task's result is durable, so that its worker may purge the task. */
  finishIsDurable(task: TaskId): boolean {
    const { jobId: job, index } = splitTaskId(task)
    return this.jobs.get(job)?.finishIsDurable(index) ?? true
  }

  private cancel(job: JobState): void {
    job.cancelled = true
    const since = this.now()
    for (const placement of [...job.placements.values()]) {
      if (!placement.durable && !this.placementWriter.isInFlight(placement)) this.abandonPlacement(placement)
      else {
        job.stop(placement, { reason: "cancelled", gracePeriodS: 0, since })
        this.events.markCommandsDue(placement.machine)
      }
    }
    this.recordProgress(job)
    this.events.requestPlan()
  }

  private abandonPlacement(placement: Placement): void {
    this.events.releasePlacement(placement)
    placement.job.clear(placement)
    this.recordProgress(placement.job)
    this.events.requestPlan()
  }

  private remove(job: JobState): void {
    if (!this.jobs.delete(job.id)) return
    job.finalized = true
    this.placementWriter.discardFinishes(job)
    for (const placement of job.placements.values()) this.events.releasePlacement(placement)
    this.events.onJobRemoved(job)
    this.events.requestPlan()
  }
}
