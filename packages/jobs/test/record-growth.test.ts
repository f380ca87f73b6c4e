import assert from "node:assert/strict"
import { describe, it } from "node:test"
import type { JobId, JobSpec, MachineTypeName, ShardName } from "@sorreltally/protocol"
import {
  encodeRecord,
  JOB_PAGES,
  type JobPage,
  keys,
  put,
  type StoreLimits,
  storeLimits,
} from "@sorreltally/store"
import { Effect } from "effect"
import { bucketOf, EMPTY_PAGE } from "../src/job-pages.ts"
import { idsOfOneBucket, jobRecord, MemoryStore, nodeOn } from "./builders.ts"

const SHARD = "part-0" as ShardName
const MAX_TRANSACTION_BYTES = 65_536
/** Bytes that earlier versions left free on a page of whatever form. */
const FORMER_RESERVE_BYTES = 64
const [ID, ...OTHER_IDS] = idsOfOneBucket(40) as [JobId, ...Array<JobId>]
const run = <A>(effect: Effect.Effect<A, unknown>) => Effect.runPromise(effect as Effect.Effect<A>)
const limitsOf = (valueKb: number, maxOperations: number) =>
  storeLimits({ requestsPerSecond: 1e6, writesPerSecond: 1e6, valueKb, maxOperations })
const sizeOf = ({ key, value }: { readonly key: string; readonly value: unknown }) =>
  Buffer.byteLength(JSON.stringify(encodeRecord(key as never, value as never)))

/** Specifications that grow with `length`; each grows by another field whose length no page limits. */
const GROWING_SPECS: Record<string, (length: number) => Partial<JobSpec>> = {
  "job class": (length) => ({ jobClass: "x".repeat(length) as JobSpec["jobClass"] }),
  "job class of multi-byte characters": (length) => ({
    jobClass: "é\u{1F600}".repeat(Math.ceil(length / 6)) as JobSpec["jobClass"],
  }),
  image: (length) => ({ image: '"'.repeat(Math.ceil(length / 2)) as JobSpec["image"] }),
  "machine types": (length) => ({
    machineTypes: Array.from({ length: Math.ceil(length / 5) }, () => "g8" as MachineTypeName),
  }),
}

/** A store that has accepted the longest possible record of a job, found by bisection. */
const storeWithLongestRecord = async (
  limits: StoreLimits,
  specOf: (length: number) => Partial<JobSpec>,
): Promise<MemoryStore> => {
  let accepted: MemoryStore | null = null
  let [shortest, longest] = [0, 64 * 1024]
  while (shortest <= longest) {
    const length = Math.floor((shortest + longest) / 2)
    const store = new MemoryStore(limits)
    const { kind } = await run(nodeOn(store, SHARD).jobStore.accept(jobRecord(ID, specOf(length))))
    if (kind === "accepted") [accepted, shortest] = [store, length + 1]
    else longest = length - 1
  }
  assert.ok(accepted !== null)
  return accepted
}
const assertWithinLimits = (store: MemoryStore, valueKb: number) => {
  for (const operation of store.puts) {
    assert.ok(sizeOf(operation) <= valueKb * 1024, operation.key)
    assert.ok(sizeOf(operation) <= MAX_TRANSACTION_BYTES - 1_024, operation.key)
  }
}

// Guards against a cancellation that is never answered (review/8): the longest accepted record had no room for
// the mark of its cancellation.
describe("the longest record that is accepted", () => {
  for (const [name, specOf] of Object.entries(GROWING_SPECS))
    for (const [valueKb, maxOperations] of [
      [1, 1],
      [2, 8],
      [8, 1],
      [8, 8],
      [64, 8],
    ] as const)
      it(`can be cancelled and compacted: long ${name}, ${valueKb} KiB, ${maxOperations} operations`, async () => {
        const store = await storeWithLongestRecord(limitsOf(valueKb, maxOperations), specOf)
        const node = nodeOn(store, SHARD)
        node.refresh()
        const cancelled = await run(node.jobStore.cancel(ID))
        assert.equal(cancelled.kind === "live" && cancelled.record.cancelled, true)
        const reader = nodeOn(store, SHARD)
        reader.refresh()
        const found = await run(reader.jobStore.find(ID))
        assert.equal(found.kind === "live" && found.record.cancelled, true)
        store.writeEnds(SHARD, [ID])
        node.refresh()
        await run(node.jobStore.compactJobPage(keys.jobPage(bucketOf(ID), 0)))
        assertWithinLimits(store, valueKb)
      })

  it("can be cancelled beside others on a full page, with one operation a transaction", async () => {
    const store = new MemoryStore(limitsOf(2, 1))
    const node = nodeOn(store, SHARD)
    for (const id of OTHER_IDS) await run(node.jobStore.accept(jobRecord(id)))
    for (const id of OTHER_IDS) assert.equal((await run(node.jobStore.cancel(id))).kind, "live")
    assertWithinLimits(store, 2)
  })
})

describe("a record that an earlier version accepted, or larger limits allowed", () => {
  /** A store with the job alone on its page, which is filled up to the limit of earlier versions. */
  const storeWithFullPage = (valueKb: number, specOf: (length: number) => Partial<JobSpec>) => {
    const store = new MemoryStore(limitsOf(valueKb, 1))
    const key = keys.jobPage(bucketOf(ID), 0)
    const pageOf = (length: number): JobPage => ({ ...EMPTY_PAGE, jobs: [jobRecord(ID, specOf(length))] })
    let length = 0
    while (sizeOf({ key, value: pageOf(length + 1) }) <= valueKb * 1024 - FORMER_RESERVE_BYTES) length++
    store.apply({ conditions: [], operations: [put(key, pageOf(length))] })
    return store
  }

  for (const [name, specOf] of Object.entries(GROWING_SPECS))
    it(`can be cancelled, and survives a further reduction of the limits: long ${name}`, async () => {
      const store = storeWithFullPage(4, specOf)
      const node = nodeOn(store, SHARD)
      node.refresh()
      assert.equal((await run(node.jobStore.cancel(ID))).kind, "live")
      assertWithinLimits(store, 4)
      Object.assign(store.client, { limits: limitsOf(1, 1), lowestStatedLimits: limitsOf(1, 1) })
      await run(node.jobStore.compactJobPage(keys.jobPage(bucketOf(ID), 0)))
      const [page] = store.entriesUnder(JOB_PAGES)
      assert.ok(sizeOf(page!) <= 1024)
      const found = await run(node.jobStore.find(ID))
      assert.equal(found.kind === "live" && found.record.cancelled, true)
    })
})
