/** A shard's quota allocation on a replica, a clock and a store that do as a test says. */
import assert from "node:assert/strict"
import { Replica } from "@sorreltally/membership"
import type { ModRevision, MonotonicTime, ShardName, TeamName } from "@sorreltally/protocol"
import type { Team } from "@sorreltally/settings"
import {
  type CompareAndSwapResult,
  keys,
  type QuotaRecord,
  type StoreClient,
  StoreError,
} from "@sorreltally/store"
import { Effect, type Fiber } from "effect"
import type { AllocationDemand } from "../src/allocation-policy.ts"
import { QuotaAllocation } from "../src/quota-allocation.ts"
import type { QuotaAmount } from "../src/quota-amount.ts"

export const RED = "red" as TeamName
export const BLUE = "blue" as TeamName
export const OWN_SHARD = "part-0" as ShardName
const FIRST_REVISION = 7 as ModRevision
const EPOCH = 5 as ModRevision
const quotaKey = keys.quota(RED)

/** A team with a limit of 100 cores and none of accelerators. */
export const team = { name: RED, cpus: 50, maxCpus: 100, gpus: 0, maxGpus: 0 } as unknown as Team
export const cores = (cpus: number): QuotaAmount => ({ cpus, gpus: 0 })

export const unanswered = new StoreError({ operation: "compareAndSwap", outcome: "unknown", status: 0 })
export const refused = new StoreError({ operation: "compareAndSwap", outcome: "refused", status: 503 })
export const written: CompareAndSwapResult = { ok: true, revision: 8 as ModRevision }
export const conditionFailed = (key: string): CompareAndSwapResult => ({ ok: false, failedKeys: [key] })

const recordOf = (coresByShard: Readonly<Record<string, number>>): QuotaRecord => ({
  shares: Object.fromEntries(Object.entries(coresByShard).map(([shard, amount]) => [shard, cores(amount)])),
})

/** An allocation whose record says so many cores for each shard. */
export class AllocationFixture {
  now = 0 as MonotonicTime
  /** What the store answers to the next writes; beyond these, nothing. */
  answers: Array<CompareAndSwapResult | StoreError> = []
  readonly writes: Array<QuotaRecord> = []
  readonly replica = new Replica()
  readonly allocation: QuotaAllocation

  constructor(coresByShard: Readonly<Record<string, number>>) {
    const value = recordOf(coresByShard)
    this.replica.applyWrite({ key: quotaKey, value, modRevision: FIRST_REVISION })
    const store = {
      get: () => Effect.succeed({ key: quotaKey, value, modRevision: FIRST_REVISION }),
      compareAndSwap: (_: unknown, operations: ReadonlyArray<{ readonly value: QuotaRecord }>) =>
        Effect.suspend(() => {
          this.writes.push(operations[0]!.value)
          const answer = this.answers.shift()
          if (answer === undefined) return Effect.never
          return answer instanceof StoreError ? Effect.fail(answer) : Effect.succeed(answer)
        }),
    } as unknown as StoreClient
    this.allocation = new QuotaAllocation({
      shard: OWN_SHARD,
      epoch: EPOCH,
      teams: [team],
      replica: this.replica,
      store,
      now: () => this.now,
      changed: () => {},
    })
  }

  /** Cores that the shard's tasks may use. */
  get allocatedCores(): number {
    return this.allocation.allocated(team).cpus
  }

  /** The record as a watch event brings it. */
  receiveRecord(coresByShard: Readonly<Record<string, number>>, modRevision: number): void {
    const value = recordOf(coresByShard)
    this.replica.applyWrite({ key: quotaKey, value, modRevision: modRevision as ModRevision })
  }

  /** Starts the change that is due by this demand; null: none is. */
  adjust(
    demand: Partial<AllocationDemand> & { readonly usedCores: number; readonly demandedCores: number },
  ): Fiber.Fiber<void> | null {
    const { usedCores, demandedCores, ...more } = demand
    const [change] = this.allocation.adjust(() => ({
      used: cores(usedCores),
      demanded: cores(demandedCores),
      smallestTask: demandedCores > usedCores ? cores(4) : null,
      competingDemand: "none",
      ...more,
    }))
    return change === undefined ? null : Effect.runFork(change)
  }
}

/** Waits up to two seconds for it to become so. */
export const eventually = async (isSo: () => boolean): Promise<void> => {
  for (let i = 0; i < 400 && !isSo(); i++) await new Promise((resolve) => setTimeout(resolve, 5))
  assert.ok(isSo())
}
