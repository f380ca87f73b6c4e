import assert from "node:assert/strict"
import { test } from "node:test"
import type { ModRevision, Revision } from "@sorreltally/protocol"
import { Replica } from "../src/replica.ts"
import { deleteEvent, entryAt, KEY, putEvent } from "./builders.ts"

const valueIn = (replica: Replica): unknown => replica.get(KEY)?.value ?? null

test("a write older than the entry is ignored", () => {
  const replica = new Replica()
  replica.applyWrite(entryAt(8))
  replica.applyWrite(entryAt(6))
  assert.deepEqual(valueIn(replica), entryAt(8).value)
})

test("a delete that arrives after a newer write is ignored", () => {
  const replica = new Replica()
  replica.applyWrite(entryAt(8))
  replica.applyEvents([deleteEvent(6)], 6 as Revision)
  replica.applyDelete(KEY, 7 as ModRevision)
  assert.deepEqual(valueIn(replica), entryAt(8).value)
})

test("a lagging watch does not restore a key that this node deleted", () => {
  const replica = new Replica()
  replica.applyWrite(entryAt(6))
  replica.applyDelete(KEY, 8 as ModRevision)
  replica.applyEvents([putEvent(7)], 7 as Revision)
  assert.equal(valueIn(replica), null)
})

test("a write at or below the watched revision is ignored, as its key may have been deleted", () => {
  const replica = new Replica()
  replica.applyEvents([putEvent(6), deleteEvent(7)], 7 as Revision)
  replica.applyWrite(entryAt(6))
  assert.equal(valueIn(replica), null)
})

test("a snapshot deletes entries that it lacks, except newer ones", () => {
  const replica = new Replica()
  replica.applyWrite(entryAt(8))
  replica.loadSnapshot([], 7 as Revision)
  assert.deepEqual(valueIn(replica), entryAt(8).value)
  replica.loadSnapshot([], 9 as Revision)
  assert.equal(valueIn(replica), null)
})
