import assert from "node:assert/strict"
import { test } from "node:test"
import type { NodeName } from "@sorreltally/protocol"
import { encodeMessage } from "../src/codec.ts"
import { encodeFrame } from "../src/codec-frames.ts"
import { openChannel } from "./builders.ts"

const [self, other] = ["host-0" as NodeName, "host-1" as NodeName]

// Guards against a rolling upgrade in which messages of a later version make controllers of this one fail.
test("a message of an unknown kind is ignored, and the next message is delivered", async (t) => {
  const { delivered, errors, receive, stop } = await openChannel(self, other)
  t.after(() => stop())
  const frame = { kind: "message", from: other, to: self } as const
  for (const kind of ["of-a-later-version", "constructor"])
    receive(encodeFrame({ ...frame, message: { kind, body: { any: 1 } } }))
  assert.deepEqual([delivered, errors], [[], []])
  const known = encodeMessage({ kind: "machineList", machines: [] })
  receive(encodeFrame({ ...frame, message: known }))
  assert.deepEqual(delivered, [{ kind: "machineList", machines: [] }])
})
