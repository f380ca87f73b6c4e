/**
 * Order by rank, due time and size alone would let what is low, late or large
 * wait for ever. Of a job of which nothing has begun for long, some tasks go
 * before all others: on the machines of its part, and for its part's share of
 * the team's limit.
 */
import type { JobView } from "./model.ts"

const WAITED_LONG_S = 90
/** Share of a job's queued tasks that then go first. */
const TO_BEGIN = 0.05
/** Above the rank of any urgency. */
export const OVERDUE_RANK = 100

type Waiting = Pick<JobView, "unbegun" | "queued" | "ageS">

export const waitsTooLong = ({ unbegun, queued, ageS }: Waiting): boolean =>
  unbegun && queued > 0 && ageS > WAITED_LONG_S

export const tasksToBegin = ({ queued }: Pick<Waiting, "queued">): number => Math.ceil(queued * TO_BEGIN)
