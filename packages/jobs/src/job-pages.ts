/**
 * Owns the job pages as values. A job is accepted by adding it to a page of
 * its bucket; once it is over, the next write of that page folds it: its
 * record is replaced by its final state, a few bytes. So neither the end nor
 * the removal of a job costs a write of its own. Nothing here reads or writes
 * the store.
 */

import { hashText, type JobId } from "@sorreltally/protocol"
import {
  encodeRecord,
  type FinalStates,
  type FinalStatus,
  type JobPage,
  type JobRecord,
  type StoreKey,
} from "@sorreltally/store"

/**
 * Every controller replicates one page a bucket, and a write repeats what its
 * page holds: few enough to read at a start, many enough that a page mostly
 * holds a job or two, and writes of different jobs hardly ever meet.
 */
const BUCKETS = 512
/** Final states beyond this many bytes, or this fraction of a value, leave the replicated page for the archive. */
const ARCHIVE_BYTES = 1_024
const ARCHIVE_FRACTION = 0.25
/** Quotes and comma around an id's digits in JSON. */
const ID_FRAME_BYTES = 3
/** Reserved for what encodings may add to a value. */
const SPARE_BYTES = 64
const ID_PREFIX = "run-"

/** What a bucket's next page holds before its first write. */
export const EMPTY_PAGE: JobPage = { jobs: [], done: [], cancelled: [], archivePageCount: 0 }

/** The bucket whose pages hold the job. */
export const bucketOf = (id: JobId): number => hashText(id) % BUCKETS
/** The id without its prefix, as final states are stored. */
export const digitsOf = (id: JobId): string => id.slice(ID_PREFIX.length)
/** The id that has these digits. */
export const idOf = (digits: string): JobId => `${ID_PREFIX}${digits}` as JobId
/** Size of one final state as stored, in bytes. */
export const finalStateBytes = (digits: string): number => digits.length + ID_FRAME_BYTES

/** The job's final state, if it is among these. */
export const finalIn = (states: FinalStates, id: JobId): FinalStatus | null => {
  const digits = digitsOf(id)
  if (states.done.includes(digits)) return "done"
  return states.cancelled.includes(digits) ? "cancelled" : null
}

/** The page with one more job. */
export const addJob = (page: JobPage, job: JobRecord): JobPage => ({ ...page, jobs: [...page.jobs, job] })

/** The page with that job cancelled, if it holds it. */
export const cancelJob = (page: JobPage, id: JobId): JobPage => ({
  ...page,
  jobs: page.jobs.map((job) => (job.spec.id === id ? { ...job, cancelled: true } : job)),
})

/** Replaces the records of jobs that are over by their final states. */
export const foldEnds = (page: JobPage, endOf: (id: JobId) => FinalStatus | null): JobPage => {
  const jobs: Array<JobRecord> = []
  const done = [...page.done]
  const cancelled = [...page.cancelled]
  for (const job of page.jobs) {
    const { id } = job.spec
    const end = endOf(id)
    if (end === null) jobs.push(job)
    else if (end === "done") done.push(digitsOf(id))
    else cancelled.push(digitsOf(id))
  }
  return { ...page, jobs, done, cancelled }
}

/** Moves the final states of a page that holds many of them to an archive page of their own. */
export const archiveFinals = (
  page: JobPage,
  valueKb: number,
): { readonly page: JobPage; readonly archived: FinalStates | null } => {
  const { done, cancelled } = page
  let bytes = 0
  for (const digits of [...done, ...cancelled]) bytes += finalStateBytes(digits)
  if (bytes <= Math.min(ARCHIVE_BYTES, ARCHIVE_FRACTION * valueKb * 1024)) return { page, archived: null }
  return {
    page: { ...page, done: [], cancelled: [], archivePageCount: page.archivePageCount + 1 },
    archived: { done, cancelled },
  }
}

/** Whether the page, as it is stored, is small enough for one value of `valueKb`. */
export const fitsValue = (key: StoreKey<JobPage>, page: JobPage, valueKb: number): boolean =>
  Buffer.byteLength(JSON.stringify(encodeRecord(key, page))) <= valueKb * 1024 - SPARE_BYTES
