/**
 * A shard's demand for quota within the teams' limits: usage, what its queued tasks could use, and which
 * shard has precedence where a limit isn't enough for all. Computes demands only; the quota allocations
 * themselves change only by conditional writes.
 */
import { type JobState, SUSPECT_RANK } from "@sorreltally/jobs"
import {
  countBoostedTasks,
  hasPrecedence,
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

/**
 * Claims are rounded up to steps of this fraction of a limit, so that not every finished task changes them.
 */
const CLAIM_STEP_FRACTION = 1 / 32

/** Usage of a team without tasks in this shard. */
export const ZERO_USAGE: QuotaHeadroom = { cores: 0, accelerators: 0 }

/** Number of a job's tasks that fit into `cores` cores, regardless of accelerators and memory. */
const slotsInCores = (spec: JobSpec, cores: number): number =>
  slotsIn(spec, { cores, accelerators: Number.POSITIVE_INFINITY, memGb: Number.POSITIVE_INFINITY })

/** Quota that a shard could get beyond its usage if other shards gave up all of theirs. */
const attainableQuota = ({ maxCpus, maxGpus }: Team, usage: QuotaHeadroom): QuotaHeadroom => ({
  cores: maxCpus - usage.cores,
  accelerators: maxGpus - usage.accelerators,
})

const toQuotaAmount = ({ cores, accelerators }: QuotaHeadroom): QuotaAmount => ({
  cpus: cores,
  gpus: accelerators,
})

/** Cores of this shard's machines and pending rentals on which no task is placed. */
export const countUnusedCores = (
  shard: ShardView,
  usageByTeam: ReadonlyMap<TeamName, QuotaHeadroom>,
): number => {
  let cores = 0
  for (const { type } of shard.machines.values()) cores += type.cores
  for (const { offer, count } of shard.pendingRentals.values()) cores += count * offer.type.cores
  for (const usage of usageByTeam.values()) cores -= usage.cores
  return Math.max(0, cores)
}

/** Input of `quotaDemands`. */
export interface QuotaDemandInput {
  readonly jobs: ReadonlyArray<JobView>
  /** Headroom of the teams within this shard's allocations. */
  readonly startableByTeam: ReadonlyMap<TeamName, QuotaHeadroom>
  readonly usageByTeam: ReadonlyMap<TeamName, QuotaHeadroom>
  /** Cores of the shard's machines on which no task is placed. */
  readonly unusedCores: number
}

/** Demands for teams whose allocation in this shard keeps queued tasks from using free machine capacity. */
export const quotaDemands = (
  shard: ShardView,
  { jobs, startableByTeam, usageByTeam, unusedCores }: QuotaDemandInput,
): ReadonlyArray<QuotaDemand> => {
  const attainableByTeam = new Map<TeamName, QuotaHeadroom>()
  for (const team of shard.node.platform.deployment.teams)
    attainableByTeam.set(team.name, attainableQuota(team, usageByTeam.get(team.name) ?? ZERO_USAGE))
  const demands = new Map<TeamName, QuotaDemand>()
  for (const job of jobs) {
    const { team } = job.spec
    const headroom = startableByTeam.get(team)
    const attainable = attainableByTeam.get(team)
    if (headroom === undefined || attainable === undefined) continue
    const rank = demandRank(job, headroom, attainable, unusedCores)
    if (rank === null) continue
    const since = shard.jobs.get(job.id)?.submitted ?? 0
    const demand: QuotaDemand = { shard: shard.name, team, rank, since }
    const current = demands.get(team)
    if (current === undefined || hasPrecedence(demand, current)) demands.set(team, demand)
  }
  return [...demands.values()]
}

/** Rank at which a job demands more quota; null when it needs none or could use none. */
const demandRank = (
  job: JobView,
  headroom: QuotaHeadroom,
  attainable: QuotaHeadroom,
  unusedCores: number,
): number | null => {
  const { spec, queued } = job
  // Leaves out tasks that couldn't start even with all other shards' quota: those shards would wait for their
  // start in vain.
  const neededTasks = Math.min(queued, slotsInCores(spec, unusedCores), tasksWithinHeadroom(spec, attainable))
  if (neededTasks === 0) return null
  const withinAllocation = tasksWithinHeadroom(spec, headroom)
  if (withinAllocation >= neededTasks) return null
  const isForStarvedJob = isStarved(job) && withinAllocation < Math.min(neededTasks, countBoostedTasks(job))
  return isForStarvedJob ? STARVED_RANK : job.rank
}

/** Quota that this shard claims of the teams' limits after a plan: its usage and what the plan counts on. */
export const teamClaims = (
  shard: ShardView,
  usageByTeam: ReadonlyMap<TeamName, QuotaHeadroom>,
  plannedByTeam: ReadonlyMap<TeamName, QuotaHeadroom>,
): ReadonlyArray<TeamClaim> => {
  const roundUpToStep = (amount: number, limit: number) =>
    limit <= 0 || !isLimited(limit)
      ? 0
      : Math.min(limit, Math.ceil(amount / (limit * CLAIM_STEP_FRACTION)) * limit * CLAIM_STEP_FRACTION)
  return shard.node.platform.deployment.teams.map(({ name, maxCpus, maxGpus }) => {
    const usage = usageByTeam.get(name) ?? ZERO_USAGE
    const planned = plannedByTeam.get(name) ?? ZERO_USAGE
    return {
      shard: shard.name,
      team: name,
      cpus: roundUpToStep(usage.cores + planned.cores, maxCpus),
      gpus: roundUpToStep(usage.accelerators + planned.accelerators, maxGpus),
    }
  })
}

/** Quota for a number of queued tasks, with the rank and submission time of the most urgent of them. */
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

/** Quota that the queued tasks of one team could use in this shard. */
interface TeamQueue {
  readonly all: QueuedQuota
  /** Only those tasks of starved jobs that take precedence. */
  readonly starved: QueuedQuota
  readonly smallestTask: JobSpec | null
}

/** Leaves out tasks beyond the machines' capacity: quota for them would stay unused and be reclaimed. */
const teamQueue = (shard: ShardView, team: Team, usage: QuotaHeadroom, unusedCores: number): TeamQueue => {
  const wallNow = shard.node.clocks.wallNow()
  const now = shard.node.clocks.monotonicNow()
  const all = new QueuedQuota()
  const starved = new QueuedQuota()
  const attainable = attainableQuota(team, usage)
  let coresLeft = unusedCores
  let smallestTask: JobSpec | null = null
  for (const job of shard.jobs.values()) {
    const { spec } = job
    if (spec.team !== team.name || job.cancelled) continue
    const queued = shard.failures.startableCount(job, now)
    const tasks = Math.min(queued, slotsInCores(spec, coresLeft))
    if (tasks === 0 || tasksWithinHeadroom(spec, attainable) === 0) continue
    coresLeft -= tasks * spec.cores
    const isSuspect = shard.failures.isSuspect(job.id)
    all.add(job, tasks, isSuspect ? SUSPECT_RANK : priorityRank[spec.priority])
    const waitState = {
      notStarted: job.notStarted && !isSuspect,
      queued,
      ageS: (wallNow - job.submitted) / 1000,
    }
    if (isStarved(waitState)) starved.add(job, Math.min(tasks, countBoostedTasks(waitState)), STARVED_RANK)
    if (smallestTask === null || spec.cores < smallestTask.cores) smallestTask = spec
  }
  return { all, starved, smallestTask }
}

/** A shard's demand for its allocation of a team's limit, given the other shards' demands. */
export const allocationDemand = (
  shard: ShardView,
  team: Team,
  usage: QuotaHeadroom,
  demandsOfOthers: ReadonlyArray<QuotaDemand>,
  unusedCores: number,
): AllocationDemand => {
  const { all, starved, smallestTask } = teamQueue(shard, team, usage, unusedCores)
  const competing = demandsOfOthers.filter((demand) => demand.team === team.name)
  const isOutranked = ({ rank, since }: QueuedQuota) =>
    competing.some((demand) => hasPrecedence(demand, { shard: shard.name, team: team.name, rank, since }))
  const demandFor = (
    queue: QueuedQuota,
    competingDemand: AllocationDemand["competingDemand"],
  ): AllocationDemand => ({
    used: toQuotaAmount(usage),
    demanded: { cpus: usage.cores + queue.cpus, gpus: usage.accelerators + queue.gpus },
    smallestTask:
      smallestTask === null ? null : { cpus: smallestTask.cores, gpus: smallestTask.accelerators },
    competingDemand,
  })
  if (competing.length === 0) return demandFor(all, "none")
  if (!isOutranked(all)) return demandFor(all, "lowerPriority")
  // Some tasks of a starved job precede more urgent work of other shards: otherwise work of low rank would
  // never start while that work needs more than the limit.
  if (starved.cpus + starved.gpus > 0 && !isOutranked(starved)) return demandFor(starved, "lowerPriority")
  return demandFor(all, "higherPriority")
}
