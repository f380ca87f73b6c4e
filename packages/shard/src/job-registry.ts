/**
 * One shard's jobs: restores them in a failover, follows the job index, and has placements and ends written down.
 * Never starts a task whose placement isn't durable, and never ends a job that has one that may still run.
 */
import { JobEnds, JobState, type LiveJob, type Placement, PlacementWriter } from "@sorreltally/jobs"
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

/** What the job registry reports to its shard. */
export interface JobRegistryEvents {
  /** These placements may be started now. */
  readonly durable: (placements: ReadonlyArray<Placement>) => void
  /** A job was accepted, or restored in a failover. */
  readonly arrived: (spec: JobSpec) => void
  /** There may be something to plan. */
  readonly changed: () => void
  /** The task is off its machine, or never got there. */
  readonly release: (placement: Placement) => void
  /** The worker on this machine has commands pending. */
  readonly commandsDue: (machine: MachineId) => void
  /** The job is over; none of its state is kept. */
  readonly removed: (job: JobState) => void
  /** Is the failover complete, so that the jobs' placements are known? */
  readonly isReady: () => boolean
}

/** What the job registry uses of its shard. */
export interface JobRegistryOptions {
  readonly shard: ShardName
  /** The shard's epoch: it fences every write for the shard. */
  readonly epoch: ModRevision
  readonly node: NodeContext
  /** The shard's state is restored, and its node holds the lease to act for it. */
  readonly mayAct: () => boolean
  readonly events: JobRegistryEvents
}

/** One shard's jobs, from their acceptance or a failover to their end. */
export class JobRegistry {
  readonly jobs = new Map<JobId, JobState>()
  private readonly shard: ShardName
  private readonly node: NodeContext
  private readonly events: JobRegistryEvents
  private readonly placementWriter: PlacementWriter
  private readonly ends: JobEnds
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
      active: mayAct,
      events: { durable: events.durable, abandoned: (placement) => this.unplace(placement) },
    })
    this.ends = new JobEnds({
      shard,
      epoch,
      store,
      membership,
      jobIndex,
      now,
      active: mayAct,
      events: { ended: (ends) => node.jobsEnded(ends), fold: (page) => node.foldJobs(page) },
    })
  }

  /** Placement slots that hold a record. */
  get slots(): number {
    return this.placementWriter.ledger.size
  }
  /** Writes placements and ends down, for as long as its fiber runs: the shard's. */
  readonly run: Effect.Effect<void> = Effect.suspend(() =>
    Effect.all([this.placementWriter.run, this.ends.run], { concurrency: "unbounded", discard: true }),
  )

  /** Restores what a former owner left: the jobs in the job index, and the placements that its slots record. */
  restore(slots: ReadonlyArray<Entry<PlacementRecord>>): void {
    for (const job of this.node.jobIndex.live()) this.jobChanged(job.id, job)
    const jobOf = (id: JobId) => this.jobs.get(id) ?? null
    const now = this.now()
    for (const { key, value: record, modRevision } of slots) {
      const slot = Number(key.slice(key.lastIndexOf("/") + 1))
      this.placementWriter.ledger.restore({ slot, modRevision, record, jobOf, now })
    }
  }

  /** Has a placement made durable; only then may its task be started. */
  place(placement: Placement): void {
    this.placementWriter.place(placement)
  }

  /** The job index changed an entry, of any shard's jobs; null: the job is over. */
  jobChanged(id: JobId, entry: LiveJob | null): void {
    const known = this.jobs.get(id)
    if (entry === null) {
      // Only its owner ends a job: by a write of ours, or by one of ours that got no response.
      if (known !== undefined) this.remove(known)
      return
    }
    const { record, pageKey: page, modRevision } = entry
    if (shardOf(id, record.spec.deadlineS != null, this.node.nodeCount) !== this.shard) return
    if (known === undefined) {
      const job = new JobState(id, record, page, modRevision)
      this.jobs.set(id, job)
      this.events.arrived(record.spec)
      // During a failover its placements aren't read yet: a cancelled job would seem to have none.
      if (this.events.isReady() && job.awaitsFinalState) this.settle(job)
      this.events.changed()
      return
    }
    if (modRevision > known.modRevision) known.modRevision = modRevision
    if (record.cancelled && !known.cancelled) this.cancel(known)
  }

  /** A task of the job finished or was cleared, or the job was cancelled. */
  settle(job: JobState): void {
    if (job.finalized) return
    if (!job.awaitsFinalState) return this.placementWriter.recordFinishes(job)
    this.placementWriter.discardFinishes(job)
    this.ends.add(job)
  }

  /** Is the task's result durable, so that its worker may purge the task? */
  finishIsDurable(task: TaskId): boolean {
    const { jobId: job, index } = splitTaskId(task)
    return this.jobs.get(job)?.finishIsDurable(index) ?? true
  }

  private cancel(job: JobState): void {
    job.cancelled = true
    const since = this.now()
    for (const placement of [...job.placements.values()]) {
      if (!placement.durable && !this.placementWriter.isInFlight(placement)) this.unplace(placement)
      else {
        job.stop(placement, { reason: "cancelled", gracePeriodS: 0, since })
        this.events.commandsDue(placement.machine)
      }
    }
    this.settle(job)
    this.events.changed()
  }

  private unplace(placement: Placement): void {
    this.events.release(placement)
    placement.job.clear(placement)
    this.settle(placement.job)
    this.events.changed()
  }

  private remove(job: JobState): void {
    if (!this.jobs.delete(job.id)) return
    job.finalized = true
    this.placementWriter.discardFinishes(job)
    for (const placement of job.placements.values()) this.events.release(placement)
    this.events.removed(job)
    this.events.changed()
  }
}
