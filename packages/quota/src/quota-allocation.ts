import type { Replica } from "@sorreltally/membership"
import { EPSILON, type TeamClaim } from "@sorreltally/planner"
import {
  ABSENT,
  addMs,
  type ModRevision,
  type MonotonicTime,
  NEVER,
  type ShardName,
  type TeamName,
} from "@sorreltally/protocol"
import { isLimited, NO_LIMIT, type Team } from "@sorreltally/settings"
import { keys, put, type QuotaRecord, type StoreClient } from "@sorreltally/store"
import { Effect, Result } from "effect"

/** Quota of one team. */
export interface Amount {
  readonly cpus: number
  readonly gpus: number
}
export interface ShareNeed {
  readonly used: Amount
  /** What is used plus what is queued. */
  readonly wanted: Amount
  /** What the smallest queued task takes; null when none is queued. */
  readonly smallestTask: Amount | null
  /** Does another part lack quota, and does its work go before ours? */
  readonly asked: "no" | "after" | "first"
}
const NONE: Amount = { cpus: 0, gpus: 0 }
const least = (a: Amount, b: Amount): Amount => ({
  cpus: Math.min(a.cpus, b.cpus),
  gpus: Math.min(a.gpus, b.gpus),
})

const minus = (a: Amount, b: Amount): Amount => ({ cpus: a.cpus - b.cpus, gpus: a.gpus - b.gpus })
/** Does this much quota let a task start? */
const holds = (quota: Amount, task: Amount): boolean =>
  task.cpus <= quota.cpus + EPSILON && task.gpus <= quota.gpus + EPSILON

/** Nothing of what the team's limits don't bound: there is nothing to share of it. */
const limitedOnly = ({ maxCpus: cpusMax, maxGpus: gpusMax }: Team, amount: Amount): Amount => ({
  cpus: isLimited(cpusMax) ? amount.cpus : 0,
  gpus: isLimited(gpusMax) ? amount.gpus : 0,
})

/** Cores and accelerators: a smaller gain isn't written for itself. */
const WORTH_A_WRITE = 0.5
/** A part keeps this much of a team's limit beyond its need, so that shares don't change with every task. */
const SLACK = 1 / 8
const KEEP_MS = 10_000
/** Quota that others lack is held this long for tasks that find no machine. */
const UNUSED_MS = 6_000
/** A part that held quota in vain leaves it to the others for this long. */
const YIELD_MS = 6_000
/** Free quota that whoever goes first left alone this long is of no use to it. */
const LEFT_MS = 30_000
/** What was taken of it isn't given back before a task had time to start. */
const LEFTOVER_KEPT_MS = 3_000
const RETRY_MS = 300

/**
 * A part's share of each team's limit. The shares of all parts never exceed
 * the limit: each owner changes its own part's share alone, on the record's
 * stamp and fenced by its epoch, and uses a smaller share from the moment it
 * asks for the reduction.
 */
export class QuotaAllocation {
  private readonly ceiling = new Map<TeamName, Amount>()
  private readonly busy = new Set<TeamName>()
  private readonly idleSince = new Map<TeamName, MonotonicTime>()
  private readonly surplusSince = new Map<TeamName, MonotonicTime>()
  private readonly lastStart = new Map<TeamName, MonotonicTime>()
  private readonly yieldsUntil = new Map<TeamName, MonotonicTime>()
  private readonly leftSince = new Map<TeamName, MonotonicTime>()
  private readonly leftoverUntil = new Map<TeamName, MonotonicTime>()

  constructor(
    private readonly shard: ShardName,
    private readonly epoch: ModRevision,
    private readonly teams: ReadonlyArray<Team>,
    private readonly replica: Replica,
    private readonly store: StoreClient,
    private readonly now: () => MonotonicTime,
    private readonly changed: () => void,
  ) {}

  /** What this part's tasks of the team may use. */
  share(team: Team): Amount {
    const { cpus, gpus } = this.sharedOut(team.name)
    return {
      cpus: isLimited(team.maxCpus) ? cpus : NO_LIMIT,
      gpus: isLimited(team.maxGpus) ? gpus : NO_LIMIT,
    }
  }
  private sharedOut(team: TeamName): Amount {
    const stored = this.replica.get(keys.quota(team))?.value.shares[this.shard] ?? NONE
    const ceiling = this.ceiling.get(team)
    return ceiling === undefined ? stored : least(stored, ceiling)
  }

