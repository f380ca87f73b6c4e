import assert from "node:assert/strict"
import { test } from "node:test"
import { Result } from "effect"
import {
  type Attempt,
  type Command,
  decodeHeartbeat,
  encodeHeartbeatReply,
  exitReasonToWire,
  type FencingToken,
  phaseToWire,
  type TaskId,
} from "../src/index.ts"

const taskId = "run-000001/0" as TaskId
const attempt = 2 as Attempt
const decodeTask = (fields: object) => {
  const heartbeat = decodeHeartbeat({
    host: "i-1",
    address: "10.1.0.1:9000",
    build: "g8",
    site: "a",
    loaners: true,
    tenure: 1,
    tick: 5,
    baton: 7,
    pieces: [{ piece: taskId, try: attempt, ...fields }],
  })
  return Result.getOrThrow(heartbeat).tasks[0]!
}

/** Each status with its phase; the last one is of a later protocol. */
const PHASES = [
  ["pulling", "fetching"],
  ["running", "running"],
  ["flushing", "checkpointing"],
  ["exited", "exited"],
  ["frozen", "frozen"],
] as const
for (const [status, phase] of PHASES)
  test(`the status ${status} is the phase ${phase}, both ways`, () => {
    assert.equal(decodeTask({ status }).phase, phase)
    assert.equal(phaseToWire(phase), status)
  })

/** Each cause with its exit reason; the last one is of a later protocol. */
const EXIT_REASONS = [
  ["done", "done"],
  ["stopped", "stopped"],
  ["error", "error"],
  ["no_room", "insufficientResources"],
  ["in_use", "attemptConflict"],
  ["unknown", "unknown"],
  ["evicted", "evicted"],
] as const
for (const [cause, reason] of EXIT_REASONS)
  test(`the cause ${cause} is the exit reason ${reason}, both ways`, () => {
    assert.equal(decodeTask({ status: "exited", cause }).exitReason, reason)
    assert.equal(exitReasonToWire(reason), cause)
  })

test("a cause or a stored flag that is absent or null decodes to null", () => {
  const expected = { taskId, attempt, phase: "running", exitReason: null, checkpointed: null }
  assert.deepEqual(decodeTask({ status: "running" }), expected)
  assert.deepEqual(decodeTask({ status: "running", cause: null, stored: null }), expected)
})

/** Each command with its wire form. */
const COMMANDS: ReadonlyArray<readonly [Command, object]> = [
  [
    { kind: "start", taskId, attempt },
    { verb: "start", piece: taskId, try: attempt },
  ],
  [
    { kind: "stop", taskId, attempt, gracePeriodS: 10 },
    { verb: "stop", piece: taskId, try: attempt, leeway_s: 10 },
  ],
  [
    { kind: "purge", taskId, attempt },
    { verb: "forget", piece: taskId, try: attempt },
  ],
]
for (const [command, wire] of COMMANDS)
  test(`the command ${command.kind} has the protocol's verb and fields`, () => {
    const reply = encodeHeartbeatReply({ fencingToken: 7 as FencingToken, commands: [command] })
    assert.deepEqual(reply, { baton: 7, orders: [wire] })
  })
