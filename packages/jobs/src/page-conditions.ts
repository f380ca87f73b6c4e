/**
 * Conditions that fence a write about jobs by the revisions of their job pages.
 * They come from the job states, never from the replica: a condition must state
 * the revisions on which the jobs' owner decided, not later ones that the replica
 * has received since.
 */
import type { ModRevision } from "@sorreltally/protocol"
import type { Condition, JobPage, StoreKey } from "@sorreltally/store"
import type { JobState } from "./job-state.ts"

/**
 * Conditions on the job pages that hold these jobs, at the revisions that the
 * jobs' owner last saw: the write fails if one of the jobs was cancelled since.
 */
export const pageConditions = (jobs: Iterable<JobState>): ReadonlyArray<Condition> => {
  const revisions = new Map<StoreKey<JobPage>, ModRevision>()
  for (const { pageKey, modRevision } of jobs) revisions.set(pageKey, modRevision)
  return [...revisions].map(([key, modRevision]) => ({ key, modRevision }))
}
