import assert from "node:assert/strict"
import { describe, it } from "node:test"
import { type Attempt, decodeHeartbeat, isNewerAttempt, type ModRevision, makeAttempt } from "../src/index.ts"
import { wireHeartbeatWith } from "./builders.ts"

/** Shard epochs around the powers of two at which number formats end, each older than the next one. */
const EPOCHS = [1, 31, 32, 33, 34, 52].flatMap((exponent) =>
  [-1, 0, 1].map((distance) => (2 ** exponent + distance) as ModRevision),
)
const COUNTS = [1, 2, 2 ** 20 - 1, 2 ** 20, 2 ** 20 + 1]
/** Revisions that an owner's placements take at least, as each write takes one. */
const revisionsFor = (count: number) => Math.floor(count / 2 ** 20) + 1

const heartbeatWith = (attempt: number) =>
  wireHeartbeatWith({ piece: "run-000001/0", try: attempt, status: "running" })

// Guards against jobs that never end (review/7): from revision 2^33 on, attempts were no exact integers, and
// all heartbeats that listed one were answered with 400.
describe("attempt numbers", () => {
  it("are accepted in heartbeats and come back unchanged, whatever the shard's epoch", () => {
    for (const epoch of EPOCHS)
      for (const count of COUNTS) {
        const attempt = makeAttempt(epoch, count)
        const returned = JSON.parse(JSON.stringify(heartbeatWith(attempt)))
        const decoded = decodeHeartbeat(returned)
        assert.ok(decoded._tag === "Success", `epoch ${epoch}, count ${count}: ${attempt}`)
        assert.equal(decoded.success.tasks[0]!.attempt, attempt)
      }
  })

  it("increase with each placement of an owner and across owners, also where they continue at 0", () => {
    for (const epoch of EPOCHS)
      for (const count of COUNTS) {
        const attempt = makeAttempt(epoch, count)
        assert.ok(isNewerAttempt(makeAttempt(epoch, count + 1), attempt), `epoch ${epoch}, count ${count}`)
        assert.ok(!isNewerAttempt(attempt, makeAttempt(epoch, count + 1)))
        const nextEpoch = (epoch + revisionsFor(count)) as ModRevision
        assert.ok(isNewerAttempt(makeAttempt(nextEpoch, 1), attempt), `epoch ${epoch}, count ${count}`)
      }
    assert.ok(!isNewerAttempt(makeAttempt(EPOCHS[0]!, 1), makeAttempt(EPOCHS[0]!, 1)))
  })

  it("of versions that exceeded the exact integers are older than those of later owners", () => {
    const epoch = 10_000_000_000
    const former = (epoch * 2 ** 20 + 4) as Attempt
    assert.ok(isNewerAttempt(makeAttempt((epoch + 1) as ModRevision, 1), former))
  })

  it("are those of earlier versions for epochs below 2^33", () => {
    assert.equal(makeAttempt((2 ** 33 - 1) as ModRevision, 7), (2 ** 33 - 1) * 2 ** 20 + 7)
    assert.equal(makeAttempt(2 as ModRevision, 1), 2_097_153)
  })
})
