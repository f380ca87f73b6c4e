/**
 * How far jobs are, and how they ended, as every node answers its users. Counts are for display only; a final
 * status is kept only once it is durable, and then holds for good.
 */

import type { JobProgressMessage, PeerChannel, TaskCounts } from "@sorreltally/peers"
import type { JobId } from "@sorreltally/protocol"
import type { FinalStatus, JobEnd } from "@sorreltally/store"
import { Effect } from "effect"

/** Owners publish the progress of their jobs this often: it is for display only. */
const PUBLISH_INTERVAL_MS = 2_000
/** Final statuses kept in memory; of older ones the store is asked. */
const MAX_FINAL_STATUSES = 20_000

/** A job's tasks that are done and that run, for display. */
export interface ShownCounts {
  readonly done: number
  readonly running: number
}

/** Task counts of all nodes' jobs, and the durable final statuses of those that ended. */
export class JobProgress {
  private readonly shown = new Map<JobId, ShownCounts>()
  private readonly finals = new Map<JobId, FinalStatus>()
  private unpublishedEnds: Array<JobEnd> = []

  constructor(
    private readonly peers: PeerChannel,
    /** The tasks of this node's own jobs. */
    private readonly ownCounts: () => Iterable<TaskCounts>,
  ) {}

  counts(id: JobId): ShownCounts {
    return this.shown.get(id) ?? { done: 0, running: 0 }
  }
  /** Forgets the counts of a job that is off the record. */
  forget(id: JobId): void {
    this.shown.delete(id)
  }
  /** A job's final status; null where none is kept, which says nothing of the job. */
  finalStatus(id: JobId): FinalStatus | null {
    return this.finals.get(id) ?? null
  }
  /** Keeps a job's final status, which must be durable. */
  remember(id: JobId, status: FinalStatus): void {
    this.finals.set(id, status)
    if (this.finals.size <= MAX_FINAL_STATUSES) return
    const oldest = this.finals.keys().next()
    if (oldest.done !== true) this.finals.delete(oldest.value)
  }
  /** These jobs of ours are over, durably. */
  ended(ends: ReadonlyArray<JobEnd>): void {
    for (const { id, status } of ends) {
      this.remember(id, status)
      this.unpublishedEnds.push({ id, status })
    }
  }
  /** Takes in what another node published. */
  received({ counts, ends }: JobProgressMessage): void {
    for (const { jobId, done, running } of counts) this.shown.set(jobId, { done, running })
    for (const { id, status } of ends) this.remember(id, status)
  }

  /** Publishes what is new to the other nodes. */
  readonly publish: Effect.Effect<never> = Effect.suspend(() =>
    Effect.forever(
      Effect.gen({ self: this }, function* () {
        yield* Effect.sleep(PUBLISH_INTERVAL_MS)
        const counts = this.takeNewCounts()
        const ends = this.unpublishedEnds
        this.unpublishedEnds = []
        if (counts.length > 0 || ends.length > 0) this.peers.send({ kind: "jobProgress", counts, ends })
      }),
    ),
  )
  private takeNewCounts(): ReadonlyArray<TaskCounts> {
    const changed: Array<TaskCounts> = []
    for (const count of this.ownCounts()) {
      const { jobId, done, running } = count
      const shown = this.shown.get(jobId)
      if (shown !== undefined && shown.done === done && shown.running === running) continue
      this.shown.set(jobId, { done, running })
      changed.push(count)
    }
    return changed
  }
}
