import assert from "node:assert/strict"
import { test } from "node:test"
import type { ModRevision, Revision } from "@sorreltally/protocol"
import { Replica } from "../src/replica.ts"
import { deleted, entry, KEY, written } from "./builders.ts"

const valueIn = (replica: Replica): unknown => replica.get(KEY)?.value ?? null

test("a write that is older than the entry is ignored", () => {
  const replica = new Replica()
  replica.applyWrite(entry(8))
  replica.applyWrite(entry(6))
  assert.deepEqual(valueIn(replica), entry(8).value)
})

test("a delete that arrives after a newer write is ignored", () => {
  const replica = new Replica()
  replica.applyWrite(entry(8))
  replica.applyEvents([deleted(6)], 6 as Revision)
  replica.applyDelete(KEY, 7 as ModRevision)
  assert.deepEqual(valueIn(replica), entry(8).value)
})

test("a watch that lags does not bring back a key that this node deleted", () => {
  const replica = new Replica()
  replica.applyWrite(entry(6))
  replica.applyDelete(KEY, 8 as ModRevision)
  replica.applyEvents([written(7)], 7 as Revision)
  assert.equal(valueIn(replica), null)
})

test("a write that the watch has passed is ignored, as its key may be gone", () => {
  const replica = new Replica()
  replica.applyEvents([written(6), deleted(7)], 7 as Revision)
  replica.applyWrite(entry(6))
  assert.equal(valueIn(replica), null)
})

test("a snapshot deletes what it lacks, except what is newer", () => {
  const replica = new Replica()
  replica.applyWrite(entry(8))
  replica.loadSnapshot([], 7 as Revision)
  assert.deepEqual(valueIn(replica), entry(8).value)
  replica.loadSnapshot([], 9 as Revision)
  assert.equal(valueIn(replica), null)
})
