import assert from "node:assert/strict"
import { test } from "node:test"
import { JobState, type Placement } from "@sorreltally/jobs"
import type { Membership } from "@sorreltally/membership"
import type { JobRecord, StateClient } from "@sorreltally/state"
import type { Attempt, JobId, MachineId, Moment, PartName, Stamp, Tenure } from "@sorreltally/wire"
import { taskId } from "@sorreltally/wire"
import { Effect, Fiber } from "effect"
import { Commits } from "../src/commits.ts"

const PIECES = 80
const request = { id: "run-000001", pieces: PIECES, cores: 1, accelerators: 0, mem_gb: 1, bundle: "img" }
const job = new JobState(
  "run-000001" as JobId,
  { request, submitted: 0 } as unknown as JobRecord,
  "s/job/1.0",
  1 as Stamp,
)
const place = (index: number): Placement => {
  const placement: Placement = {
    job,
    index,
    task: taskId(job.id, index),
    machine: `i-${index}` as MachineId,
    tenure: 1 as Tenure,
    attempt: (index + 1) as Attempt,
    durable: false,
    inherited: false,
    stop: null,
    placedAt: 0 as Moment,
    runningSince: null,
    unheard: 0,
  }
  job.place(placement)
  return placement
}

test("a write that fails takes back only what was new in it, not what it repeated of older slots", async () => {
  let stamp = 10
  let refuses = false
  const writes: Array<{ readonly s: ReadonlyArray<ReadonlyArray<unknown>> }> = []
  const state = {
    limits: { value_kb: 8, txn_ops: 8, write_rps: 100_000, rps: 100_000 },
    room: () => Effect.void,
    load: () => 0,
    get: () => Effect.succeed(null),
    multi: (_: unknown, apply: ReadonlyArray<{ readonly v: (typeof writes)[number] }>) =>
      Effect.sync(() => {
        writes.push(apply[0]!.v)
        return refuses ? { ok: false, failed: ["s/job/1.0"] } : { ok: true, epoch: ++stamp }
      }),
  } as unknown as StateClient
  const membership = { freshness: { since: Effect.void }, mirror: {} } as unknown as Membership
  const unwanted: Array<Placement> = []
  const commits = new Commits(
    "deadline" as PartName,
    5 as Stamp,
    state,
    membership,
    () => performance.now() as Moment,
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
  for (const placement of running) job.stop(placement, { why: "preempted", leewayS: 0, since: 0 as Moment })
  const before = writes.length
  commits.place(place(49))
  await until(() => writes.length > before + 1)
  await Effect.runPromise(Fiber.interrupt(fiber))
  assert.ok(writes.at(-1)!.s[0]!.length > 5, "the write repeats older placements")
  // Guards against ran_twice: these tasks may run, whatever became of the write.
  assert.deepEqual(unwanted, [])
})
