/**
 * Manages one shard's entry in the allocation record of each team, and ensures that the entries of all
 * shards together never exceed the team's limit. It does not start, stop or rent anything: the shard does,
 * within the amounts that it reads here.
 *
 * Why the limit holds: each owner changes only its own shard's entry, conditioned on the record's mod
 * revision and on its shard epoch, so a delayed duplicate of a change, or a change of a former owner, fails.
 * A growth takes effect once it is written. A reduction takes effect when it is requested, and stays in
 * effect until the record shows it or the change can no longer be applied.
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

/** Whether the outcome of a write is unknown: it may have been applied, or may still be applied. */
const isOutcomeUnknown = (written: Result.Result<unknown, StoreError>): boolean =>
  Result.isFailure(written) && written.failure.outcome === "unknown"

/** Options of a shard's quota allocation. */
export interface QuotaAllocationOptions {
  readonly shard: ShardName
  /** Shard epoch of the owner, which fences every write. */
  readonly epoch: ModRevision
  readonly teams: ReadonlyArray<Team>
  readonly replica: Replica
  readonly store: StoreClient
  readonly now: () => MonotonicTime
  /** Called after a change has settled, when the amount that the shard may use may have changed. */
  readonly onChangeSettled: () => void
}

/** A change of this shard's entry in a team's record. */
interface AllocationChange {
  readonly key: ReturnType<typeof keys.quota>
  readonly record: QuotaRecord
  /** Mod revision of the record that the change is based on. */
  readonly baseRevision: ModRevision
}

/** Quota allocations of one shard, for all teams. */
export class QuotaAllocation {
  private readonly policy: AllocationPolicy
  /** Upper bounds on the quota that may be used while a change is unsettled. */
  private readonly ceilings = new Map<TeamName, QuotaAmount>()
  /** Teams with a change whose outcome is not known yet. */
  private readonly unsettledTeams = new Set<TeamName>()

  constructor(private readonly options: QuotaAllocationOptions) {
    this.policy = new AllocationPolicy(options.now)
  }

  /** Quota that this shard's tasks of the team may use; NO_LIMIT for resources without a limit. */
  allocated(team: Team): QuotaAmount {
    const { cpus, gpus } = this.allocatedOfLimits(team.name)
    return {
      cpus: isLimited(team.maxCpus) ? cpus : NO_LIMIT,
      gpus: isLimited(team.maxGpus) ? gpus : NO_LIMIT,
    }
  }

  /**
   * Quota that the team's limit leaves this shard beyond what it uses. Machines are rented within this
   * amount, before an allocation covers them. Another shard counts with its claim, or with its allocation if
   * it has no claim. A shard can always rent machines for as much quota as the slack, since it demands quota
   * only once machines have room.
   */
  rentable(team: Team, used: QuotaAmount, claims: ReadonlyArray<TeamClaim>): QuotaAmount {
    const byShard = new Map<ShardName, QuotaAmount>()
    for (const [shard, amount] of Object.entries(this.allocationsOf(team.name)))
      byShard.set(shard as ShardName, amount)
    for (const { shard, team: claimedTeam, cpus, gpus } of claims)
      if (claimedTeam === team.name) byShard.set(shard, { cpus, gpus })
    byShard.delete(this.options.shard)
    let othersTotal = NO_QUOTA
    for (const amount of byShard.values()) othersTotal = add(othersTotal, amount)
    // The slack is deducted once, not once per other shard, which would let each shard rent machines for
    // nearly the whole limit.
    const remaining = (limit: number, takenByOthers: number, ownUse: number) =>
      Math.max(0, limit - Math.max(0, takenByOthers - limit * SLACK_FRACTION) - ownUse)
    return {
      cpus: remaining(team.maxCpus, othersTotal.cpus, used.cpus),
      gpus: remaining(team.maxGpus, othersTotal.gpus, used.gpus),
    }
  }

