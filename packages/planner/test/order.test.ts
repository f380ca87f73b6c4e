import assert from "node:assert/strict"
import { test } from "node:test"
import type { JobId, JobSpec } from "@sorreltally/protocol"
import type { JobView, ShardLoad } from "../src/input.ts"
import { nextTarget, schedulingTiers } from "../src/order.ts"
import { job as jobOf } from "./builders.ts"

const job = (
  id: string,
  queued: number,
  timeLeftS: number | null,
  overrides: Partial<JobView> = {},
): JobView => jobOf(id as JobId, { spec: { cores: 4 } as JobSpec, queued, timeLeftS, ...overrides })
const idleLoad = (cores: number) => ({ cores, endingCoresBySecond: [] })
const scheduledOrder = (jobs: ReadonlyArray<JobView>, load: ShardLoad) =>
  schedulingTiers(jobs, load)
    .flat()
    .map(({ id }) => id as string)

test("if all jobs can be on time, the earliest due goes first", () => {
  // 40 cores: 10 tasks of 40 core-seconds take 10 s, 20 of them 20 s.
  assert.deepEqual(scheduledOrder([job("b", 10, 30), job("a", 10, 20)], idleLoad(40)), ["a", "b"])
})

test("if not all jobs can be on time, the largest is deferred in favour of the others", () => {
  const jobs = [job("large", 30, 25), job("small", 5, 30), job("next", 10, 32)]
  // 30, 5 and 10 s of work on 40 cores; each task runs for 10 s.
  assert.deepEqual(scheduledOrder(jobs, idleLoad(40)), ["small", "next", "large"])
  // 18 and 5 s of work: the last task of b would start after 23 s, 2 s too late.
  assert.deepEqual(scheduledOrder([job("a", 18, 30), job("b", 5, 31)], idleLoad(40)), ["b", "a"])
})

test("a job weighs more the fewer jobs its class has", () => {
  const ofClass = (jobClass: string) => ({ spec: { cores: 4, jobClass } as JobSpec })
  const jobs = [
    job("rare", 12, 30, ofClass("rare")),
    ...["a", "b", "c"].map((id) => job(id, 8, 32, ofClass("common"))),
  ]
  // 12 and 3 times 8 s of work on 40 cores: two jobs of the common class are deferred, though smaller.
  assert.deepEqual(scheduledOrder(jobs, idleLoad(40)), ["rare", "c", "a", "b"])
  assert.deepEqual(scheduledOrder(jobs.slice(0, 2), idleLoad(40)), ["rare", "a"])
  assert.deepEqual(scheduledOrder([...jobs, job("d", 5, 36, ofClass("other"))], idleLoad(40)), [
    "rare",
    "c",
    "d",
    "a",
    "b",
  ])
})

test("infeasible jobs go last; jobs of higher rank or within a guarantee aren't deferred", () => {
  const jobs = [
    job("late", 1, 4),
    job("low", 5, 30, { rank: 0 }),
    job("high", 100, 20, { rank: 2 }),
    job("owed", 100, 20, { withinGuarantee: true }),
    job("free", 1, 10),
  ]
  assert.deepEqual(scheduledOrder(jobs, idleLoad(40)), ["high", "owed", "free", "late", "low"])
})

test("after a missed target the next one applies", () => {
  assert.equal(nextTarget([70, 180], 30, 0), 70)
  assert.equal(nextTarget([70, 180], 70, 0), 180)
  assert.equal(nextTarget([70, 180], 175, 10), 180)
  assert.equal(nextTarget([], 10, 0), null)
})
