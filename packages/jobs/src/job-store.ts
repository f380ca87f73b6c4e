/**
 * Accepts, looks up and cancels jobs, on any node. It never answers from the
 * replica alone where the answer could be older than the request, and never
 * changes a page except on the revision at which the page was read.
 *
 * Why no job is accepted twice, lost or revived: an acceptance is conditioned
 * on every page of the job's bucket, and on the absence of a further page. So
 * if several nodes accept the same id, one succeeds, and a late copy of an
 * acceptance fails. A cancellation is conditioned on its job page, and on all
 * ends pages of the job's shard: it fails if any node may have reported the job
 * as done.
 */
import type { Membership } from "@sorreltally/membership"
import {
  ABSENT_KEY_REVISION,
  type JobId,
  type JobSpec,
  type Log,
  type ModRevision,
  type ShardName,
} from "@sorreltally/protocol"
import type { RequestPriority } from "@sorreltally/rate-limit"
import {
  type CompareAndSwapResult,
  type Condition,
  type Entry,
  type FinalStatus,
  type JobPage,
  type JobRecord,
  keys,
  type StoreClient,
  StoreError,
  type StoreKey,
  type StoreLimits,
} from "@sorreltally/store"
import { Effect } from "effect"
import { endsPageKeys } from "./ends-pages.ts"
import type { JobIndex } from "./job-index.ts"
import {
  addJob,
  bucketOf,
  cancelJob,
  compactPage,
  EMPTY_PAGE,
  finalStatusIn,
  fitsValue,
  largestLaterForm,
} from "./job-pages.ts"
import { bucketOfPage, layOutPage, type PageContent, type PageLayout } from "./page-layout.ts"

/** Result of a lookup: the job's record while it is live, later its final status; `none`: never accepted. */
export type JobLookup =
  | { readonly kind: "live"; readonly record: JobRecord }
  | { readonly kind: "final"; readonly status: FinalStatus }
  | { readonly kind: "none" }
/**
 * Result of a submission; `accepted`: this call accepted the job; `tooLarge`: it is not known, and its record
 * is larger than a value of the store may be; otherwise it was known before.
 */
export type Acceptance = JobLookup | { readonly kind: "accepted" } | { readonly kind: "tooLarge" }

/** Callbacks of the job store. */
export interface JobStoreEvents {
  /**
   * A transaction has written these pages. Notifies the owner of this job's shard ahead of the watch event.
   */
  readonly onPagesWritten: (entries: ReadonlyArray<Entry<JobPage>>, spec: JobSpec) => Effect.Effect<void>
  /** Final status found by an earlier lookup; it never changes. Null if none is cached. */
  readonly cachedFinalStatus: (id: JobId) => FinalStatus | null
  readonly cacheFinalStatus: (id: JobId, status: FinalStatus) => void
  readonly shardOf: (spec: JobSpec) => ShardName
}

/** Options of the job store. */
export interface JobStoreOptions {
  readonly store: StoreClient
  readonly membership: Pick<Membership, "readBarrier" | "replica">
  readonly jobIndex: JobIndex
  readonly events: JobStoreEvents
  readonly log: Log
}

/**
 * Accepts, looks up and cancels jobs in the store. Each write replaces one job
 * page on the revision at which it was read, so that of several concurrent
 * writers of a bucket one succeeds, and a late copy of a write fails. A write that
 * the store rejects is built anew within the limits that the rejection has shown.
 * The methods fail with the store client's errors; `cancel` and `compactJobPage`
 * also fail as rejected if no transaction within the limits can store the page.
 */
export class JobStore {
  private readonly store: StoreClient
  private readonly membership: JobStoreOptions["membership"]
  private readonly jobIndex: JobIndex
  private readonly events: JobStoreEvents
  private readonly log: Log
  /** Pages that were reported as too large; each is reported once. */
  private readonly unstorablePages = new Set<StoreKey<JobPage>>()

  constructor({ store, membership, jobIndex, events, log }: JobStoreOptions) {
    this.store = store
    this.membership = membership
    this.jobIndex = jobIndex
    this.events = events
    this.log = log
  }

