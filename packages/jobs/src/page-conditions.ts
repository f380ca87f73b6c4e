/**
 * Owns the condition that fences a write about jobs by their job pages. It
 * never reads the replica: a condition must say what the jobs' owner knew when
 * it decided, not what has been heard since.
 */
import type { ModRevision } from "@sorreltally/protocol"
import type { Condition, JobPage, StoreKey } from "@sorreltally/store"
import type { JobState } from "./job-state.ts"

/** Conditions that a transaction may have for each operation of its limit (protocol, state service). */
export const CONDITIONS_PER_OPERATION = 4

/**
 * The job pages that hold these jobs, at the revisions that their owner knows
 * of: a write on these conditions fails if one of the jobs was cancelled since.
 */
export const pageConditions = (jobs: Iterable<JobState>): ReadonlyArray<Condition> => {
  const revisions = new Map<StoreKey<JobPage>, ModRevision>()
  for (const { pageKey, modRevision } of jobs) revisions.set(pageKey, modRevision)
  return [...revisions].map(([key, modRevision]) => ({ key, modRevision }))
}
