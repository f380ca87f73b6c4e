import assert from "node:assert/strict"
import { test } from "node:test"
import { Replica } from "@sorreltally/membership"
import type { JobId, ModRevision, MonotonicTime, Revision, ShardName } from "@sorreltally/protocol"
import {
  type Condition,
  encodeRecord,
  type JobEnd,
  type JobRecord,
  keys,
  type Operation,
  type StoreClient,
} from "@sorreltally/store"
import { Effect, Fiber } from "effect"
import { JobEnds } from "../src/job-ends.ts"
import { JobIndex } from "../src/job-index.ts"
import { JobState } from "../src/job-state.ts"
import { JobStore } from "../src/job-store.ts"

const SHARD = "deadline" as ShardName
const JOBS = 400
const EPOCH = 1 as ModRevision

test("ends of many jobs go together; where nobody else folds them into their pages, the owner does", async () => {
  const stored = new Map<string, { readonly value: unknown; readonly modRevision: ModRevision }>()
  stored.set(keys.shard(SHARD), { value: {}, modRevision: EPOCH })
  let revision = 1
  const puts = { ends: 0, pages: 0 }
  const state = {
    limits: { valueKb: 1, maxOperations: 8, writesPerSecond: 1e6 },
    awaitWriteCapacity: () => Effect.void,
    writeLoad: () => 0,
    compareAndSwap: (when: ReadonlyArray<Condition>, apply: ReadonlyArray<Operation & { kind: "put" }>) =>
      Effect.sync(() => {
        const failed = when.filter((c) => (stored.get(c.key)?.modRevision ?? 0) !== c.modRevision)
        if (failed.length > 0) return { ok: false, failedKeys: failed.map((c) => c.key) }
        const modRevision = ++revision as ModRevision
        for (const change of apply) {
          stored.set(change.key, { value: change.value, modRevision })
          puts[change.key.startsWith("s/ends/") ? "ends" : "pages"]++
          assert.ok(JSON.stringify(encodeRecord(change.key, change.value)).length <= 1024)
        }
        return { ok: true, revision: modRevision }
      }),
  } as unknown as StoreClient
  const replica = new Replica()
  const items = () => [...stored].map(([key, entry]) => ({ key, ...entry }))
  const readBarrier = {
    wait: Effect.sync(() => replica.loadSnapshot(items(), revision as Revision)),
  } as never
  const jobIndex = new JobIndex(replica)
  const table = new JobStore(state, { replica, readBarrier }, jobIndex, {
    changed: (entry) => Effect.sync(() => replica.applyWrite(entry)),
    remembered: () => null,
    remember: () => {},
    shardOf: () => SHARD,
  })
  for (let n = 0; n < JOBS; n++) {
    const spec = { id: `run-${String(n).padStart(6, "0")}`, taskCount: 1, deadlineS: 9 }
    await Effect.runPromise(table.accept({ spec, submittedAt: 0, cancelled: false } as unknown as JobRecord))
  }
  puts.pages = 0
  let nowMs = 0
  const clock = () => {
    nowMs += 1_000
    return nowMs as MonotonicTime
  }
  const told: Array<JobEnd> = []
  const ends = new JobEnds(SHARD, EPOCH, state, { replica, readBarrier }, jobIndex, clock, () => true, {
    ended: (some) => told.push(...some),
    fold: (page) => table.fold(page),
  })
  for (const { id, record, page, modRevision } of [...jobIndex.live()]) {
    const job = new JobState(id, record, page, modRevision)
    jobIndex.listen((changed, entry) => {
      if (changed === id && entry !== null) job.modRevision = entry.modRevision
    })
    job.finish(0)
    ends.add(job)
  }
  const fiber = Effect.runFork(ends.run)
  for (let i = 0; i < 2_000 && told.length < JOBS; i++) await new Promise((resolve) => setTimeout(resolve, 5))
  await Effect.runPromise(Fiber.interrupt(fiber))
  assert.equal(new Set(told.map(({ id }: { id: JobId }) => id)).size, JOBS)
  assert.ok(told.every(({ status }) => status === "done"))
  assert.ok(puts.ends < JOBS / 8, `${puts.ends} puts of ends`)
  assert.ok(puts.pages > 0 && puts.pages < JOBS, `${puts.pages} pages folded by the owner`)
})
