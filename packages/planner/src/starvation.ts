/**
 * Order by rank, due time and size alone would let what is low, late or large
 * wait for ever. Of a job of which nothing has begun for long, some tasks go
 * before all others: first on the machines of its part, and where these don't
 * do, for other parts' machines and quota as well.
 */
import type { JobView } from "./model.ts"

const OVERDUE_S = 90
/**
 * Machines that change parts cost image fetches and writes; users expect even
 * the largest jobs to begin within four minutes.
 */
const STARVED_S = 150
/** Share of a job's queued tasks that then go first. */
const TO_BEGIN = 0.05
/** Above the rank of any urgency. */
export const STARVED_RANK = 100

type Waiting = Pick<JobView, "unbegun" | "queued" | "ageS">

/** Some of its tasks go first on its own part's machines. */
export const isOverdue = ({ unbegun, queued, ageS }: Waiting): boolean =>
  unbegun && queued > 0 && ageS > OVERDUE_S

/** Some of its tasks go first across all parts. */
export const isStarved = ({ unbegun, queued, ageS }: Waiting): boolean =>
  unbegun && queued > 0 && hasWaitedTooLong(ageS)
export const hasWaitedTooLong = (ageS: number): boolean => ageS > STARVED_S

export const tasksToBegin = ({ queued }: Pick<Waiting, "queued">): number => Math.ceil(queued * TO_BEGIN)
