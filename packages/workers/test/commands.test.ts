import assert from "node:assert/strict"
import { test } from "node:test"
import type { Placement } from "@sorreltally/jobs"
import {
  type AgentEpoch,
  BODY_LIMIT,
  encodeCommandBatch,
  type FencingToken,
  MAX_COMMANDS,
  MAX_TASKS_ON_MACHINE,
  type MonotonicTime,
  type ReportedTask,
  type TaskId,
} from "@sorreltally/protocol"
import { commandsFor } from "../src/commands.ts"

const LARGEST_ATTEMPT = Number.MAX_SAFE_INTEGER
const taskId = (index: number) => `run-123456/${index}` as TaskId
const placementOf = (index: number): readonly [TaskId, Placement] => [
  taskId(index),
  { task: taskId(index), attempt: LARGEST_ATTEMPT, stop: null, durable: true, agentEpoch: 1 } as Placement,
]

// Guards against answers to workers with lines beyond the protocol's limit.
test("an answer holds no more commands than a line may, and stops go first", () => {
  const placements = new Map(Array.from({ length: 2 * MAX_COMMANDS }, (_, i) => placementOf(50_000 + i)))
  const orphan = { taskId: taskId(99_999), attempt: LARGEST_ATTEMPT, phase: "running" } as ReportedTask
  const done = {
    taskId: taskId(99_998),
    attempt: LARGEST_ATTEMPT,
    phase: "exited",
    exitReason: "done",
  } as ReportedTask
  const tasks = new Map([done, orphan].map((task) => [task.taskId, task]))
  const commands = commandsFor({
    agentEpoch: 1 as AgentEpoch,
    tasks,
    placements,
    mayPurge: () => true,
    now: 0 as MonotonicTime,
  })
  assert.equal(commands.length, MAX_COMMANDS)
  assert.equal(commands[0]?.kind, "stop")
  assert.ok(
    JSON.stringify(
      encodeCommandBatch({
        fencingToken: LARGEST_ATTEMPT as FencingToken,
        agentEpoch: 1 as AgentEpoch,
        commands,
      }),
    ).length < BODY_LIMIT,
  )
})

test("a machine's report stays within a body with as many exited tasks as placed ones", () => {
  const piece = { piece: taskId(99_999), try: LARGEST_ATTEMPT, status: "exited", cause: "done", stored: true }
  const tasks = Array.from({ length: 2 * MAX_TASKS_ON_MACHINE }, () => piece)
  assert.ok(JSON.stringify(tasks).length < BODY_LIMIT)
})
