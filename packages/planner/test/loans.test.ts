import assert from "node:assert/strict"
import { test } from "node:test"
import type { JobSpec, MachineType, ShardName } from "@sorreltally/protocol"
import type { MachineDemand } from "../src/demand.ts"
import type { JobView, TaskShape } from "../src/input.ts"
import { lend, servableDemands } from "../src/loans.ts"
import { STARVED_RANK } from "../src/starvation.ts"
import { job, jobId, machine as machineOf, noReserve, type } from "./builders.ts"

const small = { ...type, cores: 8 } as MachineType
const machine = machineOf("i-000001", { type: small, free: small })
const shape = { cores: 4, accelerators: 0, memGb: 1, spotAllowed: true, image: "img" } as unknown as TaskShape
const HIGH = 2
const STARVED_AGE_S = 200

/** A job of ours of which nothing began, submitted at that time of day. */
const ownJob = (submitted: number, ageS: number): JobView =>
  job(jobId(1), {
    spec: { ...shape, taskCount: 4 } as unknown as JobSpec,
    rank: HIGH,
    queued: 4,
    ageS,
    submitted,
    withinGuarantee: true,
  })
const demand = (rank: number, since: number): MachineDemand => ({
  shard: "part-1" as ShardName,
  shape,
  rank,
  tasks: 1,
  urgentTasks: 0,
  since,
})
const loans = (jobs: ReadonlyArray<JobView>, of: MachineDemand): number =>
  lend({
    machines: [machine],
    jobs,
    demands: [of],
    share: 1,
    recentlyLentSlots: new Map(),
    reserve: noReserve,
  }).length

test("a machine is lent to more urgent work, and to any where there is none of ours", () => {
  assert.equal(loans([], demand(0, 5)), 1)
  assert.equal(loans([ownJob(5, 0)], demand(HIGH, 1)), 0)
  assert.equal(loans([ownJob(5, 0)], demand(STARVED_RANK, 9)), 1)
})

// Guards against a machine that goes from shard to shard and is never used, as each shard has starved jobs.
test("of two shards with starved jobs the one with the oldest gets the machine, and keeps it", () => {
  const starved = ownJob(5, STARVED_AGE_S)
  assert.equal(loans([starved], demand(STARVED_RANK, 4)), 1)
  assert.equal(loans([starved], demand(STARVED_RANK, 6)), 0)
  assert.equal(loans([starved], demand(STARVED_RANK, 5)), 0)
  assert.equal(loans([starved], demand(HIGH, 1)), 0)
})

test("a machine is drained only for work that it would be lent to", () => {
  const starved = ownJob(5, STARVED_AGE_S)
  const busy = [{ ...machine, busyTasks: 2 }]
  const [older, younger, other] = [demand(STARVED_RANK, 4), demand(STARVED_RANK, 6), demand(0, 9)]
  assert.deepEqual(servableDemands([older, younger], [starved], busy), [older])
  assert.deepEqual(servableDemands([other], [], busy), [other])
  assert.deepEqual(servableDemands([other], [], []), [])
})
