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
  readonly page: StoreKey<JobPage>
  readonly modRevision: ModRevision
}
/** One page of a bucket, as this node's mirror has it. */
export interface PageEntry extends Entry<JobPage> {
  readonly key: StoreKey<JobPage>
}
/** Null: the job is over. */
export type JobListener = (id: JobId, job: LiveJob | null) => void

/** Every job on record, job by job: job pages and ends pages as this node's mirror has them. */
export class JobIndex {
  /** Jobs whose records stand in a page, over or not. */
  private readonly onRecord = new Map<JobId, LiveJob>()
  private readonly idsByJobPage = new Map<string, ReadonlyArray<JobId>>()
  private readonly ends = new Map<JobId, FinalStatus>()
  private readonly idsByEndsPage = new Map<string, ReadonlyArray<JobId>>()
  private readonly listeners = new Set<JobListener>()

  constructor(private readonly replica: Replica) {
    replica.listen(JOB_PAGES, (path, entry) => this.pageChanged(path, entry))
    replica.listen(ENDS_PAGES, (path, entry) => this.endsChanged(path, entry))
  }

  /** Returns how to stop listening. */
  listen(listener: JobListener): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }
  *live(): Iterable<LiveJob> {
    for (const job of this.onRecord.values()) if (!this.ends.has(job.id)) yield job
  }
  get(id: JobId): LiveJob | null {
    return this.ends.has(id) ? null : (this.onRecord.get(id) ?? null)
  }
  /** Does a page still hold its record, though it may be over? */
  isOnRecord(id: JobId): boolean {
    return this.onRecord.has(id)
  }
  /** The page that holds its record. */
  pageOf(id: JobId): StoreKey<JobPage> | null {
    return this.onRecord.get(id)?.page ?? null
  }
  /** How an ends page says that it ended. */
  endOf(id: JobId): FinalStatus | null {
    return this.ends.get(id) ?? null
  }
  /** The pages of a bucket: there is no gap between them, as none is ever deleted. */
  pages(bucket: number): ReadonlyArray<PageEntry> {
    const pages: Array<PageEntry> = []
    for (;;) {
      const path = keys.jobPage(bucket, pages.length)
      const entry = this.replica.get(path)
      if (entry === null) return pages
      pages.push(entry as PageEntry)
    }
  }
  /** Its final state, as ends pages or the pages of its bucket tell it. */
  finalOf(id: JobId, pages: ReadonlyArray<PageEntry>): FinalStatus | null {
    const end = this.endOf(id)
    if (end !== null) return end
    for (const { value: v } of pages) {
      const final = finalIn(v, id)
      if (final !== null) return final
    }
    return null
  }

  private pageChanged(path: string, entry: Entry | null): void {
    const page = entry === null ? EMPTY_PAGE : (entry.value as JobPage)
    const before = this.idsByJobPage.get(path) ?? []
    const now = page.jobs.map((job) => job.spec.id)
    this.idsByJobPage.set(path, now)
    for (const record of page.jobs) {
      const { id } = record.spec
      const job: LiveJob = { id, record, page: path as StoreKey<JobPage>, modRevision: entry!.modRevision }
      this.onRecord.set(id, job)
      if (!this.ends.has(id)) this.notify(id, job)
    }
    const left = new Set(now)
    for (const id of before) {
      if (left.has(id)) continue
      this.onRecord.delete(id)
      if (!this.ends.has(id)) this.notify(id, null)
    }
  }
  private endsChanged(path: string, entry: Entry | null): void {
    const page: FinalStates = entry === null ? EMPTY_PAGE : (entry.value as FinalStates)
    const before = this.idsByEndsPage.get(path) ?? []
    const now: Array<JobId> = []
    for (const digits of page.done) now.push(this.recordEnd(idOf(digits), "done"))
    for (const digits of page.cancelled) now.push(this.recordEnd(idOf(digits), "cancelled"))
    this.idsByEndsPage.set(path, now)
    // An ends page names a job until no job page holds its record.
    const left = new Set(now)
    for (const id of before) if (!left.has(id)) this.ends.delete(id)
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
