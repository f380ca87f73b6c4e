import assert from "node:assert/strict"
import { test } from "node:test"
import type { JobId, JobSpec } from "@sorreltally/protocol"
import type { JobView, ShardLoad } from "../src/input.ts"
import { nextTarget, schedulingTiers } from "../src/order.ts"
import { job as jobOf } from "./builders.ts"

const job = (id: string, queued: number, timeLeftS: number | null, more: Partial<JobView> = {}): JobView =>
  jobOf(id as JobId, { spec: { cores: 4 } as JobSpec, queued, timeLeftS, ...more })
const idle = (cores: number) => ({ cores, endingCoresBySecond: [] })
const order = (jobs: ReadonlyArray<JobView>, load: ShardLoad) =>
  schedulingTiers(jobs, load)
    .flat()
    .map(({ id }) => id as string)

test("while all can be in time, what is due first goes first", () => {
  // 40 cores: 10 tasks of 40 core-seconds take 10 s, 20 of them 20 s.
  assert.deepEqual(order([job("b", 10, 30), job("a", 10, 20)], idle(40)), ["a", "b"])
})

test("where not all can be in time, the largest is deferred for the others", () => {
  const jobs = [job("large", 30, 25), job("small", 5, 30), job("next", 10, 32)]
  // 30, 5 and 10 s of work on 40 cores, and each runs 10 s.
  assert.deepEqual(order(jobs, idle(40)), ["small", "next", "large"])
  // 18 and 5 s of work: the last task of b would start after 23 s, 2 s too late.
  assert.deepEqual(order([job("a", 18, 30), job("b", 5, 31)], idle(40)), ["b", "a"])
})

test("a job counts the more the fewer there are of its class", () => {
  const of = (jobClass: string) => ({ spec: { cores: 4, jobClass } as JobSpec })
  const jobs = [job("rare", 12, 30, of("rare")), ...["a", "b", "c"].map((id) => job(id, 8, 32, of("common")))]
  // 12 and 3 times 8 s of work on 40 cores: two of the common jobs are deferred, though smaller.
  assert.deepEqual(order(jobs, idle(40)), ["rare", "c", "a", "b"])
  assert.deepEqual(order(jobs.slice(0, 2), idle(40)), ["rare", "a"])
  assert.deepEqual(order([...jobs, job("d", 5, 36, of("other"))], idle(40)), ["rare", "c", "d", "a", "b"])
})

test("infeasible work goes last, and no higher priority or guarantee is deferred", () => {
  const jobs = [
    job("late", 1, 4),
    job("low", 5, 30, { rank: 0 }),
    job("high", 100, 20, { rank: 2 }),
    job("owed", 100, 20, { withinGuarantee: true }),
    job("free", 1, 10),
  ]
  assert.deepEqual(order(jobs, idle(40)), ["high", "owed", "free", "late", "low"])
})

test("after a missed target the next one counts", () => {
  assert.equal(nextTarget([70, 180], 30, 0), 70)
  assert.equal(nextTarget([70, 180], 70, 0), 180)
  assert.equal(nextTarget([70, 180], 175, 10), 180)
  assert.equal(nextTarget([], 10, 0), null)
})
