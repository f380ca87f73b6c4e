/** How far jobs are, and how they ended, as every node can tell its users. */

import type { JobProgressMessage, PeerChannel, TaskCounts } from "@sorreltally/peers"
import type { JobId } from "@sorreltally/protocol"
import type { FinalStatus, JobEnd } from "@sorreltally/store"
import { Effect } from "effect"

/** Owners tell the others how far their jobs are this often: it is for display only. */
const PUBLISH_INTERVAL_MS = 2_000
/** Final answers kept in memory. */
const REMEMBERED = 20_000

/** Counts of tasks of all nodes' jobs, and final answers, which hold for good once they are durable. */
export class JobProgress {
  private readonly shown = new Map<JobId, { readonly done: number; readonly running: number }>()
  private readonly finals = new Map<JobId, FinalStatus>()
  private unpublishedEnds: Array<JobEnd> = []

  constructor(
    private readonly peers: PeerChannel,
    /** The tasks of this node's own jobs. */
    private readonly ownCounts: () => Iterable<TaskCounts>,
  ) {}

  counts(id: JobId): { readonly done: number; readonly running: number } {
    return this.shown.get(id) ?? { done: 0, running: 0 }
  }
  forget(id: JobId): void {
    this.shown.delete(id)
  }
  finalStatus(id: JobId): FinalStatus | null {
    return this.finals.get(id) ?? null
  }
  remember(id: JobId, status: FinalStatus): void {
    this.finals.set(id, status)
    if (this.finals.size <= REMEMBERED) return
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
  /** What another node told. */
  received({ counts, ends }: JobProgressMessage): void {
    for (const { jobId, done, running } of counts) this.shown.set(jobId, { done, running })
    for (const { id, status } of ends) this.remember(id, status)
  }

  /** Tells the other nodes what is new. */
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
