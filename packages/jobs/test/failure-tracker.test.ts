import assert from "node:assert/strict"
import { test } from "node:test"
import type { JobId, MachineId, ModRevision, MonotonicTime } from "@sorreltally/protocol"
import { type JobRecord, keys } from "@sorreltally/store"
import { FailureTracker } from "../src/failure-tracker.ts"
import { JobState, type Placement } from "../src/job-state.ts"

const [red, blue] = ["run-000001" as JobId, "run-000002" as JobId]
const [one, two, three] = ["i-1", "i-2", "i-3"].map((id) => id as MachineId) as [
  MachineId,
  MachineId,
  MachineId,
]
const at = (seconds: number) => (seconds * 1000) as MonotonicTime

test("a job that fails on one machine leaves that machine alone for a while, and doesn't pause", () => {
  const failures = new FailureTracker()
  assert.equal(failures.failed(red, one, at(0)), 0)
  assert.ok(!failures.isSuspect(red))
  assert.deepEqual([...failures.avoidedBy(red, at(29))], [one])
  assert.deepEqual([...failures.avoidedBy(red, at(31))], [])
  assert.deepEqual([...failures.avoidedBy(blue, at(1))], [])
})

test("a job that fails on several machines is tried one task at a time, at growing pauses", () => {
  const failures = new FailureTracker()
  const record = {
    spec: { id: red, taskCount: 60 },
    submittedAt: 0,
    cancelled: false,
  } as unknown as JobRecord
  const job = new JobState(red, record, keys.jobPage(0, 0), 1 as ModRevision)
  assert.equal(failures.startable(job, at(0)), 60)
  failures.failed(red, one, at(0))
  const pauses = Array.from({ length: 9 }, () => failures.failed(red, two, at(1)))
  assert.deepEqual(pauses.slice(0, 3), [2_000, 4_000, 8_000])
  assert.equal(pauses.at(-1), 30_000)
  assert.equal(failures.startable(job, at(1)), 1)
  job.retryAfter = at(30)
  assert.equal(failures.startable(job, at(29)), 0)
  assert.equal(failures.startable(job, at(30)), 1)
  job.place({ job, index: 0 } as Placement)
  assert.equal(failures.startable(job, at(30)), 0)
  // It can go anywhere: all machines are as good.
  assert.deepEqual([...failures.avoidedBy(red, at(2))], [])
  failures.succeeded(red, three)
  assert.equal(failures.startable(job, at(29)), 59)
})

test("a machine is faulty once several jobs failed there that succeeded elsewhere", () => {
  const failures = new FailureTracker()
  for (const job of [red, blue]) {
    failures.failed(job, one, at(0))
    assert.ok(!failures.isFaulty(one))
    failures.succeeded(job, two)
  }
  assert.ok(failures.isFaulty(one))
  assert.ok(!failures.isFaulty(two))
  // Whatever completes there says that it works.
  failures.succeeded("run-000003" as JobId, one)
  assert.ok(!failures.isFaulty(one))
})

// Guards against healthy machines that are given back for the errors of jobs with a mistake.
test("jobs that succeed nowhere never make a machine faulty", () => {
  const failures = new FailureTracker()
  for (let n = 1; n < 50; n++)
    for (const machine of [one, two, three]) failures.failed(`run-${n}` as JobId, machine, at(n))
  for (const machine of [one, two, three]) assert.ok(!failures.isFaulty(machine))
})
