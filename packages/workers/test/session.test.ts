import assert from "node:assert/strict"
import { test } from "node:test"
import { JobState, type Placement } from "@sorreltally/jobs"
import type { JobRecord, MachineRecord } from "@sorreltally/state"
import type { JobId, MachineId, MachineType, Moment, Report, Stamp, TaskId } from "@sorreltally/wire"
import { WorkerSession } from "../src/session.ts"

const at = (seconds: number) => (seconds * 1000) as Moment
const EPOCH = 7
const record = {
  part: "deadline",
  build: "g8",
  site: "a",
  loaners: true,
  rented: 0,
} as unknown as MachineRecord
const session = () =>
  new WorkerSession(
    "i-1" as MachineId,
    record,
    3 as Stamp,
    { name: "g8", cores: 8 } as unknown as MachineType,
    EPOCH as Stamp,
    { leaseS: 27, reportS: 3 },
    at(0),
  )
const report = (tick: number, more: Record<string, unknown> = {}): Report =>
  ({
    host: "i-1",
    address: "10.1.0.1:9000",
    build: "g8",
    site: "a",
    loaners: true,
    tenure: 1,
    tick,
    baton: EPOCH,
    warning_s: null,
    pieces: [],
    ...more,
  }) as unknown as Report
const place = (on: WorkerSession): Placement => {
  const request = { id: "run-000001", pieces: 1, cores: 1, accelerators: 0, mem_gb: 1, bundle: "img" }
  const job = new JobState(
    "run-000001" as JobId,
    { request, submitted: 0, chunk: 8 } as unknown as JobRecord,
    1 as Stamp,
  )
  const placement = {
    job,
    index: 0,
    task: "run-000001/0" as TaskId,
    machine: on.id,
    tenure: on.tenure!,
    attempt: 9,
    durable: true,
    stop: null,
    placedAt: at(0),
    runningSince: null,
  } as unknown as Placement
  job.place(placement)
  on.placements.set(placement.task, placement)
  return placement
}
const stop = (placement: Placement) => {
  placement.stop = { why: "withdrawn", leewayS: 0, since: at(1) }
}
const durable = () => true

test("a session's lease runs from its beginning, heard of by way of an order or not", () => {
  const s = session()
  s.observe(report(1), "report", at(1))
  s.answering([], at(1))
  assert.equal(s.leaseOver(at(27)), false)
  // Guards against ran_twice: the worker started tenure 2 unheard, at 28 s at the latest.
  s.observe(report(2, { tenure: 2 }), "direct", at(28))
  assert.equal(s.leaseOver(at(40)), false)
  assert.equal(s.leaseOver(at(57)), true)
})

test("an older body changes nothing", () => {
  const s = session()
  s.observe(report(5), "report", at(1))
  assert.equal(s.observe(report(4), "report", at(2)), null)
  assert.equal(s.observe(report(5), "direct", at(2)), null)
})

test("a task that should go is gone only when no start can bring it any more", () => {
  const s = session()
  s.observe(report(1), "report", at(1))
  const placement = place(s)
  const start = s.orders(at(1), durable)
  s.sending(start)
  stop(placement)
  // The start is under way: its absence proves nothing.
  assert.deepEqual(s.observe(report(2), "report", at(2)), [])
  // It got no answer: it may come minutes later, until a higher token was seen.
  s.sent(start, s.token, false)
  assert.deepEqual(s.observe(report(3), "report", at(9)), [])
  assert.equal(s.needsFence(), true)
  s.recordStamp = 20 as Stamp
  assert.deepEqual(s.observe(report(4), "report", at(10)), [])
  const outcomes = s.observe(report(5, { baton: 20 }), "report", at(11))
  assert.deepEqual(
    outcomes?.map((o) => o.kind),
    ["cleared"],
  )
})

test("a start in the answer to a report is settled by the next report, not by an order's answer", () => {
  const s = session()
  s.observe(report(1), "report", at(1))
  const placement = place(s)
  s.answering(s.orders(at(1), durable), at(1))
  stop(placement)
  assert.deepEqual(s.observe(report(2), "direct", at(1.5)), [])
  assert.deepEqual(
    s.observe(report(3), "report", at(2))?.map((o) => o.kind),
    ["cleared"],
  )
})

test("a result is forgotten only once it is durable", () => {
  const s = session()
  const pieces = [{ piece: "run-000001/0", try: 9, status: "exited", cause: "done" }]
  s.observe(report(1, { pieces }), "report", at(1))
  assert.deepEqual(
    s.orders(at(1), () => false),
    [],
  )
  assert.deepEqual(
    s.orders(at(1), durable).map((o) => o.verb),
    ["forget"],
  )
})

test("a running task that nothing durable stands for is stopped, never adopted", () => {
  const s = session()
  s.observe(report(1, { pieces: [{ piece: "run-000001/0", try: 4, status: "running" }] }), "report", at(1))
  assert.deepEqual(s.orders(at(1), durable), [{ verb: "stop", piece: "run-000001/0", try: 4, leeway_s: 0 }])
})

test("nothing from a tenure that has surely ended is believed", () => {
  const s = session()
  s.observe(report(1), "report", at(1))
  place(s)
  assert.equal(s.endTenure().length, 1)
  const late = report(9, { pieces: [{ piece: "run-000001/0", try: 9, status: "running" }] })
  assert.equal(s.outdated(late), true)
  assert.equal(s.observe(late, "report", at(40)), null)
})
