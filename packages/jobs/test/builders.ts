/** Builders of jobs and placements, and an in-memory store. */
import assert from "node:assert/strict"
import { Replica } from "@sorreltally/membership"
import {
  type AgentEpoch,
  type Attempt,
  type JobId,
  type MachineId,
  type ModRevision,
  type MonotonicTime,
  makeTaskId,
  type Revision,
  type ShardName,
} from "@sorreltally/protocol"
import {
  type Condition,
  type JobRecord,
  keys,
  type Operation,
  put,
  type StoreClient,
  type StoreKey,
  type StoreLimits,
} from "@sorreltally/store"
import { Effect } from "effect"
import { JobIndex } from "../src/job-index.ts"
import { bucketOf, digitsOf } from "../src/job-pages.ts"
import { JobState, type Placement } from "../src/job-state.ts"
import { JobStore } from "../src/job-store.ts"

export const jobIdAt = (n: number): JobId => `run-${String(n).padStart(6, "0")}` as JobId

/** The first `count` ids that fall into the bucket of id 1. */
export const idsOfOneBucket = (count: number): ReadonlyArray<JobId> => {
  const ids: Array<JobId> = []
  for (let n = 1; ids.length < count; n++)
    if (bucketOf(jobIdAt(n)) === bucketOf(jobIdAt(1))) ids.push(jobIdAt(n))
  return ids
}

export const jobRecord = (id: JobId, spec: Partial<JobRecord["spec"]> = {}): JobRecord => ({
  spec: {
    id,
    jobClass: "l",
    team: "o",
    taskCount: 1,
    cores: 1,
    image: "img",
    deadlineS: null,
    ...spec,
  } as JobRecord["spec"],
  submittedAt: 0,
  cancelled: false,
})

/** A job with `taskCount` tasks, on the first page of bucket 1. */
export const jobOf = (id: JobId, taskCount: number): JobState =>
  new JobState(id, jobRecord(id, { taskCount }), keys.jobPage(1, 0), 1 as ModRevision)

/** Places a task of the job on a separate machine; the placement isn't durable. */
export const placeTask = (job: JobState, index: number): Placement => {
  const placement: Placement = {
    job,
    index,
    task: makeTaskId(job.id, index),
    machine: `i-${index}` as MachineId,
    agentEpoch: 1 as AgentEpoch,
    attempt: (index + 1) as Attempt,
    durable: false,
    fromPreviousOwner: false,
    stop: null,
    placedAt: 0 as MonotonicTime,
    runningSince: null,
    unacknowledgedStarts: 0,
  }
  job.place(placement)
  return placement
}

/** A transaction sent to the store. */
interface Transaction {
  readonly conditions: ReadonlyArray<Condition>
  readonly operations: ReadonlyArray<Operation>
}

/** In-memory store to which transactions can be delivered late. */
export class MemoryStore {
  readonly entries = new Map<
    StoreKey<unknown>,
    { readonly value: unknown; readonly modRevision: ModRevision }
  >()
  /** All puts that were applied, in order. */
  readonly puts: Array<Operation & { readonly kind: "put" }> = []
  revision = 0 as Revision
  /** While true, transactions get no response and are kept in `deferred`. */
  deferring = false
  readonly deferred: Array<Transaction> = []
  readonly client: StoreClient

  constructor(limits: StoreLimits) {
    this.client = {
      limits,
      lowestStatedLimits: limits,
      awaitWriteCapacity: () => Effect.void,
      writeLoad: () => 0,
      compareAndSwap: (conditions: ReadonlyArray<Condition>, operations: ReadonlyArray<Operation>) =>
        Effect.suspend(() => {
          if (!this.deferring) return Effect.succeed(this.apply({ conditions, operations }))
          this.deferred.push({ conditions, operations })
          return Effect.never
        }),
      list: (prefix: string) =>
        Effect.sync(() => ({ items: this.entriesUnder(prefix), revision: this.revision })),
    } as unknown as StoreClient
  }

  apply({ conditions, operations }: Transaction) {
    const failedKeys = conditions
      .filter(({ key, modRevision }) => (this.entries.get(key)?.modRevision ?? 0) !== modRevision)
      .map(({ key }) => key)
    if (failedKeys.length > 0) return { ok: false, failedKeys } as const
    this.revision = (this.revision + 1) as Revision
    const modRevision = this.revision as number as ModRevision
    for (const operation of operations) {
      if (operation.kind !== "put") continue
      this.puts.push(operation)
      this.entries.set(operation.key, { value: operation.value, modRevision })
    }
    return { ok: true, revision: modRevision } as const
  }

  entriesUnder(prefix: string) {
    return [...this.entries]
      .filter(([key]) => key.startsWith(prefix))
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([key, entry]) => ({ key, ...entry }))
  }

  /** Writes the shard's first ends page, as the shard's owner would. */
  writeEnds(shard: ShardName, done: ReadonlyArray<JobId>): void {
    const page = { done: done.map(digitsOf), cancelled: [] }
    this.apply({ conditions: [], operations: [put(keys.endsPage(shard, 0), page)] })
  }
}

/** A controller's replica, job index and job store on this store; all jobs belong to one shard. */
export const nodeOn = (store: MemoryStore, shard: ShardName) => {
  const replica = new Replica()
  const jobIndex = new JobIndex(replica)
  const refresh = () => replica.loadSnapshot(store.entriesUnder("s/"), store.revision)
  const readBarrier = { wait: Effect.sync(refresh) } as never
  const membership = { replica, readBarrier }
  const jobStore = new JobStore({
    store: store.client,
    log: { error: () => {}, info: () => {}, debug: () => {} },
    membership,
    jobIndex,
    events: {
      onPagesWritten: (entries) => Effect.sync(() => replica.applyWrites(entries)),
      cachedFinalStatus: () => null,
      cacheFinalStatus: () => {},
      shardOf: () => shard,
    },
  })
  return { replica, membership, jobIndex, jobStore, refresh }
}

/** Waits until the condition holds; fails if it doesn't within the time limit. */
export const eventually = async (isMet: () => boolean, timeoutMs = 2_000): Promise<void> => {
  for (let waitedMs = 0; waitedMs < timeoutMs && !isMet(); waitedMs += 5)
    await new Promise((resolve) => setTimeout(resolve, 5))
  assert.ok(isMet())
}
