import assert from "node:assert/strict"
import { test } from "node:test"
import type { WireJob, WireMachineType } from "@sorreltally/protocol"
import { Invariants } from "../src/invariants/invariants.ts"
import { largestOfClasses, notBegunWithin, unserved } from "../src/invariants/service-objectives.ts"
import { Simulation } from "../src/simulation/simulation.ts"

// Each rule is shown to fire on events that break it, and to be silent on the nearest ones that don't.

const CANCEL_S = 47
const PLACE = { machine: "i-1", type: "small", zone: "a", spot: false }

const harness = () => {
  const simulation = new Simulation(1)
  const teams = [{ name: "red", cpus: 8, maxCpus: 16, gpus: 0, maxGpus: 0 }]
  const type = { name: "small", cores: 8 } as unknown as WireMachineType
  const invariants = new Invariants(simulation, teams as never, [type], CANCEL_S)
  const users = invariants.users
  const submit = (id: string, fields: Partial<Record<keyof WireJob, unknown>> = {}) =>
    users.asksToRun({ id, lane: "bulk", owner: "red", pieces: 1, cores: 1, ...fields } as WireJob)
  const at = (ms: number, run: () => void) => simulation.after(ms - simulation.now, run)
  /** Rules broken so far, without times. */
  const broken = () => invariants.broken.map((line) => line.replace(/ at .*?:/, ":"))
  return { simulation, invariants, users, submit, at, broken }
}

test("went_back: an answer older than any node's earlier one, by the millisecond", () => {
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

test("went_back: a later answer doesn't cover an older one that was asked between two", () => {
  const { simulation, users, submit, at, broken } = harness()
  submit("run-1")
  at(1, () => users.answered("run-1", "submit", 201, "queued", 0))
  at(10, () => users.answered("run-1", "poll", 200, "running", 9))
  at(12, () => users.answered("run-1", "poll", 404, null, 5))
  simulation.runUntil(20)
  assert.deepEqual(broken(), ["forgotten: run-1: poll answered 404"])
})

test("went_back: two different final states, whenever they were asked for", () => {
  const { simulation, invariants, users, submit, at, broken } = harness()
  submit("run-1")
  users.asksToCancel("run-1")
  invariants.finished("run-1", 0)
  at(5, () => users.answered("run-1", "cancel", 200, "withdrawn", 1))
  at(6, () => users.answered("run-1", "poll", 200, "done", 1))
  simulation.runUntil(10)
  assert.deepEqual(broken(), ["went_back: run-1: withdrawn, now done"])
})

test("went_back, not_done and invented: what never was", () => {
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

test("forgotten: an accepted job gets 404, or its repeated submission 400 or 422", () => {
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

test("forgotten: 75 s without an answer once the troubles are over, of a cancelled job too", () => {
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

test("accepted_unfit: a job that can't run or lacks a field, and a wrong reason for its refusal", () => {
  const { users, broken } = harness()
  users.asksInVain("run-1", "malformed")
  users.asksInVain("run-2", "unfit")
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

test("started_cancelled: a start after a confirmed cancellation, and ran_cancelled", () => {
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

test("served: half of each class, of each team and of a class's largest jobs", () => {
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

test("begun in time: nothing of a job began within that time of its submission", () => {
  const { simulation, invariants, users, submit, at } = harness()
  submit("run-1")
  submit("run-2")
  at(200_000, () => invariants.began("run-1", 0, PLACE))
  simulation.runUntil(240_001)
  assert.deepEqual(notBegunWithin(users, invariants.begunAt, 240_000, simulation.now), ["run-2"])
  assert.deepEqual(notBegunWithin(users, invariants.begunAt, 199_999, simulation.now), ["run-1", "run-2"])
})
