/**
 * What a shard needs of the teams' limits: what it uses, what its queued tasks
 * could use, and which shard goes first where the limits aren't enough for all. It asks and
 * answers; the quota allocations themselves change only by their conditional writes.
 */
import { type JobState, SUSPECT_RANK } from "@sorreltally/jobs"
import {
  countBoostedTasks,
  goesFirst,
  isStarved,
  type JobView,
  type QuotaDemand,
  type QuotaHeadroom,
  STARVED_RANK,
  slotsIn,
  type TeamClaim,
  tasksWithinHeadroom,
} from "@sorreltally/planner"
import { type JobSpec, priorityRank, type TeamName } from "@sorreltally/protocol"
import type { AllocationDemand, QuotaAmount } from "@sorreltally/quota"
import { isLimited, type Team } from "@sorreltally/settings"
import type { ShardView } from "./shard-context.ts"

/** Claims are published in steps of this share of a limit, so that not every task that ends is news. */
const CLAIM_STEP = 1 / 32

/** What a team without any task here uses. */
export const NO_QUOTA: QuotaHeadroom = { cores: 0, accelerators: 0 }

/** Tasks of a job that so many cores hold, whatever else they need. */
const slotsInCores = (spec: JobSpec, cores: number): number =>
  slotsIn(spec, { cores, accelerators: Number.POSITIVE_INFINITY, memGb: Number.POSITIVE_INFINITY })

/** What a team's limit leaves a shard beyond what its own tasks use, however much other shards give up. */
const attainableQuota = ({ maxCpus, maxGpus }: Team, use: QuotaHeadroom): QuotaHeadroom => ({
  cores: maxCpus - use.cores,
  accelerators: maxGpus - use.accelerators,
})

const amountOf = ({ cores, accelerators }: QuotaHeadroom): QuotaAmount => ({
  cpus: cores,
  gpus: accelerators,
})

/** Cores of our machines, ready or booting, on which no task is placed. */
export const unusedCores = (shard: ShardView, used: ReadonlyMap<TeamName, QuotaHeadroom>): number => {
  let cores = 0
  for (const { type } of shard.machines.values()) cores += type.cores
  for (const { offer, count } of shard.pendingRentals.values()) cores += count * offer.type.cores
  for (const use of used.values()) cores -= use.cores
  return Math.max(0, cores)
}

/** What a shard's demand for quota is made from. */
export interface QuotaDemandInput {
  readonly jobs: ReadonlyArray<JobView>
  /** What the teams may still start within this shard's allocations. */
  readonly startable: ReadonlyMap<TeamName, QuotaHeadroom>
  readonly used: ReadonlyMap<TeamName, QuotaHeadroom>
  /** Cores of machines on which no task is placed. */
  readonly unusedCores: number
}

/** Teams whose allocation here keeps queued tasks from starting that machines have capacity for. */
export const quotaDemands = (
  shard: ShardView,
  { jobs, startable, used, unusedCores }: QuotaDemandInput,
): ReadonlyArray<QuotaDemand> => {
  const attainableByTeam = new Map<TeamName, QuotaHeadroom>()
  for (const team of shard.node.platform.deployment.teams)
    attainableByTeam.set(team.name, attainableQuota(team, used.get(team.name) ?? NO_QUOTA))
  const demands = new Map<TeamName, QuotaDemand>()
  for (const job of jobs) {
    const { team } = job.spec
    const headroom = startable.get(team)
    const attainable = attainableByTeam.get(team)
    if (headroom === undefined || attainable === undefined) continue
    const rank = demandRank(job, headroom, attainable, unusedCores)
    if (rank === null) continue
    const since = shard.jobs.get(job.id)?.submitted ?? 0
    const demand: QuotaDemand = { shard: shard.name, team, rank, since }
    const before = demands.get(team)
    if (before === undefined || goesFirst(demand, before)) demands.set(team, demand)
  }
  return [...demands.values()]
}

/** The rank at which a job asks for more quota; null when it needs none, or could use none. */
const demandRank = (
  job: JobView,
  headroom: QuotaHeadroom,
  attainable: QuotaHeadroom,
  unusedCores: number,
): number | null => {
  const { spec, queued } = job
  // Guards against other shards that wait for ours to start tasks which no quota of theirs could make room for.
  const wanted = Math.min(queued, slotsInCores(spec, unusedCores), tasksWithinHeadroom(spec, attainable))
  if (wanted === 0) return null
  const withinAllocation = tasksWithinHeadroom(spec, headroom)
  if (withinAllocation >= wanted) return null
  const starved = isStarved(job) && withinAllocation < Math.min(wanted, countBoostedTasks(job))
  return starved ? STARVED_RANK : job.rank
}

