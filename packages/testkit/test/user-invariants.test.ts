import assert from "node:assert/strict"
import { test } from "node:test"
import { Invariants } from "../src/invariants/invariants.ts"
import { largestOfClasses, notBegunWithin, unserved } from "../src/invariants/service-objectives.ts"
import { type JobFields, jobRequest, machineTypeOffer } from "../src/services/wire-builders.ts"
import { Simulation } from "../src/simulation/simulation.ts"

// Each rule is shown to fire on events that break it, and to be silent on the nearest ones that don't.

const CANCEL_S = 47
const PLACE = { machine: "i-1", type: "small", zone: "a", spot: false }

const harness = () => {
  const simulation = new Simulation(1)
  const teams = [{ name: "red", cpus: 8, maxCpus: 16, gpus: 0, maxGpus: 0 }]
  const type = machineTypeOffer({ name: "small", cores: 8, mem_gb: 32 })
  const invariants = new Invariants(simulation, teams as never, [type], CANCEL_S)
  const users = invariants.users
  const submit = (id: string, fields: JobFields = {}) =>
    users.submits(jobRequest(id, { pieces: 1, cores: 1, ...fields }))
  const at = (ms: number, run: () => void) => simulation.after(ms - simulation.now, run)
  /** Rules broken so far, without times. */
  const broken = () => invariants.broken.map((line) => line.replace(/ at .*?:/, ":"))
  return { simulation, invariants, users, submit, at, broken }
}

test("an answer that takes back what any node answered before it was asked breaks went_back", () => {
  const { simulation, invariants, users, submit, at, broken } = harness()
  submit("run-1")
  at(1, () => users.answered("run-1", "submit", 201, "queued", 0))
  at(10, () => invariants.finished("run-1", 0))
  at(20, () => users.answered("run-1", "poll", 200, "done", 19))
  // Asked before the first word of the end arrived: either answer will do.
  at(21, () => users.answered("run-1", "poll", 200, "running", 19.9))
  at(22, () => assert.deepEqual(broken(), []))
  at(23, () => users.answered("run-1", "poll", 200, "running", 20))
  simulation.runUntil(30)
  assert.deepEqual(broken(), ["went_back: run-1: done, now running"])
})

test("a 404 to a question asked after the acceptance breaks forgotten, whatever was answered since", () => {
  const { simulation, users, submit, at, broken } = harness()
  submit("run-1")
  at(1, () => users.answered("run-1", "submit", 201, "queued", 0))
  at(10, () => users.answered("run-1", "poll", 200, "running", 9))
  at(12, () => users.answered("run-1", "poll", 404, null, 5))
  simulation.runUntil(20)
  assert.deepEqual(broken(), ["forgotten: run-1: poll answered 404"])
})

test("two different final states break went_back, whenever they were asked for", () => {
  const { simulation, invariants, users, submit, at, broken } = harness()
  submit("run-1")
  users.asksToCancel("run-1")
  invariants.finished("run-1", 0)
  at(5, () => users.answered("run-1", "cancel", 200, "withdrawn", 1))
  at(6, () => users.answered("run-1", "poll", 200, "done", 1))
  simulation.runUntil(10)
  assert.deepEqual(broken(), ["went_back: run-1: withdrawn, now done"])
})

test("an unasked cancellation, an unfinished end and an unknown job break their invariants", () => {
  const { users, submit, broken } = harness()
  submit("run-1")
  users.answered("run-1", "poll", 200, "withdrawn", 0)
  submit("run-2")
  users.answered("run-2", "poll", 200, "done", 0)
  users.answered("run-3", "poll", 200, "queued", 0)
  assert.deepEqual(broken(), [
    "went_back: run-1: nobody cancelled it",
    "not_done: run-2: 0 tasks are done",
    "invented: run-3",
  ])
})

test("a 404 for an accepted job, or a refused repetition of its submission, breaks forgotten", () => {
  const { simulation, users, submit, at, broken } = harness()
  submit("run-1")
  at(1, () => users.answered("run-1", "submit", 201, "queued", 0))
  at(2, () => users.answered("run-1", "cancel", 404, null, 0.5))
  at(3, () => assert.deepEqual(broken(), []))
  at(4, () => users.answered("run-1", "poll", 404, null, 1))
  at(5, () => users.answered("run-1", "submit", 422, null, 4))
  simulation.runUntil(10)
  assert.equal(broken().length, 2)
})

