/**
 * Owns the view of all jobs by id, kept up with this node's replica of job
 * pages and ends pages. It never changes a page, and knows no more than the
 * replica does: whoever needs what is so now passes the read barrier first.
 */
import type { Replica } from "@sorreltally/membership"
import type { JobId, ModRevision } from "@sorreltally/protocol"
import {
  ENDS_PAGES,
  type Entry,
  type FinalStates,
  type FinalStatus,
  JOB_PAGES,
  type JobPage,
  type JobRecord,
  keys,
  type StoreKey,
} from "@sorreltally/store"
import { EMPTY_PAGE, finalIn, idOf } from "./job-pages.ts"

/** A job that isn't over, and the page that holds it. */
export interface LiveJob {
  readonly id: JobId
  readonly record: JobRecord
  readonly pageKey: StoreKey<JobPage>
  /** The page's revision. */
  readonly modRevision: ModRevision
}

/** Is called at each change of a job; null: the job is over. */
export type JobListener = (id: JobId, job: LiveJob | null) => void

/** Every job on record, as this node's replica has it. */
export class JobIndex {
  /** Jobs whose records stand in a page, over or not. */
  private readonly onRecord = new Map<JobId, LiveJob>()
  private readonly idsByJobPage = new Map<StoreKey<JobPage>, ReadonlyArray<JobId>>()
  private readonly ends = new Map<JobId, FinalStatus>()
  private readonly idsByEndsPage = new Map<StoreKey<FinalStates>, ReadonlyArray<JobId>>()
  private readonly listeners = new Set<JobListener>()

  constructor(private readonly replica: Replica) {
    replica.listen(JOB_PAGES, (key, entry) => this.pageChanged(key, entry))
    replica.listen(ENDS_PAGES, (key, entry) => this.endsChanged(key, entry))
  }

  /** Returns how to stop listening. */
  listen(listener: JobListener): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  /** All jobs that aren't over. */
  *live(): Iterable<LiveJob> {
    for (const job of this.onRecord.values()) if (!this.ends.has(job.id)) yield job
  }

  /** The job, if it is on record and not over. */
  get(id: JobId): LiveJob | null {
    return this.ends.has(id) ? null : (this.onRecord.get(id) ?? null)
  }

  /** Whether a page still holds its record, though it may be over. */
  isOnRecord(id: JobId): boolean {
    return this.onRecord.has(id)
  }

  /** The page that holds its record; null when none does. */
  pageOf(id: JobId): StoreKey<JobPage> | null {
    return this.onRecord.get(id)?.pageKey ?? null
  }

  /** The final status that an ends page gives it; null when none names it. */
  endOf(id: JobId): FinalStatus | null {
    return this.ends.get(id) ?? null
  }

  /** The pages of a bucket: there is no gap between them, as none is ever deleted. */
  pages(bucket: number): ReadonlyArray<Entry<JobPage>> {
    const pages: Array<Entry<JobPage>> = []
    for (;;) {
      const key = keys.jobPage(bucket, pages.length)
      const entry = this.replica.get(key)
      if (entry === null) return pages
      pages.push(entry)
    }
  }

  /** Its final status by the ends pages or the given pages of its bucket; null when neither has one. */
  finalOf(id: JobId, pages: ReadonlyArray<Entry<JobPage>>): FinalStatus | null {
    const end = this.endOf(id)
    if (end !== null) return end
    for (const { value } of pages) {
      const final = finalIn(value, id)
      if (final !== null) return final
    }
    return null
  }

  private pageChanged(key: StoreKey<JobPage>, entry: Entry<JobPage> | null): void {
    const pageKey = entry?.value ?? EMPTY_PAGE
    const before = this.idsByJobPage.get(key) ?? []
    const now = pageKey.jobs.map((job) => job.spec.id)
    this.idsByJobPage.set(key, now)
    for (const record of pageKey.jobs) {
      const { id } = record.spec
      const job: LiveJob = { id, record, pageKey: key, modRevision: entry!.modRevision }
      this.onRecord.set(id, job)
      if (!this.ends.has(id)) this.notify(id, job)
    }
    const remaining = new Set(now)
    for (const id of before) {
      if (remaining.has(id)) continue
      this.onRecord.delete(id)
      if (!this.ends.has(id)) this.notify(id, null)
    }
  }

  private endsChanged(key: StoreKey<FinalStates>, entry: Entry<FinalStates> | null): void {
    const pageKey: FinalStates = entry?.value ?? EMPTY_PAGE
    const before = this.idsByEndsPage.get(key) ?? []
    const now: Array<JobId> = []
    for (const digits of pageKey.done) now.push(this.recordEnd(idOf(digits), "done"))
    for (const digits of pageKey.cancelled) now.push(this.recordEnd(idOf(digits), "cancelled"))
    this.idsByEndsPage.set(key, now)
    // An ends page names a job until no job page holds its record.
    const remaining = new Set(now)
    for (const id of before) if (!remaining.has(id)) this.ends.delete(id)
  }

  private recordEnd(id: JobId, status: FinalStatus): JobId {
    if (!this.ends.has(id)) {
      this.ends.set(id, status)
      if (this.onRecord.has(id)) this.notify(id, null)
    }
    return id
  }

  private notify(id: JobId, job: LiveJob | null): void {
    for (const listener of this.listeners) listener(id, job)
  }
}
