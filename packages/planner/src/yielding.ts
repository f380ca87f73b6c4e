/** Jobs that can wait let others go first where these have their image. */
import type { JobView } from "./model.ts"

/**
 * A job without a deadline that has more than this part of its time to start
 * left lets others go before it on machines that have their image: where one
 * task ends, its image's next one begins at once, instead of both jobs fetching
 * on each other's machines. What is judged by a job's last task, deadlines
 * and the time when it is done, keeps its order.
 */
const YIELDS = 0.5
export const canWait = ({ timeLeftS, startWithinS, ageS }: JobView): boolean =>
  timeLeftS === null && startWithinS !== null && ageS < startWithinS * (1 - YIELDS)
/** Neighbours that pass, together; all others alone. */
export const runsOf = <A>(
  all: ReadonlyArray<A>,
  passes: (one: A) => boolean,
): ReadonlyArray<ReadonlyArray<A>> => {
  const runs: Array<Array<A>> = []
  let open: Array<A> | null = null
  for (const one of all) {
    const joins = passes(one)
    if (joins && open !== null) open.push(one)
    else {
      runs.push([one])
      open = joins ? runs.at(-1)! : null
    }
  }
  return runs
}