  /** Records that a task of the team was placed, so this shard is using its allocation. */
  taskStarted(team: TeamName): void {
    this.policy.taskStarted(team)
  }

  /** Whether this shard currently leaves the team's unused quota to other shards. */
  isYielding(team: TeamName): boolean {
    return this.policy.isYielding(team)
  }

  /** Allocation changes that are due, each to be run exactly once; a team has at most one at a time. */
  adjust(demandOf: (team: Team) => AllocationDemand): ReadonlyArray<Effect.Effect<void>> {
    const changes: Array<Effect.Effect<void>> = []
    for (const team of this.options.teams) {
      if (this.unsettledTeams.has(team.name) || !isTeamLimited(team)) continue
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

  /** The part of the limit not allocated to any shard. */
  private unallocated(team: Team): QuotaAmount {
    let remaining = limitedResources(team, { cpus: team.maxCpus, gpus: team.maxGpus })
    for (const amount of Object.values(this.allocationsOf(team.name))) remaining = subtract(remaining, amount)
    return remaining
  }

  /** Changes the allocation; until the outcome is known, only the smaller of both amounts may be used. */
  private change(team: TeamName, next: QuotaAmount, current: QuotaAmount): Effect.Effect<void> {
    this.unsettledTeams.add(team)
    this.ceilings.set(team, minimum(next, current))
    return this.settle(team, next).pipe(
      Effect.ensuring(
        Effect.sync(() => {
          this.ceilings.delete(team)
          this.unsettledTeams.delete(team)
          this.options.onChangeSettled()
        }),
      ),
    )
  }

  private buildChange(team: TeamName, next: QuotaAmount): AllocationChange {
    const key = keys.quota(team)
    const record: QuotaRecord = { shares: { ...this.allocationsOf(team), [this.options.shard]: next } }
    return { key, record, baseRevision: this.options.replica.modRevision(key) }
  }

  /**
   * Returns once the change is in the replica, or is certain never to be applied. A loop rather than a
   * Schedule, because the record read between two attempts decides whether to retry.
   */
  private settle(team: TeamName, next: QuotaAmount) {
    const { replica, store, epoch } = this.options
    const shardKey = keys.shard(this.options.shard)
    const { key, record, baseRevision } = this.buildChange(team, next)
    const conditions: ReadonlyArray<Condition> = [
      { key, modRevision: baseRevision },
      { key: shardKey, modRevision: epoch },
    ]
    return Effect.gen({ self: this }, function* () {
      let anyOutcomeUnknown = false
      for (;;) {
        // Priority 1, as for users: without quota nothing can be rented or started, and these writes are few.
        const written = yield* Effect.result(store.compareAndSwap(conditions, [put(key, record)], 1))
        const result = Result.isSuccess(written) ? written.success : null
        if (result?.ok === true)
          return replica.applyWrite({ key, value: record, modRevision: result.revision })
        // The shard has a new epoch, which fences every attempt that was sent.
        if (result?.failedKeys.includes(shardKey)) return
        // Guards against an attempt of unknown outcome that is applied after a later attempt was refused.
        anyOutcomeUnknown ||= isOutcomeUnknown(written)
        // While the record is unchanged, an attempt of unknown outcome may still be applied.
        const recordHasChanged = yield* this.hasRecordChanged(key, baseRevision)
        yield* Effect.sleep(RETRY_PAUSE_MS)
        if (!anyOutcomeUnknown || recordHasChanged) return
      }
    })
  }

  /** Reads the record and applies it to the replica; true if it is known to have another mod revision. */
  private hasRecordChanged(key: StoreKey<QuotaRecord>, baseRevision: ModRevision): Effect.Effect<boolean> {
    const { store, replica } = this.options
    return Effect.map(Effect.result(store.get(key)), (read) => {
      if (Result.isFailure(read)) return false
      if (read.success !== null) replica.applyWrite(read.success)
      return (read.success?.modRevision ?? ABSENT_KEY_REVISION) !== baseRevision
    })
  }
}
