/** The order in which a plan serves jobs. It doesn't decide placements, only which job is placed first. */
import type { JobClassName } from "@sorreltally/protocol"
import type { JobView, ShardLoad } from "./input.ts"

/**
 * Share of a task's estimated run time that has to fit into the time left for a job to count as feasible.
 * Less than 1, since owners' estimates are often wrong by half.
 */
export const MIN_FEASIBLE_RUN_SHARE = 0.5

/** Seconds after submission at which a job without a deadline or objective counts as due. */
const DEFAULT_DUE_S = 600

/**
 * Returns the first of the ascending targets that can still be met at this age, else the last one;
 * null: no targets.
 */
export const nextTarget = (targets: ReadonlyArray<number>, ageS: number, neededS: number): number | null => {
  for (const target of targets) if (target - ageS > neededS) return target
  return targets.at(-1) ?? null
}

/** Whether the job can't meet its deadline any more, even if its run time is overestimated. */
const isInfeasible = (job: JobView): boolean =>
  job.timeLeftS !== null && job.timeLeftS < job.executionS * MIN_FEASIBLE_RUN_SHARE

/** A job and the properties that decide its place in the order. */
interface Entry {
  readonly job: JobView
  readonly infeasible: boolean
  /** Whether its deadline is given up so that more jobs meet theirs. */
  deferred: boolean
  readonly dueS: number
}

/**
 * Orders jobs by rank, highest first, then those within their team's guarantee, then earliest due time;
 * within a rank, infeasible jobs go last. If not all jobs can be on time, as many jobs as possible (not
 * tasks) are to be: the largest are deferred in favour of the others. The result is grouped into tiers of
 * equal rank, feasibility and deferral; callers may reorder jobs within a tier, never across tiers.
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
  // The sort is stable, so the order within each tier is kept.
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

/** A job that is expected to meet its deadline, given the jobs considered so far. */
interface OnTimeJob {
  readonly entry: Entry
  /** Queued work in core-seconds. */
  readonly work: number
  /** `work` times the number of jobs in its class: the costliest job is deferred first. */
  readonly cost: number
}

/**
 * Goes through the jobs in order of due time. The last task of a job starts once the machines have processed
 * all queued work up to it, and then runs for its execution time. If it ends after the job's deadline, the
 * job with the most work for its weight among those so far is deferred (after Moore and Hodgson's rule for
 * the minimum number of late jobs). Objectives are shares of a job class, so a job weighs more the fewer jobs
 * its class has. Neither jobs of higher rank nor jobs within a team's guarantee are deferred for others.
 */
const deferLargest = (entries: ReadonlyArray<Entry>, { cores }: ShardLoad): void => {
  if (cores <= 0) return
  const jobsPerClass = countJobsByClass(entries)
  /** Core-seconds of queued work up to and including the current job. */
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
    backlog = deferUntilOnTime(entry, job.timeLeftS, onTimeJobs, backlog, cores)
  }
}

/** Defers jobs until this one is on time or itself deferred. Returns the backlog without deferred jobs. */
const deferUntilOnTime = (
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

/** Index of the job with the highest cost; of equally costly ones, the first. */
const indexOfCostliest = (jobs: ReadonlyArray<OnTimeJob>): number => {
  let costliest = 0
  for (const [i, { cost }] of jobs.entries()) if (cost > jobs[costliest]!.cost) costliest = i
  return costliest
}
