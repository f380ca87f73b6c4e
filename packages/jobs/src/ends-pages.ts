/**
 * Owns the ends pages as values: which keys a shard has, what of their content
 * is still needed, and what the next write of one adds. It never reads or
 * writes the store.
 */
import type { ShardName } from "@sorreltally/protocol"
import { type FinalStates, keys, type StoreKey, type StoreLimits } from "@sorreltally/store"
import { digitsOf, finalStateBytes } from "./job-pages.ts"
import type { JobState } from "./job-state.ts"
import { CONDITIONS_PER_OPERATION } from "./page-conditions.ts"

const ENDS_PAGES_PER_SHARD = 4
/** Besides those on job pages: on the shard and on the ends page. */
const FIXED_CONDITIONS = 2

/**
 * The keys of a shard's ends pages: together they hold the final states that
 * wait to be folded into job pages. A cancellation is conditioned on all of
 * them, and on the page of its job.
 */
export const endsPageKeys = (shard: ShardName, limits: StoreLimits): ReadonlyArray<StoreKey<FinalStates>> => {
  const maxPageConditions = CONDITIONS_PER_OPERATION * limits.maxOperations - 1
  return Array.from({ length: Math.min(ENDS_PAGES_PER_SHARD, maxPageConditions) }, (_, n) =>
    keys.endsPage(shard, n),
  )
}

/** What of an ends page is still needed. */
export interface EndsPageContent {
  readonly key: StoreKey<FinalStates>
  readonly page: FinalStates
  /** Its size as stored, without the frame. */
  readonly bytes: number
}

/** The content of a page without the final states, given by their ids' digits, that nobody needs. */
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

/** Jobs whose final states fit into an ends page's next write, and the page with them. */
export interface EndsAddition {
  readonly page: FinalStates
  readonly jobs: ReadonlyArray<JobState>
  /** Those that are done: the write is conditioned on their pages, lest one is cancelled meanwhile. */
  readonly doneJobs: ReadonlySet<JobState>
}

/** As many of the jobs as a page of `maxBytes` and a transaction's conditions have room for, in order. */
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
  const maxDoneJobs = CONDITIONS_PER_OPERATION * limits.maxOperations - FIXED_CONDITIONS
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
