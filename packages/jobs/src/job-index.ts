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
import { EMPTY_PAGE, finalStatusIn, idFromDigits } from "./job-pages.ts"

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
  private readonly recordedJobs = new Map<JobId, LiveJob>()
  private readonly idsByJobPage = new Map<StoreKey<JobPage>, ReadonlyArray<JobId>>()
  private readonly finalStatuses = new Map<JobId, FinalStatus>()
  private readonly idsByEndsPage = new Map<StoreKey<FinalStates>, ReadonlyArray<JobId>>()
  private readonly listeners = new Set<JobListener>()

  constructor(private readonly replica: Replica) {
    replica.listen(JOB_PAGES, (key, entry) => this.applyJobPage(key, entry))
    replica.listen(ENDS_PAGES, (key, entry) => this.applyEndsPage(key, entry))
  }

  /** Returns how to stop listening. */
  listen(listener: JobListener): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  /** All jobs that aren't over. */
  *liveJobs(): Iterable<LiveJob> {
    for (const job of this.recordedJobs.values()) if (!this.finalStatuses.has(job.id)) yield job
  }

  /** The job, if it is on record and not over. */
  get(id: JobId): LiveJob | null {
    return this.finalStatuses.has(id) ? null : (this.recordedJobs.get(id) ?? null)
  }

  /** Whether a page still holds its record, though it may be over. */
  hasRecord(id: JobId): boolean {
    return this.recordedJobs.has(id)
  }

  /** The page that holds its record; null when none does. */
  pageKeyOf(id: JobId): StoreKey<JobPage> | null {
    return this.recordedJobs.get(id)?.pageKey ?? null
  }

  /** The final status that an ends page gives it; null when none names it. */
  endsPageStatusOf(id: JobId): FinalStatus | null {
    return this.finalStatuses.get(id) ?? null
  }

  /** The pages of a bucket: there is no gap between them, as none is ever deleted. */
  pagesInBucket(bucket: number): ReadonlyArray<Entry<JobPage>> {
    const pages: Array<Entry<JobPage>> = []
    for (;;) {
      const key = keys.jobPage(bucket, pages.length)
      const entry = this.replica.get(key)
      if (entry === null) return pages
      pages.push(entry)
    }
  }

  /** Its final status by the ends pages or the given pages of its bucket; null when neither has one. */
  finalStatusOf(id: JobId, pages: ReadonlyArray<Entry<JobPage>>): FinalStatus | null {
    const endsPageStatus = this.endsPageStatusOf(id)
    if (endsPageStatus !== null) return endsPageStatus
    for (const { value } of pages) {
      const status = finalStatusIn(value, id)
      if (status !== null) return status
    }
    return null
  }

  private applyJobPage(key: StoreKey<JobPage>, entry: Entry<JobPage> | null): void {
    const page = entry?.value ?? EMPTY_PAGE
    const previousIds = this.idsByJobPage.get(key) ?? []
    const currentIds = page.jobs.map((job) => job.spec.id)
    this.idsByJobPage.set(key, currentIds)
    for (const record of page.jobs) {
      const { id } = record.spec
      const job: LiveJob = { id, record, pageKey: key, modRevision: entry!.modRevision }
      this.recordedJobs.set(id, job)
      if (!this.finalStatuses.has(id)) this.notifyListeners(id, job)
    }
    const remaining = new Set(currentIds)
    for (const id of previousIds) {
      if (remaining.has(id)) continue
      this.recordedJobs.delete(id)
      if (!this.finalStatuses.has(id)) this.notifyListeners(id, null)
    }
  }

  private applyEndsPage(key: StoreKey<FinalStates>, entry: Entry<FinalStates> | null): void {
    const page: FinalStates = entry?.value ?? EMPTY_PAGE
    const previousIds = this.idsByEndsPage.get(key) ?? []
    const currentIds: Array<JobId> = []
    for (const digits of page.done) currentIds.push(this.addFinalStatus(idFromDigits(digits), "done"))
    for (const digits of page.cancelled)
      currentIds.push(this.addFinalStatus(idFromDigits(digits), "cancelled"))
    this.idsByEndsPage.set(key, currentIds)
    // An ends page names a job until no job page holds its record.
    const remaining = new Set(currentIds)
    for (const id of previousIds) if (!remaining.has(id)) this.finalStatuses.delete(id)
  }

  private addFinalStatus(id: JobId, status: FinalStatus): JobId {
    if (!this.finalStatuses.has(id)) {
      this.finalStatuses.set(id, status)
      if (this.recordedJobs.has(id)) this.notifyListeners(id, null)
    }
    return id
  }

  private notifyListeners(id: JobId, job: LiveJob | null): void {
    for (const listener of this.listeners) listener(id, job)
  }
}
