import assert from "node:assert/strict"
import { test } from "node:test"
import { takeBatch } from "../src/heartbeat-forwarder.ts"

// Guards against messages between controllers that the receiver refuses because they are too long.
test("a batch takes the items that fit into one message, at least one, and leaves the rest", () => {
  const items = [100, 100, 100, 300, 10].map((kilobytes) => ({ bytes: kilobytes * 1024 }))
  const sizes = () => takeBatch(items, ({ bytes }) => bytes).map(({ bytes }) => bytes / 1024)
  assert.deepEqual(sizes(), [100, 100])
  assert.deepEqual(sizes(), [100])
  assert.deepEqual(sizes(), [300])
  assert.deepEqual(sizes(), [10])
  assert.deepEqual(sizes(), [])
})
