/** What a shard asks of the others: machines for queued tasks that its own have no capacity for. */
import {
  countBoostedTasks,
  isStarved,
  type JobView,
  type MachineDemand,
  STARVED_RANK,
  shapeOf,
  type UnplacedTasks,
} from "@sorreltally/planner"
import type { ShardName } from "@sorreltally/protocol"

/** The most urgent demands are published, and the kinds of machine that most starved jobs wait for. */
const MAX_PUBLISHED_DEMANDS = 4
const MAX_PUBLISHED_STARVED_DEMANDS = 2

/** The shard's demands after a plan: those of starved jobs, then the others in scheduling order. */
export const machineDemands = (
  shard: ShardName,
  unplaced: ReadonlyArray<UnplacedTasks>,
): ReadonlyArray<MachineDemand> => [
  ...starvedDemands(shard, unplaced),
  ...unplaced
    .filter(({ tasks }) => tasks > 0)
    .slice(0, MAX_PUBLISHED_DEMANDS)
    .map(
      ({ job, tasks, urgentTasks }): MachineDemand => ({
        shard,
        shape: shapeOf(job.spec),
        rank: job.rank,
        tasks,
        urgentTasks: job.withinGuarantee ? Math.min(urgentTasks, tasks) : 0,
        since: job.submitted,
      }),
    ),
]

/** Starved jobs that fit the same machines ask together. */
interface StarvedGroup {
  readonly first: JobView
  tasks: number
  since: number
}

/**
 * Guards against jobs that never begin because other shards have all machines
 * and more urgent work, or as urgent: for some of their tasks machines are lent
 * before any other work.
 */
const starvedDemands = (
  shard: ShardName,
  unplaced: ReadonlyArray<UnplacedTasks>,
): ReadonlyArray<MachineDemand> => {
  const groups = new Map<string, StarvedGroup>()
  for (const { job, tasks } of unplaced) {
    if (tasks === 0 || !isStarved(job)) continue
    const key = eligibleMachinesKey(job)
    const group = groups.get(key) ?? { first: job, tasks: 0, since: job.submitted }
    group.tasks += Math.min(tasks, countBoostedTasks(job))
    group.since = Math.min(group.since, job.submitted)
    groups.set(key, group)
  }
  return [...groups.values()]
    .sort((a, b) => b.tasks - a.tasks)
    .slice(0, MAX_PUBLISHED_STARVED_DEMANDS)
    .map(({ first, tasks, since }) => ({
      shard,
      shape: shapeOf(first.spec),
      rank: STARVED_RANK,
      tasks,
      urgentTasks: 0,
      since,
    }))
}

/** Equal for jobs that fit the same machines. */
const eligibleMachinesKey = ({ spec }: JobView): string => {
  const { cores, accelerators, memGb, machineTypes, zone, spotAllowed } = spec
  return JSON.stringify([cores, accelerators, memGb, machineTypes ?? null, zone ?? null, spotAllowed])
}