/** What this shard counts on of the teams' limits, after a plan. */
export const teamClaims = (
  shard: ShardView,
  used: ReadonlyMap<TeamName, QuotaHeadroom>,
  planned: ReadonlyMap<TeamName, QuotaHeadroom>,
): ReadonlyArray<TeamClaim> => {
  const inSteps = (amount: number, limit: number) =>
    limit <= 0 || !isLimited(limit)
      ? 0
      : Math.min(limit, Math.ceil(amount / (limit * CLAIM_STEP)) * limit * CLAIM_STEP)
  return shard.node.platform.deployment.teams.map(({ name, maxCpus, maxGpus }) => {
    const use = used.get(name) ?? NO_QUOTA
    const more = planned.get(name) ?? NO_QUOTA
    return {
      shard: shard.name,
      team: name,
      cpus: inSteps(use.cores + more.cores, maxCpus),
      gpus: inSteps(use.accelerators + more.accelerators, maxGpus),
    }
  })
}

/** Quota for a number of tasks, and how urgent the most urgent of them are. */
class QueuedQuota {
  cpus = 0
  gpus = 0
  rank = -1
  since = Number.POSITIVE_INFINITY

  add({ spec, submitted }: JobState, tasks: number, rank: number): void {
    this.cpus += tasks * spec.cores
    this.gpus += tasks * spec.accelerators
    if (rank > this.rank) this.since = submitted
    else if (rank === this.rank) this.since = Math.min(this.since, submitted)
    this.rank = Math.max(this.rank, rank)
  }
}

/** What the queued tasks of one team could use here. */
interface TeamQueue {
  readonly all: QueuedQuota
  /** Of starved jobs, the tasks that go first. */
  readonly starved: QueuedQuota
  readonly smallestTask: JobSpec | null
}

/** Beyond what machines have capacity for, quota would only lie idle, and be asked back: such tasks don't count. */
const teamQueue = (shard: ShardView, team: Team, use: QuotaHeadroom, unusedCores: number): TeamQueue => {
  const wall = shard.node.clocks.wallNow()
  const now = shard.node.clocks.monotonicNow()
  const all = new QueuedQuota()
  const starved = new QueuedQuota()
  const attainable = attainableQuota(team, use)
  let coresLeft = unusedCores
  let smallestTask: JobSpec | null = null
  for (const job of shard.jobs.values()) {
    const { spec } = job
    if (spec.team !== team.name || job.cancelled) continue
    const queued = shard.failures.startable(job, now)
    const tasks = Math.min(queued, slotsInCores(spec, coresLeft))
    if (tasks === 0 || tasksWithinHeadroom(spec, attainable) === 0) continue
    coresLeft -= tasks * spec.cores
    const suspect = shard.failures.isSuspect(job.id)
    all.add(job, tasks, suspect ? SUSPECT_RANK : priorityRank[spec.priority])
    const waiting = { notStarted: job.notStarted && !suspect, queued, ageS: (wall - job.submitted) / 1000 }
    if (isStarved(waiting)) starved.add(job, Math.min(tasks, countBoostedTasks(waiting)), STARVED_RANK)
    if (smallestTask === null || spec.cores < smallestTask.cores) smallestTask = spec
  }
  return { all, starved, smallestTask }
}

/** What one shard needs of one team's limit, given what the others ask for. */
export const shareDemand = (
  shard: ShardView,
  team: Team,
  use: QuotaHeadroom,
  quotas: ReadonlyArray<QuotaDemand>,
  unusedCores: number,
): AllocationDemand => {
  const { all, starved, smallestTask } = teamQueue(shard, team, use, unusedCores)
  const others = quotas.filter((demand) => demand.team === team.name)
  const anyBefore = ({ rank, since }: QueuedQuota) =>
    others.some((demand) => goesFirst(demand, { shard: shard.name, team: team.name, rank, since }))
  const need = (
    queue: QueuedQuota,
    competingDemand: AllocationDemand["competingDemand"],
  ): AllocationDemand => ({
    used: amountOf(use),
    demanded: { cpus: use.cores + queue.cpus, gpus: use.accelerators + queue.gpus },
    smallestTask:
      smallestTask === null ? null : { cpus: smallestTask.cores, gpus: smallestTask.accelerators },
    competingDemand,
  })
  if (others.length === 0) return need(all, "none")
  if (!anyBefore(all)) return need(all, "lowerPriority")
  // Guards against work of low rank that never begins while other shards have more urgent work than
  // the limit holds: some tasks of a job that waited too long go before it.
  if (starved.cpus + starved.gpus > 0 && !anyBefore(starved)) return need(starved, "lowerPriority")
  return need(all, "higherPriority")
}
