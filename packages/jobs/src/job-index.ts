/**
 * Index of all jobs by id, updated from this node's replica of job pages and
 * ends pages. It never changes a page, and may be as stale as the replica: a
 * caller that needs the current state waits for the read barrier first.
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

/** A job that isn't over, and the job page that holds its record. */
export interface LiveJob {
  readonly id: JobId
  readonly record: JobRecord
  readonly pageKey: StoreKey<JobPage>
  /** Mod revision of the job page. */
  readonly modRevision: ModRevision
}

/** Called on each change of a job; `job` is null once the job is over. */
export type JobListener = (id: JobId, job: LiveJob | null) => void

/** All jobs whose records the job pages in this node's replica hold. */
export class JobIndex {
  /** Jobs whose records are on a job page, whether they are over or not. */
  private readonly recordedJobs = new Map<JobId, LiveJob>()
  private readonly idsByJobPage = new Map<StoreKey<JobPage>, ReadonlyArray<JobId>>()
  /** Final statuses that the ends pages list. */
  private readonly finalStatuses = new Map<JobId, FinalStatus>()
  private readonly idsByEndsPage = new Map<StoreKey<FinalStates>, ReadonlyArray<JobId>>()
  private readonly listeners = new Set<JobListener>()

  constructor(private readonly replica: Replica) {
    replica.listen(JOB_PAGES, (key, entry) => this.applyJobPage(key, entry))
    replica.listen(ENDS_PAGES, (key, entry) => this.applyEndsPage(key, entry))
  }

  /** Registers a listener. Returns a function that removes it. */
  listen(listener: JobListener): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  /** All jobs that aren't over. */
  *liveJobs(): Iterable<LiveJob> {
    for (const job of this.recordedJobs.values()) if (!this.finalStatuses.has(job.id)) yield job
  }

  /** Job with this id; null if it has no record or is over. */
  get(id: JobId): LiveJob | null {
    return this.finalStatuses.has(id) ? null : (this.recordedJobs.get(id) ?? null)
  }

  /** Whether a job page still holds the job's record; the job may be over. */
  hasRecord(id: JobId): boolean {
    return this.recordedJobs.has(id)
  }

  /** Key of the job page that holds the job's record; null if no page does. */
  pageKeyOf(id: JobId): StoreKey<JobPage> | null {
    return this.recordedJobs.get(id)?.pageKey ?? null
  }

  /** Final status of the job according to the ends pages; null if none lists the job. */
  endsPageStatusOf(id: JobId): FinalStatus | null {
    return this.finalStatuses.get(id) ?? null
  }

  /** Job pages of a bucket. They are numbered without gaps, as no page is ever deleted. */
  pagesInBucket(bucket: number): ReadonlyArray<Entry<JobPage>> {
    const pages: Array<Entry<JobPage>> = []
    for (;;) {
      const key = keys.jobPage(bucket, pages.length)
      const entry = this.replica.get(key)
      if (entry === null) return pages
      pages.push(entry)
    }
  }

  /**
   * Final status of the job according to the ends pages or the given job pages
   * of its bucket; null if neither lists the job.
   */
  finalStatusOf(id: JobId, pages: ReadonlyArray<Entry<JobPage>>): FinalStatus | null {
    const endsPageStatus = this.endsPageStatusOf(id)
    if (endsPageStatus !== null) return endsPageStatus
    for (const { value } of pages) {
      const status = finalStatusIn(value, id)
      if (status !== null) return status
    }
    return null
  }

  /**
   * Whether each job that this index has on a page is still on a later state of the page, or known to be over.
   * Otherwise the job may have moved to a page that only the watch delivers, and must not appear to be over
   * until then.
   */
  keepsJobs({ key, value }: Entry<JobPage>): boolean {
    const listed = new Set(value.jobs.map(({ spec }) => spec.id))
    const isOver = (id: JobId) => this.finalStatuses.has(id) || finalStatusIn(value, id) !== null
    const indexed = this.idsByJobPage.get(key) ?? []
    return indexed.every((id) => listed.has(id) || isOver(id) || this.pageKeyOf(id) !== key)
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
      // A job that moved to another page is indexed there already, see `Replica`.
      if (remaining.has(id) || this.pageKeyOf(id) !== key) continue
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
    // An ends page lists a job until no job page holds its record.
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
