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

/** Creates the progress of a node whose own jobs have these counts; `sent` collects its messages. */
const makeProgress = (counts: Array<TaskCounts>) => {
  const sent: Array<PeerMessage> = []
  const peers = { send: (message: PeerMessage) => sent.push(message) } as unknown as PeerChannel
  return { progress: new JobProgress(peers, () => counts), sent }
}
/** Runs publication for a number of intervals. */
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

describe("JobProgress", () => {
  it("publishes changed counts, and doesn't repeat unchanged ones", async () => {
    const { progress, sent } = makeProgress([{ jobId: OWN_JOB, done: 1, running: 2 }])
    await publishFor(progress, 3)
    assert.deepEqual(sent, [
      { kind: "jobProgress", counts: [{ jobId: OWN_JOB, done: 1, running: 2 }], ends: [] },
    ])
    assert.deepEqual(progress.counts(OWN_JOB), { done: 1, running: 2 })
  })

  it("publishes the final status of a job of this node once", async () => {
    const { progress, sent } = makeProgress([])
    progress.recordEnds([{ id: OWN_JOB, status: "done" }])
    await publishFor(progress, 2)
    assert.deepEqual(sent, [{ kind: "jobProgress", counts: [], ends: [{ id: OWN_JOB, status: "done" }] }])
    assert.equal(progress.finalStatus(OWN_JOB), "done")
  })

  it("returns counts received from another node until the job is dropped", () => {
    const { progress } = makeProgress([])
    assert.deepEqual(progress.counts(OTHER_JOB), { done: 0, running: 0 })
    progress.receive({
      kind: "jobProgress",
      counts: [{ jobId: OTHER_JOB, done: 4, running: 1 }],
      ends: [{ id: OWN_JOB, status: "cancelled" }],
    })
    assert.deepEqual(progress.counts(OTHER_JOB), { done: 4, running: 1 })
    assert.equal(progress.finalStatus(OWN_JOB), "cancelled")
    progress.dropCounts(OTHER_JOB)
    assert.deepEqual(progress.counts(OTHER_JOB), { done: 0, running: 0 })
  })
})