  /**
   * What the team's limit leaves us beyond what we use: machines are rented by
   * this, before a share covers them. Of the other parts' limit counts what
   * they say that they count on, or their share while they say nothing. A
   * part can always rent for as much as is kept for changes: it asks for quota
   * only once machines have room.
   */
  beyond(team: Team, used: Amount, claims: ReadonlyArray<TeamClaim>): Amount {
    const theirs = new Map<string, Amount>(
      Object.entries(this.replica.get(keys.quota(team.name))?.value.shares ?? {}),
    )
    for (const { shard, team: of, cpus, gpus } of claims)
      if (of === team.name) theirs.set(shard, { cpus, gpus })
    theirs.delete(this.shard)
    let others = NONE
    for (const { cpus, gpus } of theirs.values())
      others = { cpus: others.cpus + cpus, gpus: others.gpus + gpus }
    // Guards against renting for nearly the whole limit in each part, as counting every part's slack would.
    const left = (limit: number, taken: number, ours: number) =>
      Math.max(0, limit - Math.max(0, taken - limit * SLACK) - ours)
    return {
      cpus: left(team.maxCpus, others.cpus, used.cpus),
      gpus: left(team.maxGpus, others.gpus, used.gpus),
    }
  }

  /** A task of the team was placed: this part uses its share. */
  started(team: TeamName): void {
    this.lastStart.set(team, this.now())
  }
  /** Does this part leave the team's quota to others for now? */
  yields(team: TeamName): boolean {
    return this.now() < (this.yieldsUntil.get(team) ?? NEVER)
  }

  /** Works out by how much each share should change. */
  adjust(need: (team: Team) => ShareNeed): ReadonlyArray<Effect.Effect<void>> {
    const changes: Array<Effect.Effect<void>> = []
    for (const team of this.teams) {
      if (this.busy.has(team.name) || !(isLimited(team.maxCpus) || isLimited(team.maxGpus))) continue
      const share = this.sharedOut(team.name)
      const next = this.nextShare(team, share, need(team))
      if (next !== null) changes.push(this.write(team.name, next, share))
    }
    return changes
  }

  /** What our share of the team's limit should be changed to; null: it stays. */
  private nextShare(team: Team, share: Amount, stated: ShareNeed): Amount | null {
    const { asked } = stated
    const used = limitedOnly(team, stated.used)
    const wanted = this.yields(team.name) ? used : limitedOnly(team, stated.wanted)
    const smallestTask = stated.smallestTask === null ? null : limitedOnly(team, stated.smallestTask)
    const limit = limitedOnly(team, { cpus: team.maxCpus, gpus: team.maxGpus })
    const free = this.unshared(team, limit)
    const unused = share.cpus > used.cpus || share.gpus > used.gpus
    if (asked !== "no" && unused && this.now() >= (this.leftoverUntil.get(team.name) ?? NEVER)) {
      // Another part can use now what we only hold for later: at once if its
      // work goes first, else when ours hasn't used it for a while. Somebody
      // always goes first; if all held on or all gave way, none would start.
      const since = this.idleSince.get(team.name) ?? this.now()
      this.idleSince.set(team.name, since)
      if (asked === "first" || this.now() - since > UNUSED_MS) {
        this.idleSince.delete(team.name)
        this.notePointlessHold(team.name, since, minus(share, used), smallestTask)
        return least(share, used)
      }
    } else {
      this.idleSince.delete(team.name)
    }
    if (asked === "first") return this.leftover(team.name, free, share, used, smallestTask)
    this.leftSince.delete(team.name)
    const goal = (u: number, w: number, most: number) => Math.min(most, Math.max(u, w) + most * SLACK)
    const target: Amount = {
      cpus: goal(used.cpus, wanted.cpus, limit.cpus),
      gpus: goal(used.gpus, wanted.gpus, limit.gpus),
    }
    const short = wanted.cpus > share.cpus || wanted.gpus > share.gpus
    const grown: Amount = {
      cpus: share.cpus + Math.max(0, Math.min(free.cpus, target.cpus - share.cpus)),
      gpus: share.gpus + Math.max(0, Math.min(free.gpus, target.gpus - share.gpus)),
    }
    // A sliver of the limit isn't worth a transaction, unless it is what lets a task start.
    const growth = grown.cpus - share.cpus + (grown.gpus - share.gpus) > WORTH_A_WRITE
    const startsOne =
      smallestTask !== null &&
      holds(minus(grown, used), smallestTask) &&
      !holds(minus(share, used), smallestTask)
    if (short && (growth || startsOne)) {
      this.surplusSince.delete(team.name)
      return grown
    }
    return this.withoutSurplus(team.name, share, target, limit)
  }

