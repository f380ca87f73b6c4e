/**
 * Owns the acceptance, the lookup and the cancellation of jobs, from any node.
 * It never answers from the replica alone where the answer could be older than
 * the question, and never changes a page but on the revision it was read at.
 *
 * Why no job is accepted twice, lost or revived: an acceptance is conditioned
 * on every page of the job's bucket, and on there being no further one, so of
 * several nodes that accept the same id one succeeds, and a late copy fails. A
 * cancellation is conditioned on its job page, and on all ends pages of the
 * job's shard: it fails if any node may have reported the job as done.
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
import { endsPages } from "./ends-pages.ts"
import type { JobIndex } from "./job-index.ts"
import {
  addJob,
  archiveFinals,
  bucketOf,
  cancelJob,
  EMPTY_PAGE,
  finalIn,
  fitsValue,
  foldEnds,
} from "./job-pages.ts"

/** Operations of a write that moves final states to the archive. */
const ARCHIVING_OPERATIONS = 2
/** The status of a record that fits no value: the store itself would refuse it so. */
const VALUE_TOO_LARGE = 413

/** A job page as it is to be, and the operations that make it so. */
interface PageWrites {
  readonly page: JobPage
  readonly operations: ReadonlyArray<Operation>
}

/** What is known of a job: its record while it is live, its final status for good; `none`: never accepted. */
export type JobLookup =
  | { readonly kind: "live"; readonly record: JobRecord }
  | { readonly kind: "final"; readonly status: FinalStatus }
  | { readonly kind: "none" }
/** The answer to a submission; `accepted`: just now, by this call. */
export type Acceptance = JobLookup | { readonly kind: "accepted" }

/** What the node does and knows beside the job store. */
export interface JobStoreEvents {
  /** A page was written: the owner of this job should know before the watch event comes. */
  readonly changed: (entry: Entry, spec: JobSpec) => Effect.Effect<void>
  /** A final status that was found before; it holds for good. */
  readonly cachedFinal: (id: JobId) => FinalStatus | null
  readonly cacheFinal: (id: JobId, status: FinalStatus) => void
  readonly shardOf: (spec: JobSpec) => ShardName
}

/** What a job store works with. */
export interface JobStoreOptions {
  readonly store: StoreClient
  readonly membership: Pick<Membership, "readBarrier" | "replica">
  readonly jobIndex: JobIndex
  readonly events: JobStoreEvents
}