  /**
   * Looks up the job. The result is at least as recent as the call, because it
   * waits for the read barrier. A job only ever moves from the records of its job
   * page to an ends page, then to the final states of its job page, then to the
   * archive; a lookup in this order misses no job that was accepted before.
   */
  find(id: JobId): Effect.Effect<JobLookup, StoreError> {
    return Effect.gen({ self: this }, function* () {
      const cachedStatus = this.events.cachedFinalStatus(id)
      if (cachedStatus !== null) return { kind: "final", status: cachedStatus } as const
      yield* this.membership.readBarrier.wait
      const found = yield* this.lookUp(id)
      if (found.kind === "final") this.events.cacheFinalStatus(id, found.status)
      return found
    })
  }

  /**
   * Accepts the job unless its id is known. The write is conditioned on every
   * page of the bucket, so that no other node can accept the same id concurrently.
   */
  accept(record: JobRecord): Effect.Effect<Acceptance, StoreError> {
    return Effect.gen({ self: this }, function* () {
      const { spec } = record
      for (;;) {
        // The replica may be stale here: in that case the conditions fail.
        const pages = this.jobIndex.pagesInBucket(bucketOf(spec.id))
        const { limits } = this.store
        const seen = yield* this.lookUp(spec.id)
        if (seen.kind !== "none") return yield* this.find(spec.id)
        const target = this.pageFor(record, pages)
        if (target === null) return yield* this.refuseTooLarge(spec.id)
        const layout = yield* this.layOut(target, pages.length, limits)
        const conditions: Array<Condition> = pages.map(({ key, modRevision }) => ({ key, modRevision }))
        conditions.push({
          key: keys.jobPage(bucketOf(spec.id), pages.length),
          modRevision: ABSENT_KEY_REVISION,
        })
        const accepted = yield* this.write(conditions, layout, 1, limits)
        if (accepted?.ok === true) {
          yield* this.events.onPagesWritten(entriesOf(layout, accepted.revision), spec)
          return { kind: "accepted" } as const
        }
        if (accepted !== null) yield* this.membership.readBarrier.wait
      }
    })
  }

  /** Result for a job whose record is too large, unless it was accepted before. */
  private refuseTooLarge(id: JobId): Effect.Effect<Acceptance, StoreError> {
    return Effect.map(this.find(id), (found) => (found.kind === "none" ? { kind: "tooLarge" } : found))
  }

  /**
   * Cancels the job unless it is over. The write is also conditioned on the ends
   * pages of the job's shard: once any node may have reported the job as done, it
   * can no longer be cancelled.
   */
  cancel(id: JobId): Effect.Effect<JobLookup, StoreError> {
    return Effect.gen({ self: this }, function* () {
      for (;;) {
        const found = yield* this.find(id)
        if (found.kind !== "live" || found.record.cancelled) return found
        const { limits } = this.store
        const job = this.jobIndex.get(id)
        const pages = this.jobIndex.pagesInBucket(bucketOf(id))
        const page = pages.find(({ key }) => key === job?.pageKey)
        if (page === undefined) continue
        const { spec } = found.record
        const next = { key: page.key, page: cancelJob(this.compactedPage(page), id) }
        const layout = yield* this.layOut(next, pages.length, limits)
        const conditions: Array<Condition> = [{ key: page.key, modRevision: page.modRevision }]
        conditions.push(...this.endsConditions(this.events.shardOf(spec)))
        conditions.push(...layout.conditions)
        const cancelled = yield* this.write(conditions, layout, 1, limits)
        if (cancelled?.ok !== true) continue
        yield* this.events.onPagesWritten(entriesOf(layout, cancelled.revision), spec)
        return { kind: "live", record: { ...found.record, cancelled: true } } as const
      }
    })
  }

  /** Rewrites a job page, with the records of jobs that are over replaced by their final states. */
  compactJobPage(key: StoreKey<JobPage>): Effect.Effect<void, StoreError> {
    return Effect.gen({ self: this }, function* () {
      const { limits } = this.store
      const pages = this.jobIndex.pagesInBucket(bucketOfPage(key))
      const page = pages.find((entry) => entry.key === key)
      if (page === undefined) return
      const layout = yield* this.layOut({ key, page: this.compactedPage(page) }, pages.length, limits)
      const conditions = [{ key, modRevision: page.modRevision }, ...layout.conditions]
      const result = yield* this.write(conditions, layout, 3, limits)
      if (result === null) return
      if (!result.ok) return yield* this.membership.readBarrier.wait
      this.membership.replica.applyWrites(entriesOf(layout, result.revision))
    })
  }

