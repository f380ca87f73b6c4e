/**
 * Task counts and final statuses of jobs, from which every node answers its users. Counts are for display
 * only. A final status is cached only once it is durable, and never changes after that.
 */

import type { JobProgressMessage, PeerChannel, TaskCounts } from "@sorreltally/peers"
import type { JobId } from "@sorreltally/protocol"
import type { FinalStatus, JobEnd } from "@sorreltally/store"
import { Effect } from "effect"

/** Interval at which owners publish the progress of their jobs; long, since it is for display only. */
const PUBLISH_INTERVAL_MS = 2_000
/** Final statuses cached in memory; older ones are read from the store. */
const MAX_FINAL_STATUSES = 20_000

/** A job's numbers of done and running tasks, for display only. */
export interface DisplayedCounts {
  readonly done: number
  readonly running: number
}

/** Task counts of all nodes' jobs, and the durable final statuses of jobs that ended. */
export class JobProgress {
  private readonly displayedCounts = new Map<JobId, DisplayedCounts>()
  private readonly finalStatuses = new Map<JobId, FinalStatus>()
  private unpublishedEnds: Array<JobEnd> = []

  constructor(
    private readonly peers: PeerChannel,
    /** Task counts of the jobs whose shards this node owns. */
    private readonly ownCounts: () => Iterable<TaskCounts>,
  ) {}

  counts(id: JobId): DisplayedCounts {
    return this.displayedCounts.get(id) ?? { done: 0, running: 0 }
  }
  /** Removes the counts of a job that is no longer on record. */
  dropCounts(id: JobId): void {
    this.displayedCounts.delete(id)
  }
  /** A job's cached final status; null: none is cached, whether or not the job has ended. */
  finalStatus(id: JobId): FinalStatus | null {
    return this.finalStatuses.get(id) ?? null
  }
  /** Caches a job's final status, which must be durable; evicts the oldest one of a full cache. */
  cacheFinalStatus(id: JobId, status: FinalStatus): void {
    this.finalStatuses.set(id, status)
    if (this.finalStatuses.size <= MAX_FINAL_STATUSES) return
    const oldest = this.finalStatuses.keys().next()
    if (oldest.done !== true) this.finalStatuses.delete(oldest.value)
  }
  /** Caches the durable final statuses of this node's jobs, and publishes them in the next interval. */
  recordEnds(ends: ReadonlyArray<JobEnd>): void {
    for (const { id, status } of ends) {
      this.cacheFinalStatus(id, status)
      this.unpublishedEnds.push({ id, status })
    }
  }
  /** Applies counts and final statuses that another node published. */
  receive({ counts, ends }: JobProgressMessage): void {
    for (const { jobId, done, running } of counts) this.displayedCounts.set(jobId, { done, running })
    for (const { id, status } of ends) this.cacheFinalStatus(id, status)
  }

  /** Periodically publishes changed counts and new final statuses to the other nodes. */
  readonly publish: Effect.Effect<never> = Effect.suspend(() =>
    Effect.forever(
      Effect.gen({ self: this }, function* () {
        yield* Effect.sleep(PUBLISH_INTERVAL_MS)
        const counts = this.takeChangedCounts()
        const ends = this.unpublishedEnds
        this.unpublishedEnds = []
        if (counts.length > 0 || ends.length > 0) this.peers.send({ kind: "jobProgress", counts, ends })
      }),
    ),
  )
  private takeChangedCounts(): ReadonlyArray<TaskCounts> {
    const changed: Array<TaskCounts> = []
    for (const count of this.ownCounts()) {
      const { jobId, done, running } = count
      const displayed = this.displayedCounts.get(jobId)
      if (displayed !== undefined && displayed.done === done && displayed.running === running) continue
      this.displayedCounts.set(jobId, { done, running })
      changed.push(count)
    }
    return changed
  }
}
