import assert from "node:assert/strict"
import { test } from "node:test"
import type { Placement } from "@sorreltally/jobs"
import {
  type AgentEpoch,
  type Attempt,
  encodeCommandBatch,
  type FencingToken,
  MAX_BODY_BYTES,
  MAX_COMMANDS_PER_MESSAGE,
  MAX_TASKS_ON_MACHINE,
  type TaskId,
} from "@sorreltally/protocol"
import { commandsFor } from "../src/commands.ts"
import { at, exited, reported } from "./builders.ts"

const LARGEST_ATTEMPT = Number.MAX_SAFE_INTEGER as Attempt
const AGENT_EPOCH = 1 as AgentEpoch
const taskId = (index: number) => `run-123456/${index}` as TaskId
const placementOf = (index: number): readonly [TaskId, Placement] => [
  taskId(index),
  { task: taskId(index), attempt: LARGEST_ATTEMPT, stop: null, durable: true, agentEpoch: 1 } as Placement,
]

// Guards against command batches that exceed the protocol's body limit.
test("a batch has at most the maximum number of commands, and stops go first", () => {
  const placements = new Map(
    Array.from({ length: 2 * MAX_COMMANDS_PER_MESSAGE }, (_, i) => placementOf(50_000 + i)),
  )
  const orphan = reported({ taskId: taskId(99_999), attempt: LARGEST_ATTEMPT })
  const done = exited("done", { taskId: taskId(99_998), attempt: LARGEST_ATTEMPT })
  const tasks = new Map([done, orphan].map((task) => [task.taskId, task]))
  const mayPurge = () => true
  const commands = commandsFor({ agentEpoch: AGENT_EPOCH, tasks, placements, mayPurge, now: at(0) })
  const batch = { fencingToken: Number.MAX_SAFE_INTEGER as FencingToken, agentEpoch: AGENT_EPOCH, commands }
  assert.equal(commands.length, MAX_COMMANDS_PER_MESSAGE)
  assert.equal(commands[0]?.kind, "stop")
  assert.ok(JSON.stringify(encodeCommandBatch(batch)).length < MAX_BODY_BYTES)
})

test("a heartbeat with as many exited tasks as placed ones stays within the body limit", () => {
  const task = { piece: taskId(99_999), try: LARGEST_ATTEMPT, status: "exited", cause: "done", stored: true }
  const tasks = Array.from({ length: 2 * MAX_TASKS_ON_MACHINE }, () => task)
  assert.ok(JSON.stringify(tasks).length < MAX_BODY_BYTES)
})
