/**
 * What users may expect of a whole day: a share of each class and team done, and jobs
 * begun in time.
 */
import type { WireJob } from "@sorreltally/protocol"
import type { UserInvariants } from "./user-invariants.ts"

/** Of each class, the share of its jobs that counts as its largest, at least one. */
const LARGEST_SHARE = 0.1

interface Tally {
  jobs: number
  done: number
}

/** Jobs that count: nobody asked to cancel them. */
const counted = (invariants: UserInvariants): ReadonlyArray<WireJob> =>
  [...invariants.submitted.values()].filter(({ id }) => !invariants.askedToCancel.has(id))

/** The largest jobs of each class, by their tasks' resources; all that tie with the smallest of them. */
export const largestOfClasses = (invariants: UserInvariants): ReadonlySet<string> => {
  const classes = new Map<string, Array<WireJob>>()
  for (const job of counted(invariants)) classes.set(job.lane, [...(classes.get(job.lane) ?? []), job])
  const size = (job: WireJob) => job.pieces * job.cores
  const largest = new Set<string>()
  for (const jobs of classes.values()) {
    const sizes = jobs.map(size).sort((a, b) => b - a)
    const least = sizes[Math.max(1, Math.floor(sizes.length * LARGEST_SHARE)) - 1] ?? 0
    for (const job of jobs) if (size(job) >= least) largest.add(job.id)
  }
  return largest
}

/** Classes, teams, and the largest jobs of classes, of which less than half is done. */
export const unserved = (invariants: UserInvariants): ReadonlyArray<string> => {
  const largest = largestOfClasses(invariants)
  const groups = new Map<string, Tally>()
  for (const { id, lane, owner } of counted(invariants)) {
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

/** Jobs of which no task began within that time of their submission, largest first. */
export const notBegunWithin = (
  invariants: UserInvariants,
  begunAt: ReadonlyMap<string, number>,
  ms: number,
  now: number,
): ReadonlyArray<string> => {
  const late = counted(invariants).filter(
    ({ id }) => (begunAt.get(id) ?? now) > (invariants.submittedAt.get(id) ?? 0) + ms,
  )
  return late.sort((a, b) => b.pieces - a.pieces).map(({ id }) => id)
}
