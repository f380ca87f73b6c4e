import assert from "node:assert/strict"
import { test } from "node:test"
import { JobState, type Placement } from "@sorreltally/jobs"
import type {
  Attempt,
  FencingToken,
  Heartbeat,
  JobId,
  MachineId,
  MachineType,
  ModRevision,
  MonotonicTime,
  TaskId,
} from "@sorreltally/protocol"
import { type JobRecord, keys } from "@sorreltally/store"
import {
  type MachineEntry,
  type MachineHandoff,
  type RepeatedHeartbeat,
  WorkerSession,
} from "../src/index.ts"

const at = (seconds: number) => (seconds * 1000) as MonotonicTime
const EPOCH = 7
const entry = { id: "i-1", block: "s/block/deadline.1", token: 3, spot: true } as unknown as MachineEntry
const type = { name: "g8", cores: 8, accelerators: 0, memGb: 32, cacheGb: 10 } as unknown as MachineType
const session = (fresh = true) =>
  new WorkerSession(
    "i-1" as MachineId,
    entry,
    type,
    EPOCH as ModRevision,
    { leaseS: 27, reportS: 3 },
    fresh,
    at(0),
  )
const heartbeat = (sequence: number, more: Partial<Record<keyof Heartbeat, unknown>> = {}): Heartbeat =>
  ({
    machineId: "i-1",
    address: "10.1.0.1:9000",
    machineType: "g8",
    zone: "a",
    spot: true,
    agentEpoch: 1,
    sequence,
    fencingToken: EPOCH,
    preemptionNoticeS: null,
    tasks: [],
    ...more,
  }) as unknown as Heartbeat
const place = (on: WorkerSession): Placement => {
  const request = {
    id: "run-000001",
    taskCount: 1,
    cores: 1,
    accelerators: 0,
    memGb: 1,
    image: "img",
    imageGb: 1,
  }
  const job = new JobState(
    "run-000001" as JobId,
    { spec: request, submittedAt: 0, cancelled: false } as unknown as JobRecord,
    keys.jobPage(1, 0),
    1 as ModRevision,
  )
  const placement = {
    job,
    index: 0,
    task: "run-000001/0" as TaskId,
    machine: on.id,
    agentEpoch: on.agentEpoch!,
    attempt: 9,
    durable: true,
    inherited: false,
    stop: null,
    placedAt: at(0),
    runningSince: null,
    unacknowledgedStarts: 0,
  } as unknown as Placement
  job.place(placement)
  on.hold(placement)
  return placement
}
const stop = (placement: Placement) => {
  placement.stop = { reason: "cancelled", gracePeriodS: 0, since: at(1) }
}
const durable = () => true

test("a session's lease runs from its beginning, heard of by way of an order or not", () => {
  const s = session()
  s.observe(heartbeat(1), "heartbeat", at(1))
  s.answering([], at(1))
  assert.equal(s.leaseOver(at(27)), false)
  // Guards against ran_twice: the worker started tenure 2 unheard, at 28 s at the latest.
  s.observe(heartbeat(2, { agentEpoch: 2 }), "direct", at(28))
  assert.equal(s.leaseOver(at(40)), false)
  assert.equal(s.leaseOver(at(57)), true)
})

test("an older body changes nothing", () => {
  const s = session()
  s.observe(heartbeat(5), "heartbeat", at(1))
  assert.equal(s.observe(heartbeat(4), "heartbeat", at(2)), null)
  assert.equal(s.observe(heartbeat(5), "direct", at(2)), null)
})

test("a task that should go is gone only when no start can bring it any more", () => {
  const s = session()
  s.observe(heartbeat(1), "heartbeat", at(1))
  const placement = place(s)
  const start = s.commands(at(1), durable)
  s.sending(start, at(1))
  stop(placement)
  // The start is under way: its absence proves nothing.
  assert.deepEqual(s.observe(heartbeat(2), "heartbeat", at(2)), [])
  // It got no answer: it may come minutes later, until a higher token was seen.
  s.sent(start, s.token, false)
  assert.deepEqual(s.observe(heartbeat(3), "heartbeat", at(9)), [])
  assert.equal(s.needsHigherToken(), true)
  s.update({ ...entry, token: 20 as FencingToken })
  assert.deepEqual(s.observe(heartbeat(4), "heartbeat", at(10)), [])
  const outcomes = s.observe(heartbeat(5, { fencingToken: 20 }), "heartbeat", at(11))
  assert.deepEqual(
    outcomes?.map((o) => o.kind),
    ["cleared"],
  )
})

test("a start in the answer to a report is settled by the next report, not by an order's answer", () => {
  const s = session()
  s.observe(heartbeat(1), "heartbeat", at(1))
  const placement = place(s)
  s.answering(s.commands(at(1), durable), at(1))
  stop(placement)
  assert.deepEqual(s.observe(heartbeat(2), "direct", at(1.5)), [])
  assert.deepEqual(
    s.observe(heartbeat(3), "heartbeat", at(2))?.map((o) => o.kind),
    ["cleared"],
  )
})

