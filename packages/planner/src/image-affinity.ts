/** Image affinity: jobs that can wait yield machines to jobs whose images are cached there. */
import type { JobView } from "./input.ts"

/**
 * A job without a deadline yields machines to jobs whose image is cached there while more than this share
 * of its time to start is left. When a task ends, the next task with the same image then starts at once,
 * instead of both jobs fetching images on each other's machines. Jobs that are measured by their last task
 * (by a deadline or a completion time) keep their order.
 */
const MIN_TIME_LEFT_SHARE = 0.5

/** Whether the job has enough time left to yield to others. */
export const canWait = ({ timeLeftS, startWithinS, ageS }: JobView): boolean =>
  timeLeftS === null && startWithinS !== null && ageS < startWithinS * (1 - MIN_TIME_LEFT_SHARE)

/** Groups consecutive items that satisfy the predicate; every other item is a group of its own. */
export const groupConsecutive = <T>(
  items: ReadonlyArray<T>,
  predicate: (item: T) => boolean,
): ReadonlyArray<ReadonlyArray<T>> => {
  const groups: Array<Array<T>> = []
  let currentGroup: Array<T> | null = null
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