  /** Lays out a page; fails as rejected if no transaction within the limits can store it. */
  private layOut(
    content: PageContent,
    pageCount: number,
    limits: StoreLimits,
  ): Effect.Effect<PageLayout, StoreError> {
    return Effect.suspend(() => {
      const layout = layOutPage(content, pageCount, limits)
      if (layout !== null) return Effect.succeed(layout)
      const { key } = content
      if (!this.unstorablePages.has(key))
        this.log.error("job page too large for the store's limits", { page: key, valueKb: limits.valueKb })
      this.unstorablePages.add(key)
      return Effect.fail(unstorableError)
    })
  }

  /**
   * Writes pages that were laid out within these limits. Null if the store rejected the transaction because
   * it has lowered its limits: it has to be built anew.
   */
  private write(
    conditions: ReadonlyArray<Condition>,
    { operations }: PageLayout,
    priority: RequestPriority,
    limits: StoreLimits,
  ): Effect.Effect<CompareAndSwapResult | null, StoreError> {
    return Effect.catchTag(
      this.store.compareAndSwap(conditions, operations, priority),
      "StoreError",
      (error) =>
        error.outcome === "rejected" && this.store.limits !== limits
          ? Effect.succeed(null)
          : Effect.fail(error),
    )
  }

  /** Looks up the job in the replica, then in the archive, which holds older final states. */
  private lookUp(id: JobId): Effect.Effect<JobLookup, StoreError> {
    return Effect.suspend((): Effect.Effect<JobLookup, StoreError> => {
      const bucket = bucketOf(id)
      const pages = this.jobIndex.pagesInBucket(bucket)
      const status = this.jobIndex.finalStatusOf(id, pages)
      if (status !== null) return Effect.succeed({ kind: "final", status })
      const live = this.jobIndex.get(id)
      if (live !== null) return Effect.succeed({ kind: "live", record: live.record })
      // The archive is read after the pages, so that it holds the final states that have left them by then.
      if (pages.every(({ value }) => value.archivePageCount === 0)) return Effect.succeed({ kind: "none" })
      return this.lookUpInArchive(bucket, id)
    })
  }

  private lookUpInArchive(bucket: number, id: JobId): Effect.Effect<JobLookup, StoreError> {
    return Effect.map(this.store.list(keys.archive(bucket)), ({ items }) => {
      for (const { value } of items) {
        const status = finalStatusIn(value, id)
        if (status !== null) return { kind: "final", status }
      }
      return { kind: "none" }
    })
  }

  private compactedPage({ value }: Entry<JobPage>): JobPage {
    return compactPage(value, (id) => this.jobIndex.endsPageStatusOf(id))
  }

  /**
   * First page of the bucket with room for the job, and its content with the job;
   * null if the record doesn't even fit into an empty page. There has to be room for what
   * the page's jobs may become later. Announced limits are kept from the start, so that no
   * accepted job is too large for them later.
   */
  private pageFor(record: JobRecord, pages: ReadonlyArray<Entry<JobPage>>): PageContent | null {
    const { limits, lowestStatedLimits } = this.store
    const valueKb = Math.min(limits.valueKb, lowestStatedLimits.valueKb)
    for (const entry of pages) {
      const page = addJob(this.compactedPage(entry), record)
      const { key } = entry
      if (fitsValue(key, largestLaterForm(page), valueKb)) return { key, page }
    }
    const key = keys.jobPage(bucketOf(record.spec.id), pages.length)
    const page = addJob(EMPTY_PAGE, record)
    return fitsValue(key, largestLaterForm(page), valueKb) ? { key, page } : null
  }

  private endsConditions(shard: ShardName): ReadonlyArray<Condition> {
    const { replica } = this.membership
    return endsPageKeys(shard, this.store.lowestStatedLimits).map((key) => ({
      key,
      modRevision: replica.modRevision(key),
    }))
  }
}

const unstorableError = new StoreError({ operation: "compareAndSwap", outcome: "rejected", status: 0 })

/** Entries of the pages once they were written at this revision. */
const entriesOf = ({ pages }: PageLayout, modRevision: ModRevision): ReadonlyArray<Entry<JobPage>> =>
  pages.map(({ key, page }) => ({ key, value: page, modRevision }))
