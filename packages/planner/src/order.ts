import type { JobView, Load } from "./model.ts"

/** Part of a run that has to fit into the time left for a job to count as in time: estimates are often half off. */
export const REACH = 0.5

/** The first of several times, in order, that can still be met at this age; the last one where none can. */
export const nextTarget = (targets: ReadonlyArray<number>, ageS: number, neededS: number): number | null => {
  for (const target of targets) if (target - ageS > neededS) return target
  return targets.at(-1) ?? null
}

const isHopeless = (job: JobView): boolean => job.timeLeftS !== null && job.timeLeftS < job.executionS * REACH

/**
 * Higher priority first, then work within its team's guarantee, then what is
 * due first; work past saving goes last. Where not all can be in time, jobs
 * are counted, not tasks: the largest wait for the others (`dropped`).
 */
export const inOrder = (jobs: ReadonlyArray<JobView>, load: Load): ReadonlyArray<JobView> =>
  inTiers(jobs, load).flat()

/** The same, by what mustn't be changed for anything: rank, and who is past saving or waits for the others. */
export const inTiers = (jobs: ReadonlyArray<JobView>, load: Load): ReadonlyArray<ReadonlyArray<JobView>> => {
  const keyed = jobs.map((job) => ({
    job,
    hopeless: isHopeless(job) ? 1 : 0,
    dropped: 0,
    due: job.timeLeftS ?? (job.startWithinS ?? 600) - job.ageS,
  }))
  keyed.sort(
    (a, b) =>
      b.job.rank - a.job.rank ||
      a.hopeless - b.hopeless ||
      Number(b.job.withinGuarantee) - Number(a.job.withinGuarantee) ||
      a.due - b.due ||
      (a.job.id < b.job.id ? -1 : 1),
  )
  dropLargest(keyed, load)
  // Stable: within each group the order stays.
  keyed.sort((a, b) => b.job.rank - a.job.rank || a.hopeless - b.hopeless || a.dropped - b.dropped)
  const tiers = new Map<string, Array<JobView>>()
  for (const { job, hopeless, dropped } of keyed) {
    const name = `${job.rank}|${hopeless}|${dropped}`
    const tier = tiers.get(name)
    if (tier === undefined) tiers.set(name, [job])
    else tier.push(job)
  }
  return [...tiers.values()]
}

interface Keyed {
  readonly job: JobView
  readonly hopeless: number
  dropped: number
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
const dropLargest = (keyed: ReadonlyArray<Keyed>, { cores }: Load): void => {
  if (cores <= 0) return
  let ahead = 0
  const alike = new Map<string, number>()
  for (const { job } of keyed) alike.set(job.request.jobClass, (alike.get(job.request.jobClass) ?? 0) + 1)
  let rank: number | null = null
  let kept: Array<{ readonly of: Keyed; readonly work: number; readonly cost: number }> = []
  for (const of of keyed) {
    const { job, hopeless } = of
    if (job.rank !== rank) kept = []
    rank = job.rank
    if (hopeless === 1 || job.queued === 0) continue
    const work = job.queued * job.request.cores * job.executionS
    ahead += work
    if (job.timeLeftS === null || job.withinGuarantee) continue
    kept.push({ of, work, cost: work * (alike.get(job.request.jobClass) ?? 1) })
    while (kept.length > 0 && ahead / cores + job.executionS > job.timeLeftS) {
      let dearest = 0
      for (const [i, { cost }] of kept.entries()) if (cost > kept[dearest]!.cost) dearest = i
      const [out] = kept.splice(dearest, 1)
      out!.of.dropped = 1
      ahead -= out!.work
      if (out!.of === of) break
    }
  }
}
