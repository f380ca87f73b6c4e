import assert from "node:assert/strict"
import { test } from "node:test"
import type { MachineHandoff, RepeatedHeartbeat } from "../src/index.ts"
import {
  at,
  exited,
  FORMER_TOKEN,
  heartbeat,
  isDurable,
  isNotDurable,
  kinds,
  newSession,
  newUpSession,
  place,
  RAISED_TOKEN,
  raiseToken,
  reported,
  SHARD_EPOCH,
  sendDirect,
  startOf,
  stop,
  TASK,
} from "./builders.ts"

// --- leases and sessions ------------------------------------------------------

// Guards against ran_twice: the worker began agent epoch 2 unheard, at 28 s at the latest.
test("a session's lease runs from its beginning, also when a direct response is the first to show it", () => {
  const session = newUpSession()
  session.recordReply([], at(1))
  assert.equal(session.isLeaseExpired(at(27)), false)
  session.observe(heartbeat(2, { agentEpoch: 2 }), "direct", at(28))
  assert.equal(session.isLeaseExpired(at(40)), false)
  assert.equal(session.isLeaseExpired(at(57)), true)
})

test("a message that is no newer than the latest changes nothing", () => {
  const session = newSession()
  session.observe(heartbeat(5), "heartbeat", at(1))
  assert.equal(session.observe(heartbeat(4), "heartbeat", at(2)), null)
  assert.equal(session.observe(heartbeat(5), "direct", at(2)), null)
})

test("a message from an agent epoch that has surely ended is not believed", () => {
  const session = newUpSession()
  place(session)
  assert.equal(session.expireLease().length, 1)
  const late = heartbeat(9, { tasks: [reported()] })
  assert.equal(session.observe(late, "heartbeat", at(40)), null)
})

// --- when a task is surely off the machine ------------------------------------

test("a leaving task is cleared only when no direct start can bring it any more", () => {
  const session = newUpSession()
  const placement = place(session)
  const start = session.commands(at(1), isDurable)
  session.recordDirectCommands(start, at(1))
  stop(placement)
  // The start is in transit: its absence proves nothing.
  assert.deepEqual(session.observe(heartbeat(2), "heartbeat", at(2)), [])
  // It got no response: it may be executed minutes later, until a higher token was seen.
  session.recordDirectResult(start, session.token, false)
  assert.deepEqual(session.observe(heartbeat(3), "heartbeat", at(9)), [])
  assert.equal(session.needsHigherToken(), true)
  raiseToken(session)
  assert.deepEqual(session.observe(heartbeat(4), "heartbeat", at(10)), [])
  const outcomes = session.observe(heartbeat(5, { fencingToken: RAISED_TOKEN }), "heartbeat", at(11))
  assert.deepEqual(kinds(outcomes), ["cleared"])
})

test("a start in a reply is settled by the next heartbeat, not by a direct response", () => {
  const session = newUpSession()
  const placement = place(session)
  session.recordReply(session.commands(at(1), isDurable), at(1))
  stop(placement)
  assert.deepEqual(session.observe(heartbeat(2), "direct", at(1.5)), [])
  assert.deepEqual(kinds(session.observe(heartbeat(3), "heartbeat", at(2))), ["cleared"])
})

// Guards against a task that runs twice: a worker that restarted counts its sessions from the start, and
// executes a command that was sent before and held up.
test("a task whose direct start got no response stays placed past the lease, until the machine is deleted", () => {
  const session = newUpSession()
  const placement = place(session)
  sendDirect(session, session.commands(at(2), isDurable), false, at(2))
  assert.deepEqual(session.expireLease(), [])
  assert.deepEqual([...session.placements.values()], [placement])
  assert.equal(session.clearAll("machine deleted").length, 1)
})

test("a task whose direct start was answered is cleared with the lease", () => {
  const session = newUpSession()
  place(session)
  sendDirect(session, session.commands(at(2), isDurable), true, at(2))
  assert.equal(session.expireLease().length, 1)
})

test("a task whose direct start got no response, and that was reported since, is cleared with the lease", () => {
  const session = newUpSession()
  place(session)
  sendDirect(session, session.commands(at(2), isDurable), false, at(2))
  session.observe(heartbeat(2, { tasks: [reported()] }), "heartbeat", at(3))
  assert.equal(session.expireLease().length, 1)
})

test("an inherited placement is never started, and cleared once its machine surely lacks it", () => {
  const session = newSession(false)
  session.observe(heartbeat(1, { fencingToken: FORMER_TOKEN }), "heartbeat", at(1))
  const placement = { ...place(session), fromPreviousOwner: true }
  session.placements.set(placement.task, placement)
  assert.deepEqual(session.commands(at(1), isDurable), [])
  assert.deepEqual(session.observe(heartbeat(2, { fencingToken: FORMER_TOKEN }), "heartbeat", at(2)), [])
  assert.deepEqual(kinds(session.observe(heartbeat(3), "heartbeat", at(3))), ["cleared"])
})

