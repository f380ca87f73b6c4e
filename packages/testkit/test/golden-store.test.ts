/** The present version goes on from a store that an earlier one wrote. */
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
const PLAYED_MS = 120_000
/** A last question of every job at every node, and the time for its answers. */
const QUESTIONS_MS = 5_000
const SEED = 4_711

const told = new Map(dump.users.told)
const finalAtFirst = (job: string) => told.get(job)?.final?.state ?? null

/** Its tasks fail on every machine, and nobody cancels it. */
const isMistaken = (job: string) => dump.mistaken.includes(job)

interface Answered {
  readonly job: JobId
  readonly status: number
  readonly state: string | null
}
const askEveryNode = (deployment: SimulatedDeployment): ReadonlyArray<Answered> => {
  const answers: Array<Answered> = []
  for (const job of dump.jobs)
    for (const node of deployment.names)
      deployment.users.pollAt(job, node, (status, state) => answers.push({ job, status, state }))
  return answers
}

describe("a store of an earlier version", () => {
  let deployment: SimulatedDeployment
  let answers: ReadonlyArray<Answered> = []
  before(() => {
    deployment = resumeDeployment(dump, SEED)
    deployment.simulation.runUntil(dump.atMs + PLAYED_MS)
    answers = askEveryNode(deployment)
    deployment.simulation.runUntil(dump.atMs + PLAYED_MS + QUESTIONS_MS)
  })

  it("holds jobs of all states, folded and archived pages, machines and quotas", () => {
    const states = new Set([...told.values()].map(({ state }) => state))
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
  it("is taken up without a broken rule or an error in the log", () => {
    assert.deepEqual(deployment.invariants.violations, [])
    assert.deepEqual(epochsOwnedTwice(deployment.logged), [])
    assert.deepEqual(
      deployment.logged.filter((line) => line.includes(" error ")),
      [],
    )
  })
  it("loses no job: each is known to every node", () => {
    assert.equal(answers.length, dump.jobs.length * deployment.names.length)
    for (const { job, status } of answers) assert.equal(status, 200, job)
  })
  it("keeps the final state of every job that was over", () => {
    for (const { job, state } of answers) {
      const final = finalAtFirst(job)
      if (final !== null) assert.equal(state, final, job)
    }
  })
  it("has its other jobs run to their end, and cancelled ones stay cancelled", () => {
    for (const { job, state } of answers) {
      if (finalAtFirst(job) !== null || isMistaken(job)) continue
      const cancelled = dump.users.askedToCancel.includes(job)
      assert.equal(state, cancelled ? "withdrawn" : "done", `${job}: ${deployment.stored(job)}`)
    }
  })
  it("goes on trying a job whose tasks fail on every machine", () => {
    assert.ok(dump.mistaken.length > 0)
    for (const { job, state } of answers)
      if (isMistaken(job)) assert.ok(state === "queued" || state === "running", `${job}: ${state}`)
  })
  it("has no task of a job run anew that was over", () => {
    for (const job of dump.jobs)
      if (finalAtFirst(job) !== null) assert.equal(deployment.invariants.startsOfJob(job), 0, job)
  })
  it("has no finished task run anew whose finish was stored", () => {
    assert.ok(deployment.invariants.starts > 0)
    const finished = new Map(dump.users.finishedTasks)
    for (const job of dump.jobs) {
      if (finalAtFirst(job) !== null || isMistaken(job)) continue
      const left = deployment.invariants.submitted.get(job)!.pieces - (finished.get(job)?.length ?? 0)
      // A task that a machine loses may start again: the day is calm, so none is.
      assert.ok(
        deployment.invariants.startsOfJob(job) <= left,
        `${job}: ${deployment.invariants.startsOfJob(job)} starts of ${left}`,
      )
    }
  })
})
