import assert from "node:assert/strict"
import { test } from "node:test"
import { frameLength, MAX_FRAME_BYTES } from "../src/socket-frames.ts"
import { listenOnLoopback, until } from "./builders.ts"

const framed = (frame: Buffer): Buffer => Buffer.concat([frameLength(frame), frame])

test("a frame that arrives in pieces is delivered once it is whole", async (t) => {
  const { frames, connect, end } = await listenOnLoopback()
  t.after(end)
  const bytes = framed(Buffer.from("hello"))
  const socket = await connect()
  socket.write(bytes.subarray(0, 2))
  await new Promise((resolve) => setTimeout(resolve, 20))
  socket.write(bytes.subarray(2, 6))
  await new Promise((resolve) => setTimeout(resolve, 20))
  assert.equal(frames.length, 0)
  socket.end(bytes.subarray(6))
  await until(() => frames.length === 1)
  assert.equal(frames[0]?.toString(), "hello")
})

// Guards against the rest of a frame that is taken from another connection, or a cut that ends the listener.
test("a frame that is cut off is dropped with its connection, and the next connection is served", async (t) => {
  const { frames, accepted, connect, end } = await listenOnLoopback()
  t.after(end)
  const first = await connect()
  first.write(framed(Buffer.from("cut off")).subarray(0, 8))
  first.end()
  await until(() => accepted[0]?.destroyed === true)
  const second = await connect()
  second.end(framed(Buffer.from("whole")))
  await until(() => frames.length > 0)
  assert.deepEqual(frames.map(String), ["whole"])
})

// Guards against memory that one connection's garbage takes: the length is refused before the bytes arrive.
test("a frame longer than allowed ends its connection, and nothing of it is delivered", async (t) => {
  const { frames, accepted, connect, end } = await listenOnLoopback()
  t.after(end)
  const socket = await connect()
  const length = Buffer.alloc(4)
  length.writeUInt32BE(MAX_FRAME_BYTES + 1)
  socket.write(Buffer.concat([framed(Buffer.from("before")), length, Buffer.from("after")]))
  await until(() => accepted[0]?.destroyed === true)
  assert.deepEqual(frames.map(String), ["before"])
})

test("the longest frame that is allowed is delivered", async (t) => {
  const { frames, connect, end } = await listenOnLoopback()
  t.after(end)
  const socket = await connect()
  socket.end(framed(Buffer.alloc(MAX_FRAME_BYTES, 1)))
  await until(() => frames.length === 1)
  assert.equal(frames[0]?.length, MAX_FRAME_BYTES)
})
