/** Test fixture of a shard's quota allocation with a controllable replica, clock and store. */
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

/** A team with a limit of 100 cores and 0 accelerators. */
export const team = { name: RED, cpus: 50, maxCpus: 100, gpus: 0, maxGpus: 0 } as unknown as Team
export const cores = (cpus: number): QuotaAmount => ({ cpus, gpus: 0 })

export const unknownOutcome = new StoreError({ operation: "compareAndSwap", outcome: "unknown", status: 0 })
export const refused = new StoreError({ operation: "compareAndSwap", outcome: "refused", status: 503 })
export const written: CompareAndSwapResult = { ok: true, revision: 8 as ModRevision }
export const conditionFailed = (key: string): CompareAndSwapResult => ({ ok: false, failedKeys: [key] })

const recordOf = (coresByShard: Readonly<Record<string, number>>): QuotaRecord => ({
  shares: Object.fromEntries(Object.entries(coresByShard).map(([shard, amount]) => [shard, cores(amount)])),
})

/** A quota allocation whose record allocates the given number of cores to each shard. */
export class AllocationFixture {
  now = 0 as MonotonicTime
  /** Responses of the store to the next writes; further writes get no response. */
  responses: Array<CompareAndSwapResult | StoreError> = []
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
          const response = this.responses.shift()
          if (response === undefined) return Effect.never
          return response instanceof StoreError ? Effect.fail(response) : Effect.succeed(response)
        }),
    } as unknown as StoreClient
    this.allocation = new QuotaAllocation({
      shard: OWN_SHARD,
      epoch: EPOCH,
      teams: [team],
      replica: this.replica,
      store,
      now: () => this.now,
      onChangeSettled: () => {},
    })
  }

  /** Number of cores that the shard's tasks may use. */
  get allocatedCores(): number {
    return this.allocation.allocated(team).cpus
  }

  /** Applies the record to the replica, as a watch event does. */
  receiveRecord(coresByShard: Readonly<Record<string, number>>, modRevision: number): void {
    const value = recordOf(coresByShard)
    this.replica.applyWrite({ key: quotaKey, value, modRevision: modRevision as ModRevision })
  }

  /** Starts the change that is due for the demand; null if none is due. */
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

/** Waits up to two seconds until the condition holds. */
export const waitUntil = async (condition: () => boolean): Promise<void> => {
  for (let i = 0; i < 400 && !condition(); i++) await new Promise((resolve) => setTimeout(resolve, 5))
  assert.ok(condition())
}
