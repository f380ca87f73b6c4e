/** How much of a job's queue starts too late, given what runs now. */
import type { JobView, ShardLoad } from "./input.ts"

/** Seconds left in which a queued task should start; null: too late for any objective, or none. */
const startTimeLeftS = (job: JobView): number | null => {
  if (job.startWithinS !== null && job.ageS < job.startWithinS) return job.startWithinS - job.ageS
  if (job.timeLeftS !== null && job.timeLeftS > job.executionS) return job.timeLeftS - job.executionS
  return null
}

/** Cores that come free within that time as running tasks end, counting those again that come free again. */
const coresFreedWithin = (
  { endingCoresBySecond }: ShardLoad,
  withinS: number,
  executionS: number,
): number => {
  let cores = 0
  const last = Math.min(endingCoresBySecond.length, Math.floor(withinS))
  for (let second = 0; second < last; second++) {
    const endedCores = endingCoresBySecond[second] ?? 0
    if (endedCores > 0) cores += endedCores * (1 + Math.floor((withinS - second) / executionS))
  }
  return cores
}

/**
 * Queued tasks of a job that running ones won't make capacity for in time; `backlogCores`: what the
 * queued tasks of the jobs before it take. `load` is called only where the job has an aim left.
 */
export const tasksStartingTooLate = (
  job: JobView,
  queued: number,
  backlogCores: number,
  load: () => ShardLoad,
): number => {
  const withinS = startTimeLeftS(job)
  if (withinS === null) return 0
  const freed = coresFreedWithin(load(), withinS, job.executionS) - backlogCores
  return Math.max(0, queued - Math.floor(Math.max(0, freed) / job.spec.cores))
}
