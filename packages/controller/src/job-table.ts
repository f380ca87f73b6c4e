import {
  addJob,
  archiveFinals,
  bucketOf,
  EMPTY_PAGE,
  finalIn,
  fitsValue,
  foldEnds,
  withdrawJob,
} from "@sorreltally/jobs"
import type { Membership } from "@sorreltally/membership"
import {
  type ArchivePage,
  type Change,
  type Condition,
  type Entry,
  type FinalStatus,
  type JobPage,
  type JobRecord,
  keys,
  type StateClient,
  type StateLimits,
  StateTrouble,
} from "@sorreltally/state"
import { ABSENT, type JobId, type JobRequest, type PartName } from "@sorreltally/wire"
import { Effect } from "effect"
import type { JobBook, PageEntry } from "./job-book.ts"

/**
 * The keys of a part's ends pages: together they hold the ends that wait to be
 * folded into job pages. A cancellation is conditioned on all of them.
 */
export const endsPages = (part: PartName, limits: StateLimits): ReadonlyArray<string> => {
  const conditions = CONDITIONS_A_CHANGE * limits.txn_ops - 1
  return Array.from({ length: Math.min(ENDS_PAGES_A_PART, conditions) }, (_, n) => keys.endsPage(part, n))
}
const ENDS_PAGES_A_PART = 4
/** Of a transaction, by the protocol. */
const CONDITIONS_A_CHANGE = 4
const ARCHIVING_CHANGES = 2
/** What a write that can't be made is answered with: a state service would say the same. */
const TOO_LARGE = 413

/** What is known of a job. */
export type JobLookup =
  | { readonly kind: "live"; readonly record: JobRecord }
  | { readonly kind: "final"; readonly status: FinalStatus }
  | { readonly kind: "none" }
/** `accepted`: just now, by this call. */
export type Acceptance = JobLookup | { readonly kind: "accepted" }

export interface JobTableEvents {
  /** A page was written: the owner of this job should know before the watch tells it. */
  readonly changed: (entry: Entry, request: JobRequest) => Effect.Effect<void>
  /** Final answers known already; they hold for good. */
  readonly remembered: (id: JobId) => FinalStatus | null
  readonly remember: (id: JobId, status: FinalStatus) => void
  readonly partOf: (request: JobRequest) => PartName
}

/**
 * Accepts, looks up and cancels jobs in the state service. Each write replaces
 * one page on the stamp that it was read at, so that of several writers of a
 * bucket one succeeds, and a late copy fails.
 */
export class JobTable {
  constructor(
    private readonly state: StateClient,
    private readonly membership: Pick<Membership, "freshness" | "mirror">,
    private readonly book: JobBook,
    private readonly events: JobTableEvents,
  ) {}

  /**
   * What is so now, not what was so when we last heard. A job only ever moves
   * from its page's records to an ends page, to its page's final states, to
   * the archive; looked up in this order, none accepted before is missed.
   */
  find(id: JobId): Effect.Effect<JobLookup, StateTrouble> {
    return Effect.gen({ self: this }, function* () {
      const known = this.events.remembered(id)
      if (known !== null) return { kind: "final", status: known } as const
      yield* this.membership.freshness.since
      const found = yield* this.look(id)
      if (found.kind === "final") this.events.remember(id, found.status)
      return found
    })
  }

  /** Conditioned on every page of the bucket: nobody else can accept the same id meanwhile. */
  accept(record: JobRecord): Effect.Effect<Acceptance, StateTrouble> {
    return Effect.gen({ self: this }, function* () {
      const { request } = record
      for (;;) {
        // The mirror may lag here: the conditions fail if it does.
        const pages = this.book.pages(bucketOf(request.id))
        const seen = yield* this.look(request.id)
        if (seen.kind !== "none") return yield* this.find(request.id)
        const target = this.pageFor(record, pages)
        if (target === null) return yield* Effect.fail(tooLarge)
        const when: Array<Condition> = pages.map(({ path, stamp }) => ({ path, stamp }))
        when.push({ path: keys.jobPage(bucketOf(request.id), pages.length), stamp: ABSENT })
        const apply = this.changes(target.path, target.page)
        const made = yield* this.state.multi(when, apply, 1)
        if (made.ok) {
          const entry = { path: target.path, v: written(apply), stamp: made.epoch }
          yield* this.events.changed(entry, request)
          return { kind: "accepted" } as const
        }
        yield* this.membership.freshness.since
      }
    })
  }