test("a restarted worker is believed by an inspection, its former tasks cleared once it shows a raised token", () => {
  const session = newSession()
  session.observe(heartbeat(500, { agentEpoch: 3 }), "heartbeat", at(1))
  place(session)
  const before = session.counters()
  assert.equal(session.observe(heartbeat(1), "heartbeat", at(9)), null)
  assert.equal(session.acceptRestart(heartbeat(2), before, at(9)), true)
  assert.equal(session.isSchedulable(at(9)), false)
  raiseToken(session)
  assert.deepEqual(session.observe(heartbeat(3), "heartbeat", at(10)), [])
  const outcomes = session.observe(heartbeat(4, { fencingToken: RAISED_TOKEN }), "heartbeat", at(11))
  assert.deepEqual(kinds(outcomes), ["cleared"])
})

// --- whether a worker gets work -----------------------------------------------

test("messages from before a failover give a machine no work: only our token proves that they are no copies", () => {
  const session = newSession(false)
  session.observe(heartbeat(40, { fencingToken: FORMER_TOKEN }), "heartbeat", at(1))
  session.observe(heartbeat(41, { fencingToken: FORMER_TOKEN }), "heartbeat", at(2))
  assert.equal(session.isSchedulable(at(2)), false)
  session.observe(heartbeat(42), "heartbeat", at(3))
  assert.equal(session.isSchedulable(at(3)), true)
})

test("a worker that loses a lease that we renewed gets no work until it shows a raised token", () => {
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

test("a worker that never reports a task that it was to start is unreachable", () => {
  const session = newUpSession()
  place(session)
  for (const sequence of [2, 3, 4]) {
    session.recordReply(session.commands(at(sequence), isDurable), at(sequence))
    session.observe(heartbeat(sequence), "heartbeat", at(sequence))
  }
  assert.equal(session.isSchedulable(at(5)), false)
})

// --- stops and purges ---------------------------------------------------------

test("a running task without a durable placement is stopped, never adopted", () => {
  const session = newSession()
  session.observe(heartbeat(1, { tasks: [reported()] }), "heartbeat", at(1))
  assert.deepEqual(session.commands(at(1), isDurable), [
    { kind: "stop", taskId: TASK, attempt: 9, gracePeriodS: 0 },
  ])
})

test("a completed task is purged only once its result is durable", () => {
  const session = newSession()
  session.observe(heartbeat(1, { tasks: [exited("done")] }), "heartbeat", at(1))
  assert.deepEqual(session.commands(at(1), isNotDurable), [])
  assert.deepEqual(kinds(session.commands(at(1), isDurable)), ["purge"])
})

for (const exitReason of ["stopped", "done"])
  test(`a task that was started directly and exited as ${exitReason} is purged only under a higher token`, () => {
    const session = newUpSession()
    session.release(place(session))
    sendDirect(session, [startOf(TASK)], true, at(1))
    const tasks = [exited(exitReason)]
    session.observe(heartbeat(2, { tasks }), "heartbeat", at(60))
    assert.deepEqual(session.commands(at(60), isDurable), [])
    raiseToken(session)
    session.observe(heartbeat(3, { tasks, fencingToken: RAISED_TOKEN }), "heartbeat", at(61))
    assert.deepEqual(kinds(session.commands(at(61), isDurable)), ["purge"])
  })

test("a task that a former owner may have started is purged once the worker has shown our token", () => {
  const session = newSession()
  const tasks = [exited("done")]
  session.observe(heartbeat(1, { tasks, fencingToken: FORMER_TOKEN }), "heartbeat", at(1))
  assert.deepEqual(session.commands(at(1), isDurable), [])
  session.observe(heartbeat(2, { tasks }), "heartbeat", at(2))
  assert.deepEqual(kinds(session.commands(at(2), isDurable)), ["purge"])
})

test("a worker with many tasks that wait for a higher token to be purged needs one", () => {
  const session = newUpSession()
  const taskIds = Array.from({ length: 25 }, (_, index) => `run-000001/${index}` as typeof TASK)
  sendDirect(session, taskIds.map(startOf), true, at(1))
  const tasks = taskIds.map((taskId) => exited("done", { taskId }))
  session.observe(heartbeat(2, { tasks }), "heartbeat", at(30))
  session.commands(at(30), isDurable)
  assert.equal(session.needsHigherToken(), true)
  raiseToken(session)
  session.observe(heartbeat(3, { tasks }), "heartbeat", at(31))
  session.commands(at(31), isDurable)
  assert.equal(session.needsHigherToken(), false)
})

// --- repeated heartbeats ------------------------------------------------------

// Guards against a machine that was handed off and taken to have no task, because none was listed yet.
test("a repeat expands only to the tasks of the heartbeat that it repeats, seen by this very session", () => {
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
