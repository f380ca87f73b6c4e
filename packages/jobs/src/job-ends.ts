/**
 * Owns the writes of final states for one shard's jobs, and the folding of
 * crowded job pages. It never writes the end of a job on its own word alone:
 * each write is fenced by the shard epoch, by the ends page's revision, and
 * for a job that is done by the revision of its job page.
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

/** Ends that come within this time of the last write go together: users expect to hear of one within 3 s. */
const LOW_LOAD_SPACING_MS = 500
const HIGH_LOAD_SPACING_MS = 1_300
const RETRY_DELAY_MS = 150
const IDLE_WAIT_MS = 5_000
/** From this fraction of their capacity on, the owner folds job pages itself instead of leaving that to their next writers. */
const FOLD_THRESHOLD = 0.6
/** A page is sent to every controller at each write: it isn't made as large as it may be. */
const MAX_PAGE_BYTES = 3_072
const PAGE_OVERHEAD_BYTES = 128

/** What becomes of the ends that are written. */
export interface JobEndsWriterEvents {
  /** These jobs have durable final states. */
  readonly jobsEnded: (ends: ReadonlyArray<JobEnd>) => void
  /** Writes a job page anew without the jobs that are over. */
  readonly fold: (page: StoreKey<JobPage>) => Effect.Effect<void, StoreError>
}

/** What a shard's writer of final states works with. */
export interface JobEndsWriterOptions {
  readonly shard: ShardName
  /** Of the ownership on whose behalf ends are written; it fences every write. */
  readonly epoch: ModRevision
  readonly store: StoreClient
  readonly membership: Pick<Membership, "replica" | "readBarrier">
  readonly jobIndex: JobIndex
  readonly now: () => MonotonicTime
  /** False while the node must not write on the shard's behalf. */
  readonly mayWrite: () => boolean
  readonly events: JobEndsWriterEvents
}

/** The next write of an ends page. */
interface EndsPageWrite extends EndsAddition {
  readonly key: EndsPageContent["key"]
  /** The page's revision that the write is made on. */
  readonly baseRevision: ModRevision
}

/**
 * Writes the final states of one shard's jobs: one put for all that ended of
 * late. An ends page names jobs until their records are off the job pages;
 * what is no longer needed is left out of the next write.
 */
export class JobEndsWriter {
  private readonly waitingJobs = new Set<JobState>()
  private readonly jobAdded = new Signal()
  private readonly endsPagesGrew = new Signal()
  private readonly pacer: WritePacer
  private readonly maxPageBytes: number

  constructor(private readonly options: JobEndsWriterOptions) {
    const { store, now } = options
    const { valueKb } = store.limits
    this.pacer = new WritePacer({
      store,
      now,
      spacingMs: (load) => interpolateByLoad(load, LOW_LOAD_SPACING_MS, HIGH_LOAD_SPACING_MS),
    })
    this.maxPageBytes = Math.min(valueKb * 1024, MAX_PAGE_BYTES) - PAGE_OVERHEAD_BYTES
  }

  /** Nothing is left to do for the job but to write its final state. */
  add(job: JobState): void {
    this.waitingJobs.add(job)
    this.jobAdded.notify()
  }

  /** Writes and folds until it is interrupted. */
  readonly run: Effect.Effect<void> = Effect.suspend(() =>
    Effect.all([this.writeLoop(), this.foldLoop()], { concurrency: "unbounded", discard: true }),
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
      // What a watch event or a hint has made known since is over already.
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
        // Without an answer it may have been written, or may be later: not over a newer
        // write of this page, and beside one of another page it says the same of its jobs.
        yield* Effect.sleep(RETRY_DELAY_MS)
        const barrier = yield* Effect.result(membership.readBarrier.wait)
        if (Result.isFailure(barrier)) return
      }
      this.reportEnded(write.jobs)
    })
  }

  /** Null when no job waits. */
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

  /** Reports the jobs whose final state is on record, by whichever write. */
  private reportEnded(jobs: ReadonlyArray<JobState>): void {
    const ends: Array<JobEnd> = []
    for (const job of jobs) {
      const status = this.options.jobIndex.endsPageStatusOf(job.id)
      if (status === null) continue
      this.waitingJobs.delete(job)
      ends.push({ id: job.id, status })
    }
    if (ends.length > 0) this.options.events.jobsEnded(ends)
  }

  /** The shard's ends pages, as far as they are still needed. */
  private endsPageContents(): ReadonlyArray<EndsPageContent> {
    const { shard, store, membership, jobIndex } = this.options
    // A final state is needed as long as the job's record stands in its page: without it, the job would seem to live.
    const isNeeded = (digits: string) => jobIndex.hasRecord(idFromDigits(digits))
    return endsPageKeys(shard, store.limits).map((key) =>
      neededContentOf(key, membership.replica.get(key)?.value, isNeeded),
    )
  }

  private foldLoop() {
    return Effect.forever(
      Effect.gen({ self: this }, function* () {
        yield* this.endsPagesGrew.wait(IDLE_WAIT_MS)
        for (;;) {
          const page = this.options.mayWrite() ? this.pageToFold() : null
          if (page === null) return
          const folded = yield* Effect.result(this.options.events.fold(page))
          if (Result.isFailure(folded)) return
        }
      }),
    )
  }

  /** The job page that holds most of the jobs that are over; null while the ends pages aren't crowded. */
  private pageToFold(): StoreKey<JobPage> | null {
    const contents = this.endsPageContents()
    const bytes = contents.reduce((sum, content) => sum + content.bytes, 0)
    if (bytes < FOLD_THRESHOLD * contents.length * this.maxPageBytes) return null
    const endedJobsByPage = new Map<StoreKey<JobPage>, number>()
    for (const digits of contents.flatMap(({ page }) => [...page.done, ...page.cancelled])) {
      const page = this.options.jobIndex.pageKeyOf(idFromDigits(digits))
      if (page !== null) endedJobsByPage.set(page, (endedJobsByPage.get(page) ?? 0) + 1)
    }
    let fullest: StoreKey<JobPage> | null = null
    for (const [page, count] of endedJobsByPage) {
      if (fullest === null || count > endedJobsByPage.get(fullest)!) fullest = page
    }
    return fullest
  }
}
