/**
 * What a part needs of the teams' limits: what it uses, what its queued tasks
 * could use, and which part goes first where the limits aren't enough for all.
 */
import { type JobState, SUSPECT_RANK } from "@sorreltally/jobs"
import {
  goesFirst,
  isStarved,
  type JobView,
  type QuotaDemand,
  STARVED_RANK,
  slotsIn,
  type TeamClaim,
  type TeamRoom,
  tasksToBegin,
} from "@sorreltally/planner"
import { type JobSpec, priorityRank, type TeamName } from "@sorreltally/protocol"
import type { AllocationDemand, QuotaAmount } from "@sorreltally/quota"
import { isLimited, type Team } from "@sorreltally/settings"
import type { ShardView } from "./shard-context.ts"

/** Tasks of a job that so many cores hold, whatever else they need. */
const slotsInCores = (request: JobSpec, cores: number): number =>
  slotsIn(request, { cores, accelerators: Number.POSITIVE_INFINITY, memGb: Number.POSITIVE_INFINITY })

/** What a team's limit leaves a part beyond what its own tasks use, however much other parts give up. */
const reachable = ({ maxCpus: cpusMax, maxGpus: gpusMax }: Team, use: TeamRoom): TeamRoom => ({
  cores: cpusMax - use.cores,
  accelerators: gpusMax - use.accelerators,
})
const tasksWithin = (request: JobSpec, room: TeamRoom): number =>
  slotsIn(request, { ...room, memGb: Number.POSITIVE_INFINITY })

/** Cores of our machines, up or coming, on which no task is placed. */
export const unusedCores = (shard: ShardView, used: ReadonlyMap<TeamName, TeamRoom>): number => {
  let cores = 0
  for (const { type } of shard.machines.values()) cores += type.cores
  for (const { offer, count } of shard.pendingRentals.values()) cores += count * offer.type.cores
  for (const u of used.values()) cores -= u.cores
  return Math.max(0, cores)
}

/** Teams whose share here keeps queued tasks from starting that machines have room for. */
export const quotaNeeds = (
  shard: ShardView,
  jobs: ReadonlyArray<JobView>,
  teams: ReadonlyMap<TeamName, TeamRoom>,
  used: ReadonlyMap<TeamName, TeamRoom>,
  unused: number,
): ReadonlyArray<QuotaDemand> => {
  const beyondUse = new Map<TeamName, TeamRoom>()
  for (const team of shard.node.platform.deployment.teams)
    beyondUse.set(team.name, reachable(team, used.get(team.name) ?? NOTHING))
  const out = new Map<TeamName, QuotaDemand>()
  for (const job of jobs) {
    const { id, request, queued } = job
    const room = teams.get(request.team)
    const attainable = beyondUse.get(request.team)
    if (room === undefined || attainable === undefined) continue
    // Guards against other parts that wait for ours to start tasks which no quota of theirs could make room for.
    const wanting = Math.min(queued, slotsInCores(request, unused), tasksWithin(request, attainable))
    if (wanting === 0) continue
    const startable = tasksWithin(request, room)
    if (startable >= wanting) continue
    const starved = isStarved(job) && startable < Math.min(wanting, tasksToBegin(job))
    const rank = starved ? STARVED_RANK : job.rank
    const since = shard.jobs.get(id)?.submitted ?? 0
    const need: QuotaDemand = { shard: shard.name, team: request.team, rank, since }
    const before = out.get(request.team)
    if (before === undefined || goesFirst(need, before)) out.set(request.team, need)
  }
  return [...out.values()]
}

/** Claims are told in steps of this share of a limit, so that not every task that ends is news. */
const CLAIM_STEP = 1 / 32

