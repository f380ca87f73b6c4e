import assert from "node:assert/strict"
import { describe, it } from "node:test"
import type { PeerChannel, PeerMessage, TaskCounts } from "@sorreltally/peers"
import type { JobId } from "@sorreltally/protocol"
import { Effect } from "effect"
import { TestClock } from "effect/testing"
import { JobProgress } from "../src/job-progress.ts"

const OWN_JOB = "run-000001" as JobId
const OTHER_JOB = "run-000002" as JobId
const PUBLISH_INTERVAL_MS = 2_000

/** A node's progress, the counts of its own jobs, and the messages that it has sent. */
const progressWith = (counts: Array<TaskCounts>) => {
  const sent: Array<PeerMessage> = []
  const peers = { send: (message: PeerMessage) => sent.push(message) } as unknown as PeerChannel
  return { progress: new JobProgress(peers, () => counts), sent }
}
/** Publishes for that many intervals. */
const publishFor = (progress: JobProgress, intervals: number) =>
  Effect.runPromise(
    Effect.provide(
      Effect.gen(function* () {
        yield* Effect.forkChild(progress.publish)
        for (let i = 0; i < intervals; i++) yield* TestClock.adjust(PUBLISH_INTERVAL_MS)
      }),
      TestClock.layer(),
    ),
  )

describe("the progress of jobs", () => {
  it("is published when it is new, and not again while it stays as it is", async () => {
    const { progress, sent } = progressWith([{ jobId: OWN_JOB, done: 1, running: 2 }])
    await publishFor(progress, 3)
    assert.deepEqual(sent, [
      { kind: "jobProgress", counts: [{ jobId: OWN_JOB, done: 1, running: 2 }], ends: [] },
    ])
    assert.deepEqual(progress.counts(OWN_JOB), { done: 1, running: 2 })
  })

  it("is published once with the ends of this node's jobs", async () => {
    const { progress, sent } = progressWith([])
    progress.ended([{ id: OWN_JOB, status: "done" }])
    await publishFor(progress, 2)
    assert.deepEqual(sent, [{ kind: "jobProgress", counts: [], ends: [{ id: OWN_JOB, status: "done" }] }])
    assert.equal(progress.finalStatus(OWN_JOB), "done")
  })

  it("of another node's jobs is shown as it was received, until the job is off the record", () => {
    const { progress } = progressWith([])
    assert.deepEqual(progress.counts(OTHER_JOB), { done: 0, running: 0 })
    progress.received({
      kind: "jobProgress",
      counts: [{ jobId: OTHER_JOB, done: 4, running: 1 }],
      ends: [{ id: OWN_JOB, status: "cancelled" }],
    })
    assert.deepEqual(progress.counts(OTHER_JOB), { done: 4, running: 1 })
    assert.equal(progress.finalStatus(OWN_JOB), "cancelled")
    progress.forget(OTHER_JOB)
    assert.deepEqual(progress.counts(OTHER_JOB), { done: 0, running: 0 })
  })
})
