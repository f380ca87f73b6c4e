import assert from "node:assert/strict"
import { describe, it, test } from "node:test"
import { type Command, makeHeartbeatRequest } from "@sorreltally/protocol"
import type { MachineHandoff, RepeatedHeartbeat } from "../src/index.ts"
import {
  ATTEMPT,
  at,
  exited,
  FORMER_TOKEN,
  heartbeat,
  isDurable,
  isNotDurable,
  kindsOf,
  newSession,
  newUpSession,
  place,
  RAISED_TOKEN,
  raiseToken,
  reported,
  requestStop,
  SHARD_EPOCH,
  sendReply,
  TASK,
} from "./builders.ts"

// --- leases and sessions ------------------------------------------------------

// Guards against a task that runs twice: the owner learns of agent epoch 2, which has begun by 28 s, only
// from a direct response, and must not count its lease from the last reply, at 1 s.
test("a session's lease starts with its first message, even if that is a direct response", () => {
  const session = newUpSession()
  session.recordReply([], at(1))
  assert.equal(session.isLeaseExpired(at(27)), false)
  session.observe(heartbeat(2, { agentEpoch: 2 }), "direct", at(28))
  assert.equal(session.isLeaseExpired(at(40)), false)
  assert.equal(session.isLeaseExpired(at(57)), true)
})

test("a message that is no newer than the latest one is ignored", () => {
  const session = newSession()
  session.observe(heartbeat(5), "heartbeat", at(1))
  assert.equal(session.observe(heartbeat(4), "heartbeat", at(2)), null)
  assert.equal(session.observe(heartbeat(5), "direct", at(2)), null)
})

test("a message from an agent epoch that has ended is ignored", () => {
  const session = newUpSession()
  place(session)
  assert.equal(session.expireLease().length, 1)
  const late = heartbeat(9, { tasks: [reported()] })
  assert.equal(session.observe(late, "heartbeat", at(40)), null)
})

// --- when a task is proven off the machine ------------------------------------

test("a stopped task is cleared only by a heartbeat that was sent after the reply with its start", () => {
  const session = newUpSession()
  const placement = place(session)
  sendReply(session, at(1))
  requestStop(placement)
  // The reply may still be in transit when the worker answers a command.
  assert.deepEqual(session.observe(heartbeat(2), "direct", at(2)), [])
  assert.deepEqual(kindsOf(session.observe(heartbeat(3), "heartbeat", at(3))), ["cleared"])
})

test("a start in a reply is settled by the next heartbeat, not by a direct response", () => {
  const session = newUpSession()
  const placement = place(session)
  session.recordReply(session.selectCommands(at(1), isDurable), at(1))
  requestStop(placement)
  assert.deepEqual(session.observe(heartbeat(2), "direct", at(1.5)), [])
  assert.deepEqual(kindsOf(session.observe(heartbeat(3), "heartbeat", at(2))), ["cleared"])
})

test("all tasks are cleared at lease expiry: the worker has dropped every reply with a start by then", () => {
  const session = newUpSession()
  place(session)
  sendReply(session, at(2))
  assert.equal(session.isLeaseExpired(at(29)), false)
  assert.equal(session.isLeaseExpired(at(31)), true)
  assert.equal(session.expireLease().length, 1)
  assert.equal(session.placements.size, 0)
})

test("an inherited placement is never started, and cleared once its task is proven absent", () => {
  const session = newSession(false)
  session.observe(heartbeat(1, { fencingToken: FORMER_TOKEN }), "heartbeat", at(1))
  const placement = { ...place(session), fromPreviousOwner: true }
  session.placements.set(placement.task, placement)
  assert.deepEqual(session.selectCommands(at(1), isDurable), [])
  assert.deepEqual(session.observe(heartbeat(2, { fencingToken: FORMER_TOKEN }), "heartbeat", at(2)), [])
  assert.deepEqual(kindsOf(session.observe(heartbeat(3), "heartbeat", at(3))), ["cleared"])
})

