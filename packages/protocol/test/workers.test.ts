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
  makeHeartbeatRequest,
  phaseToWire,
  splitTaskId,
  TASK_ID_PATTERN,
  type TaskId,
} from "../src/index.ts"
import { wireHeartbeatWith } from "./builders.ts"

const taskId = "run-000001/0" as TaskId
const attempt = 2 as Attempt
const decodeTask = (fields: object) => {
  const heartbeat = decodeHeartbeat(wireHeartbeatWith({ piece: taskId, try: attempt, ...fields }))
  return Result.getOrThrow(heartbeat).tasks[0]!
}

/** Wire statuses with their phases; `frozen` stands for a status of a later protocol version. */
const PHASE_BY_STATUS = [
  ["pulling", "fetching"],
  ["running", "running"],
  ["flushing", "checkpointing"],
  ["exited", "exited"],
  ["frozen", "frozen"],
] as const
for (const [status, phase] of PHASE_BY_STATUS)
  test(`wire status ${status} decodes to phase ${phase}, which encodes to it`, () => {
    assert.equal(decodeTask({ status }).phase, phase)
    assert.equal(phaseToWire(phase), status)
  })

/** Wire causes with their exit reasons; `evicted` stands for a cause of a later protocol version. */
const EXIT_REASON_BY_CAUSE = [
  ["done", "done"],
  ["stopped", "stopped"],
  ["error", "error"],
  ["no_room", "insufficientResources"],
  ["in_use", "attemptConflict"],
  ["unknown", "unknown"],
  ["evicted", "evicted"],
] as const
for (const [cause, reason] of EXIT_REASON_BY_CAUSE)
  test(`wire cause ${cause} decodes to exit reason ${reason}, which encodes to it`, () => {
    assert.equal(decodeTask({ status: "exited", cause }).exitReason, reason)
    assert.equal(exitReasonToWire(reason), cause)
  })

test("an absent or null cause or stored flag decodes to null", () => {
  const expected = { taskId, attempt, phase: "running", exitReason: null, checkpointed: null }
  assert.deepEqual(decodeTask({ status: "running" }), expected)
  assert.deepEqual(decodeTask({ status: "running", cause: null, stored: null }), expected)
})

/** Commands with their wire forms. */
const WIRE_FORM_BY_COMMAND: ReadonlyArray<readonly [Command, object]> = [
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
for (const [command, wire] of WIRE_FORM_BY_COMMAND)
  test(`command ${command.kind} is encoded with the verb and fields of the protocol`, () => {
    const reply = encodeHeartbeatReply({ fencingToken: 7 as FencingToken, commands: [command] })
    assert.deepEqual(reply, { baton: 7, orders: [wire] })
  })

// Guards against a request for a heartbeat that starts a task: no job may have the task that it names.
test("a heartbeat request names a task that no job can have, and that a heartbeat may list", () => {
  const { taskId: requested } = makeHeartbeatRequest(attempt)
  assert.match(requested, TASK_ID_PATTERN)
  assert.ok(splitTaskId(requested).index >= 100_000)
  assert.equal(decodeTask({ piece: requested, status: "exited", cause: "unknown" }).exitReason, "unknown")
})
