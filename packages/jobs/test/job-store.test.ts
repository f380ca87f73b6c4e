import assert from "node:assert/strict"
import { describe, it } from "node:test"
import type { JobId, ShardName } from "@sorreltally/protocol"
import { encodeRecord, keys, put } from "@sorreltally/store"
import { Effect } from "effect"
import { bucketOf, digitsOf } from "../src/job-pages.ts"
import { idsOfOneBucket, jobIdAt, jobRecord, MemoryStore, nodeOn } from "./builders.ts"

const SHARD = "part-0" as ShardName
const limits = { valueKb: 2, maxOperations: 8, writesPerSecond: 100 }
const newStore = () => new MemoryStore(limits)
const run = <A>(effect: Effect.Effect<A, unknown>) => Effect.runPromise(effect as Effect.Effect<A>)

describe("nodes", () => {
  it("make one job when they accept the same id at the same moment", async () => {
    const store = newStore()
    const [a, b] = [nodeOn(store, SHARD), nodeOn(store, SHARD)]
    const id = jobIdAt(1)
    const answers = await Promise.all([a, b].map(({ jobStore }) => run(jobStore.accept(jobRecord(id)))))
    assert.deepEqual(answers.map(({ kind }) => kind).sort(), ["accepted", "live"])
  })
})

describe("an acceptance", () => {
  it("changes nothing when it comes late, after the job was accepted again and is over", async () => {
    const store = newStore()
    const [late, other] = [nodeOn(store, SHARD), nodeOn(store, SHARD)]
    const [id, next] = idsOfOneBucket(2) as [JobId, JobId]
    store.deferring = true
    const waiting = Effect.runFork(late.jobStore.accept(jobRecord(id)))
    await new Promise((resolve) => setTimeout(resolve, 5))
    store.deferring = false
    assert.equal((await run(other.jobStore.accept(jobRecord(id)))).kind, "accepted")
    store.writeEnds(SHARD, [id])
    other.refresh()
    assert.equal((await run(other.jobStore.accept(jobRecord(next)))).kind, "accepted")
    store.writeEnds(SHARD, [])
    assert.equal(store.deferred.length, 1)
    assert.equal(store.apply(store.deferred[0]!).ok, false)
    for (const { jobStore } of [late, other])
      assert.deepEqual(await run(jobStore.find(id)), { kind: "final", status: "done" })
    waiting.interruptUnsafe()
  })
})

describe("a cancellation", () => {
  it("is answered with the final state when it races the end of its job", async () => {
    const store = newStore()
    const node = nodeOn(store, SHARD)
    const id = jobIdAt(7)
    await run(node.jobStore.accept(jobRecord(id)))
    // The end becomes durable after the cancelling node has read the job as live.
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
  it("are found in the archive once they outgrow the page; unknown ids stay unknown", async () => {
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
    const newcomer = nodeOn(store, SHARD)
    for (const id of known) {
      assert.deepEqual(await run(newcomer.jobStore.find(id)), { kind: "final", status: "done" }, id)
      assert.deepEqual(await run(newcomer.jobStore.accept(jobRecord(id))), { kind: "final", status: "done" })
    }
    assert.equal((await run(newcomer.jobStore.find(unknown))).kind, "none")
  })
})

describe("live jobs", () => {
  it("go to further pages when they outgrow one, each id once", async () => {
    const store = newStore()
    const [a, b] = [nodeOn(store, SHARD), nodeOn(store, SHARD)]
    const ids = idsOfOneBucket(30)
    for (const [n, id] of ids.entries())
      assert.equal((await run((n % 2 === 0 ? a : b).jobStore.accept(jobRecord(id)))).kind, "accepted")
    a.refresh()
    assert.ok(a.jobIndex.pages(bucketOf(ids[0]!)).length > 1)
    for (const id of ids) assert.equal((await run(b.jobStore.accept(jobRecord(id)))).kind, "live")
    assert.equal([...a.jobIndex.live()].length, ids.length)
  })
})

describe("a full read", () => {
  it("revives no job by an ends page that no longer names it, read before the page with its final state", () => {
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
    assert.equal(node.jobIndex.finalOf(id, node.jobIndex.pages(bucketOf(id))), "done")
  })
})
