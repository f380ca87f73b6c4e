import assert from "node:assert/strict"
import { describe, it } from "node:test"
import {
  at,
  exited,
  FORMER_TOKEN,
  heartbeat,
  isDurable,
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
} from "./builders.ts"

/** A session whose task was started, is reported as running, and should be stopped. */
const newCancelledSession = () => {
  const session = newUpSession()
  const placement = place(session)
  sendReply(session, at(1))
  session.observe(heartbeat(5, { tasks: [reported()] }), "heartbeat", at(2))
  requestStop(placement)
  return session
}

// Guards against a cancelled task that starts again (review/4): a worker that restarts within its first few
// heartbeats soon passes its former counters, and a copy of the start has a token that it accepts.
describe("a worker that restarted and has passed its former counters", () => {
  it("keeps its placements until it has shown a token that was raised since", () => {
    const session = newCancelledSession()
    assert.deepEqual(session.observe(heartbeat(7), "heartbeat", at(5)), [])
    assert.equal(session.restartSign, "task missing")
    assert.deepEqual(session.observe(heartbeat(8), "heartbeat", at(6)), [])
    assert.equal(session.isSchedulable(at(6)), false)
    assert.equal(session.needsHigherToken(), true)
    raiseToken(session)
    assert.deepEqual(session.observe(heartbeat(9), "heartbeat", at(7)), [])
    const outcomes = session.observe(heartbeat(10, { fencingToken: RAISED_TOKEN }), "heartbeat", at(8))
    assert.deepEqual(kindsOf(outcomes), ["cleared"])
    assert.equal(session.restartSign, null)
    assert.equal(session.isSchedulable(at(8)), true)
  })

  it("is recognized by a token lower than one that it has shown", () => {
    const session = newCancelledSession()
    assert.equal(session.observe(heartbeat(6, { fencingToken: 0 }), "heartbeat", at(3)), null)
    assert.deepEqual(session.observe(heartbeat(7, { fencingToken: 0 }), "direct", at(3)), [])
    assert.equal(session.restartSign, "lower token")
  })

  it("is recognized by an attempt that is reported in an earlier phase", () => {
    const session = newUpSession()
    place(session)
    session.observe(heartbeat(2, { tasks: [exited("stopped")] }), "heartbeat", at(2))
    session.observe(heartbeat(3, { tasks: [reported()] }), "heartbeat", at(3))
    assert.equal(session.restartSign, "earlier phase")
  })

  it("is recognized in the response to commands, by counters lower than before the request", () => {
    const session = newCancelledSession()
    const countersBefore = session.counters()
    assert.deepEqual(session.observeResponse(heartbeat(1), countersBefore, at(3)), [])
    assert.equal(session.restartSign, "lower counters")
    assert.equal(session.needsHigherToken(), true)
  })

  it("may purge nothing that it reports until it has shown a raised token", () => {
    const session = newCancelledSession()
    session.observe(heartbeat(7), "heartbeat", at(5))
    const tasks = [exited("stopped", { attempt: 8 as never })]
    session.observe(heartbeat(8, { tasks }), "heartbeat", at(6))
    assert.deepEqual(session.selectCommands(at(6), isDurable), [])
    raiseToken(session)
    session.observe(heartbeat(9, { tasks, fencingToken: RAISED_TOKEN }), "heartbeat", at(7))
    assert.deepEqual(kindsOf(session.selectCommands(at(7), isDurable)), ["purge"])
  })
})

describe("a worker that didn't restart", () => {
  it("is not taken for restarted when a purged task leaves its heartbeats", () => {
    const session = newUpSession()
    session.removePlacement(place(session))
    session.observe(heartbeat(2, { tasks: [exited("done")] }), "heartbeat", at(2))
    session.recordReply(session.selectCommands(at(2), isDurable), at(2))
    session.observe(heartbeat(3), "heartbeat", at(3))
    assert.equal(session.restartSign, null)
  })

  it("is not taken for restarted when a newer attempt takes the place of an exited one", () => {
    const session = newUpSession()
    session.observe(heartbeat(2, { tasks: [exited("stopped")] }), "heartbeat", at(2))
    const newer = reported({ attempt: 10 as never, phase: "fetching" })
    session.observe(heartbeat(3, { tasks: [newer] }), "heartbeat", at(3))
    assert.equal(session.restartSign, null)
  })

  it("is not taken for restarted when another machine answers at its former address", () => {
    const session = newCancelledSession()
    const response = heartbeat(1, { machineId: "i-2", fencingToken: 0 })
    assert.equal(session.observeResponse(response, session.counters(), at(3)), null)
    assert.equal(session.restartSign, null)
    assert.equal(session.lastMessageAt, at(2))
  })

  it("is not taken for restarted when it loses its tasks with its lease", () => {
    const session = newCancelledSession()
    session.observe(heartbeat(6, { agentEpoch: 2 }), "heartbeat", at(40))
    assert.equal(session.restartSign, null)
  })

  it("is not taken for restarted when a former owner's purge removes a task", () => {
    const session = newSession(false)
    const tasks = [exited("done")]
    session.observe(heartbeat(1, { tasks, fencingToken: FORMER_TOKEN }), "heartbeat", at(1))
    session.observe(heartbeat(2, { fencingToken: SHARD_EPOCH }), "heartbeat", at(2))
    assert.equal(session.restartSign, null)
  })
})
