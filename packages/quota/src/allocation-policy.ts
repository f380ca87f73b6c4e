/**
 * Owns the decision how much of each team's limit a shard should have
 * allocated, and for how long which condition has held. It never reads or
 * writes the store: that the allocations of all shards stay within the limit
 * is kept by QuotaAllocation.
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

/** What a shard uses and demands of a team's limit. */
export interface AllocationDemand {
  /** Quota of all durable placements that aren't cleared yet. */
  readonly used: QuotaAmount
  /** What is used plus what is queued. */
  readonly demanded: QuotaAmount
  /** What the smallest queued task takes; null when none is queued. */
  readonly smallestTask: QuotaAmount | null
  /** Whether another shard lacks quota, and how its work compares with this shard's. */
  readonly competingDemand: "none" | "lowerPriority" | "higherPriority"
}

/** How much of a team's limit is allocated at present. */
export interface AllocationStatus {
  /** To this shard. */
  readonly allocated: QuotaAmount
  /** To no shard. */
  readonly unallocated: QuotaAmount
}

/** Both of them, with nothing in them of resources that aren't limited. */
interface AllocationInputs extends AllocationDemand, AllocationStatus {
  readonly limit: QuotaAmount
}

/** How long which condition has held for one team; null: it doesn't hold. */
interface TeamTimers {
  /** The shard has held quota unused that another one demands. */
  unusedSince: MonotonicTime | null
  /** The shard has had much more than its target. */
  surplusSince: MonotonicTime | null
  /** Quota that would start a task has been left by the shard of higher priority. */
  leftoverSince: MonotonicTime | null
  /** Until then, leftover quota that was taken is kept. */
  leftoverKeptUntil: MonotonicTime
  /** Until then, the shard demands no more than it uses. */
  yieldsUntil: MonotonicTime
  lastTaskStart: MonotonicTime
}

/** Cores and accelerators together: a smaller growth isn't worth a write of its own. */
const MIN_GROWTH = 0.5
/**
 * Fraction of a team's limit that a shard keeps allocated beyond its demand,
 * so that allocations don't change with every task.
 */
export const SLACK_FRACTION = 1 / 8
const SURPLUS_KEPT_MS = 10_000
/** Quota that others demand is held this long for tasks that find no machine. */
const UNUSED_MS = 6_000
/** A shard that held quota without starting a task leaves it to the others for this long. */
const YIELD_MS = 6_000
/** Unallocated quota that the shard of higher priority left alone this long is of no use to it. */
const LEFTOVER_MS = 30_000
/** Leftover quota isn't released again before a task had time to start. */
const LEFTOVER_KEPT_MS = 3_000

/** Decides on the allocations of one shard, team by team. */
export class AllocationPolicy {
  private readonly timersByTeam = new Map<TeamName, TeamTimers>()

  constructor(private readonly now: () => MonotonicTime) {}

  /** A task of the team was placed: the shard uses its allocation. */
  taskStarted(team: TeamName): void {
    this.timersOf(team).lastTaskStart = this.now()
  }

  /** Whether the shard leaves the team's quota to others for now. */
  isYielding(team: TeamName): boolean {
    return this.now() < (this.timersByTeam.get(team)?.yieldsUntil ?? EARLIEST_TIME)
  }

