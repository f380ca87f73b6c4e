import type { ClusterLoad, JobView } from "./model.ts"

/** Part of a run that has to fit into the time left for a job to count as in time: estimates are often half off. */
export const REACH = 0.5

/** The first of several times, in order, that can still be met at this age; the last one where none can. */
export const nextTarget = (targets: ReadonlyArray<number>, ageS: number, neededS: number): number | null => {
  for (const target of targets) if (target - ageS > neededS) return target
  return targets.at(-1) ?? null
}

const isInfeasible = (job: JobView): boolean =>
  job.timeLeftS !== null && job.timeLeftS < job.executionS * REACH

/**
 * Higher priority first, then work within its team's guarantee, then what is
 * due first; work past saving goes last. Where not all can be in time, jobs
 * are counted, not tasks: the largest wait for the others (`dropped`).
 */
export const schedulingOrder = (jobs: ReadonlyArray<JobView>, load: ClusterLoad): ReadonlyArray<JobView> =>
  schedulingTiers(jobs, load).flat()

/** The same, by what mustn't be changed for anything: rank, and who is past saving or waits for the others. */
export const schedulingTiers = (
  jobs: ReadonlyArray<JobView>,
  load: ClusterLoad,
): ReadonlyArray<ReadonlyArray<JobView>> => {
  const keyed = jobs.map((job) => ({
    job,
    infeasible: isInfeasible(job) ? 1 : 0,
    deferred: 0,
    due: job.timeLeftS ?? (job.startWithinS ?? 600) - job.ageS,
  }))
  keyed.sort(
    (a, b) =>
      b.job.rank - a.job.rank ||
      a.infeasible - b.infeasible ||
      Number(b.job.withinGuarantee) - Number(a.job.withinGuarantee) ||
      a.due - b.due ||
      (a.job.id < b.job.id ? -1 : 1),
  )
  deferLargest(keyed, load)
  // Stable: within each group the order stays.
  keyed.sort((a, b) => b.job.rank - a.job.rank || a.infeasible - b.infeasible || a.deferred - b.deferred)
  const tiers = new Map<string, Array<JobView>>()
  for (const { job, infeasible, deferred } of keyed) {
    const name = `${job.rank}|${infeasible}|${deferred}`
    const tier = tiers.get(name)
    if (tier === undefined) tiers.set(name, [job])
    else tier.push(job)
  }
  return [...tiers.values()]
}

interface Keyed {
  readonly job: JobView
  readonly infeasible: number
  deferred: number
}

/**
 * In order of due times, the last task of a job starts when the machines have
 * taken in all queued work up to it, and runs its time; where that is after
 * the job is due, the job so far that takes the most work
 * for what it counts is left for later (after Moore and Hodgson's rule for the
 * least number of late jobs). The aims are shares of a class, so a job counts
 * the more the fewer there are of its class. Neither work of higher priority
 * nor what a team is guaranteed is left out for others.
 */
const deferLargest = (keyed: ReadonlyArray<Keyed>, { cores }: ClusterLoad): void => {
  if (cores <= 0) return
  let ahead = 0
  const alike = new Map<string, number>()
  for (const { job } of keyed) alike.set(job.spec.jobClass, (alike.get(job.spec.jobClass) ?? 0) + 1)
  let rank: number | null = null
  let kept: Array<{ readonly of: Keyed; readonly work: number; readonly cost: number }> = []
  for (const of of keyed) {
    const { job, infeasible } = of
    if (job.rank !== rank) kept = []
    rank = job.rank
    if (infeasible === 1 || job.queued === 0) continue
    const work = job.queued * job.spec.cores * job.executionS
    ahead += work
    if (job.timeLeftS === null || job.withinGuarantee) continue
    kept.push({ of, work, cost: work * (alike.get(job.spec.jobClass) ?? 1) })
    while (kept.length > 0 && ahead / cores + job.executionS > job.timeLeftS) {
      let dearest = 0
      for (const [i, { cost }] of kept.entries()) if (cost > kept[dearest]!.cost) dearest = i
      const [out] = kept.splice(dearest, 1)
      out!.of.deferred = 1
      ahead -= out!.work
      if (out!.of === of) break
    }
  }
}
