import assert from "node:assert/strict"
import { describe, it } from "node:test"
import type { JobId, MachineId, MonotonicTime } from "@sorreltally/protocol"
import { FailureTracker } from "../src/failure-tracker.ts"
import { jobIdAt, jobOf, placeTask } from "./builders.ts"

const [redJob, blueJob, greenJob] = [jobIdAt(1), jobIdAt(2), jobIdAt(3)]
const machine1 = "i-1" as MachineId
const machine2 = "i-2" as MachineId
const machine3 = "i-3" as MachineId
const machines = [machine1, machine2, machine3]
const at = (seconds: number) => (seconds * 1000) as MonotonicTime

describe("a job that fails on one machine", () => {
  it("avoids that machine for 30 s, and may retry at once", () => {
    const failures = new FailureTracker()
    assert.equal(failures.recordFailure(redJob, machine1, at(0)), 0)
    assert.ok(!failures.isSuspect(redJob))
    assert.deepEqual([...failures.machinesToAvoid(redJob, at(29))], [machine1])
    assert.deepEqual([...failures.machinesToAvoid(redJob, at(31))], [])
    assert.deepEqual([...failures.machinesToAvoid(blueJob, at(1))], [])
  })
})

describe("a job that fails on several machines", () => {
  it("runs one task at a time, with increasing back-off, until one succeeds", () => {
    const failures = new FailureTracker()
    const job = jobOf(redJob, 60)
    assert.equal(failures.startableCount(job, at(0)), 60)
    failures.recordFailure(redJob, machine1, at(0))
    const pauses = Array.from({ length: 9 }, () => failures.recordFailure(redJob, machine2, at(1)))
    assert.deepEqual(pauses.slice(0, 3), [2_000, 4_000, 8_000])
    assert.equal(pauses.at(-1), 30_000)
    assert.equal(failures.startableCount(job, at(1)), 1)
    job.retryAfter = at(30)
    assert.equal(failures.startableCount(job, at(29)), 0)
    assert.equal(failures.startableCount(job, at(30)), 1)
    placeTask(job, 0)
    assert.equal(failures.startableCount(job, at(30)), 0)
    // A suspect job avoids no machine.
    assert.deepEqual([...failures.machinesToAvoid(redJob, at(2))], [])
    failures.recordSuccess(redJob, machine3)
    assert.equal(failures.startableCount(job, at(29)), 59)
  })
})

describe("a machine", () => {
  it("is faulty once several jobs failed on it and succeeded elsewhere, until a job succeeds on it", () => {
    const failures = new FailureTracker()
    for (const job of [redJob, blueJob]) {
      failures.recordFailure(job, machine1, at(0))
      assert.ok(!failures.isFaulty(machine1))
      failures.recordSuccess(job, machine2)
    }
    assert.ok(failures.isFaulty(machine1))
    assert.ok(!failures.isFaulty(machine2))
    // Any task that completes on the machine shows that it works.
    failures.recordSuccess(greenJob, machine1)
    assert.ok(!failures.isFaulty(machine1))
  })

  // Guards against the release of healthy machines because of jobs with a mistake.
  it("isn't faulty because of jobs that succeed on no machine", () => {
    const failures = new FailureTracker()
    for (let n = 1; n < 50; n++)
      for (const machine of machines) failures.recordFailure(`run-${n}` as JobId, machine, at(n))
    for (const machine of machines) assert.ok(!failures.isFaulty(machine))
  })
})
