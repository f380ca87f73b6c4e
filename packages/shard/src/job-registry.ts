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

export interface JobRegistryEvents {
  /** These placements may be started now. */
  readonly durable: (placements: ReadonlyArray<Placement>) => void
  readonly arrived: (request: JobSpec) => void
  /** There may be something to plan. */
  readonly changed: () => void
  /** The task is off this machine, or never got there. */
  readonly release: (placement: Placement) => void
  /** Its worker has something to be told. */
  readonly commandsDue: (machine: MachineId) => void
  /** The job is over; nothing of it is left. */
  readonly forgotten: (job: JobState) => void
  /** Is the take-over complete? */
  readonly ready: () => boolean
}

/** One part's jobs, from their acceptance or a take-over to their end. */
export class JobRegistry {
  readonly jobs = new Map<JobId, JobState>()
  private readonly placementWriter: PlacementWriter
  private readonly ends: JobEnds
  private readonly now: () => MonotonicTime

  constructor(
    private readonly shard: ShardName,
    epoch: ModRevision,
    private readonly node: NodeContext,
    active: () => boolean,
    private readonly events: JobRegistryEvents,
  ) {
    const { store, membership, clocks, jobIndex } = node
    this.now = clocks.monotonicNow
    const now = clocks.monotonicNow
    this.placementWriter = new PlacementWriter({
      shard,
      epoch,
      store,
      membership,
      now,
      active,
      events: { durable: events.durable, abandoned: (placement) => this.unplace(placement) },
    })
    this.ends = new JobEnds({
      shard,
      epoch,
      store,
      membership,
      jobIndex,
      now,
      active,
      events: { ended: (ends) => node.ended(ends), fold: (page) => node.foldJobs(page) },
    })
  }

  get slots(): number {
    return this.placementWriter.ledger.size
  }
  readonly run: Effect.Effect<void> = Effect.suspend(() =>
    Effect.all([this.placementWriter.run, this.ends.run], { concurrency: "unbounded", discard: true }),
  )

  /** Takes over what a former owner left: the jobs on record, and what its slots say of their tasks. */
  restore(slots: ReadonlyArray<Entry>): void {
    for (const job of this.node.jobIndex.live()) this.jobChanged(job.id, job)
    const jobOf = (id: JobId) => this.jobs.get(id) ?? null
    const now = this.now()
    for (const { key: path, value: v, modRevision } of slots) {
      const slot = Number(path.slice(path.lastIndexOf("/") + 1))
      const record = v as PlacementRecord
      this.placementWriter.ledger.restore({ slot, modRevision, record, jobOf, now })
    }
  }

  place(placement: Placement): void {
    this.placementWriter.place(placement)
  }

  /** What the job table says of a job of any part; null: it is over. */
  jobChanged(id: JobId, entry: LiveJob | null): void {
    const known = this.jobs.get(id)
    if (entry === null) {
      // Only its owner ends a job: by a write of ours, or one that we didn't hear the answer of.
      if (known !== undefined) this.forget(known)
      return
    }
    const { record, page, modRevision } = entry
    if (shardOf(id, record.spec.deadlineS != null, this.node.nodes) !== this.shard) return
    if (known === undefined) {
      const job = new JobState(id, record, page, modRevision)
      this.jobs.set(id, job)
      this.events.arrived(record.spec)
      // During a take-over its placements aren't read yet: a cancelled job would seem to have none.
      if (this.events.ready() && job.awaitsFinalState) this.settle(job)
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

  /** A finished task whose result the worker may forget. */
  finishIsDurable(task: TaskId): boolean {
    const { job, index } = splitTaskId(task)
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

  private forget(job: JobState): void {
    if (!this.jobs.delete(job.id)) return
    job.finalized = true
    this.placementWriter.discardFinishes(job)
    for (const placement of job.placements.values()) this.events.release(placement)
    this.events.forgotten(job)
    this.events.changed()
  }
}
