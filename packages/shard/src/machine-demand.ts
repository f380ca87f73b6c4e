/** What a part asks of the others: machines for queued tasks that its own have no room for. */
import {
  isStarved,
  type JobView,
  type MachineDemand,
  STARVED_RANK,
  shapeOf,
  tasksToBegin,
  type Unplaced,
} from "@sorreltally/planner"
import type { ShardName } from "@sorreltally/protocol"

/** The most urgent needs are told, and the kinds of machine that most jobs that waited too long wait for. */
const PUBLISHED_DEMANDS = 4
const PUBLISHED_STARVED_DEMANDS = 2

export const machineDemands = (
  shard: ShardName,
  unplaced: ReadonlyArray<Unplaced>,
): ReadonlyArray<MachineDemand> => [
  ...starvedNeeds(shard, unplaced),
  ...unplaced
    .filter(({ tasks }) => tasks > 0)
    .slice(0, PUBLISHED_DEMANDS)
    .map(
      ({ job, tasks, urgent: pressing }): MachineDemand => ({
        shard,
        shape: shapeOf(job.spec),
        rank: job.rank,
        tasks,
        pressing: job.withinGuarantee ? Math.min(pressing, tasks) : 0,
        since: job.submitted,
      }),
    ),
]

/**
 * Guards against jobs that never begin because other parts have all machines
 * and more urgent work, or as urgent: for some of their tasks machines are lent
 * before any other work. Jobs that fit the same machines ask together.
 */
const starvedNeeds = (shard: ShardName, unplaced: ReadonlyArray<Unplaced>): ReadonlyArray<MachineDemand> => {
  const byKind = new Map<string, { readonly first: JobView; tasks: number; since: number }>()
  for (const { job, tasks } of unplaced) {
    if (tasks === 0 || !isStarved(job)) continue
    const kind = machinesOf(job)
    const alike = byKind.get(kind) ?? { first: job, tasks: 0, since: job.submitted }
    alike.tasks += Math.min(tasks, tasksToBegin(job))
    alike.since = Math.min(alike.since, job.submitted)
    byKind.set(kind, alike)
  }
  return [...byKind.values()]
    .sort((a, b) => b.tasks - a.tasks)
    .slice(0, PUBLISHED_STARVED_DEMANDS)
    .map(({ first, tasks, since }) => ({
      shard,
      shape: shapeOf(first.spec),
      rank: STARVED_RANK,
      tasks,
      pressing: 0,
      since,
    }))
}

const machinesOf = ({ spec: request }: JobView): string => {
  const { cores, accelerators, memGb, machineTypes: builds, zone: site, spotAllowed: loaners } = request
  return JSON.stringify([cores, accelerators, memGb, builds ?? null, site ?? null, loaners])
}
