/**
 * Pure functions that divide a job page into the records that store it. A page is one record, unless it has
 * become larger than a value may be, which happens when the store lowers its limits: then the jobs beyond the
 * limit move to new pages of the bucket, in the same transaction.
 */
import { ABSENT_KEY_REVISION } from "@sorreltally/protocol"
import {
  type Condition,
  type FinalStates,
  type JobPage,
  type JobRecord,
  keys,
  type Operation,
  put,
  type StoreKey,
  type StoreLimits,
} from "@sorreltally/store"
import {
  addJob,
  archiveFinalStates,
  divideFinalStates,
  EMPTY_PAGE,
  fitsValue,
  shortenCancelledJobs,
} from "./job-pages.ts"

/** Number of operations of a write that moves final states to the archive. */
const ARCHIVING_OPERATIONS = 2

/** New content of a job page. */
export interface PageContent {
  readonly key: StoreKey<JobPage>
  readonly page: JobPage
}
/** Records that store a job page, and the transaction that writes them. */
export interface PageLayout {
  /** The page, and the new pages to which jobs move. */
  readonly pages: ReadonlyArray<PageContent>
  readonly operations: ReadonlyArray<Operation>
  /** The new pages must not exist yet. */
  readonly conditions: ReadonlyArray<Condition>
}

/** Bucket and number of a job page. */
const parsePageKey = (key: StoreKey<JobPage>): { readonly bucket: number; readonly number: number } => {
  const [bucket, number] = key.slice(key.lastIndexOf("/") + 1).split(".")
  return { bucket: Number(bucket), number: Number(number) }
}
/** Bucket of a job page. */
export const bucketOfPage = (key: StoreKey<JobPage>): number => parsePageKey(key).bucket

/**
 * Lays out a page of a bucket that has `pageCount` pages. Null if the records need more operations than a
 * transaction may have, or if one job's record alone is larger than a value may be.
 */
export const layOutPage = (
  content: PageContent,
  pageCount: number,
  limits: StoreLimits,
): PageLayout | null => {
  const mayArchive = limits.maxWrites >= ARCHIVING_OPERATIONS
  const { page, archived } = mayArchive
    ? archiveFinalStates(content.page, limits.valueKb)
    : { page: content.page, archived: null }
  const archives = archived === null ? [] : divideFinalStates(archived, limits.valueKb)
  const { archivePageCount: firstArchive } = content.page
  const updated = { ...page, archivePageCount: firstArchive + archives.length }
  const pages = dividePage({ key: content.key, page: updated }, pageCount, limits.valueKb)
  if (pages === null) return null
  const operations = [
    ...pages.map(({ key, page: divided }) => put(key, divided)),
    ...archives.map((states, i) => putArchive(content.key, firstArchive + i, states)),
  ]
  if (operations.length > limits.maxWrites) return null
  const [, ...newPages] = pages
  return { pages, operations, conditions: newPages.map(absent) }
}

const absent = ({ key }: PageContent): Condition => ({ key, modRevision: ABSENT_KEY_REVISION })
const putArchive = (pageKey: StoreKey<JobPage>, n: number, states: FinalStates): Operation => {
  const { bucket, number } = parsePageKey(pageKey)
  return put(keys.archivePage(bucket, number, n), states)
}

/**
 * Divides the jobs of a page among the page itself and as few new pages as possible. Cancelled jobs are
 * shortened if that is necessary, so that a cancellation can be stored on a page that was full before.
 */
const dividePage = (
  { key, page }: PageContent,
  pageCount: number,
  valueKb: number,
): ReadonlyArray<PageContent> | null => {
  if (fitsValue(key, page, valueKb)) return [{ key, page }]
  const shortened = shortenCancelledJobs(page)
  if (fitsValue(key, shortened, valueKb)) return [{ key, page: shortened }]
  const { bucket } = parsePageKey(key)
  const pages: Array<PageContent> = []
  let current: PageContent = { key, page: { ...page, jobs: [] } }
  for (const job of shortened.jobs) {
    const added = withJob(current, job, valueKb)
    if (added !== null) {
      current = added
      continue
    }
    pages.push(current)
    const newKey = keys.jobPage(bucket, pageCount + pages.length - 1)
    const first = withJob({ key: newKey, page: EMPTY_PAGE }, job, valueKb)
    if (first === null) return null
    current = first
  }
  return [...pages, current]
}

/** The page with the job added; null if it is too large then. */
const withJob = ({ key, page }: PageContent, job: JobRecord, valueKb: number): PageContent | null => {
  const next = addJob(page, job)
  return fitsValue(key, next, valueKb) ? { key, page: next } : null
}
