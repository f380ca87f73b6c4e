import type { Membership } from "@sorreltally/membership"
import { ABSENT, type JobId, type JobSpec, type ShardName } from "@sorreltally/protocol"
import {
  type Condition,
  type Entry,
  type FinalStates,
  type FinalStatus,
  type JobPage,
  type JobRecord,
  keys,
  type Operation,
  put,
  type StoreClient,
  StoreError,
  type StoreKey,
  type StoreLimits,
} from "@sorreltally/store"
import { Effect } from "effect"
import type { JobIndex, PageEntry } from "./job-index.ts"
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

/**
 * The keys of a part's ends pages: together they hold the ends that wait to be
 * folded into job pages. A cancellation is conditioned on all of them.
 */
export const endsPages = (shard: ShardName, limits: StoreLimits): ReadonlyArray<StoreKey<FinalStates>> => {
  const conditions = CONDITIONS_A_CHANGE * limits.maxOperations - 1
  return Array.from({ length: Math.min(ENDS_PAGES_PER_SHARD, conditions) }, (_, n) => keys.endsPage(shard, n))
}
const ENDS_PAGES_PER_SHARD = 4
/** Of a transaction, by the protocol. */
const CONDITIONS_A_CHANGE = 4
const ARCHIVING_CHANGES = 2
/** What a write that can't be made is answered with: a state service would say the same. */
const TOO_LARGE = 413

/** A job page as it is to be, and the operations that make it so. */
interface PageWrites {
  readonly page: JobPage
  readonly operations: ReadonlyArray<Operation>
}

/** What is known of a job. */
export type JobLookup =
  | { readonly kind: "live"; readonly record: JobRecord }
  | { readonly kind: "final"; readonly status: FinalStatus }
  | { readonly kind: "none" }
/** `accepted`: just now, by this call. */
export type Acceptance = JobLookup | { readonly kind: "accepted" }

export interface JobTableEvents {
  /** A page was written: the owner of this job should know before the watch tells it. */
  readonly changed: (entry: Entry, request: JobSpec) => Effect.Effect<void>
  /** Final answers known already; they hold for good. */
  readonly remembered: (id: JobId) => FinalStatus | null
  readonly remember: (id: JobId, status: FinalStatus) => void
  readonly shardOf: (request: JobSpec) => ShardName
}

/**
 * Accepts, looks up and cancels jobs in the state service. Each write replaces
 * one page on the stamp that it was read at, so that of several writers of a
 * bucket one succeeds, and a late copy fails.
 */
export class JobStore {
  constructor(
    private readonly store: StoreClient,
    private readonly membership: Pick<Membership, "readBarrier" | "replica">,
    private readonly jobIndex: JobIndex,
    private readonly events: JobTableEvents,
  ) {}

  /**
   * What is so now, not what was so when we last heard. A job only ever moves
   * from its page's records to an ends page, to its page's final states, to
   * the archive; looked up in this order, none accepted before is missed.
   */
  find(id: JobId): Effect.Effect<JobLookup, StoreError> {
    return Effect.gen({ self: this }, function* () {
      const known = this.events.remembered(id)
      if (known !== null) return { kind: "final", status: known } as const
      yield* this.membership.readBarrier.wait
      const found = yield* this.look(id)
      if (found.kind === "final") this.events.remember(id, found.status)
      return found
    })
  }

  /** Conditioned on every page of the bucket: nobody else can accept the same id meanwhile. */
  accept(record: JobRecord): Effect.Effect<Acceptance, StoreError> {
    return Effect.gen({ self: this }, function* () {
      const { spec: request } = record
      for (;;) {
        // The mirror may lag here: the conditions fail if it does.
        const pages = this.jobIndex.pages(bucketOf(request.id))
        const seen = yield* this.look(request.id)
        if (seen.kind !== "none") return yield* this.find(request.id)
        const target = this.pageFor(record, pages)
        if (target === null) return yield* Effect.fail(tooLarge)
        const when: Array<Condition> = pages.map(({ key: path, modRevision }) => ({
          key: path,
          modRevision,
        }))
        when.push({ key: keys.jobPage(bucketOf(request.id), pages.length), modRevision: ABSENT })
        const { page: written, operations } = this.writesOf(target.key, target.page)
        const made = yield* this.store.compareAndSwap(when, operations, 1)
        if (made.ok) {
          const entry = { key: target.key, value: written, modRevision: made.revision }
          yield* this.events.changed(entry, request)
          return { kind: "accepted" } as const
        }
        yield* this.membership.readBarrier.wait
      }
    })
  }