  /**
   * Conditioned on the ends pages of the job's part too: once any node may
   * have told that the job is done, it can't be cancelled any more.
   */
  cancel(id: JobId): Effect.Effect<JobLookup, StateTrouble> {
    return Effect.gen({ self: this }, function* () {
      for (;;) {
        const found = yield* this.find(id)
        if (found.kind !== "live" || found.record.withdrawn === true) return found
        const job = this.book.get(id)
        const page = this.book.pages(bucketOf(id)).find(({ path }) => path === job?.page)
        if (page === undefined) continue
        const { request } = found.record
        const when: Array<Condition> = [{ path: page.path, stamp: page.stamp }]
        when.push(...this.endsConditions(this.events.partOf(request)))
        const apply = this.changes(page.path, withdrawJob(this.folded(page), id))
        const done = yield* this.state.multi(when, apply, 1)
        if (!done.ok) continue
        const entry = { path: page.path, v: written(apply), stamp: done.epoch }
        yield* this.events.changed(entry, request)
        return { kind: "live", record: { ...found.record, withdrawn: true } } as const
      }
    })
  }

  /** Writes a page anew without the jobs that are over. */
  fold(path: string): Effect.Effect<void, StateTrouble> {
    return Effect.gen({ self: this }, function* () {
      const page = this.pageAt(path)
      if (page === null) return
      const apply = this.changes(path, this.folded(page))
      const done = yield* this.state.multi([{ path, stamp: page.stamp }], apply, 3)
      if (!done.ok) return yield* this.membership.freshness.since
      this.membership.mirror.hint({ path, v: written(apply), stamp: done.epoch })
    })
  }

  private pageAt(path: string): PageEntry | null {
    const bucket = Number(path.slice(path.lastIndexOf("/") + 1, path.lastIndexOf(".")))
    return this.book.pages(bucket).find((page) => page.path === path) ?? null
  }
  /** What the mirror says, and for jobs long over the archive. */
  private look(id: JobId): Effect.Effect<JobLookup, StateTrouble> {
    return Effect.suspend((): Effect.Effect<JobLookup, StateTrouble> => {
      const bucket = bucketOf(id)
      const pages = this.book.pages(bucket)
      const status = this.book.finalOf(id, pages)
      if (status !== null) return Effect.succeed({ kind: "final", status })
      const live = this.book.get(id)
      if (live !== null) return Effect.succeed({ kind: "live", record: live.record })
      // Read after the pages were: what has left them by then is found there.
      if (pages.every(({ v }) => v.archived === 0)) return Effect.succeed({ kind: "none" })
      return this.lookInArchive(bucket, id)
    })
  }
  private lookInArchive(bucket: number, id: JobId): Effect.Effect<JobLookup, StateTrouble> {
    return Effect.map(this.state.list(keys.archive(bucket)), ({ items }) => {
      for (const { v } of items) {
        const status = finalIn(v as ArchivePage, id)
        if (status !== null) return { kind: "final", status }
      }
      return { kind: "none" }
    })
  }

  private folded({ v }: PageEntry): JobPage {
    return foldEnds(v, (id) => this.book.endOf(id))
  }
  /** The first page of a bucket with room for the job; null when not even an empty one has. */
  private pageFor(
    record: JobRecord,
    pages: ReadonlyArray<PageEntry>,
  ): { readonly path: string; readonly page: JobPage } | null {
    const { value_kb } = this.state.limits
    for (const entry of pages) {
      const page = addJob(this.folded(entry), record)
      if (fitsValue(page, value_kb)) return { path: entry.path, page }
    }
    const page = addJob(EMPTY_PAGE, record)
    if (!fitsValue(page, value_kb)) return null
    return { path: keys.jobPage(bucketOf(record.request.id), pages.length), page }
  }
  /** The page's write, and with it that of final states which leave it. */
  private changes(path: string, next: JobPage): ReadonlyArray<Change & { readonly set: string }> {
    if (this.state.limits.txn_ops < ARCHIVING_CHANGES) return [{ set: path, v: next }]
    const { page, archived } = archiveFinals(next, this.state.limits.value_kb)
    if (archived === null) return [{ set: path, v: page }]
    const [bucket, number] = path.slice(path.lastIndexOf("/") + 1).split(".")
    const archivePath = keys.archivePage(Number(bucket), Number(number), next.archived)
    return [
      { set: path, v: page },
      { set: archivePath, v: archived },
    ]
  }
  private endsConditions(part: PartName): ReadonlyArray<Condition> {
    const { mirror } = this.membership
    return endsPages(part, this.state.limits).map((path) => ({ path, stamp: mirror.stamp(path) }))
  }
}

const tooLarge = new StateTrouble({ outcome: "refused", status: TOO_LARGE })
const written = (apply: ReadonlyArray<Change>): unknown => (apply[0] as { readonly v: unknown }).v