test("an inspection shows a restart; former tasks are cleared once the worker shows a raised token", () => {
  const session = newSession()
  session.observe(heartbeat(500, { agentEpoch: 3 }), "heartbeat", at(1))
  place(session)
  const before = session.counters()
  assert.equal(session.observe(heartbeat(1), "heartbeat", at(9)), null)
  assert.deepEqual(session.observeResponse(heartbeat(2), before, at(9)), [])
  assert.equal(session.restartSign, "lower counters")
  assert.equal(session.isSchedulable(at(9)), false)
  raiseToken(session)
  assert.deepEqual(session.observe(heartbeat(3), "heartbeat", at(10)), [])
  const outcomes = session.observe(heartbeat(4, { fencingToken: RAISED_TOKEN }), "heartbeat", at(11))
  assert.deepEqual(kindsOf(outcomes), ["cleared"])
})

// --- whether a worker is schedulable ------------------------------------------

// A message under a former owner's token may be a delayed duplicate.
test("a machine is not schedulable after a failover until a heartbeat shows the new owner's token", () => {
  const session = newSession(false)
  session.observe(heartbeat(40, { fencingToken: FORMER_TOKEN }), "heartbeat", at(1))
  session.observe(heartbeat(41, { fencingToken: FORMER_TOKEN }), "heartbeat", at(2))
  assert.equal(session.isSchedulable(at(2)), false)
  session.observe(heartbeat(42), "heartbeat", at(3))
  assert.equal(session.isSchedulable(at(3)), true)
})

test("a worker that lost a recently renewed lease is not schedulable until it shows a raised token", () => {
  const session = newUpSession()
  session.recordReply([], at(1))
  session.observe(heartbeat(2, { agentEpoch: 2 }), "heartbeat", at(2))
  assert.equal(session.isSchedulable(at(2)), false)
  assert.equal(session.needsHigherToken(), true)
  raiseToken(session)
  session.observe(heartbeat(3, { agentEpoch: 2 }), "heartbeat", at(3))
  assert.equal(session.isSchedulable(at(3)), false)
  session.observe(heartbeat(4, { agentEpoch: 2, fencingToken: RAISED_TOKEN }), "heartbeat", at(4))
  assert.equal(session.isSchedulable(at(4)), true)
})

test("a worker that repeatedly doesn't report a started task is not schedulable", () => {
  const session = newUpSession()
  place(session)
  for (const sequence of [2, 3, 4]) {
    session.recordReply(session.selectCommands(at(sequence), isDurable), at(sequence))
    session.observe(heartbeat(sequence), "heartbeat", at(sequence))
  }
  assert.equal(session.isSchedulable(at(5)), false)
})

// --- stops and purges ---------------------------------------------------------

test("a running task without a durable placement is stopped, never adopted", () => {
  const session = newSession()
  session.observe(heartbeat(1, { tasks: [reported()] }), "heartbeat", at(1))
  assert.deepEqual(session.selectCommands(at(1), isDurable), [
    { kind: "stop", taskId: TASK, attempt: 9, gracePeriodS: 0 },
  ])
})

test("a completed task is purged only once its result is durable", () => {
  const session = newSession()
  session.observe(heartbeat(1, { tasks: [exited("done")] }), "heartbeat", at(1))
  assert.deepEqual(session.selectCommands(at(1), isNotDurable), [])
  assert.deepEqual(kindsOf(session.selectCommands(at(1), isDurable)), ["purge"])
})

test("a task that a former owner may have started is purged once the worker shows the current token", () => {
  const session = newSession()
  const tasks = [exited("done")]
  session.observe(heartbeat(1, { tasks, fencingToken: FORMER_TOKEN }), "heartbeat", at(1))
  assert.deepEqual(session.selectCommands(at(1), isDurable), [])
  session.observe(heartbeat(2, { tasks }), "heartbeat", at(2))
  assert.deepEqual(kindsOf(session.selectCommands(at(2), isDurable)), ["purge"])
})

