import assert from "node:assert/strict"
import { test } from "node:test"
import type { Membership } from "@sorreltally/membership"
import {
  type AgentEpoch,
  type Attempt,
  type JobId,
  type MachineId,
  type ModRevision,
  type MonotonicTime,
  type ShardName,
  taskId,
} from "@sorreltally/protocol"
import { type JobRecord, keys, type PlacementRecord, type StoreClient } from "@sorreltally/store"
import { Effect, Fiber } from "effect"
import { JobState, type Placement } from "../src/job-state.ts"
import { PlacementWriter } from "../src/placement-writer.ts"

const PIECES = 80
const request = { id: "run-000001", taskCount: PIECES, cores: 1, accelerators: 0, memGb: 1, image: "img" }
const job = new JobState(
  "run-000001" as JobId,
  { spec: request, submittedAt: 0, cancelled: false } as unknown as JobRecord,
  keys.jobPage(1, 0),
  1 as ModRevision,
)
const place = (index: number): Placement => {
  const placement: Placement = {
    job,
    index,
    task: taskId(job.id, index),
    machine: `i-${index}` as MachineId,
    agentEpoch: 1 as AgentEpoch,
    attempt: (index + 1) as Attempt,
    durable: false,
    inherited: false,
    stop: null,
    placedAt: 0 as MonotonicTime,
    runningSince: null,
    unacknowledgedStarts: 0,
  }
  job.place(placement)
  return placement
}

test("a write that fails takes back only what was new in it, not what it repeated of older slots", async () => {
  let modRevision = 10
  let refuses = false
  const writes: Array<PlacementRecord> = []
  const state = {
    limits: { valueKb: 8, maxOperations: 8, writesPerSecond: 100_000 },
    awaitWriteCapacity: () => Effect.void,
    writeLoad: () => 0,
    get: () => Effect.succeed(null),
    compareAndSwap: (_: unknown, apply: ReadonlyArray<{ readonly value: PlacementRecord }>) =>
      Effect.sync(() => {
        writes.push(apply[0]!.value)
        return refuses
          ? { ok: false, failedKeys: [keys.jobPage(1, 0)] }
          : { ok: true, revision: ++modRevision }
      }),
  } as unknown as StoreClient
  const membership = { readBarrier: { wait: Effect.void }, replica: {} } as unknown as Membership
  const unwanted: Array<Placement> = []
  const commits = new PlacementWriter(
    "deadline" as ShardName,
    5 as ModRevision,
    state,
    membership,
    () => performance.now() as MonotonicTime,
    () => true,
    { durable: () => {}, unwanted: (p) => unwanted.push(p) },
  )
  const fiber = Effect.runFork(commits.run)
  const until = async (so: () => boolean) => {
    for (let i = 0; i < 400 && !so(); i++) await new Promise((resolve) => setTimeout(resolve, 5))
    assert.ok(so())
  }
  // One slot a placement, until old slots are repeated in new ones.
  const running: Array<Placement> = []
  for (let index = 0; index < 49; index++) {
    const placement = place(index)
    running.push(placement)
    commits.place(placement)
    await until(() => placement.durable)
  }
  refuses = true
  for (const placement of running)
    job.stop(placement, { reason: "preempted", leewayS: 0, since: 0 as MonotonicTime })
  const before = writes.length
  commits.place(place(49))
  await until(() => writes.length > before + 1)
  await Effect.runPromise(Fiber.interrupt(fiber))
  assert.ok(writes.at(-1)!.placed[0]!.tasks.length > 1, "the write repeats older placements")
  // Guards against ran_twice: these tasks may run, whatever became of the write.
  assert.deepEqual(unwanted, [])
})
