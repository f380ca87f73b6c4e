import assert from "node:assert/strict"
import { describe, it } from "node:test"
import type { JobId, MachineTypeName, Revision, ShardName } from "@sorreltally/protocol"
import { encodeRecord, JOB_PAGES, type JobPage, keys, type StoreKey, storeLimits } from "@sorreltally/store"
import { Effect } from "effect"
import { addJob, bucketOf, cancelJob, EMPTY_PAGE } from "../src/job-pages.ts"
import { layOutPage } from "../src/page-layout.ts"
import { idsOfOneBucket, jobIdAt, jobRecord, MemoryStore, nodeOn } from "./builders.ts"

const SHARD = "part-0" as ShardName
const before = storeLimits({ requestsPerSecond: 100, writesPerSecond: 100, valueKb: 4, maxOperations: 8 })
const lowered = storeLimits({ requestsPerSecond: 100, writesPerSecond: 100, valueKb: 1, maxOperations: 8 })
const ids = idsOfOneBucket(10)
const run = <A>(effect: Effect.Effect<A, unknown>) => Effect.runPromise(effect as Effect.Effect<A>)

/** A store whose limits fall after ten jobs of one bucket were accepted on one page. */
const storeWithLargePage = async () => {
  const store = new MemoryStore(before)
  const node = nodeOn(store, SHARD)
  for (const id of ids) await run(node.jobStore.accept(jobRecord(id)))
  assert.equal(store.entriesUnder(JOB_PAGES).length, 1)
  Object.assign(store.client, { limits: lowered, lowestStatedLimits: lowered })
  return { store, node }
}

// Guards against cancellations that the store rejects for ever because a job page is larger than its limit.
describe("a cancellation on a page that is larger than a value may be", () => {
  it("divides the page into pages within the limit, and loses no job", async () => {
    const { store, node } = await storeWithLargePage()
    assert.equal((await run(node.jobStore.cancel(ids[3]!))).kind, "live")
    const pages = store.entriesUnder(JOB_PAGES)
    assert.ok(pages.length > 1)
    for (const { key, value } of pages)
      assert.ok(JSON.stringify(encodeRecord(key, value)).length <= 1024, key)
    const reader = nodeOn(store, SHARD)
    reader.refresh()
    for (const id of ids) {
      const found = await run(reader.jobStore.find(id))
      assert.equal(found.kind === "live" && found.record.cancelled, id === ids[3], id)
    }
  })

  it("lets no job appear to be over at another node, in whatever order the changes arrive", async () => {
    const { store, node } = await storeWithLargePage()
    const watcher = nodeOn(store, SHARD)
    watcher.refresh()
    const vanished: Array<JobId> = []
    watcher.jobIndex.listen((id, job) => {
      if (job === null) vanished.push(id)
    })
    await run(node.jobStore.cancel(ids[3]!))
    const events = store.entriesUnder(JOB_PAGES).map((entry) => ({ ...entry, deleted: false }))
    watcher.replica.applyEvents(events, store.revision as Revision)
    assert.deepEqual(vanished, [])
    for (const id of ids) {
      const page = store.entries.get(watcher.jobIndex.pageKeyOf(id)!)!.value as JobPage
      assert.ok(page.jobs.some(({ spec }) => spec.id === id))
    }
  })

  it("is not announced by the trimmed page alone, which looks as if jobs were over", async () => {
    const { store, node } = await storeWithLargePage()
    const watcher = nodeOn(store, SHARD)
    watcher.refresh()
    await run(node.jobStore.cancel(ids[3]!))
    const key = keys.jobPage(bucketOf(ids[0]!), 0)
    const { value, modRevision } = store.entries.get(key)!
    assert.equal(watcher.jobIndex.keepsJobs({ key, value: value as JobPage, modRevision }), false)
  })

  it("is refused, and nothing is written, if a transaction has too few operations", async () => {
    const { store, node } = await storeWithLargePage()
    Object.assign(store.client, { limits: { ...lowered, maxWrites: 1 } })
    const putsBefore = store.puts.length
    const error = await run(Effect.flip(node.jobStore.cancel(ids[3]!)))
    assert.match(String(error), /rejected/)
    assert.equal(store.puts.length, putsBefore)
  })
})

describe("a submission whose record is larger than a value may be", () => {
  const types = Array.from({ length: 100 }, (_, i) => `machine-type-${i}` as MachineTypeName)
  const large = jobRecord(jobIdAt(1), { machineTypes: types })

  it("is too large unless the job was accepted under higher limits", async () => {
    const store = new MemoryStore(lowered)
    assert.equal((await run(nodeOn(store, SHARD).jobStore.accept(large))).kind, "tooLarge")
    Object.assign(store.client, { limits: before, lowestStatedLimits: before })
    assert.equal((await run(nodeOn(store, SHARD).jobStore.accept(large))).kind, "accepted")
    Object.assign(store.client, { limits: lowered, lowestStatedLimits: lowered })
    assert.equal((await run(nodeOn(store, SHARD).jobStore.accept(large))).kind, "live")
  })

  it("can still be stored as cancelled, without the machine types that it allowed", () => {
    const key = keys.jobPage(bucketOf(jobIdAt(1)), 0) as StoreKey<JobPage>
    const live = addJob(EMPTY_PAGE, large)
    assert.equal(layOutPage({ key, page: live }, 1, lowered), null)
    const layout = layOutPage({ key, page: cancelJob(live, jobIdAt(1)) }, 1, lowered)
    assert.equal(layout?.pages[0]?.page.jobs[0]?.cancelled, true)
  })
})
