import assert from "node:assert/strict"
import { test } from "node:test"
import { Invariants } from "../src/invariants/invariants.ts"
import {
  jobsNotStartedWithin,
  largestJobsOfClasses,
  underservedGroups,
} from "../src/invariants/service-objectives.ts"
import { type JobFields, jobRequest, machineTypeOffer } from "../src/services/wire-builders.ts"
import { Simulation } from "../src/simulation/simulation.ts"

// Each rule is tested with events that break it, and with the closest events that don't.

const CANCEL_S = 47
const PLACE = { machine: "i-1", type: "small", zone: "a", spot: false }

const harness = () => {
  const simulation = new Simulation(1)
  const teams = [{ name: "red", cpus: 8, maxCpus: 16, gpus: 0, maxGpus: 0 }]
  const type = machineTypeOffer({ name: "small", cores: 8, mem_gb: 32 })
  const invariants = new Invariants(simulation, teams as never, [type], CANCEL_S)
  const users = invariants.users
  const submit = (id: string, fields: JobFields = {}) =>
    users.recordSubmission(jobRequest(id, { pieces: 1, cores: 1, ...fields }))
  const at = (ms: number, run: () => void) => simulation.after(ms - simulation.now, run)
  /** Violations so far, without their times. */
  const violations = () => invariants.violations.map((line) => line.replace(/ at .*?:/, ":"))
  return { simulation, invariants, users, submit, at, violations }
}

test("an answer that retracts what any node answered before the request breaks went_back", () => {
  const { simulation, invariants, users, submit, at, violations } = harness()
  submit("run-1")
  at(1, () => users.recordAnswer("run-1", "submit", 201, "queued", 0))
  at(10, () => invariants.taskFinished("run-1", 0))
  at(20, () => users.recordAnswer("run-1", "poll", 200, "done", 19))
  // Requested before the first answer with the final state arrived: either answer is allowed.
  at(21, () => users.recordAnswer("run-1", "poll", 200, "running", 19.9))
  at(22, () => assert.deepEqual(violations(), []))
  at(23, () => users.recordAnswer("run-1", "poll", 200, "running", 20))
  simulation.runUntil(30)
  assert.deepEqual(violations(), ["went_back: run-1: answered running after done"])
})

test("a 404 to a request sent after the acceptance breaks forgotten, regardless of later answers", () => {
  const { simulation, users, submit, at, violations } = harness()
  submit("run-1")
  at(1, () => users.recordAnswer("run-1", "submit", 201, "queued", 0))
  at(10, () => users.recordAnswer("run-1", "poll", 200, "running", 9))
  at(12, () => users.recordAnswer("run-1", "poll", 404, null, 5))
  simulation.runUntil(20)
  assert.deepEqual(violations(), ["forgotten: run-1: poll answered 404"])
})

test("two different final states break went_back, whenever they were requested", () => {
  const { simulation, invariants, users, submit, at, violations } = harness()
  submit("run-1")
  users.recordCancelRequest("run-1")
  invariants.taskFinished("run-1", 0)
  at(5, () => users.recordAnswer("run-1", "cancel", 200, "withdrawn", 1))
  at(6, () => users.recordAnswer("run-1", "poll", 200, "done", 1))
  simulation.runUntil(10)
  assert.deepEqual(violations(), ["went_back: run-1: answered done after withdrawn"])
})

test("withdrawn without a cancel request, done before the end and an unknown job break their rules", () => {
  const { users, submit, violations } = harness()
  submit("run-1")
  users.recordAnswer("run-1", "poll", 200, "withdrawn", 0)
  submit("run-2")
  users.recordAnswer("run-2", "poll", 200, "done", 0)
  users.recordAnswer("run-3", "poll", 200, "queued", 0)
  assert.deepEqual(violations(), [
    "went_back: run-1: answered withdrawn without a cancel request",
    "not_done: run-2: answered done with 0 finished tasks",
    "invented: run-3: never submitted",
  ])
})

test("a 404 for an accepted job, or a refused repetition of its submission, breaks forgotten", () => {
  const { simulation, users, submit, at, violations } = harness()
  submit("run-1")
  at(1, () => users.recordAnswer("run-1", "submit", 201, "queued", 0))
  at(2, () => users.recordAnswer("run-1", "cancel", 404, null, 0.5))
  at(3, () => assert.deepEqual(violations(), []))
  at(4, () => users.recordAnswer("run-1", "poll", 404, null, 1))
  at(5, () => users.recordAnswer("run-1", "submit", 422, null, 4))
  simulation.runUntil(10)
  assert.equal(violations().length, 2)
})

