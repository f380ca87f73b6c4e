/**
 * Order by rank, due time and size alone would starve what is low, late or
 * large. Of a job of which nothing has begun for long, some tasks go
 * before all others: first on the machines of its shard, and where these don't
 * do, on other shards' machines and quota as well.
 */
import type { JobView } from "./input.ts"

/** Age at which a job that never began goes first on its own shard's machines. */
const OVERDUE_AGE_S = 90
/**
 * Age at which it goes first across all shards. Machines that change shards cost image fetches and
 * writes; users expect even the largest jobs to begin within four minutes.
 */
const STARVED_AGE_S = 150
/** Share of a job's queued tasks that then go first. */
const BOOSTED_SHARE = 0.05
/** Above the rank of any priority. */
export const STARVED_RANK = 100

type WaitingJob = Pick<JobView, "notStarted" | "queued" | "ageS">

/** Some of its tasks go first on its own shard's machines. */
export const isOverdue = ({ notStarted, queued, ageS }: WaitingJob): boolean =>
  notStarted && queued > 0 && ageS > OVERDUE_AGE_S

/** Some of its tasks go first across all shards. */
export const isStarved = ({ notStarted, queued, ageS }: WaitingJob): boolean =>
  notStarted && queued > 0 && hasWaitedTooLong(ageS)

/** Is a job of this age starved if nothing of it began? */
export const hasWaitedTooLong = (ageS: number): boolean => ageS > STARVED_AGE_S

/** How many of its queued tasks go first; at least one. */
export const countBoostedTasks = ({ queued }: Pick<WaitingJob, "queued">): number =>
  Math.ceil(queued * BOOSTED_SHARE)
