import assert from "node:assert/strict"
import { describe, it } from "node:test"
import type { JobId, ShardName } from "@sorreltally/protocol"
import { encodeRecord, keys, put, storeLimits } from "@sorreltally/store"
import { Effect } from "effect"
import { bucketOf, digitsOf } from "../src/job-pages.ts"
import { idsOfOneBucket, jobIdAt, jobRecord, MemoryStore, nodeOn } from "./builders.ts"

const SHARD = "part-0" as ShardName
const limits = storeLimits({ requestsPerSecond: 1e6, valueKb: 2, maxOperations: 8, writesPerSecond: 100 })
const newStore = () => new MemoryStore(limits)
const run = <A>(effect: Effect.Effect<A, unknown>) => Effect.runPromise(effect as Effect.Effect<A>)

describe("concurrent acceptances of one id", () => {
  it("create one job", async () => {
    const store = newStore()
    const [a, b] = [nodeOn(store, SHARD), nodeOn(store, SHARD)]
    const id = jobIdAt(1)
    const answers = await Promise.all([a, b].map(({ jobStore }) => run(jobStore.accept(jobRecord(id)))))
    assert.deepEqual(answers.map(({ kind }) => kind).sort(), ["accepted", "live"])
  })
})

describe("an acceptance", () => {
  it("changes nothing if it is delivered late, after the job was accepted again and is over", async () => {
    const store = newStore()
    const [delayedNode, otherNode] = [nodeOn(store, SHARD), nodeOn(store, SHARD)]
    const [id, next] = idsOfOneBucket(2) as [JobId, JobId]
    store.deferring = true
    const unanswered = Effect.runFork(delayedNode.jobStore.accept(jobRecord(id)))
    await new Promise((resolve) => setTimeout(resolve, 5))
    store.deferring = false
    assert.equal((await run(otherNode.jobStore.accept(jobRecord(id)))).kind, "accepted")
    store.writeEnds(SHARD, [id])
    otherNode.refresh()
    assert.equal((await run(otherNode.jobStore.accept(jobRecord(next)))).kind, "accepted")
    store.writeEnds(SHARD, [])
    assert.equal(store.deferred.length, 1)
    assert.equal(store.apply(store.deferred[0]!).ok, false)
    for (const { jobStore } of [delayedNode, otherNode])
      assert.deepEqual(await run(jobStore.find(id)), { kind: "final", status: "done" })
    unanswered.interruptUnsafe()
  })
})

describe("a cancellation", () => {
  it("returns the final status if the job ends concurrently", async () => {
    const store = newStore()
    const node = nodeOn(store, SHARD)
    const id = jobIdAt(7)
    await run(node.jobStore.accept(jobRecord(id)))
    // The final state becomes durable after the cancelling node has read the job as live.
    const { compareAndSwap } = store.client
    let first = true
    Object.assign(store.client, {
      compareAndSwap: (when: never, apply: never) => {
        if (first) store.writeEnds(SHARD, [id])
        first = false
        return compareAndSwap(when, apply, 1)
      },
    })
    assert.deepEqual(await run(node.jobStore.cancel(id)), { kind: "final", status: "done" })
    node.refresh()
    assert.equal(node.jobIndex.get(id), null)
  })
})

describe("final states", () => {
  it("are found in the archive once they exceed the page; unknown ids are still unknown", async () => {
    const store = newStore()
    const node = nodeOn(store, SHARD)
    const ids = idsOfOneBucket(260)
    const [unknown, ...known] = ids as [JobId, ...Array<JobId>]
    for (const id of known) {
      assert.equal((await run(node.jobStore.accept(jobRecord(id)))).kind, "accepted")
      store.writeEnds(SHARD, [id])
      node.refresh()
    }
    const page = keys.jobPage(bucketOf(unknown), 0)
    assert.ok(store.entriesUnder(keys.archive(bucketOf(unknown))).length >= 2, "some are archived")
    assert.ok(
      JSON.stringify(encodeRecord(page, store.entries.get(page)!.value)).length < limits.valueKb * 1024,
    )
    const freshNode = nodeOn(store, SHARD)
    for (const id of known) {
      assert.deepEqual(await run(freshNode.jobStore.find(id)), { kind: "final", status: "done" }, id)
      assert.deepEqual(await run(freshNode.jobStore.accept(jobRecord(id))), { kind: "final", status: "done" })
    }
    assert.equal((await run(freshNode.jobStore.find(unknown))).kind, "none")
  })
})

describe("live jobs", () => {
  it("are stored on further pages once a page is full, each id once", async () => {
    const store = newStore()
    const [a, b] = [nodeOn(store, SHARD), nodeOn(store, SHARD)]
    const ids = idsOfOneBucket(30)
    for (const [n, id] of ids.entries())
      assert.equal((await run((n % 2 === 0 ? a : b).jobStore.accept(jobRecord(id)))).kind, "accepted")
    a.refresh()
    assert.ok(a.jobIndex.pagesInBucket(bucketOf(ids[0]!)).length > 1)
    for (const id of ids) assert.equal((await run(b.jobStore.accept(jobRecord(id)))).kind, "live")
    assert.equal([...a.jobIndex.liveJobs()].length, ids.length)
  })
})

describe("a full read of the store", () => {
  it("revives no job if its ends page no longer lists it and is read before its job page", () => {
    const store = newStore()
    const node = nodeOn(store, SHARD)
    const id = jobIdAt(3)
    const pageKey = keys.jobPage(bucketOf(id), 0)
    store.apply({
      conditions: [],
      operations: [put(pageKey, { jobs: [jobRecord(id)], done: [], cancelled: [], archivePageCount: 0 })],
    })
    store.writeEnds(SHARD, [id])
    node.refresh()
    assert.equal(node.jobIndex.get(id), null)
    const revived: Array<JobId> = []
    node.jobIndex.listen((job, entry) => {
      if (entry !== null) revived.push(job)
    })
    store.apply({
      conditions: [],
      operations: [put(pageKey, { jobs: [], done: [digitsOf(id)], cancelled: [], archivePageCount: 0 })],
    })
    store.writeEnds(SHARD, [])
    node.refresh()
    assert.deepEqual(revived, [])
    assert.equal(node.jobIndex.finalStatusOf(id, node.jobIndex.pagesInBucket(bucketOf(id))), "done")
  })
})
