/** Estimates how many queued tasks of a job start too late, given the running tasks. */
import type { JobView, ShardLoad } from "./input.ts"

/** Seconds left within which a queued task should start; null: no target, or none that can still be met. */
const startTimeLeftS = (job: JobView): number | null => {
  if (job.startWithinS !== null && job.ageS < job.startWithinS) return job.startWithinS - job.ageS
  if (job.timeLeftS !== null && job.timeLeftS > job.executionS) return job.timeLeftS - job.executionS
  return null
}

/**
 * Cores released within that time as running tasks end. Cores that are reused and released again
 * count each time.
 */
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
 * Number of queued tasks of a job for which running tasks won't release capacity in time.
 * @param backlogCores Cores of the queued tasks of the jobs before it.
 * @param load Called only if the job has a start target that can still be met.
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
