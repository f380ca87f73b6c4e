/** Jobs that can wait let others go before them on machines that have the others' images. */
import type { JobView } from "./input.ts"

/**
 * A job without a deadline that has more than this share of its time to start left lets others go
 * before it on machines that have their image: where one task ends, its image's next one begins at
 * once, instead of both jobs fetching on each other's machines. What is judged by a job's last task,
 * deadlines and the time when it is done, keeps its order.
 */
const MIN_TIME_LEFT = 0.5

/** Does the job have time to let others go first? */
export const canWait = ({ timeLeftS, startWithinS, ageS }: JobView): boolean =>
  timeLeftS === null && startWithinS !== null && ageS < startWithinS * (1 - MIN_TIME_LEFT)

/** Neighbours that pass, together; all others alone. */
export const runsOf = <A>(
  all: ReadonlyArray<A>,
  passes: (item: A) => boolean,
): ReadonlyArray<ReadonlyArray<A>> => {
  const runs: Array<Array<A>> = []
  let open: Array<A> | null = null
  for (const item of all) {
    const joins = passes(item)
    if (joins && open !== null) open.push(item)
    else {
      const run = [item]
      runs.push(run)
      open = joins ? run : null
    }
  }
  return runs
}
