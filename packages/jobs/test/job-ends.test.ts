import assert from "node:assert/strict"
import { describe, it } from "node:test"
import type { ModRevision, MonotonicTime, ShardName } from "@sorreltally/protocol"
import { encodeRecord, type JobEnd, keys, put, storeLimits } from "@sorreltally/store"
import { Effect, Fiber } from "effect"
import { JobEndsWriter } from "../src/job-ends.ts"
import { JobState } from "../src/job-state.ts"
import { eventually, jobIdAt, jobRecord, MemoryStore, nodeOn } from "./builders.ts"

const SHARD = "deadline" as ShardName
const JOB_COUNT = 400
const EPOCH = 1 as ModRevision
const limits = storeLimits({ requestsPerSecond: 1e6, valueKb: 1, maxOperations: 8, writesPerSecond: 1e6 })

/** Starts a node and has it accept `JOB_COUNT` jobs of its shard. */
const nodeWithJobs = async (store: MemoryStore) => {
  store.apply({ conditions: [], operations: [put(keys.shard(SHARD), {} as never)] })
  const node = nodeOn(store, SHARD)
  for (let n = 0; n < JOB_COUNT; n++)
    await Effect.runPromise(node.jobStore.accept(jobRecord(jobIdAt(n), { deadlineS: 9 })))
  return node
}

/** Finishes all jobs at once, waits until they are reported as ended, and returns the reports. */
const finishAll = async (store: MemoryStore, node: Awaited<ReturnType<typeof nodeWithJobs>>) => {
  const { membership, jobIndex, jobStore } = node
  let nowMs = 0
  const reported: Array<JobEnd> = []
  const jobEnds = new JobEndsWriter({
    shard: SHARD,
    epoch: EPOCH,
    store: store.client,
    membership,
    jobIndex,
    now: () => {
      nowMs += 1_000
      return nowMs as MonotonicTime
    },
    mayWrite: () => true,
    events: {
      onJobsEnded: (ends) => reported.push(...ends),
      compactJobPage: (page) => jobStore.compactJobPage(page),
    },
  })
  for (const { id, record, pageKey, modRevision } of [...jobIndex.liveJobs()]) {
    const job = new JobState(id, record, pageKey, modRevision)
    jobIndex.listen((changed, entry) => {
      if (changed === id && entry !== null) job.modRevision = entry.modRevision
    })
    job.finish(0)
    jobEnds.add(job)
  }
  const fiber = Effect.runFork(jobEnds.run)
  await eventually(() => reported.length >= JOB_COUNT, 10_000)
  await Effect.runPromise(Fiber.interrupt(fiber))
  return reported
}

describe("final states of many jobs", () => {
  it("share writes, and the owner moves them to job pages if no other write does", async () => {
    const store = new MemoryStore(limits)
    const node = await nodeWithJobs(store)
    const putsBefore = store.puts.length
    const reported = await finishAll(store, node)
    assert.equal(new Set(reported.map(({ id }) => id)).size, JOB_COUNT)
    assert.ok(reported.every(({ status }) => status === "done"))
    for (const { key, value } of store.puts)
      assert.ok(JSON.stringify(encodeRecord(key, value)).length <= limits.valueKb * 1024)
    const puts = store.puts.slice(putsBefore).map(({ key }) => key)
    const endsPuts = puts.filter((key) => key.startsWith("s/ends/")).length
    const pagePuts = puts.length - endsPuts
    assert.ok(endsPuts < JOB_COUNT / 8, `${endsPuts} puts of ends pages`)
    assert.ok(pagePuts > 0 && pagePuts < JOB_COUNT, `${pagePuts} pages compacted by the owner`)
  })
})