// --- commands to the worker's own address ------------------------------------------

// Guards against a late copy of a start that was carried out: a worker that is back after a restart has
// forgotten its token, and executes the copy before any contact, although its task runs elsewhere or is
// cancelled.
describe("commands to the worker's own address", () => {
  const isStartOfJobTask = ({ kind, taskId }: Command) => kind === "start" && taskId.startsWith("run-000001/")

  it("request a heartbeat instead of a start, which the reply to that heartbeat carries", () => {
    const session = newUpSession()
    place(session)
    const direct = session.selectDirectCommands(at(1), isDurable)
    assert.deepEqual(direct, [makeHeartbeatRequest(ATTEMPT)])
    const refused = exited("unknown", { taskId: direct[0]!.taskId })
    session.observe(heartbeat(2, { tasks: [refused] }), "heartbeat", at(1.1))
    assert.deepEqual(kindsOf(session.selectCommands(at(1.1), isDurable)), ["purge", "start"])
  })

  it("contain no start in a later session, after a restart, under a raised token or when unreachable", () => {
    const laterSession = newUpSession()
    laterSession.observe(heartbeat(2, { agentEpoch: 2 }), "heartbeat", at(40))
    const restarted = newUpSession()
    restarted.observeResponse(heartbeat(0), restarted.counters(), at(2))
    const raised = newUpSession()
    raiseToken(raised)
    raised.observe(heartbeat(2, { fencingToken: RAISED_TOKEN }), "heartbeat", at(2))
    const unreachable = newUpSession()
    unreachable.recordReply([], at(1))
    unreachable.observe(heartbeat(2, { agentEpoch: 2 }), "heartbeat", at(2))
    for (const session of [laterSession, restarted, raised, unreachable]) {
      place(session)
      assert.ok(session.selectCommands(at(41), isDurable).some(isStartOfJobTask))
      assert.ok(!session.selectDirectCommands(at(41), isDurable).some(isStartOfJobTask))
    }
  })

  it("are sent unchanged if none of them is a start", () => {
    const session = newUpSession()
    session.observe(heartbeat(2, { tasks: [reported()] }), "heartbeat", at(2))
    const commands = session.selectCommands(at(2), isDurable)
    assert.deepEqual(kindsOf(commands), ["stop"])
    assert.deepEqual(session.selectDirectCommands(at(2), isDurable), commands)
  })
})

// --- repeated heartbeats ------------------------------------------------------

// Guards against a new owner that takes a handed-off machine to have no tasks, because it hasn't received a
// list of them yet.
test("a repeat expands only if the heartbeat that it repeats is the session's latest message", () => {
  const repeat = (sequence: number, repeatedSequence: number) =>
    ({
      machineId: "i-1",
      agentEpoch: 1,
      sequence,
      fencingToken: SHARD_EPOCH,
      repeatedSequence,
    }) as RepeatedHeartbeat
  const handoff = { address: "10.1.0.1:9000", agentEpoch: 1, sequence: 4, silentMs: 0, images: [] }
  const tasks = [exited("done")]
  const session = newSession()
  assert.equal(session.expandRepeat(repeat(5, 4)), null)
  session.acceptHandoff(handoff as unknown as MachineHandoff, at(1))
  assert.equal(session.expandRepeat(repeat(5, 4)), null)
  session.observe(heartbeat(5, { tasks }), "heartbeat", at(2))
  assert.deepEqual(session.expandRepeat(repeat(6, 5))?.tasks, tasks)
  assert.equal(session.expandRepeat(repeat(6, 4)), null)
  session.observe(heartbeat(6), "direct", at(3))
  assert.equal(session.expandRepeat(repeat(7, 5)), null)
})