  /** What of the limit no part has. */
  private unshared(team: Team, limit: Amount): Amount {
    let free = limit
    for (const share of Object.values(this.replica.get(keys.quota(team.name))?.value.shares ?? {}))
      free = minus(free, share)
    return free
  }

  /**
   * Guards against a part that goes first by its rank and takes the quota back again and
   * again for tasks that none of its machines fits, while others wait for ever.
   */
  private notePointlessHold(
    team: TeamName,
    since: MonotonicTime,
    held: Amount,
    smallestTask: Amount | null,
  ): void {
    const startedNothing = (this.lastStart.get(team) ?? NEVER) < since
    if (startedNothing && smallestTask !== null && holds(held, smallestTask))
      this.yieldsUntil.set(team, addMs(this.now(), YIELD_MS))
  }

  /**
   * Guards against quota that nobody uses while the part that goes first waits for more of it
   * than is free: what has lain there long enough lets one of our tasks start.
   */
  private leftover(
    team: TeamName,
    free: Amount,
    share: Amount,
    used: Amount,
    smallestTask: Amount | null,
  ): Amount | null {
    if (smallestTask === null || holds(minus(share, used), smallestTask) || !holds(free, smallestTask)) {
      this.leftSince.delete(team)
      return null
    }
    const since = this.leftSince.get(team) ?? this.now()
    this.leftSince.set(team, since)
    if (this.now() - since <= LEFT_MS) return null
    this.leftSince.delete(team)
    this.leftoverUntil.set(team, addMs(this.now(), LEFTOVER_KEPT_MS))
    return { cpus: share.cpus + smallestTask.cpus, gpus: share.gpus + smallestTask.gpus }
  }

  /** Much more than is wanted goes back after a while. */
  private withoutSurplus(team: TeamName, share: Amount, target: Amount, limit: Amount): Amount | null {
    const much =
      share.cpus > target.cpus + limit.cpus * SLACK || share.gpus > target.gpus + limit.gpus * SLACK
    if (!much) {
      this.surplusSince.delete(team)
      return null
    }
    const since = this.surplusSince.get(team) ?? this.now()
    this.surplusSince.set(team, since)
    if (this.now() - since < KEEP_MS) return null
    this.surplusSince.delete(team)
    return least(share, target)
  }

  /** Changes our share of a team's limit; only the smaller of the two counts until it is known which holds. */
  private write(team: TeamName, next: Amount, current: Amount): Effect.Effect<void> {
    this.busy.add(team)
    this.ceiling.set(team, least(next, current))
    return this.settle(team, next).pipe(
      Effect.ensuring(
        Effect.sync(() => {
          this.ceiling.delete(team)
          this.busy.delete(team)
          this.changed()
        }),
      ),
    )
  }

  /** Returns once the change is in the mirror, or surely never will be carried out. */
  private settle(team: TeamName, next: Amount) {
    const path = keys.quota(team)
    const shard = keys.shard(this.shard)
    const stored = this.replica.get(path)
    const before = this.replica.modRevision(path)
    const record: QuotaRecord = { shares: { ...(stored?.value.shares ?? {}), [this.shard]: next } }
    const when = [
      { key: path, modRevision: before },
      { key: shard, modRevision: this.epoch },
    ]
    return Effect.gen({ self: this }, function* () {
      let unanswered = false
      for (;;) {
        // At once: without quota nothing can be rented or started, and these are few.
        const done = yield* Effect.result(this.store.compareAndSwap(when, [put(path, record)], 1))
        if (Result.isSuccess(done) && done.success.ok) {
          this.replica.applyWrite({ key: path, value: record, modRevision: done.success.revision })
          return
        }
        // Another part's owner has our part: its epoch fences all that we sent.
        if (Result.isSuccess(done) && !done.success.ok && done.success.failedKeys.includes(shard)) return
        // Guards against a change that got no answer and is carried out after a later attempt was refused.
        unanswered ||= Result.isFailure(done) && done.failure.outcome === "unknown"
        const read = yield* Effect.result(this.store.get(path))
        if (Result.isSuccess(read) && read.success !== null) this.replica.applyWrite(read.success)
        // While the record is as it was, the lost change may still come.
        const moved = Result.isSuccess(read) && (read.success?.modRevision ?? ABSENT) !== before
        yield* Effect.sleep(RETRY_MS)
        if (!unanswered || moved) return
      }
    })
  }
}