  /** What the shard's allocation should be changed to; null: it stays as it is. */
  nextAllocation(team: Team, status: AllocationStatus, demand: AllocationDemand): QuotaAmount | null {
    const timers = this.timersOf(team.name)
    const inputs = this.inputsOf(team, status, demand)
    const reduced = this.yieldUnused(timers, inputs)
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
    const known = this.timersByTeam.get(team)
    if (known !== undefined) return known
    const timers: TeamTimers = {
      unusedSince: null,
      surplusSince: null,
      leftoverSince: null,
      leftoverKeptUntil: EARLIEST_TIME,
      yieldsUntil: EARLIEST_TIME,
      lastTaskStart: EARLIEST_TIME,
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
   * Another shard can use now what this one only holds for later: it is
   * released at once if the other's work has the higher priority, else when
   * this shard hasn't used it for a while. Of any two shards one has priority;
   * if all kept their quota or all released it, none would start.
   */
  private yieldUnused(timers: TeamTimers, inputs: AllocationInputs): QuotaAmount | null {
    const { allocated, used, competingDemand } = inputs
    const isContended = competingDemand !== "none" && exceeds(allocated, used)
    if (!isContended || this.now() < timers.leftoverKeptUntil) {
      timers.unusedSince = null
      return null
    }
    const since = timers.unusedSince ?? this.now()
    timers.unusedSince = since
    if (competingDemand === "higherPriority" || this.now() - since > UNUSED_MS) {
      timers.unusedSince = null
      this.noteUselessHold(timers, since, inputs)
      return minimum(allocated, used)
    }
    return null
  }

  /**
   * Guards against a shard whose work has the higher priority and that acquires
   * the quota again and again for tasks that fit none of its machines, while
   * the others wait for ever.
   */
  private noteUselessHold(timers: TeamTimers, since: MonotonicTime, inputs: AllocationInputs): void {
    const { allocated, used, smallestTask } = inputs
    const startedNothing = timers.lastTaskStart < since
    if (startedNothing && smallestTask !== null && covers(subtract(allocated, used), smallestTask))
      timers.yieldsUntil = addMs(this.now(), YIELD_MS)
  }

  /**
   * Guards against quota that nobody uses while the shard of higher priority
   * waits for more than is unallocated: what was left long enough lets one of
   * this shard's tasks start.
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
    if (this.now() - since <= LEFTOVER_MS) return null
    timers.leftoverSince = null
    timers.leftoverKeptUntil = addMs(this.now(), LEFTOVER_KEPT_MS)
    return add(allocated, smallestTask)
  }

  /** Much more than is demanded is released after a while. */
  private releaseSurplus(
    timers: TeamTimers,
    { allocated, limit }: AllocationInputs,
    target: QuotaAmount,
  ): QuotaAmount | null {
    const tolerated = {
      cpus: target.cpus + limit.cpus * SLACK_FRACTION,
      gpus: target.gpus + limit.gpus * SLACK_FRACTION,
    }
    if (!exceeds(allocated, tolerated)) {
      timers.surplusSince = null
      return null
    }
    const since = timers.surplusSince ?? this.now()
    timers.surplusSince = since
    if (this.now() - since < SURPLUS_KEPT_MS) return null
    timers.surplusSince = null
    return minimum(allocated, target)
  }
}

/** The allocation that would serve the demand, with some slack. */
const targetOf = (inputs: AllocationInputs): QuotaAmount => {
  const withSlack = (used: number, demanded: number, limit: number) =>
    Math.min(limit, Math.max(used, demanded) + limit * SLACK_FRACTION)
  return {
    cpus: withSlack(inputs.used.cpus, inputs.demanded.cpus, inputs.limit.cpus),
    gpus: withSlack(inputs.used.gpus, inputs.demanded.gpus, inputs.limit.gpus),
  }
}

/** A larger allocation out of what no shard has, where that serves the demand; else null. */
const grow = (inputs: AllocationInputs, target: QuotaAmount): QuotaAmount | null => {
  const { allocated, unallocated, used, demanded, smallestTask } = inputs
  if (!exceeds(demanded, allocated)) return null
  const grown: QuotaAmount = {
    cpus: allocated.cpus + Math.max(0, Math.min(unallocated.cpus, target.cpus - allocated.cpus)),
    gpus: allocated.gpus + Math.max(0, Math.min(unallocated.gpus, target.gpus - allocated.gpus)),
  }
  // A small rest of the limit isn't worth a transaction, unless it is what lets a task start.
  const isWorthAWrite = grown.cpus - allocated.cpus + (grown.gpus - allocated.gpus) > MIN_GROWTH
  const startsATask =
    smallestTask !== null &&
    covers(subtract(grown, used), smallestTask) &&
    !covers(subtract(allocated, used), smallestTask)
  return isWorthAWrite || startsATask ? grown : null
}
