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
 * The job table's pages, as values. A job is accepted by adding it to a page
 * of its bucket; when it is over, the next write of that page replaces its
 * record by its final state, a few bytes. So neither the end nor the removal
 * of a job costs a change of its own.
 */

/**
 * Every controller mirrors one page a bucket, and a write repeats what its
 * page holds: few enough to read at a start, many enough that a page mostly
 * holds a job or two, and writes of different jobs hardly ever meet.
 */
const BUCKETS = 512
/** Final states beyond this many bytes, or this share of a value, leave the mirrored page for the archive. */
const ARCHIVE_BYTES = 1_024
const ARCHIVE_SHARE = 0.25
/** Quotes and comma around an id's digits in JSON. */
const ID_FRAME_BYTES = 3
/** For what encodings may add to a value. */
const SPARE_BYTES = 64
const ID_PREFIX = "run-"

export const EMPTY_PAGE: JobPage = { jobs: [], done: [], cancelled: [], archivedPages: 0 }

export const bucketOf = (id: JobId): number => hashText(id) % BUCKETS
export const digitsOf = (id: JobId): string => id.slice(ID_PREFIX.length)
export const idOf = (digits: string): JobId => `${ID_PREFIX}${digits}` as JobId
export const finalStateBytes = (digits: string): number => digits.length + ID_FRAME_BYTES

/** The job's final state, if it is among these. */
export const finalIn = (states: FinalStates, id: JobId): FinalStatus | null => {
  const digits = digitsOf(id)
  if (states.done.includes(digits)) return "done"
  return states.cancelled.includes(digits) ? "cancelled" : null
}

export const addJob = (page: JobPage, job: JobRecord): JobPage => ({ ...page, jobs: [...page.jobs, job] })

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
  if (bytes <= Math.min(ARCHIVE_BYTES, ARCHIVE_SHARE * valueKb * 1024)) return { page, archived: null }
  return {
    page: { ...page, done: [], cancelled: [], archivedPages: page.archivedPages + 1 },
    archived: { done, cancelled },
  }
}

/** Is the page, as it is stored, small enough for one value? */
export const fitsValue = (key: StoreKey<JobPage>, page: JobPage, valueKb: number): boolean =>
  Buffer.byteLength(JSON.stringify(encodeRecord(key, page))) <= valueKb * 1024 - SPARE_BYTES
