/**
 * Decides how much of each team's limit a shard should have allocated, and tracks how long the conditions
 * of those decisions have held. It never reads or writes the store: QuotaAllocation ensures that the
 * allocations of all shards stay within the limit.
 */
import { addMs, EARLIEST_TIME, type MonotonicTime, type TeamName } from "@sorreltally/protocol"
import type { Team } from "@sorreltally/settings"
import {
  add,
  covers,
  exceeds,
  limitedResources,
  minimum,
  type QuotaAmount,
  subtract,
} from "./quota-amount.ts"

/** Use and demand of a shard within a team's limit. */
export interface AllocationDemand {
  /** Quota used by all durable placements that have not been cleared yet. */
  readonly used: QuotaAmount
  /** Quota used plus quota of the queued tasks. */
  readonly demanded: QuotaAmount
  /** Quota of the smallest queued task; null if no task is queued. */
  readonly smallestTask: QuotaAmount | null
  /** Whether another shard lacks quota, and the priority of its work relative to this shard's. */
  readonly competingDemand: "none" | "lowerPriority" | "higherPriority"
}

/** Current allocation of a team's limit. */
export interface AllocationStatus {
  /** Quota allocated to this shard. */
  readonly allocated: QuotaAmount
  /** Quota not allocated to any shard. */
  readonly unallocated: QuotaAmount
}

/** Demand and status of a team; amounts of resources without a limit are 0. */
interface AllocationInputs extends AllocationDemand, AllocationStatus {
  readonly limit: QuotaAmount
}

/** Start and end times of the conditions of one team; a start is null while its condition does not hold. */
interface TeamTimers {
  /** Since when the shard has had unused quota that another shard demands. */
  unusedSince: MonotonicTime | null
  /** Since when the allocation has exceeded its target by more than `SLACK_FRACTION` of the limit. */
  surplusSince: MonotonicTime | null
  /** Since when the shard of higher priority has left quota unallocated that would let a task start. */
  leftoverSince: MonotonicTime | null
  /** Time until which leftover quota that was taken is kept. */
  leftoverKeptUntil: MonotonicTime
  /** Time until which the shard demands no more than it uses. */
  yieldsUntil: MonotonicTime
  /** Time at which a task of the team was last placed. */
  lastTaskStartAt: MonotonicTime
}

/** Minimum growth, in cores plus accelerators, that is worth a write of its own. */
const MIN_GROWTH = 0.5
/**
 * Fraction of a team's limit that a shard keeps allocated beyond its demand,
 * so that allocations don't change with every task.
 */
export const SLACK_FRACTION = 1 / 8
/** Time that a shard keeps a surplus before it releases it. */
const SURPLUS_RETENTION_MS = 10_000
/** Time that unused quota demanded by other shards is kept for tasks that find no machine. */
const MAX_UNUSED_MS = 6_000
/** Time that a shard leaves quota to other shards after it kept quota without starting a task. */
const YIELD_MS = 6_000
/** Time after which quota left unallocated by the shard of higher priority is considered of no use to it. */
const MIN_LEFTOVER_AGE_MS = 30_000
/** Time that leftover quota is kept, so that a task has time to start. */
const LEFTOVER_RETENTION_MS = 3_000

/** Decides on the allocations of one shard, separately for each team. */
export class AllocationPolicy {
  private readonly timersByTeam = new Map<TeamName, TeamTimers>()

  constructor(private readonly now: () => MonotonicTime) {}

  /** Records that a task of the team was placed, so the shard is using its allocation. */
  taskStarted(team: TeamName): void {
    this.timersOf(team).lastTaskStartAt = this.now()
  }

  /** Whether the shard currently leaves the team's unused quota to other shards. */
  isYielding(team: TeamName): boolean {
    return this.now() < (this.timersByTeam.get(team)?.yieldsUntil ?? EARLIEST_TIME)
  }

  /** The allocation that the shard should change to; null if it should not change. */
  nextAllocation(team: Team, status: AllocationStatus, demand: AllocationDemand): QuotaAmount | null {
    const timers = this.timersOf(team.name)
    const inputs = this.inputsOf(team, status, demand)
    const reduced = this.releaseUnused(timers, inputs)
    if (reduced !== null) return reduced
    if (inputs.competingDemand === "higherPriority") return this.takeLeftover(timers, inputs)
    timers.leftoverSince = null
    const target = targetOf(inputs)
    const grown = grow(inputs, target)
    if (grown === null) return this.releaseSurplus(timers, inputs, target)
    timers.surplusSince = null
    return grown
  }

  private timersOf(team: TeamName): TeamTimers {
    const existing = this.timersByTeam.get(team)
    if (existing !== undefined) return existing
    const timers: TeamTimers = {
      unusedSince: null,
      surplusSince: null,
      leftoverSince: null,
      leftoverKeptUntil: EARLIEST_TIME,
      yieldsUntil: EARLIEST_TIME,
      lastTaskStartAt: EARLIEST_TIME,
    }
    this.timersByTeam.set(team, timers)
    return timers
  }

