/**
 * Service objectives over a whole simulated day: the share of each job class and team that is done, and
 * the time from submission to the first start.
 */
import type { WireJob } from "@sorreltally/protocol"
import type { UserInvariants } from "./user-invariants.ts"

/** Share of the jobs of a class that count as its largest; at least one job does. */
const LARGEST_SHARE = 0.1

interface Tally {
  jobs: number
  done: number
}

/** Jobs to which the objectives apply: those without a cancel request. */
const jobsNotCancelled = (invariants: UserInvariants): ReadonlyArray<WireJob> =>
  [...invariants.submitted.values()].filter(({ id }) => !invariants.cancelRequested.has(id))

/** The largest jobs of each class by total cores, including all that tie with the smallest of them. */
export const largestJobsOfClasses = (invariants: UserInvariants): ReadonlySet<string> => {
  const classes = new Map<string, Array<WireJob>>()
  for (const job of jobsNotCancelled(invariants))
    classes.set(job.lane, [...(classes.get(job.lane) ?? []), job])
  const size = (job: WireJob) => job.pieces * job.cores
  const largest = new Set<string>()
  for (const jobs of classes.values()) {
    const sizes = jobs.map(size).sort((a, b) => b - a)
    const smallestCounted = sizes[Math.max(1, Math.floor(sizes.length * LARGEST_SHARE)) - 1] ?? 0
    for (const job of jobs) if (size(job) >= smallestCounted) largest.add(job.id)
  }
  return largest
}

/** Classes, teams and groups of largest jobs with less than half of their jobs done. */
export const underservedGroups = (invariants: UserInvariants): ReadonlyArray<string> => {
  const largest = largestJobsOfClasses(invariants)
  const groups = new Map<string, Tally>()
  for (const { id, lane, owner } of jobsNotCancelled(invariants)) {
    const names = [`class ${lane}`, `team ${owner}`]
    if (largest.has(id)) names.push(`the largest of class ${lane}`)
    for (const name of names) {
      const tally = groups.get(name) ?? { jobs: 0, done: 0 }
      tally.jobs++
      if (invariants.state(id) === "done") tally.done++
      groups.set(name, tally)
    }
  }
  return [...groups].filter(([, { jobs, done }]) => 2 * done < jobs).map(([name]) => name)
}

/** Jobs without a task started within `limitMs` of their submission, those with most tasks first. */
export const jobsNotStartedWithin = (
  invariants: UserInvariants,
  firstStartAt: ReadonlyMap<string, number>,
  limitMs: number,
  now: number,
): ReadonlyArray<string> => {
  const late = jobsNotCancelled(invariants).filter(
    ({ id }) => (firstStartAt.get(id) ?? now) > (invariants.submittedAt.get(id) ?? 0) + limitMs,
  )
  return late.sort((a, b) => b.pieces - a.pieces).map(({ id }) => id)
}
