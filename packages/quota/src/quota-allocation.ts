/**
 * Owns one shard's entry in the allocation record of each team's limit, and
 * keeps that the entries of all shards never exceed it. It never starts,
 * stops or rents anything: the shard does, by what it reads here.
 *
 * Why the limit holds: each owner changes its own shard's entry alone, on
 * condition of the record's revision and of its shard epoch, so a late copy of
 * a change, or a change of a former owner, fails. A growth counts once it is
 * written; a reduction counts from the moment it is asked for, until the
 * record shows it or the change can't be carried out any more.
 */
import type { Replica } from "@sorreltally/membership"
import type { TeamClaim } from "@sorreltally/planner"
import {
  ABSENT_KEY_REVISION,
  type ModRevision,
  type MonotonicTime,
  type ShardName,
  type TeamName,
} from "@sorreltally/protocol"
import { isLimited, NO_LIMIT, type Team } from "@sorreltally/settings"
import {
  type Condition,
  keys,
  put,
  type QuotaRecord,
  type StoreClient,
  type StoreError,
  type StoreKey,
} from "@sorreltally/store"
import { Effect, Result } from "effect"
import { type AllocationDemand, AllocationPolicy, SLACK_FRACTION } from "./allocation-policy.ts"
import {
  add,
  isTeamLimited,
  limitedResources,
  minimum,
  NO_QUOTA,
  type QuotaAmount,
  subtract,
} from "./quota-amount.ts"

const RETRY_PAUSE_MS = 300

/** Whether a write got no answer, and may have been carried out, or may yet be. */
const isUnknown = (written: Result.Result<unknown, StoreError>): boolean =>
  Result.isFailure(written) && written.failure.outcome === "unknown"

/** What a shard's quota allocation works with. */
export interface QuotaAllocationOptions {
  readonly shard: ShardName
  /** Of the ownership on whose behalf allocations are changed; it fences every write. */
  readonly epoch: ModRevision
  readonly teams: ReadonlyArray<Team>
  readonly replica: Replica
  readonly store: StoreClient
  readonly now: () => MonotonicTime
  /** A change was settled: what the shard may use can be another amount now. */
  readonly changed: () => void
}

/** A change of this shard's entry in a team's record. */
interface AllocationChange {
  readonly key: ReturnType<typeof keys.quota>
  readonly record: QuotaRecord
  /** The record's revision that the change is made on. */
  readonly baseRevision: ModRevision
}

/** A shard's allocations of the teams' limits. */
export class QuotaAllocation {
  private readonly policy: AllocationPolicy
  /** What may be used at most while a change isn't settled. */
  private readonly ceilings = new Map<TeamName, QuotaAmount>()
  private readonly unsettled = new Set<TeamName>()

  constructor(private readonly options: QuotaAllocationOptions) {
    this.policy = new AllocationPolicy(options.now)
  }

  /** What this shard's tasks of the team may use; NO_LIMIT where the team has none. */
  allocated(team: Team): QuotaAmount {
    const { cpus, gpus } = this.allocatedOfLimits(team.name)
    return {
      cpus: isLimited(team.maxCpus) ? cpus : NO_LIMIT,
      gpus: isLimited(team.maxGpus) ? gpus : NO_LIMIT,
    }
  }

  /**
   * What the team's limit leaves this shard beyond what it uses: machines are
   * rented by this, before an allocation covers them. Of the other shards count
   * their claims, or their allocations while they claim nothing. A shard can
   * always rent for as much as is kept as slack: it demands quota only once
   * machines have room.
   */
  rentable(team: Team, used: QuotaAmount, claims: ReadonlyArray<TeamClaim>): QuotaAmount {
    const byShard = new Map<ShardName, QuotaAmount>()
    for (const [shard, amount] of Object.entries(this.allocationsOf(team.name)))
      byShard.set(shard as ShardName, amount)
    for (const { shard, team: claimedTeam, cpus, gpus } of claims)
      if (claimedTeam === team.name) byShard.set(shard, { cpus, gpus })
    byShard.delete(this.options.shard)
    let others = NO_QUOTA
    for (const amount of byShard.values()) others = add(others, amount)
    // Guards against renting for nearly the whole limit in each shard, as counting every shard's slack would.
    const left = (limit: number, taken: number, ours: number) =>
      Math.max(0, limit - Math.max(0, taken - limit * SLACK_FRACTION) - ours)
    return {
      cpus: left(team.maxCpus, others.cpus, used.cpus),
      gpus: left(team.maxGpus, others.gpus, used.gpus),
    }
  }

