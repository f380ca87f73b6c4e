/**
 * Pure functions on ends pages: the keys of a shard's pages, the content that is
 * still needed, and the final states that the next write adds. They neither read
 * nor write the store.
 */
import type { ShardName } from "@sorreltally/protocol"
import { type FinalStates, keys, type StoreKey, type StoreLimits } from "@sorreltally/store"
import { digitsOf, finalStateBytes } from "./job-pages.ts"
import type { JobState } from "./job-state.ts"

const ENDS_PAGES_PER_SHARD = 4
/** Conditions of each write besides those on job pages: one on the shard, one on the ends page. */
const FIXED_CONDITIONS = 2

/**
 * Keys of a shard's ends pages, which together hold the final states that are
 * not moved to job pages yet. A cancellation is conditioned on all of them
 * and on the job page of its job, so their number is limited by the number of
 * conditions of a transaction. It has to be the same on every node and at any time,
 * or a cancellation could miss a page: `limits` are the lowest that the settings state.
 */
export const endsPageKeys = (shard: ShardName, limits: StoreLimits): ReadonlyArray<StoreKey<FinalStates>> => {
  const maxPageConditions = limits.maxConditions - 1
  return Array.from({ length: Math.min(ENDS_PAGES_PER_SHARD, maxPageConditions) }, (_, n) =>
    keys.endsPage(shard, n),
  )
}

/** Part of an ends page's content that is still needed. */
export interface EndsPageContent {
  readonly key: StoreKey<FinalStates>
  readonly page: FinalStates
  /** Stored size of the final states, without the page's overhead. */
  readonly bytes: number
}

/**
 * Content of a stored page without the final states that are no longer needed.
 * `isNeeded` is given the digits of a job's id.
 */
export const neededContentOf = (
  key: StoreKey<FinalStates>,
  stored: FinalStates | undefined,
  isNeeded: (digits: string) => boolean,
): EndsPageContent => {
  const done = (stored?.done ?? []).filter(isNeeded)
  const cancelled = (stored?.cancelled ?? []).filter(isNeeded)
  let bytes = 0
  for (const digits of [...done, ...cancelled]) bytes += finalStateBytes(digits)
  return { key, page: { done, cancelled }, bytes }
}

/** Jobs whose final states fit into the next write of an ends page, and the page that includes them. */
export interface EndsAddition {
  readonly page: FinalStates
  readonly jobs: ReadonlyArray<JobState>
  /**
   * Those of the jobs that are done. The write is conditioned on their job
   * pages, so that it fails if one of them has been cancelled.
   */
  readonly doneJobs: ReadonlySet<JobState>
}

/**
 * Adds final states of waiting jobs, in order, up to a page size of `maxBytes`
 * and the number of conditions that a transaction may have.
 */
export const addEnds = (
  content: EndsPageContent,
  waiting: Iterable<JobState>,
  maxBytes: number,
  limits: StoreLimits,
): EndsAddition => {
  const done = [...content.page.done]
  const cancelled = [...content.page.cancelled]
  const doneJobs = new Set<JobState>()
  const jobs: Array<JobState> = []
  const maxDoneJobs = limits.maxConditions - FIXED_CONDITIONS
  let { bytes } = content
  for (const job of waiting) {
    const digits = digitsOf(job.id)
    if (bytes + finalStateBytes(digits) > maxBytes) break
    if (!job.cancelled && doneJobs.size >= maxDoneJobs) continue
    bytes += finalStateBytes(digits)
    jobs.push(job)
    if (job.cancelled) cancelled.push(digits)
    else {
      done.push(digits)
      doneJobs.add(job)
    }
  }
  return { page: { done, cancelled }, jobs, doneJobs }
}