test("75 s without an answer once faults are over break forgotten, of a cancelled job too", () => {
  const { simulation, invariants, users, submit, at, broken } = harness()
  submit("run-1")
  users.asksToCancel("run-1")
  at(1, () => users.answered("run-1", "submit", 201, "queued", 0))
  at(1_000, () => invariants.faultLasts(20_000))
  at(2_000, () => users.asked("run-1"))
  at(95_000, () => invariants.check())
  at(95_500, () => assert.deepEqual(broken(), []))
  at(96_001, () => invariants.check())
  simulation.runUntil(100_000)
  assert.deepEqual(broken(), ["forgotten: run-1: no answer for 75 s"])
})

test("an accepted malformed or unfit job, and a wrong status of its refusal, are reported", () => {
  const { users, broken } = harness()
  users.submitsInvalid("run-1", "malformed")
  users.submitsInvalid("run-2", "unfit")
  for (const status of [0, 429, 503]) users.answered("run-1", "submit", status, null, 0)
  users.answered("run-1", "submit", 400, null, 0)
  users.answered("run-2", "submit", 422, null, 0)
  assert.deepEqual(broken(), [])
  users.answered("run-1", "submit", 201, "queued", 0)
  users.answered("run-2", "submit", 400, null, 0)
  assert.deepEqual(broken(), [
    "accepted_unfit: run-1: malformed, answered 201",
    "wrong_refusal: run-2: unfit, answered 400",
  ])
})

test("a late start after a confirmed cancellation, and a task that runs on too long, are reported", () => {
  const { simulation, invariants, users, submit, at, broken } = harness()
  submit("run-1", { pieces: 2 })
  users.asksToCancel("run-1")
  at(40_000, () => users.answered("run-1", "cancel", 200, "withdrawn", 39_000))
  at(42_000, () => invariants.began("run-1", 0, PLACE))
  at(42_500, () => assert.deepEqual(broken(), []))
  at(43_500, () => invariants.began("run-1", 1, PLACE))
  at(44_000, () => invariants.ended("run-1", 1, PLACE.machine))
  at(40_001 + CANCEL_S * 1000, () => invariants.check())
  simulation.runUntil(200_000)
  assert.equal(invariants.startsAfterCancellation, 2)
  assert.deepEqual(broken(), ["started_cancelled: run-1/1", "ran_cancelled: run-1/0"])
})

test("classes, teams and largest jobs of which less than half is done are unserved", () => {
  const { invariants, users, submit } = harness()
  const end = (id: string) => {
    invariants.finished(id, 0)
    users.answered(id, "poll", 200, "done", 0)
  }
  for (let i = 0; i < 10; i++) submit(`run-${i}`)
  submit("run-big", { cores: 8 })
  submit("run-other", { lane: "train", owner: "blue" })
  for (let i = 0; i < 8; i++) end(`run-${i}`)
  assert.deepEqual([...largestOfClasses(users)], ["run-big", "run-other"])
  assert.deepEqual(unserved(users), [
    "the largest of class bulk",
    "class train",
    "team blue",
    "the largest of class train",
  ])
  end("run-big")
  end("run-other")
  assert.deepEqual(unserved(users), [])
  // What its user calls off isn't owed.
  submit("run-off", { lane: "late" })
  users.asksToCancel("run-off")
  assert.deepEqual(unserved(users), [])
})

test("a job of which nothing began within the time of its submission is listed", () => {
  const { simulation, invariants, users, submit, at } = harness()
  submit("run-1")
  submit("run-2")
  at(200_000, () => invariants.began("run-1", 0, PLACE))
  simulation.runUntil(240_001)
  assert.deepEqual(notBegunWithin(users, invariants.begunAt, 240_000, simulation.now), ["run-2"])
  assert.deepEqual(notBegunWithin(users, invariants.begunAt, 199_999, simulation.now), ["run-1", "run-2"])
})
