/**
 * Protection against starvation. An order by rank, due time and size alone would starve jobs of low rank,
 * late jobs and large jobs. If none of a job's tasks has started for a long time, some of them are boosted
 * ahead of all other work: first on the machines of the job's shard and, if these don't suffice, on other
 * shards' machines and quota as well.
 */
import type { JobView } from "./input.ts"

/** Age above which tasks of a job that never started are boosted on its own shard's machines. */
const OVERDUE_AGE_S = 90
/**
 * Age above which such tasks are boosted across all shards. Moving machines between shards costs image
 * fetches and writes; users expect even the largest jobs to start within four minutes.
 */
const STARVED_AGE_S = 150
/** Share of a job's queued tasks that are boosted. */
const BOOSTED_SHARE = 0.05
/** Rank of boosted tasks across shards, above the rank of any priority. */
export const STARVED_RANK = 100

type WaitingJob = Pick<JobView, "notStarted" | "queued" | "ageS">

/** Whether some of the job's tasks are boosted on its own shard's machines. */
export const isOverdue = ({ notStarted, queued, ageS }: WaitingJob): boolean =>
  notStarted && queued > 0 && ageS > OVERDUE_AGE_S

/** Whether some of the job's tasks are boosted across all shards. */
export const isStarved = ({ notStarted, queued, ageS }: WaitingJob): boolean =>
  notStarted && queued > 0 && hasWaitedTooLong(ageS)

/** Whether a job of this age is starved if none of its tasks has started. */
export const hasWaitedTooLong = (ageS: number): boolean => ageS > STARVED_AGE_S

/** Number of queued tasks that are boosted; at least one if any is queued. */
export const countBoostedTasks = ({ queued }: Pick<WaitingJob, "queued">): number =>
  Math.ceil(queued * BOOSTED_SHARE)