  private inputsOf(team: Team, status: AllocationStatus, demand: AllocationDemand): AllocationInputs {
    const { smallestTask, competingDemand } = demand
    const used = limitedResources(team, demand.used)
    return {
      allocated: status.allocated,
      unallocated: status.unallocated,
      competingDemand,
      used,
      demanded: this.isYielding(team.name) ? used : limitedResources(team, demand.demanded),
      smallestTask: smallestTask === null ? null : limitedResources(team, smallestTask),
      limit: limitedResources(team, { cpus: team.maxCpus, gpus: team.maxGpus }),
    }
  }

  /**
   * Releases quota that this shard does not use and another shard demands: at once if the other shard's work
   * has the higher priority, otherwise after it was unused for `MAX_UNUSED_MS`. Of any two shards one has
   * priority; if all kept their quota or all released it, no task would start.
   */
  private releaseUnused(timers: TeamTimers, inputs: AllocationInputs): QuotaAmount | null {
    const { allocated, used, competingDemand } = inputs
    const isContended = competingDemand !== "none" && exceeds(allocated, used)
    if (!isContended || this.now() < timers.leftoverKeptUntil) {
      timers.unusedSince = null
      return null
    }
    const since = timers.unusedSince ?? this.now()
    timers.unusedSince = since
    if (competingDemand === "higherPriority" || this.now() - since > MAX_UNUSED_MS) {
      timers.unusedSince = null
      this.yieldIfNothingStarted(timers, since, inputs)
      return minimum(allocated, used)
    }
    return null
  }

  /**
   * Makes the shard yield if its unused quota was enough for a task but it started none. Guards against a
   * shard of higher priority that repeatedly acquires quota for tasks that fit none of its machines, while
   * the other shards starve.
   */
  private yieldIfNothingStarted(timers: TeamTimers, since: MonotonicTime, inputs: AllocationInputs): void {
    const { allocated, used, smallestTask } = inputs
    const startedNoTask = timers.lastTaskStartAt < since
    if (startedNoTask && smallestTask !== null && covers(subtract(allocated, used), smallestTask))
      timers.yieldsUntil = addMs(this.now(), YIELD_MS)
  }

  /**
   * Takes quota for one task if it has been left unallocated for `MIN_LEFTOVER_AGE_MS`. Guards against quota
   * that remains unused while the shard of higher priority waits for more than is unallocated.
   */
  private takeLeftover(timers: TeamTimers, inputs: AllocationInputs): QuotaAmount | null {
    const { allocated, unallocated, used, smallestTask } = inputs
    if (
      smallestTask === null ||
      covers(subtract(allocated, used), smallestTask) ||
      !covers(unallocated, smallestTask)
    ) {
      timers.leftoverSince = null
      return null
    }
    const since = timers.leftoverSince ?? this.now()
    timers.leftoverSince = since
    if (this.now() - since <= MIN_LEFTOVER_AGE_MS) return null
    timers.leftoverSince = null
    timers.leftoverKeptUntil = addMs(this.now(), LEFTOVER_RETENTION_MS)
    return add(allocated, smallestTask)
  }

  /** Releases a surplus over the target after it has lasted for `SURPLUS_RETENTION_MS`. */
  private releaseSurplus(
    timers: TeamTimers,
    { allocated, limit }: AllocationInputs,
    target: QuotaAmount,
  ): QuotaAmount | null {
    const releaseThreshold = {
      cpus: target.cpus + limit.cpus * SLACK_FRACTION,
      gpus: target.gpus + limit.gpus * SLACK_FRACTION,
    }
    if (!exceeds(allocated, releaseThreshold)) {
      timers.surplusSince = null
      return null
    }
    const since = timers.surplusSince ?? this.now()
    timers.surplusSince = since
    if (this.now() - since < SURPLUS_RETENTION_MS) return null
    timers.surplusSince = null
    return minimum(allocated, target)
  }
}

/** The allocation that covers the demand plus slack. */
const targetOf = (inputs: AllocationInputs): QuotaAmount => {
  const withSlack = (used: number, demanded: number, limit: number) =>
    Math.min(limit, Math.max(used, demanded) + limit * SLACK_FRACTION)
  return {
    cpus: withSlack(inputs.used.cpus, inputs.demanded.cpus, inputs.limit.cpus),
    gpus: withSlack(inputs.used.gpus, inputs.demanded.gpus, inputs.limit.gpus),
  }
}

/** A larger allocation taken from unallocated quota if the demand exceeds the allocation; otherwise null. */
const grow = (inputs: AllocationInputs, target: QuotaAmount): QuotaAmount | null => {
  const { allocated, unallocated, used, demanded, smallestTask } = inputs
  if (!exceeds(demanded, allocated)) return null
  const grown: QuotaAmount = {
    cpus: allocated.cpus + Math.max(0, Math.min(unallocated.cpus, target.cpus - allocated.cpus)),
    gpus: allocated.gpus + Math.max(0, Math.min(unallocated.gpus, target.gpus - allocated.gpus)),
  }
  // A small remainder of the limit is not worth a transaction, unless it lets a task start.
  const isWorthWriting = grown.cpus - allocated.cpus + (grown.gpus - allocated.gpus) > MIN_GROWTH
  const letsTaskStart =
    smallestTask !== null &&
    covers(subtract(grown, used), smallestTask) &&
    !covers(subtract(allocated, used), smallestTask)
  return isWorthWriting || letsTaskStart ? grown : null
}
