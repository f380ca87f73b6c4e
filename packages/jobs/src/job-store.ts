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
import { ABSENT_KEY_REVISION, type JobId, type JobSpec, type ShardName } from "@sorreltally/protocol"
import {
  type Condition,
  type Entry,
  type FinalStatus,
  type JobPage,
  type JobRecord,
  keys,
  type Operation,
  put,
  type StoreClient,
  StoreError,
  type StoreKey,
} from "@sorreltally/store"
import { Effect } from "effect"
import { endsPageKeys } from "./ends-pages.ts"
import type { JobIndex } from "./job-index.ts"
import {
  addJob,
  archiveFinalStates,
  bucketOf,
  cancelJob,
  compactPage,
  EMPTY_PAGE,
  finalStatusIn,
  fitsValue,
} from "./job-pages.ts"

/** Number of operations of a write that moves final states to the archive. */
const ARCHIVING_OPERATIONS = 2
/** Status of the error for a record that is too large for a value, as the store itself would respond. */
const VALUE_TOO_LARGE_STATUS = 413

/** New content of a job page, and the operations that write it. */
interface PageWrites {
  readonly page: JobPage
  readonly operations: ReadonlyArray<Operation>
}

/** Result of a lookup: the job's record while it is live, later its final status; `none`: never accepted. */
export type JobLookup =
  | { readonly kind: "live"; readonly record: JobRecord }
  | { readonly kind: "final"; readonly status: FinalStatus }
  | { readonly kind: "none" }
/** Result of a submission; `accepted`: this call accepted the job, otherwise it was known before. */
export type Acceptance = JobLookup | { readonly kind: "accepted" }

/** Callbacks of the job store. */
export interface JobStoreEvents {
  /** A page was written. Notifies the owner of this job's shard ahead of the watch event. */
  readonly onPageWritten: (entry: Entry, spec: JobSpec) => Effect.Effect<void>
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
}

/**
 * Accepts, looks up and cancels jobs in the store. Each write replaces one job
 * page on the revision at which it was read, so that of several concurrent
 * writers of a bucket one succeeds, and a late copy of a write fails. The methods
 * fail with the store client's errors; `accept` also fails with status 413
 * (refused) if the record is too large for a value.
 */
export class JobStore {
  private readonly store: StoreClient
  private readonly membership: JobStoreOptions["membership"]
  private readonly jobIndex: JobIndex
  private readonly events: JobStoreEvents

  constructor({ store, membership, jobIndex, events }: JobStoreOptions) {
    this.store = store
    this.membership = membership
    this.jobIndex = jobIndex
    this.events = events
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
        const seen = yield* this.lookUp(spec.id)
        if (seen.kind !== "none") return yield* this.find(spec.id)
        const target = this.pageFor(record, pages)
        if (target === null) return yield* Effect.fail(valueTooLargeError)
        const conditions: Array<Condition> = pages.map(({ key, modRevision }) => ({ key, modRevision }))
        conditions.push({
          key: keys.jobPage(bucketOf(spec.id), pages.length),
          modRevision: ABSENT_KEY_REVISION,
        })
        const { page: written, operations } = this.writesForPage(target.key, target.page)
        const accepted = yield* this.store.compareAndSwap(conditions, operations, 1)
        if (accepted.ok) {
          const entry = { key: target.key, value: written, modRevision: accepted.revision }
          yield* this.events.onPageWritten(entry, spec)
          return { kind: "accepted" } as const
        }
        yield* this.membership.readBarrier.wait
      }
    })
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
        const job = this.jobIndex.get(id)
        const page = this.jobIndex.pagesInBucket(bucketOf(id)).find(({ key }) => key === job?.pageKey)
        if (page === undefined) continue
        const { spec } = found.record
        const conditions: Array<Condition> = [{ key: page.key, modRevision: page.modRevision }]
        conditions.push(...this.endsConditions(this.events.shardOf(spec)))
        const { page: written, operations } = this.writesForPage(
          page.key,
          cancelJob(this.compactedPage(page), id),
        )
        const cancelled = yield* this.store.compareAndSwap(conditions, operations, 1)
        if (!cancelled.ok) continue
        const entry = { key: page.key, value: written, modRevision: cancelled.revision }
        yield* this.events.onPageWritten(entry, spec)
        return { kind: "live", record: { ...found.record, cancelled: true } } as const
      }
    })
  }

  /** Rewrites a job page, with the records of jobs that are over replaced by their final states. */
  compactJobPage(key: StoreKey<JobPage>): Effect.Effect<void, StoreError> {
    return Effect.gen({ self: this }, function* () {
      const page = this.pageAt(key)
      if (page === null) return
      const { page: written, operations } = this.writesForPage(key, this.compactedPage(page))
      const conditions = [{ key, modRevision: page.modRevision }]
      const result = yield* this.store.compareAndSwap(conditions, operations, 3)
      if (!result.ok) return yield* this.membership.readBarrier.wait
      this.membership.replica.applyWrite({ key, value: written, modRevision: result.revision })
    })
  }

  private pageAt(key: StoreKey<JobPage>): Entry<JobPage> | null {
    const bucket = Number(key.slice(key.lastIndexOf("/") + 1, key.lastIndexOf(".")))
    return this.jobIndex.pagesInBucket(bucket).find((page) => page.key === key) ?? null
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
   * null if the record doesn't even fit into an empty page.
   */
  private pageFor(
    record: JobRecord,
    pages: ReadonlyArray<Entry<JobPage>>,
  ): { readonly key: StoreKey<JobPage>; readonly page: JobPage } | null {
    const { valueKb } = this.store.limits
    for (const entry of pages) {
      const page = addJob(this.compactedPage(entry), record)
      const { key } = entry
      if (fitsValue(key, page, valueKb)) return { key, page }
    }
    const key = keys.jobPage(bucketOf(record.spec.id), pages.length)
    const page = addJob(EMPTY_PAGE, record)
    return fitsValue(key, page, valueKb) ? { key, page } : null
  }

  /** Operations that write the page, and the archive page if final states are moved there. */
  private writesForPage(key: StoreKey<JobPage>, next: JobPage): PageWrites {
    const { maxOperations, valueKb } = this.store.limits
    if (maxOperations < ARCHIVING_OPERATIONS) return { page: next, operations: [put(key, next)] }
    const { page, archived } = archiveFinalStates(next, valueKb)
    if (archived === null) return { page, operations: [put(key, page)] }
    const [bucket, number] = key.slice(key.lastIndexOf("/") + 1).split(".")
    const archiveKey = keys.archivePage(Number(bucket), Number(number), next.archivePageCount)
    return { page, operations: [put(key, page), put(archiveKey, archived)] }
  }

  private endsConditions(shard: ShardName): ReadonlyArray<Condition> {
    const { replica } = this.membership
    return endsPageKeys(shard, this.store.limits).map((key) => ({
      key,
      modRevision: replica.modRevision(key),
    }))
  }
}

const valueTooLargeError = new StoreError({
  operation: "compareAndSwap",
  outcome: "refused",
  status: VALUE_TOO_LARGE_STATUS,
})
