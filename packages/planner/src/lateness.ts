/** How much of the queue comes too late, given what runs now. */
import type { JobView, Snapshot } from "./model.ts"

/** Seconds left in which a queued task should start; null: too late for any aim, or none. */
const startsWithinS = (job: JobView): number | null => {
  if (job.startWithinS !== null && job.ageS < job.startWithinS) return job.startWithinS - job.ageS
  if (job.timeLeftS !== null && job.timeLeftS > job.executionS) return job.timeLeftS - job.executionS
  return null
}

/** Cores that come free within that time as running tasks end, counting the room that then comes free again. */
const coresFreedWithin = (snapshot: Snapshot, withinS: number, executionS: number): number => {
  let cores = 0
  const { ending } = snapshot.load()
  const last = Math.min(ending.length, Math.floor(withinS))
  for (let s = 0; s < last; s++) {
    const ended = ending[s] ?? 0
    if (ended > 0) cores += ended * (1 + Math.floor((withinS - s) / executionS))
  }
  return cores
}

/** Queued tasks of a job that running ones won't make room for in time; `ahead`: cores of the jobs that go first. */
export const tasksStartingTooLate = (
  job: JobView,
  pending: number,
  ahead: number,
  snapshot: Snapshot,
): number => {
  const withinS = startsWithinS(job)
  if (withinS === null) return 0
  const freed = coresFreedWithin(snapshot, withinS, job.executionS) - ahead
  return Math.max(0, pending - Math.floor(Math.max(0, freed) / job.spec.cores))
}