  /**
   * Conditioned on the ends pages of the job's part too: once any node may
   * have told that the job is done, it can't be cancelled any more.
   */
  cancel(id: JobId): Effect.Effect<JobLookup, StoreError> {
    return Effect.gen({ self: this }, function* () {
      for (;;) {
        const found = yield* this.find(id)
        if (found.kind !== "live" || found.record.cancelled) return found
        const job = this.jobIndex.get(id)
        const page = this.jobIndex.pages(bucketOf(id)).find(({ key: path }) => path === job?.page)
        if (page === undefined) continue
        const { spec: request } = found.record
        const when: Array<Condition> = [{ key: page.key, modRevision: page.modRevision }]
        when.push(...this.endsConditions(this.events.shardOf(request)))
        const { page: written, operations } = this.writesOf(page.key, cancelJob(this.folded(page), id))
        const done = yield* this.store.compareAndSwap(when, operations, 1)
        if (!done.ok) continue
        const entry = { key: page.key, value: written, modRevision: done.revision }
        yield* this.events.changed(entry, request)
        return { kind: "live", record: { ...found.record, cancelled: true } } as const
      }
    })
  }

  /** Writes a page anew without the jobs that are over. */
  fold(path: StoreKey<JobPage>): Effect.Effect<void, StoreError> {
    return Effect.gen({ self: this }, function* () {
      const page = this.pageAt(path)
      if (page === null) return
      const { page: written, operations } = this.writesOf(path, this.folded(page))
      const done = yield* this.store.compareAndSwap(
        [{ key: path, modRevision: page.modRevision }],
        operations,
        3,
      )
      if (!done.ok) return yield* this.membership.readBarrier.wait
      this.membership.replica.applyWrite({ key: path, value: written, modRevision: done.revision })
    })
  }

  private pageAt(path: string): PageEntry | null {
    const bucket = Number(path.slice(path.lastIndexOf("/") + 1, path.lastIndexOf(".")))
    return this.jobIndex.pages(bucket).find((page) => page.key === path) ?? null
  }
  /** What the mirror says, and for jobs long over the archive. */
  private look(id: JobId): Effect.Effect<JobLookup, StoreError> {
    return Effect.suspend((): Effect.Effect<JobLookup, StoreError> => {
      const bucket = bucketOf(id)
      const pages = this.jobIndex.pages(bucket)
      const status = this.jobIndex.finalOf(id, pages)
      if (status !== null) return Effect.succeed({ kind: "final", status })
      const live = this.jobIndex.get(id)
      if (live !== null) return Effect.succeed({ kind: "live", record: live.record })
      // Read after the pages were: what has left them by then is found there.
      if (pages.every(({ value }) => value.archivedPages === 0)) return Effect.succeed({ kind: "none" })
      return this.lookInArchive(bucket, id)
    })
  }
  private lookInArchive(bucket: number, id: JobId): Effect.Effect<JobLookup, StoreError> {
    return Effect.map(this.store.list(keys.archive(bucket)), ({ items }) => {
      for (const { value: v } of items) {
        const status = finalIn(v as FinalStates, id)
        if (status !== null) return { kind: "final", status }
      }
      return { kind: "none" }
    })
  }

  private folded({ value: v }: PageEntry): JobPage {
    return foldEnds(v, (id) => this.jobIndex.endOf(id))
  }
  /** The first page of a bucket with room for the job; null when not even an empty one has. */
  private pageFor(
    record: JobRecord,
    pages: ReadonlyArray<PageEntry>,
  ): { readonly key: StoreKey<JobPage>; readonly page: JobPage } | null {
    const { valueKb } = this.store.limits
    for (const entry of pages) {
      const page = addJob(this.folded(entry), record)
      const key = entry.key as StoreKey<JobPage>
      if (fitsValue(key, page, valueKb)) return { key, page }
    }
    const key = keys.jobPage(bucketOf(record.spec.id), pages.length)
    const page = addJob(EMPTY_PAGE, record)
    return fitsValue(key, page, valueKb) ? { key, page } : null
  }
  /** The page's write, and with it that of final states which leave it. */
  private writesOf(key: StoreKey<JobPage>, next: JobPage): PageWrites {
    const { maxOperations, valueKb } = this.store.limits
    if (maxOperations < ARCHIVING_CHANGES) return { page: next, operations: [put(key, next)] }
    const { page, archived } = archiveFinals(next, valueKb)
    if (archived === null) return { page, operations: [put(key, page)] }
    const [bucket, number] = key.slice(key.lastIndexOf("/") + 1).split(".")
    const archiveKey = keys.archivePage(Number(bucket), Number(number), next.archivedPages)
    return { page, operations: [put(key, page), put(archiveKey, archived)] }
  }
  private endsConditions(shard: ShardName): ReadonlyArray<Condition> {
    const { replica } = this.membership
    return endsPages(shard, this.store.limits).map((path) => ({
      key: path,
      modRevision: replica.modRevision(path),
    }))
  }
}

const tooLarge = new StoreError({ operation: "compareAndSwap", outcome: "refused", status: TOO_LARGE })
