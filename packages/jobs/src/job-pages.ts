/**
 * Pure functions on job pages; they neither read nor write the store. A job is
 * accepted by adding its record to a page of its bucket. Once the job is over,
 * the next write of that page compacts it: the record is replaced by the job's
 * final state, which takes a few bytes. So neither the end nor the removal of
 * a job requires a separate write.
 */

import { hashText, type JobId, type JobSpec } from "@sorreltally/protocol"
import {
  encodeRecord,
  type FinalStates,
  type FinalStatus,
  type JobPage,
  type JobRecord,
  MAX_TRANSACTION_BYTES,
  type StoreKey,
} from "@sorreltally/store"

/**
 * Every controller replicates the pages of all buckets, mostly one per bucket,
 * and each write repeats its whole page. The number is small enough to read all
 * pages at start-up, and large enough that a page usually holds one or two jobs
 * and that writes for different jobs rarely conflict.
 */
const BUCKET_COUNT = 512
/**
 * Final states that exceed this size, or this fraction of the store's limit on
 * a value, are moved from the replicated page to the archive.
 */
const ARCHIVE_THRESHOLD_BYTES = 1_024
const ARCHIVE_THRESHOLD_FRACTION = 0.25
/** Quotes and comma around the digits of an id in JSON. */
const ID_JSON_OVERHEAD_BYTES = 3
/** Bytes of a value that are reserved for the overhead of its encoding. */
const ENCODING_RESERVE_BYTES = 64
/** Bytes of a transaction that are reserved for its conditions, and for what else a cancellation writes. */
const CONDITIONS_RESERVE_BYTES = 2_048
/** Longer names of a cancelled job are cut to this many characters if its page is too large. */
const MAX_CANCELLED_NAME_LENGTH = 16
const ID_PREFIX = "run-"

/** Content of a job page before its first write. */
export const EMPTY_PAGE: JobPage = { jobs: [], done: [], cancelled: [], archivePageCount: 0 }

/** Bucket whose pages hold the job. */
export const bucketOf = (id: JobId): number => hashText(id) % BUCKET_COUNT
/** Id without its prefix, the form in which final states are stored. */
export const digitsOf = (id: JobId): string => id.slice(ID_PREFIX.length)
/** Id with these digits: the inverse of `digitsOf`. */
export const idFromDigits = (digits: string): JobId => `${ID_PREFIX}${digits}` as JobId
/** Size of one final state as stored, in bytes. */
export const finalStateBytes = (digits: string): number => digits.length + ID_JSON_OVERHEAD_BYTES

/** Final status of the job according to these final states; null if they don't contain it. */
export const finalStatusIn = (states: FinalStates, id: JobId): FinalStatus | null => {
  const digits = digitsOf(id)
  if (states.done.includes(digits)) return "done"
  return states.cancelled.includes(digits) ? "cancelled" : null
}

/** Returns the page with the job's record added. */
export const addJob = (page: JobPage, job: JobRecord): JobPage => ({ ...page, jobs: [...page.jobs, job] })

/** Returns the page with the job marked as cancelled, if the page holds its record. */
export const cancelJob = (page: JobPage, id: JobId): JobPage => ({
  ...page,
  jobs: page.jobs.map((job) => (job.spec.id === id ? { ...job, cancelled: true } : job)),
})

/** Returns the page with the records of jobs that are over replaced by their final states. */
export const compactPage = (page: JobPage, finalStatusOf: (id: JobId) => FinalStatus | null): JobPage => {
  const jobs: Array<JobRecord> = []
  const done = [...page.done]
  const cancelled = [...page.cancelled]
  for (const job of page.jobs) {
    const { id } = job.spec
    const status = finalStatusOf(id)
    if (status === null) jobs.push(job)
    else if (status === "done") done.push(digitsOf(id))
    else cancelled.push(digitsOf(id))
  }
  return { ...page, jobs, done, cancelled }
}

/**
 * Takes the final states off a page if they exceed the archive threshold;
 * otherwise `archived` is null.
 */
export const archiveFinalStates = (
  page: JobPage,
  valueKb: number,
): { readonly page: JobPage; readonly archived: FinalStates | null } => {
  const { done, cancelled } = page
  let bytes = 0
  for (const digits of [...done, ...cancelled]) bytes += finalStateBytes(digits)
  if (bytes <= Math.min(ARCHIVE_THRESHOLD_BYTES, ARCHIVE_THRESHOLD_FRACTION * valueKb * 1024))
    return { page, archived: null }
  return {
    page: { ...page, done: [], cancelled: [] },
    archived: { done, cancelled },
  }
}

/** Divides final states into as few records as fit in values of at most `valueKb` KiB. */
export const divideFinalStates = (states: FinalStates, valueKb: number): ReadonlyArray<FinalStates> => {
  const maxBytes = valueKb * 1024 - ENCODING_RESERVE_BYTES
  const records: Array<{ done: Array<string>; cancelled: Array<string> }> = []
  let bytes = Number.POSITIVE_INFINITY
  for (const status of ["done", "cancelled"] as const)
    for (const digits of states[status]) {
      bytes += finalStateBytes(digits)
      if (bytes > maxBytes) {
        records.push({ done: [], cancelled: [] })
        bytes = finalStateBytes(digits)
      }
      records.at(-1)![status].push(digits)
    }
  return records
}

/**
 * The largest form that the page's jobs can take later: all of them cancelled, after the archive has grown. A
 * job is accepted only if this fits, or its cancellation could not be stored.
 */
export const largestLaterForm = (page: JobPage): JobPage => ({
  ...page,
  jobs: page.jobs.map((job) => ({ ...job, cancelled: true })),
  archivePageCount: Number.MAX_SAFE_INTEGER,
})

/** The page with each cancelled job in the shortest form that can store it. */
export const shortenCancelledJobs = (page: JobPage): JobPage => ({
  ...page,
  jobs: page.jobs.map((job) => (job.cancelled ? { ...job, spec: shortenSpec(job.spec) } : job)),
})
/** A cancelled job starts no more tasks: nothing needs its machine types, nor its names of any length. */
const shortenSpec = (spec: JobSpec): JobSpec => ({
  ...spec,
  machineTypes: null,
  jobClass: spec.jobClass.slice(0, MAX_CANCELLED_NAME_LENGTH) as JobSpec["jobClass"],
  image: spec.image.slice(0, MAX_CANCELLED_NAME_LENGTH) as JobSpec["image"],
})

/** Whether the encoded page fits in a value of at most `valueKb` KiB, and in a transaction. */
export const fitsValue = (key: StoreKey<JobPage>, page: JobPage, valueKb: number): boolean =>
  Buffer.byteLength(JSON.stringify(encodeRecord(key, page))) <=
  Math.min(valueKb * 1024 - ENCODING_RESERVE_BYTES, MAX_TRANSACTION_BYTES - CONDITIONS_RESERVE_BYTES)
