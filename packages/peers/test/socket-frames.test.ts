import assert from "node:assert/strict"
import { test } from "node:test"
import { encodeLengthPrefix, MAX_FRAME_BYTES } from "../src/socket-frames.ts"
import { listenOnLoopback, waitUntil } from "./builders.ts"

const withLengthPrefix = (frame: Buffer): Buffer => Buffer.concat([encodeLengthPrefix(frame), frame])

test("a frame that arrives in several chunks is delivered once it is complete", async (t) => {
  const { frames, connect, close } = await listenOnLoopback()
  t.after(close)
  const bytes = withLengthPrefix(Buffer.from("hello"))
  const socket = await connect()
  socket.write(bytes.subarray(0, 2))
  await new Promise((resolve) => setTimeout(resolve, 20))
  socket.write(bytes.subarray(2, 6))
  await new Promise((resolve) => setTimeout(resolve, 20))
  assert.equal(frames.length, 0)
  socket.end(bytes.subarray(6))
  await waitUntil(() => frames.length === 1)
  assert.equal(frames[0]?.toString(), "hello")
})

// Guards against completing a truncated frame with bytes of another connection, and against a listener that
// stops when a connection ends within a frame.
test("a truncated frame is dropped with its connection, and the next connection is served", async (t) => {
  const { frames, accepted, connect, close } = await listenOnLoopback()
  t.after(close)
  const first = await connect()
  first.write(withLengthPrefix(Buffer.from("cut off")).subarray(0, 8))
  first.end()
  await waitUntil(() => accepted[0]?.destroyed === true)
  const second = await connect()
  second.end(withLengthPrefix(Buffer.from("whole")))
  await waitUntil(() => frames.length > 0)
  assert.deepEqual(frames.map(String), ["whole"])
})

// Guards against memory exhaustion by malformed data: the length is rejected before the bytes arrive.
test("a frame longer than the limit ends its connection, and nothing of it is delivered", async (t) => {
  const { frames, accepted, connect, close } = await listenOnLoopback()
  t.after(close)
  const socket = await connect()
  const lengthPrefix = Buffer.alloc(4)
  lengthPrefix.writeUInt32BE(MAX_FRAME_BYTES + 1)
  socket.write(Buffer.concat([withLengthPrefix(Buffer.from("before")), lengthPrefix, Buffer.from("after")]))
  await waitUntil(() => accepted[0]?.destroyed === true)
  assert.deepEqual(frames.map(String), ["before"])
})

test("a frame of the maximum length is delivered", async (t) => {
  const { frames, connect, close } = await listenOnLoopback()
  t.after(close)
  const socket = await connect()
  socket.end(withLengthPrefix(Buffer.alloc(MAX_FRAME_BYTES, 1)))
  await waitUntil(() => frames.length === 1)
  assert.equal(frames[0]?.length, MAX_FRAME_BYTES)
})
