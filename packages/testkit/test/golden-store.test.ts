/** The current version continues from a store that an earlier version wrote. */
import assert from "node:assert/strict"
import { readFileSync } from "node:fs"
import { before, describe, it } from "node:test"
import type { JobId } from "@sorreltally/protocol"
import { epochsOwnedTwice } from "../src/invariants/epoch-invariant.ts"
import { type DeploymentDump, resumeDeployment } from "../src/simulation/deployment-dump.ts"
import type { SimulatedDeployment } from "../src/simulation/simulated-deployment.ts"

const dump = JSON.parse(
  readFileSync("packages/testkit/test/golden/deployment.json", "utf8"),
) as DeploymentDump
const RUN_MS = 120_000
/** Time for the answers of a final poll of every job at every node. */
const FINAL_POLLS_MS = 5_000
const RESUME_SEED = 4_711

const lastReplies = new Map(dump.users.told)
const recordedFinalState = (job: string) => lastReplies.get(job)?.final?.state ?? null

/** Whether the tasks of a job fail on every machine; such jobs are not cancelled. */
const alwaysFails = (job: string) => dump.mistaken.includes(job)

interface PollAnswer {
  readonly job: JobId
  readonly status: number
  readonly state: string | null
}
const pollEveryNode = (deployment: SimulatedDeployment): ReadonlyArray<PollAnswer> => {
  const answers: Array<PollAnswer> = []
  for (const job of dump.jobs)
    for (const node of deployment.names)
      deployment.users.pollAt(job, node, (status, state) => answers.push({ job, status, state }))
  return answers
}

describe("a store of an earlier version", () => {
  let deployment: SimulatedDeployment
  let answers: ReadonlyArray<PollAnswer> = []
  before(() => {
    deployment = resumeDeployment(dump, RESUME_SEED)
    deployment.simulation.runUntil(dump.atMs + RUN_MS)
    answers = pollEveryNode(deployment)
    deployment.simulation.runUntil(dump.atMs + RUN_MS + FINAL_POLLS_MS)
  })

  it("holds jobs of all states, compacted and archived pages, machines and quotas", () => {
    const states = new Set([...lastReplies.values()].map(({ state }) => state))
    assert.deepEqual(states, new Set(["queued", "running", "done", "withdrawn"]))
    const { entries } = dump.state
    const pages = entries.filter(({ path }) => path.startsWith("s/job/")).map(({ v }) => v as never)
    assert.ok(pages.some(({ archived }) => archived > 0))
    assert.ok(pages.some(({ done }: { done: Array<string> }) => done.length > 0))
    assert.ok(pages.some(({ jobs }: { jobs: Array<object> }) => jobs.some((job) => "withdrawn" in job)))
    for (const prefix of [
      "final/",
      "place/",
      "s/block/",
      "s/ends/",
      "s/quota/",
      "s/live/",
      "s/part/",
      "s/catalog",
    ])
      assert.ok(
        entries.some(({ path }) => path.startsWith(prefix)),
        prefix,
      )
  })
  it("is continued without a broken invariant or an error in the log", () => {
    assert.deepEqual(deployment.invariants.violations, [])
    assert.deepEqual(epochsOwnedTwice(deployment.logged), [])
    assert.deepEqual(
      deployment.logged.filter((line) => line.includes(" error ")),
      [],
    )
  })
  it("loses no job: every node answers 200 for each", () => {
    assert.equal(answers.length, dump.jobs.length * deployment.names.length)
    for (const { job, status } of answers) assert.equal(status, 200, job)
  })
  it("keeps the final state of every job that had ended", () => {
    for (const { job, state } of answers) {
      const final = recordedFinalState(job)
      if (final !== null) assert.equal(state, final, job)
    }
  })
  it("runs the other jobs to their end, and keeps cancelled ones cancelled", () => {
    for (const { job, state } of answers) {
      if (recordedFinalState(job) !== null || alwaysFails(job)) continue
      const isCancelled = dump.users.askedToCancel.includes(job)
      assert.equal(state, isCancelled ? "withdrawn" : "done", `${job}: ${deployment.storedEntriesOf(job)}`)
    }
  })
  it("keeps retrying a job whose tasks fail on every machine", () => {
    assert.ok(dump.mistaken.length > 0)
    for (const { job, state } of answers)
      if (alwaysFails(job)) assert.ok(state === "queued" || state === "running", `${job}: ${state}`)
  })
  it("starts no task of a job that had ended", () => {
    for (const job of dump.jobs)
      if (recordedFinalState(job) !== null) assert.equal(deployment.invariants.startsOfJob(job), 0, job)
  })
  it("starts no task again whose finish was stored", () => {
    assert.ok(deployment.invariants.starts > 0)
    const finished = new Map(dump.users.finishedTasks)
    for (const job of dump.jobs) {
      if (recordedFinalState(job) !== null || alwaysFails(job)) continue
      const unfinishedTasks =
        deployment.invariants.submitted.get(job)!.pieces - (finished.get(job)?.length ?? 0)
      // Only a lost task may start again, and this run has no faults that lose one.
      assert.ok(
        deployment.invariants.startsOfJob(job) <= unfinishedTasks,
        `${job}: ${deployment.invariants.startsOfJob(job)} starts of ${unfinishedTasks}`,
      )
    }
  })
})