/** What this part counts on of the teams' limits, after a plan. */
export const teamClaims = (
  shard: ShardView,
  used: ReadonlyMap<TeamName, TeamRoom>,
  planned: ReadonlyMap<TeamName, TeamRoom>,
): ReadonlyArray<TeamClaim> => {
  const inSteps = (amount: number, limit: number) =>
    limit <= 0 || !isLimited(limit)
      ? 0
      : Math.min(limit, Math.ceil(amount / (limit * CLAIM_STEP)) * limit * CLAIM_STEP)
  const claims: Array<TeamClaim> = []
  for (const { name, maxCpus: cpusMax, maxGpus: gpusMax } of shard.node.platform.deployment.teams) {
    const use = used.get(name) ?? NOTHING
    const more = planned.get(name) ?? NOTHING
    claims.push({
      shard: shard.name,
      team: name,
      cpus: inSteps(use.cores + more.cores, cpusMax),
      gpus: inSteps(use.accelerators + more.accelerators, gpusMax),
    })
  }
  return claims
}
const NOTHING: TeamRoom = { cores: 0, accelerators: 0 }

/** Quota for a number of tasks, and how urgent the most urgent of them are. */
class Demand {
  cpus = 0
  gpus = 0
  rank = -1
  since = Number.POSITIVE_INFINITY

  add({ request, submitted }: JobState, tasks: number, rank: number): void {
    this.cpus += tasks * request.cores
    this.gpus += tasks * request.accelerators
    if (rank > this.rank) this.since = submitted
    else if (rank === this.rank) this.since = Math.min(this.since, submitted)
    this.rank = Math.max(this.rank, rank)
  }
}

/** What one part needs of one team's limit, given what the others ask for. */
export const shareNeed = (
  shard: ShardView,
  team: Team,
  use: TeamRoom,
  quotas: ReadonlyArray<QuotaDemand>,
  unused: number,
): AllocationDemand => {
  const wall = shard.node.clocks.wallNow()
  const now = shard.node.clocks.monotonicNow()
  const demand = new Demand()
  const starved = new Demand()
  const attainable = reachable(team, use)
  let left = unused
  let smallest: JobSpec | null = null
  for (const job of shard.jobs.values()) {
    const { request } = job
    const queued = shard.failures.startable(job, now)
    if (request.team !== team.name || job.cancelled || queued === 0) continue
    if (tasksWithin(request, attainable) === 0) continue
    // Beyond what machines have room for, a share would only lie idle, and be asked back.
    const tasks = Math.min(queued, slotsInCores(request, left))
    if (tasks === 0) continue
    left -= tasks * request.cores
    const suspect = shard.failures.isSuspect(job.id)
    demand.add(job, tasks, suspect ? SUSPECT_RANK : priorityRank[request.priority])
    const waiting = { unbegun: job.notStarted && !suspect, queued, ageS: (wall - job.submitted) / 1000 }
    if (isStarved(waiting)) starved.add(job, Math.min(tasks, tasksToBegin(waiting)), STARVED_RANK)
    if (smallest === null || request.cores < smallest.cores) smallest = request
  }
  const asking = quotas.filter((q) => q.team === team.name)
  const others = (of: Demand) =>
    asking.some((q) => goesFirst(q, { shard: shard.name, team: team.name, rank: of.rank, since: of.since }))
  const need = (of: Demand, competingDemand: AllocationDemand["competingDemand"]): AllocationDemand => ({
    used: amountOf(use),
    demanded: { cpus: use.cores + of.cpus, gpus: use.accelerators + of.gpus },
    smallestTask: smallest === null ? null : { cpus: smallest.cores, gpus: smallest.accelerators },
    competingDemand,
  })
  if (asking.length === 0) return need(demand, "none")
  if (!others(demand)) return need(demand, "lowerPriority")
  // Guards against work of low rank that never begins while other parts have more urgent work than
  // the limit holds: some tasks of a job that waited too long go before it.
  if (starved.cpus + starved.gpus > 0 && !others(starved)) return need(starved, "lowerPriority")
  return need(demand, "higherPriority")
}

const amountOf = ({ cores, accelerators }: TeamRoom): QuotaAmount => ({ cpus: cores, gpus: accelerators })