test("a result is forgotten only once it is durable", () => {
  const s = session()
  const tasks = [{ taskId: "run-000001/0", attempt: 9, phase: "exited", exitReason: "done" }]
  s.observe(heartbeat(1, { tasks }), "heartbeat", at(1))
  assert.deepEqual(
    s.commands(at(1), () => false),
    [],
  )
  assert.deepEqual(
    s.commands(at(1), durable).map((o) => o.kind),
    ["purge"],
  )
})

test("a running task that nothing durable stands for is stopped, never adopted", () => {
  const s = session()
  s.observe(
    heartbeat(1, { tasks: [{ taskId: "run-000001/0", attempt: 4, phase: "running" }] }),
    "heartbeat",
    at(1),
  )
  assert.deepEqual(s.commands(at(1), durable), [
    { kind: "stop", taskId: "run-000001/0", attempt: 4, gracePeriodS: 0 },
  ])
})

test("nothing from a tenure that has surely ended is believed", () => {
  const s = session()
  s.observe(heartbeat(1), "heartbeat", at(1))
  place(s)
  assert.equal(s.expireLease().length, 1)
  const late = heartbeat(9, { tasks: [{ taskId: "run-000001/0", attempt: 9, phase: "running" }] })
  assert.equal(s.observe(late, "heartbeat", at(40)), null)
})

// Guards against a task that runs twice: a worker that began anew counts its sessions from the start, and
// takes a command that was held up on its way to its former self.
test("a task whose direct start got no answer stays placed past the lease, until the machine is deleted", () => {
  const s = session()
  s.observe(heartbeat(1), "heartbeat", at(1))
  const lost = place(s)
  const commands = s.commands(at(2), durable)
  s.sending(commands, at(2))
  s.sent(commands, s.token, false)
  assert.deepEqual(s.expireLease(), [])
  assert.deepEqual([...s.placements.values()], [lost])
  assert.equal(s.clearAll("machine deleted").length, 1)
  const heard = session()
  heard.observe(heartbeat(1), "heartbeat", at(1))
  place(heard)
  heard.sending(commands, at(2))
  heard.sent(commands, heard.token, true)
  assert.equal(heard.expireLease().length, 1)
  // The answer got lost, and a report shows the task: its start is no longer under way.
  const shown = session()
  shown.observe(heartbeat(1), "heartbeat", at(1))
  place(shown)
  shown.sending(commands, at(2))
  shown.sent(commands, shown.token, false)
  const running = { taskId: "run-000001/0", attempt: 9, phase: "running" }
  shown.observe(heartbeat(2, { tasks: [running] }), "heartbeat", at(3))
  assert.equal(shown.expireLease().length, 1)
})

test("what comes from before a take-over gives a machine no work: only our token proves that it is no copy", () => {
  const s = session(false)
  s.observe(heartbeat(40, { fencingToken: 2 }), "heartbeat", at(1))
  s.observe(heartbeat(41, { fencingToken: 2 }), "heartbeat", at(2))
  assert.equal(s.usable(at(2)), false)
  s.observe(heartbeat(42), "heartbeat", at(3))
  assert.equal(s.usable(at(3)), true)
})

test("an inherited placement is never started anew, and cleared once its machine surely lacks it", () => {
  const s = session(false)
  s.observe(heartbeat(1, { fencingToken: 2 }), "heartbeat", at(1))
  const placement = { ...place(s), inherited: true }
  s.placements.set(placement.task, placement)
  assert.deepEqual(s.commands(at(1), durable), [])
  assert.deepEqual(s.observe(heartbeat(2, { fencingToken: 2 }), "heartbeat", at(2)), [])
  assert.deepEqual(
    s.observe(heartbeat(3), "heartbeat", at(3))?.map((o) => o.kind),
    ["cleared"],
  )
})

test("a machine that loses a lease we answered for gets no work until it shows a raised token", () => {
  const s = session()
  s.observe(heartbeat(1), "heartbeat", at(1))
  s.answering([], at(1))
  s.observe(heartbeat(2, { agentEpoch: 2 }), "heartbeat", at(2))
  assert.equal(s.usable(at(2)), false)
  assert.equal(s.needsHigherToken(), true)
  s.update({ ...entry, token: 20 as FencingToken })
  s.tokenRaised()
  s.observe(heartbeat(3, { agentEpoch: 2 }), "heartbeat", at(3))
  assert.equal(s.usable(at(3)), false)
  s.observe(heartbeat(4, { agentEpoch: 2, fencingToken: 20 }), "heartbeat", at(4))
  assert.equal(s.usable(at(4)), true)
})

