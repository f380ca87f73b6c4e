/** Jobs that can wait let others go before them on machines that have the others' images. */
import type { JobView } from "./input.ts"

/**
 * A job without a deadline that has more than this share of its time to start left lets others go
 * before it on machines that have their image: where one task ends, its image's next one begins at
 * once, instead of both jobs fetching on each other's machines. What is judged by a job's last task,
 * deadlines and the time when it is done, keeps its order.
 */
const MIN_TIME_LEFT_SHARE = 0.5

/** Does the job have time to let others go first? */
export const canWait = ({ timeLeftS, startWithinS, ageS }: JobView): boolean =>
  timeLeftS === null && startWithinS !== null && ageS < startWithinS * (1 - MIN_TIME_LEFT_SHARE)

/** Neighbours that pass, together; all others alone. */
export const groupConsecutive = <A>(
  items: ReadonlyArray<A>,
  predicate: (item: A) => boolean,
): ReadonlyArray<ReadonlyArray<A>> => {
  const groups: Array<Array<A>> = []
  let currentGroup: Array<A> | null = null
  for (const item of items) {
    const matches = predicate(item)
    if (matches && currentGroup !== null) currentGroup.push(item)
    else {
      const group = [item]
      groups.push(group)
      currentGroup = matches ? group : null
    }
  }
  return groups
}
