/**
 * Writes the final states of one shard's jobs to ends pages, and compacts job pages
 * when the ends pages fill up. Every write of final states is fenced: by the
 * shard epoch, by the revision of the ends page, and, for each job that is done,
 * by the revision of its job page.
 */
import { Signal } from "@sorreltally/concurrency"
import type { Membership } from "@sorreltally/membership"
import type { ModRevision, MonotonicTime, ShardName } from "@sorreltally/protocol"
import { interpolateByLoad } from "@sorreltally/rate-limit"
import {
  type Condition,
  type JobEnd,
  type JobPage,
  keys,
  put,
  type StoreClient,
  type StoreError,
  type StoreKey,
} from "@sorreltally/store"
import { Effect, Result } from "effect"
import {
  addEnds,
  type EndsAddition,
  type EndsPageContent,
  endsPageKeys,
  neededContentOf,
} from "./ends-pages.ts"
import type { JobIndex } from "./job-index.ts"
import { idFromDigits } from "./job-pages.ts"
import type { JobState } from "./job-state.ts"
import { pageConditions } from "./page-conditions.ts"
import { WritePacer } from "./write-pacer.ts"

/**
 * Minimum time between two writes, at low and at high write load. Jobs that end
 * within it share a write. Users expect the end of a job to be visible within 3 s.
 */
const LOW_LOAD_SPACING_MS = 500
const HIGH_LOAD_SPACING_MS = 1_300
const RETRY_DELAY_MS = 150
/** Longest wait for new work before the loops check again. */
const IDLE_WAIT_MS = 5_000
/**
 * Once the ends pages are filled to this fraction of their capacity, the shard's
 * owner compacts job pages itself instead of leaving it to the next writer of each page.
 */
const COMPACTION_THRESHOLD = 0.6
/** Below the store's limit on a value, because each write of a page is sent to every controller. */
const MAX_PAGE_BYTES = 3_072
/** Bytes of a value that are reserved for the rest of a stored ends page. */
const PAGE_OVERHEAD_BYTES = 128

/** Callbacks of the writer. */
export interface JobEndsWriterEvents {
  /** The final states of these jobs are durable. */
  readonly onJobsEnded: (ends: ReadonlyArray<JobEnd>) => void
  /** Rewrites a job page, with the records of jobs that are over replaced by their final states. */
  readonly compactJobPage: (page: StoreKey<JobPage>) => Effect.Effect<void, StoreError>
}

/** Options of the writer. */
export interface JobEndsWriterOptions {
  readonly shard: ShardName
  /** Shard epoch under which final states are written; it fences every write. */
  readonly epoch: ModRevision
  readonly store: StoreClient
  readonly membership: Pick<Membership, "replica" | "readBarrier">
  readonly jobIndex: JobIndex
  readonly now: () => MonotonicTime
  /** Whether the node may currently write for the shard. */
  readonly mayWrite: () => boolean
  readonly events: JobEndsWriterEvents
}

/** Next write of an ends page. */
interface EndsPageWrite extends EndsAddition {
  readonly key: EndsPageContent["key"]
  /** Mod revision of the ends page on which the write is conditioned. */
  readonly baseRevision: ModRevision
}

/**
 * Writes the final states of one shard's jobs, with one put for all jobs that
 * ended since the last write. An ends page lists a job until the job's record has
 * been replaced on its page; the next write of the ends page omits final states that are no
 * longer needed.
 */
export class JobEndsWriter {
  /** Jobs whose final states aren't known to be durable yet. */
  private readonly waitingJobs = new Set<JobState>()
  private readonly jobAdded = new Signal()
  private readonly endsPagesGrew = new Signal()
  private readonly pacer: WritePacer

  constructor(private readonly options: JobEndsWriterOptions) {
    const { store, now } = options
    this.pacer = new WritePacer({
      store,
      now,
      spacingMs: (load) => interpolateByLoad(load, LOW_LOAD_SPACING_MS, HIGH_LOAD_SPACING_MS),
    })
  }

  /** Limit on the final states of an ends page, in bytes. */
  private get maxPageBytes(): number {
    const { valueKb } = this.options.store.limits
    return Math.min(valueKb * 1024, MAX_PAGE_BYTES) - PAGE_OVERHEAD_BYTES
  }

  /** Adds a job of which only the final state remains to be written. */
  add(job: JobState): void {
    this.waitingJobs.add(job)
    this.jobAdded.notify()
  }

  /** Writes final states and compacts job pages until it is interrupted. */
  readonly run: Effect.Effect<void> = Effect.suspend(() =>
    Effect.all([this.writeLoop(), this.compactionLoop()], { concurrency: "unbounded", discard: true }),
  )

  private writeLoop() {
    return Effect.forever(
      Effect.gen({ self: this }, function* () {
        if (this.waitingJobs.size === 0) yield* this.jobAdded.wait(IDLE_WAIT_MS)
        if (!this.options.mayWrite()) return yield* Effect.sleep(RETRY_DELAY_MS)
        if (this.waitingJobs.size > 0) yield* this.writeWaiting()
      }),
    )
  }