test("a start that no report ever shows means that the machine hears nothing", () => {
  const s = session()
  s.observe(heartbeat(1), "heartbeat", at(1))
  place(s)
  for (const tick of [2, 3, 4]) {
    s.answering(s.commands(at(tick), durable), at(tick))
    s.observe(heartbeat(tick), "heartbeat", at(tick))
  }
  assert.equal(s.usable(at(5)), false)
})

test("a worker that began anew is believed by way of /inspect, its former tasks gone once it shows a raised token", () => {
  const s = session()
  s.observe(heartbeat(500, { agentEpoch: 3 }), "heartbeat", at(1))
  place(s)
  const before = s.counters()
  assert.equal(s.observe(heartbeat(1), "heartbeat", at(9)), null)
  assert.equal(s.restarted(heartbeat(2), before, at(9)), true)
  assert.equal(s.usable(at(9)), false)
  s.update({ ...entry, token: 20 as FencingToken })
  s.tokenRaised()
  assert.deepEqual(s.observe(heartbeat(3), "heartbeat", at(10)), [])
  const outcomes = s.observe(heartbeat(4, { fencingToken: 20 }), "heartbeat", at(11))
  assert.deepEqual(
    outcomes?.map((o) => o.kind),
    ["cleared"],
  )
})

test("what was started by a command of its own is forgotten only under a higher token, done or not", () => {
  for (const exitReason of ["stopped", "done"]) {
    const s = session()
    s.observe(heartbeat(1), "heartbeat", at(1))
    s.release(place(s))
    const start = [{ kind: "start", taskId: "run-000001/0" as TaskId, attempt: 9 as Attempt }] as const
    s.sending(start, at(1))
    s.sent(start, s.token, true)
    const tasks = [{ taskId: "run-000001/0", attempt: 9, phase: "exited", exitReason }]
    s.observe(heartbeat(2, { tasks }), "heartbeat", at(60))
    assert.deepEqual(s.commands(at(60), durable), [])
    s.update({ ...entry, token: 20 as FencingToken })
    s.observe(heartbeat(3, { tasks, fencingToken: 20 }), "heartbeat", at(61))
    assert.deepEqual(
      s.commands(at(61), durable).map((o) => o.kind),
      ["purge"],
    )
  }
})

test("what a former owner may have started is forgotten once the worker has shown our token", () => {
  const s = session()
  const tasks = [{ taskId: "run-000001/0", attempt: 4, phase: "exited", exitReason: "done" }]
  s.observe(heartbeat(1, { tasks, fencingToken: 5 }), "heartbeat", at(1))
  assert.deepEqual(s.commands(at(1), durable), [])
  s.observe(heartbeat(2, { tasks }), "heartbeat", at(2))
  assert.deepEqual(
    s.commands(at(2), durable).map((o) => o.kind),
    ["purge"],
  )
})

test("a worker that has much to keep until its token is raised has it raised", () => {
  const s = session()
  s.observe(heartbeat(1), "heartbeat", at(1))
  const taskIds = Array.from({ length: 25 }, (_, i) => `run-000001/${i}` as TaskId)
  const starts = taskIds.map((taskId) => ({ kind: "start" as const, taskId, attempt: 9 as Attempt }))
  s.sending(starts, at(1))
  s.sent(starts, s.token, true)
  const tasks = taskIds.map((taskId) => ({ taskId, attempt: 9, phase: "exited", exitReason: "done" }))
  s.observe(heartbeat(2, { tasks }), "heartbeat", at(30))
  s.commands(at(30), durable)
  assert.equal(s.needsHigherToken(), true)
  s.update({ ...entry, token: 20 as FencingToken })
  s.observe(heartbeat(3, { tasks }), "heartbeat", at(31))
  s.commands(at(31), durable)
  assert.equal(s.needsHigherToken(), false)
})

// Guards against a machine that was handed over and taken to show no task, because none was listed yet.
test("a repeated report is known by the body that it repeats, seen by this very session", () => {
  const repeat = (sequence: number, since: number) =>
    ({
      machineId: "i-1",
      agentEpoch: 1,
      sequence,
      fencingToken: EPOCH,
      since,
    }) as unknown as RepeatedHeartbeat
  const tasks = [{ taskId: "run-000001/0", attempt: 9, phase: "exited", exitReason: "done" }]
  const on = session()
  assert.equal(on.repeated(repeat(5, 4)), null)
  on.acceptHandoff(
    {
      address: "10.1.0.1:9000",
      agentEpoch: 1,
      sequence: 4,
      silentMs: 0,
      images: [],
    } as unknown as MachineHandoff,
    at(1),
  )
  assert.equal(on.repeated(repeat(5, 4)), null)
  on.observe(heartbeat(5, { tasks }), "heartbeat", at(2))
  assert.deepEqual(on.repeated(repeat(6, 5))?.tasks, tasks)
  assert.equal(on.repeated(repeat(6, 4)), null)
  on.observe(heartbeat(6), "direct", at(3))
  assert.equal(on.repeated(repeat(7, 5)), null)
})