/**
 * Accepts, looks up and cancels jobs in the store. Each write replaces one
 * page on the revision that it was read at, so that of several writers of a
 * bucket one succeeds, and a late copy fails. Its methods fail with what the
 * store's client failed with.
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
   * What is so now, not what the replica had heard before the question. A job only ever moves
   * from its page's records to an ends page, to its page's final states, to
   * the archive; looked up in this order, none accepted before is missed.
   */
  find(id: JobId): Effect.Effect<JobLookup, StoreError> {
    return Effect.gen({ self: this }, function* () {
      const known = this.events.cachedFinal(id)
      if (known !== null) return { kind: "final", status: known } as const
      yield* this.membership.readBarrier.wait
      const found = yield* this.lookUp(id)
      if (found.kind === "final") this.events.cacheFinal(id, found.status)
      return found
    })
  }

  /**
   * Accepts the job unless its id is known. Conditioned on every page of the
   * bucket: no other node can accept the same id meanwhile.
   */
  accept(record: JobRecord): Effect.Effect<Acceptance, StoreError> {
    return Effect.gen({ self: this }, function* () {
      const { spec } = record
      for (;;) {
        // The replica may lag here: the conditions fail if it does.
        const pages = this.jobIndex.pages(bucketOf(spec.id))
        const seen = yield* this.lookUp(spec.id)
        if (seen.kind !== "none") return yield* this.find(spec.id)
        const target = this.pageFor(record, pages)
        if (target === null) return yield* Effect.fail(tooLarge)
        const conditions: Array<Condition> = pages.map(({ key, modRevision }) => ({ key, modRevision }))
        conditions.push({
          key: keys.jobPage(bucketOf(spec.id), pages.length),
          modRevision: ABSENT_KEY_REVISION,
        })
        const { page: written, operations } = this.writesOf(target.key, target.page)
        const accepted = yield* this.store.compareAndSwap(conditions, operations, 1)
        if (accepted.ok) {
          const entry = { key: target.key, value: written, modRevision: accepted.revision }
          yield* this.events.changed(entry, spec)
          return { kind: "accepted" } as const
        }
        yield* this.membership.readBarrier.wait
      }
    })
  }

  /**
   * Cancels the job unless it is over. Conditioned on the ends pages of the
   * job's shard too: once any node may have reported that the job is done, it
   * can't be cancelled any more.
   */
  cancel(id: JobId): Effect.Effect<JobLookup, StoreError> {
    return Effect.gen({ self: this }, function* () {
      for (;;) {
        const found = yield* this.find(id)
        if (found.kind !== "live" || found.record.cancelled) return found
        const job = this.jobIndex.get(id)
        const page = this.jobIndex.pages(bucketOf(id)).find(({ key }) => key === job?.pageKey)
        if (page === undefined) continue
        const { spec } = found.record
        const conditions: Array<Condition> = [{ key: page.key, modRevision: page.modRevision }]
        conditions.push(...this.endsConditions(this.events.shardOf(spec)))
        const { page: written, operations } = this.writesOf(page.key, cancelJob(this.folded(page), id))
        const cancelled = yield* this.store.compareAndSwap(conditions, operations, 1)
        if (!cancelled.ok) continue
        const entry = { key: page.key, value: written, modRevision: cancelled.revision }
        yield* this.events.changed(entry, spec)
        return { kind: "live", record: { ...found.record, cancelled: true } } as const
      }
    })
  }

  /** Writes a page anew without the jobs that are over. */
  fold(key: StoreKey<JobPage>): Effect.Effect<void, StoreError> {
    return Effect.gen({ self: this }, function* () {
      const page = this.pageAt(key)
      if (page === null) return
      const { page: written, operations } = this.writesOf(key, this.folded(page))
      const conditions = [{ key, modRevision: page.modRevision }]
      const result = yield* this.store.compareAndSwap(conditions, operations, 3)
      if (!result.ok) return yield* this.membership.readBarrier.wait
      this.membership.replica.applyWrite({ key, value: written, modRevision: result.revision })
    })
  }

  private pageAt(key: StoreKey<JobPage>): Entry<JobPage> | null {
    const bucket = Number(key.slice(key.lastIndexOf("/") + 1, key.lastIndexOf(".")))
    return this.jobIndex.pages(bucket).find((page) => page.key === key) ?? null
  }

  /** What the replica says, and for jobs long over the archive. */
  private lookUp(id: JobId): Effect.Effect<JobLookup, StoreError> {
    return Effect.suspend((): Effect.Effect<JobLookup, StoreError> => {
      const bucket = bucketOf(id)
      const pages = this.jobIndex.pages(bucket)
      const status = this.jobIndex.finalOf(id, pages)
      if (status !== null) return Effect.succeed({ kind: "final", status })
      const live = this.jobIndex.get(id)
      if (live !== null) return Effect.succeed({ kind: "live", record: live.record })
      // Read after the pages were: what has left them by then is found there.
      if (pages.every(({ value }) => value.archivedPages === 0)) return Effect.succeed({ kind: "none" })
      return this.lookUpInArchive(bucket, id)
    })
  }

  private lookUpInArchive(bucket: number, id: JobId): Effect.Effect<JobLookup, StoreError> {
    return Effect.map(this.store.list(keys.archive(bucket)), ({ items }) => {
      for (const { value } of items) {
        const status = finalIn(value, id)
        if (status !== null) return { kind: "final", status }
      }
      return { kind: "none" }
    })
  }

  private folded({ value }: Entry<JobPage>): JobPage {
    return foldEnds(value, (id) => this.jobIndex.endOf(id))
  }

  /** The first page of a bucket with room for the job; null when not even an empty one has. */
  private pageFor(
    record: JobRecord,
    pages: ReadonlyArray<Entry<JobPage>>,
  ): { readonly key: StoreKey<JobPage>; readonly page: JobPage } | null {
    const { valueKb } = this.store.limits
    for (const entry of pages) {
      const page = addJob(this.folded(entry), record)
      const { key } = entry
      if (fitsValue(key, page, valueKb)) return { key, page }
    }
    const key = keys.jobPage(bucketOf(record.spec.id), pages.length)
    const page = addJob(EMPTY_PAGE, record)
    return fitsValue(key, page, valueKb) ? { key, page } : null
  }

  /** The page's write, and with it that of final states which leave it. */
  private writesOf(key: StoreKey<JobPage>, next: JobPage): PageWrites {
    const { maxOperations, valueKb } = this.store.limits
    if (maxOperations < ARCHIVING_OPERATIONS) return { page: next, operations: [put(key, next)] }
    const { page, archived } = archiveFinals(next, valueKb)
    if (archived === null) return { page, operations: [put(key, page)] }
    const [bucket, number] = key.slice(key.lastIndexOf("/") + 1).split(".")
    const archiveKey = keys.archivePage(Number(bucket), Number(number), next.archivedPages)
    return { page, operations: [put(key, page), put(archiveKey, archived)] }
  }

  private endsConditions(shard: ShardName): ReadonlyArray<Condition> {
    const { replica } = this.membership
    return endsPages(shard, this.store.limits).map((key) => ({ key, modRevision: replica.modRevision(key) }))
  }
}

const tooLarge = new StoreError({
  operation: "compareAndSwap",
  outcome: "refused",
  status: VALUE_TOO_LARGE,
})