  private writeWaiting() {
    return Effect.gen({ self: this }, function* () {
      yield* this.pacer.awaitTurn
      // A watch event or a hint may have shown in the meantime that a final state is durable.
      for (const job of this.waitingJobs) if (job.finalized) this.waitingJobs.delete(job)
      const write = this.prepareWrite()
      if (write === null) return yield* Effect.sleep(RETRY_DELAY_MS)
      const { key, page } = write
      const { store, membership } = this.options
      const written = yield* Effect.result(
        store.compareAndSwap(this.conditionsOf(write), [put(key, page)], "reserved"),
      )
      if (Result.isSuccess(written) && written.success.ok) {
        membership.replica.applyWrite({ key, value: page, modRevision: written.success.revision })
        this.endsPagesGrew.notify()
      } else {
        // A write without a response may have been applied, or may still be applied later. A late
        // write can't replace a newer write of this ends page, because of the condition on its
        // revision; next to a write of another ends page it states the same final states.
        yield* Effect.sleep(RETRY_DELAY_MS)
        const barrier = yield* Effect.result(membership.readBarrier.wait)
        if (Result.isFailure(barrier)) return
      }
      this.reportEnded(write.jobs)
    })
  }

  /** Next write; null if there is nothing to write. */
  private prepareWrite(): EndsPageWrite | null {
    const smallest = this.endsPageContents().reduce((a, b) => (b.bytes < a.bytes ? b : a))
    const { store, membership } = this.options
    const addition = addEnds(smallest, this.waitingJobs, this.maxPageBytes, store.limits)
    if (addition.jobs.length === 0) return null
    const { key } = smallest
    return { ...addition, key, baseRevision: membership.replica.modRevision(key) }
  }

  private conditionsOf(write: EndsPageWrite): ReadonlyArray<Condition> {
    const { key, baseRevision } = write
    const { shard, epoch } = this.options
    return [
      { key: keys.shard(shard), modRevision: epoch },
      { key, modRevision: baseRevision },
      ...pageConditions(write.doneJobs),
    ]
  }

  /** Reports those of the jobs whose final state is durable, whichever write stored it. */
  private reportEnded(jobs: ReadonlyArray<JobState>): void {
    const ends: Array<JobEnd> = []
    for (const job of jobs) {
      const status = this.options.jobIndex.endsPageStatusOf(job.id)
      if (status === null) continue
      this.waitingJobs.delete(job)
      ends.push({ id: job.id, status })
    }
    if (ends.length > 0) this.options.events.onJobsEnded(ends)
  }

  /** Content of the shard's ends pages that is still needed. */
  private endsPageContents(): ReadonlyArray<EndsPageContent> {
    const { shard, store, membership, jobIndex } = this.options
    // A final state is needed while a job page holds the job's record: without it, the job would
    // appear to be live.
    const isNeeded = (digits: string) => jobIndex.hasRecord(idFromDigits(digits))
    return endsPageKeys(shard, store.lowestStatedLimits).map((key) =>
      neededContentOf(key, membership.replica.get(key)?.value, isNeeded),
    )
  }

  private compactionLoop() {
    return Effect.forever(
      Effect.gen({ self: this }, function* () {
        yield* this.endsPagesGrew.wait(IDLE_WAIT_MS)
        const unstorable = new Set<StoreKey<JobPage>>()
        for (;;) {
          const page = this.options.mayWrite() ? this.pageToCompact(unstorable) : null
          if (page === null) return
          const compacted = yield* Effect.result(this.options.events.compactJobPage(page))
          if (Result.isSuccess(compacted)) continue
          // A page that no transaction can store now must not keep others from being compacted.
          if (compacted.failure.outcome !== "rejected") return
          unstorable.add(page)
        }
      }),
    )
  }

  /**
   * Job page, other than the excluded ones, with the largest number of jobs that
   * are over; null while the ends pages are filled below the threshold.
   */
  private pageToCompact(excluded: ReadonlySet<StoreKey<JobPage>>): StoreKey<JobPage> | null {
    const contents = this.endsPageContents()
    const bytes = contents.reduce((sum, content) => sum + content.bytes, 0)
    if (bytes < COMPACTION_THRESHOLD * contents.length * this.maxPageBytes) return null
    const endedJobsByPage = new Map<StoreKey<JobPage>, number>()
    for (const digits of contents.flatMap(({ page }) => [...page.done, ...page.cancelled])) {
      const pageKey = this.options.jobIndex.pageKeyOf(idFromDigits(digits))
      if (pageKey !== null && !excluded.has(pageKey))
        endedJobsByPage.set(pageKey, (endedJobsByPage.get(pageKey) ?? 0) + 1)
    }
    let fullest: StoreKey<JobPage> | null = null
    for (const [pageKey, count] of endedJobsByPage) {
      if (fullest === null || count > endedJobsByPage.get(fullest)!) fullest = pageKey
    }
    return fullest
  }
}
