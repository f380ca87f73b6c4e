/** The order in which a plan serves jobs. It decides no placement: only who chooses first. */
import type { JobClassName } from "@sorreltally/protocol"
import type { JobView, ShardLoad } from "./input.ts"

/**
 * Share of a run that has to fit into the time left for a job to count as feasible:
 * owners' estimates are often half off.
 */
export const MIN_FEASIBLE_RUN_SHARE = 0.5

/** Without any aim, a job counts as due this long after its submission. */
const DEFAULT_DUE_S = 600

/** The first of several times, in order, that can still be met at this age; the last one where none can. */
export const nextTarget = (targets: ReadonlyArray<number>, ageS: number, neededS: number): number | null => {
  for (const target of targets) if (target - ageS > neededS) return target
  return targets.at(-1) ?? null
}

/** It can't meet its deadline any more, even if its run times are overestimated. */
const isInfeasible = (job: JobView): boolean =>
  job.timeLeftS !== null && job.timeLeftS < job.executionS * MIN_FEASIBLE_RUN_SHARE

/** A job with what decides its place in the order. */
interface Entry {
  readonly job: JobView
  readonly infeasible: boolean
  /** Its deadline is given up so that more jobs meet theirs. */
  deferred: boolean
  readonly dueS: number
}

/**
 * Higher priority first, then work within its team's guarantee, then earliest due first; infeasible
 * work goes last. Where not all can be in time, jobs are counted, not tasks: the largest are
 * deferred for the others. In tiers, by what mustn't be changed for anything: rank, and who is
 * infeasible or deferred.
 */
export const schedulingTiers = (
  jobs: ReadonlyArray<JobView>,
  load: ShardLoad,
): ReadonlyArray<ReadonlyArray<JobView>> => {
  const entries = jobs.map(
    (job): Entry => ({
      job,
      infeasible: isInfeasible(job),
      deferred: false,
      dueS: job.timeLeftS ?? (job.startWithinS ?? DEFAULT_DUE_S) - job.ageS,
    }),
  )
  entries.sort(
    (a, b) =>
      b.job.rank - a.job.rank ||
      Number(a.infeasible) - Number(b.infeasible) ||
      Number(b.job.withinGuarantee) - Number(a.job.withinGuarantee) ||
      a.dueS - b.dueS ||
      (a.job.id < b.job.id ? -1 : 1),
  )
  deferLargest(entries, load)
  // Stable: within each tier the order stays.
  entries.sort(
    (a, b) =>
      b.job.rank - a.job.rank ||
      Number(a.infeasible) - Number(b.infeasible) ||
      Number(a.deferred) - Number(b.deferred),
  )
  return groupByTier(entries)
}

const groupByTier = (entries: ReadonlyArray<Entry>): ReadonlyArray<ReadonlyArray<JobView>> => {
  const tiers = new Map<string, Array<JobView>>()
  for (const { job, infeasible, deferred } of entries) {
    const key = `${job.rank}|${infeasible}|${deferred}`
    const tier = tiers.get(key)
    if (tier === undefined) tiers.set(key, [job])
    else tier.push(job)
  }
  return [...tiers.values()]
}

/** A job that is to meet its deadline so far. */
interface OnTimeJob {
  readonly entry: Entry
  /** Core-seconds. */
  readonly work: number
  readonly cost: number
}

/**
 * In order of due times, the last task of a job starts when the machines have
 * taken in all queued work up to it, and runs its time; where that is after
 * the job is due, the job so far that takes the most work
 * for what it counts is deferred (after Moore and Hodgson's rule for the
 * least number of late jobs). The objectives are shares of a class, so a job counts
 * the more the fewer there are of its class. Neither work of higher priority
 * nor what a team is guaranteed is deferred for others.
 */
const deferLargest = (entries: ReadonlyArray<Entry>, { cores }: ShardLoad): void => {
  if (cores <= 0) return
  const jobsPerClass = countJobsByClass(entries)
  /** Core-seconds of queued work up to the job at hand. */
  let backlog = 0
  let rank: number | null = null
  let onTimeJobs: Array<OnTimeJob> = []
  for (const entry of entries) {
    const { job, infeasible } = entry
    if (job.rank !== rank) onTimeJobs = []
    rank = job.rank
    if (infeasible || job.queued === 0) continue
    const work = job.queued * job.spec.cores * job.executionS
    backlog += work
    if (job.timeLeftS === null || job.withinGuarantee) continue
    onTimeJobs.push({ entry, work, cost: work * (jobsPerClass.get(job.spec.jobClass) ?? 1) })
    backlog = deferUntilInTime(entry, job.timeLeftS, onTimeJobs, backlog, cores)
  }
}

/** Defers jobs until this one's last task is in time, or is itself deferred. Returns the backlog without them. */
const deferUntilInTime = (
  entry: Entry,
  timeLeftS: number,
  onTimeJobs: Array<OnTimeJob>,
  backlog: number,
  cores: number,
): number => {
  let remainingBacklog = backlog
  while (onTimeJobs.length > 0 && remainingBacklog / cores + entry.job.executionS > timeLeftS) {
    const [costliest] = onTimeJobs.splice(indexOfCostliest(onTimeJobs), 1)
    costliest!.entry.deferred = true
    remainingBacklog -= costliest!.work
    if (costliest!.entry === entry) break
  }
  return remainingBacklog
}

const countJobsByClass = (entries: ReadonlyArray<Entry>): ReadonlyMap<JobClassName, number> => {
  const counts = new Map<JobClassName, number>()
  for (const { job } of entries) counts.set(job.spec.jobClass, (counts.get(job.spec.jobClass) ?? 0) + 1)
  return counts
}

/** Of equally costly ones, the first. */
const indexOfCostliest = (jobs: ReadonlyArray<OnTimeJob>): number => {
  let costliest = 0
  for (const [i, { cost }] of jobs.entries()) if (cost > jobs[costliest]!.cost) costliest = i
  return costliest
}