test("75 s without an answer after the last fault break forgotten, also for a cancelled job", () => {
  const { simulation, invariants, users, submit, at, violations } = harness()
  submit("run-1")
  users.recordCancelRequest("run-1")
  at(1, () => users.recordAnswer("run-1", "submit", 201, "queued", 0))
  at(1_000, () => invariants.recordFault(20_000))
  at(2_000, () => users.recordRequest("run-1"))
  at(95_000, () => invariants.check())
  at(95_500, () => assert.deepEqual(violations(), []))
  at(96_001, () => invariants.check())
  simulation.runUntil(100_000)
  assert.deepEqual(violations(), ["forgotten: run-1: no answer for 75 s"])
})

test("accepting a malformed or unfit job, and refusing it with a wrong status, are reported", () => {
  const { users, violations } = harness()
  users.recordInvalidSubmission("run-1", "malformed")
  users.recordInvalidSubmission("run-2", "unfit")
  for (const status of [0, 429, 503]) users.recordAnswer("run-1", "submit", status, null, 0)
  users.recordAnswer("run-1", "submit", 400, null, 0)
  users.recordAnswer("run-2", "submit", 422, null, 0)
  assert.deepEqual(violations(), [])
  users.recordAnswer("run-1", "submit", 201, "queued", 0)
  users.recordAnswer("run-2", "submit", 400, null, 0)
  assert.deepEqual(violations(), [
    "accepted_unfit: run-1: malformed, answered 201",
    "wrong_refusal: run-2: unfit, answered 400",
  ])
})

test("after a confirmed cancellation, a late start and a task that runs on too long are reported", () => {
  const { simulation, invariants, users, submit, at, violations } = harness()
  submit("run-1", { pieces: 2 })
  users.recordCancelRequest("run-1")
  at(40_000, () => users.recordAnswer("run-1", "cancel", 200, "withdrawn", 39_000))
  at(42_000, () => invariants.taskStarted("run-1", 0, PLACE))
  at(42_500, () => assert.deepEqual(violations(), []))
  at(43_500, () => invariants.taskStarted("run-1", 1, PLACE))
  at(44_000, () => invariants.taskStopped("run-1", 1, PLACE.machine))
  at(40_001 + CANCEL_S * 1000, () => invariants.check())
  simulation.runUntil(200_000)
  assert.equal(invariants.startsAfterCancellation, 2)
  assert.deepEqual(violations(), ["started_cancelled: run-1/1", "ran_cancelled: run-1/0"])
})

test("classes, teams and groups of largest jobs with less than half done are listed", () => {
  const { invariants, users, submit } = harness()
  const complete = (id: string) => {
    invariants.taskFinished(id, 0)
    users.recordAnswer(id, "poll", 200, "done", 0)
  }
  for (let i = 0; i < 10; i++) submit(`run-${i}`)
  submit("run-big", { cores: 8 })
  submit("run-other", { lane: "train", owner: "blue" })
  for (let i = 0; i < 8; i++) complete(`run-${i}`)
  assert.deepEqual([...largestJobsOfClasses(users)], ["run-big", "run-other"])
  assert.deepEqual(underservedGroups(users), [
    "the largest of class bulk",
    "class train",
    "team blue",
    "the largest of class train",
  ])
  complete("run-big")
  complete("run-other")
  assert.deepEqual(underservedGroups(users), [])
  // A job with a cancel request doesn't count.
  submit("run-cancelled", { lane: "late" })
  users.recordCancelRequest("run-cancelled")
  assert.deepEqual(underservedGroups(users), [])
})

test("a job without a task started within the limit after its submission is listed", () => {
  const { simulation, invariants, users, submit, at } = harness()
  submit("run-1")
  submit("run-2")
  at(200_000, () => invariants.taskStarted("run-1", 0, PLACE))
  simulation.runUntil(240_001)
  assert.deepEqual(jobsNotStartedWithin(users, invariants.firstStartAt, 240_000, simulation.now), ["run-2"])
  assert.deepEqual(jobsNotStartedWithin(users, invariants.firstStartAt, 199_999, simulation.now), [
    "run-1",
    "run-2",
  ])
})