  /** A task of the team was placed: this shard uses its allocation. */
  taskStarted(team: TeamName): void {
    this.policy.taskStarted(team)
  }

  /** Whether this shard leaves the team's quota to others for now. */
  isYielding(team: TeamName): boolean {
    return this.policy.isYielding(team)
  }

  /** The changes of allocations that are due, each to be run once; a team has one at a time. */
  adjust(demandOf: (team: Team) => AllocationDemand): ReadonlyArray<Effect.Effect<void>> {
    const changes: Array<Effect.Effect<void>> = []
    for (const team of this.options.teams) {
      if (this.unsettled.has(team.name) || !isTeamLimited(team)) continue
      const allocated = this.allocatedOfLimits(team.name)
      const demand = demandOf(team)
      const status = { allocated, unallocated: this.unallocated(team) }
      const next = this.policy.nextAllocation(team, status, demand)
      if (next !== null) changes.push(this.change(team.name, next, allocated))
    }
    return changes
  }

  private allocationsOf(team: TeamName): QuotaRecord["shares"] {
    return this.options.replica.get(keys.quota(team))?.value.shares ?? {}
  }

  private allocatedOfLimits(team: TeamName): QuotaAmount {
    const stored = this.allocationsOf(team)[this.options.shard] ?? NO_QUOTA
    const ceiling = this.ceilings.get(team)
    return ceiling === undefined ? stored : minimum(stored, ceiling)
  }

  /** What of the limit no shard has. */
  private unallocated(team: Team): QuotaAmount {
    let free = limitedResources(team, { cpus: team.maxCpus, gpus: team.maxGpus })
    for (const amount of Object.values(this.allocationsOf(team.name))) free = subtract(free, amount)
    return free
  }

  /** Changes the allocation; only the smaller of both amounts counts until it is known which one holds. */
  private change(team: TeamName, next: QuotaAmount, current: QuotaAmount): Effect.Effect<void> {
    this.unsettled.add(team)
    this.ceilings.set(team, minimum(next, current))
    return this.settle(team, next).pipe(
      Effect.ensuring(
        Effect.sync(() => {
          this.ceilings.delete(team)
          this.unsettled.delete(team)
          this.options.changed()
        }),
      ),
    )
  }

  private changeOf(team: TeamName, next: QuotaAmount): AllocationChange {
    const key = keys.quota(team)
    const record: QuotaRecord = { shares: { ...this.allocationsOf(team), [this.options.shard]: next } }
    return { key, record, baseRevision: this.options.replica.modRevision(key) }
  }

  /**
   * Returns once the change is in the replica, or surely never will be carried
   * out. A loop rather than a Schedule: what was read between two attempts
   * decides whether there is another one.
   */
  private settle(team: TeamName, next: QuotaAmount) {
    const { replica, store, epoch } = this.options
    const shardKey = keys.shard(this.options.shard)
    const { key, record, baseRevision } = this.changeOf(team, next)
    const conditions: ReadonlyArray<Condition> = [
      { key, modRevision: baseRevision },
      { key: shardKey, modRevision: epoch },
    ]
    return Effect.gen({ self: this }, function* () {
      let unanswered = false
      for (;;) {
        // With the users' priority: without quota nothing can be rented or started, and these writes are few.
        const written = yield* Effect.result(store.compareAndSwap(conditions, [put(key, record)], 1))
        const result = Result.isSuccess(written) ? written.success : null
        if (result?.ok === true)
          return replica.applyWrite({ key, value: record, modRevision: result.revision })
        // Another node owns the shard: its epoch fences all that was sent.
        if (result?.failedKeys.includes(shardKey)) return
        // Guards against a change that got no answer and is carried out after a later attempt was refused.
        unanswered ||= isUnknown(written)
        // While the record is as it was, the unanswered change may still be carried out.
        const hasMoved = yield* this.hasMoved(key, baseRevision)
        yield* Effect.sleep(RETRY_PAUSE_MS)
        if (!unanswered || hasMoved) return
      }
    })
  }

  /** Reads the record, into the replica as well; whether it is known to be at another revision. */
  private hasMoved(key: StoreKey<QuotaRecord>, baseRevision: ModRevision): Effect.Effect<boolean> {
    const { store, replica } = this.options
    return Effect.map(Effect.result(store.get(key)), (read) => {
      if (Result.isFailure(read)) return false
      if (read.success !== null) replica.applyWrite(read.success)
      return (read.success?.modRevision ?? ABSENT_KEY_REVISION) !== baseRevision
    })
  }
}
