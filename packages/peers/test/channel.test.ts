import assert from "node:assert/strict"
import { test } from "node:test"
import type { NodeName } from "@sorreltally/protocol"
import { encodeMessage } from "../src/codec.ts"
import { encodeFrame } from "../src/codec-frames.ts"
import { openChannel } from "./builders.ts"

const [self, other] = ["host-0" as NodeName, "host-1" as NodeName]

// Guards against a rolling upgrade in which a later version's messages disturb the present one.
test("a message of an unknown kind is passed over, and the next one is delivered", async (t) => {
  const { delivered, errors, receive, end } = await openChannel(self, other)
  t.after(() => end())
  const frame = { kind: "message", from: other, to: self } as const
  for (const kind of ["of-a-later-version", "constructor"])
    receive(encodeFrame({ ...frame, message: { kind, body: { any: 1 } } }))
  assert.deepEqual([delivered, errors], [[], []])
  const known = encodeMessage({ kind: "machineList", machines: [] })
  receive(encodeFrame({ ...frame, message: known }))
  assert.deepEqual(delivered, [{ kind: "machineList", machines: [] }])
})
