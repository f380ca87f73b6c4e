import assert from "node:assert/strict"
import { test } from "node:test"
import type { JobSpec, MachineType, ShardName } from "@sorreltally/protocol"
import type { MachineDemand } from "../src/demand.ts"
import type { JobView, TaskShape } from "../src/input.ts"
import { lend, servableDemands } from "../src/loans.ts"
import { STARVED_RANK } from "../src/starvation.ts"
import { job, jobId, machine as machineOf, machineType, noReserve } from "./builders.ts"

const smallMachineType = { ...machineType, cores: 8 } as MachineType
const machine = machineOf("i-000001", { type: smallMachineType, free: smallMachineType })
const shape = { cores: 4, accelerators: 0, memGb: 1, spotAllowed: true, image: "img" } as unknown as TaskShape
const HIGH_RANK = 2
const STARVED_AGE_S = 200

/** A job of the lending shard of which no task has started; `submitted` is a wall-clock time in ms. */
const ownJob = (submitted: number, ageS: number): JobView =>
  job(jobId(1), {
    spec: { ...shape, taskCount: 4 } as unknown as JobSpec,
    rank: HIGH_RANK,
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
const countLoans = (jobs: ReadonlyArray<JobView>, demandOfOther: MachineDemand): number =>
  lend({
    machines: [machine],
    jobs,
    demands: [demandOfOther],
    share: 1,
    recentlyLentSlots: new Map(),
    reserve: noReserve,
  }).length

test("a machine is lent for more urgent work, or for any work if the shard has none of its own", () => {
  assert.equal(countLoans([], demand(0, 5)), 1)
  assert.equal(countLoans([ownJob(5, 0)], demand(HIGH_RANK, 1)), 0)
  assert.equal(countLoans([ownJob(5, 0)], demand(STARVED_RANK, 9)), 1)
})

// Guards against a machine that moves between shards without ever being used, as each shard has starved jobs.
test("between two shards with starved jobs, the one with the oldest gets the machine and keeps it", () => {
  const starved = ownJob(5, STARVED_AGE_S)
  assert.equal(countLoans([starved], demand(STARVED_RANK, 4)), 1)
  assert.equal(countLoans([starved], demand(STARVED_RANK, 6)), 0)
  assert.equal(countLoans([starved], demand(STARVED_RANK, 5)), 0)
  assert.equal(countLoans([starved], demand(HIGH_RANK, 1)), 0)
})

test("only demands for which a machine would be lent are servable", () => {
  const starved = ownJob(5, STARVED_AGE_S)
  const busyMachines = [{ ...machine, busyTasks: 2 }]
  const [olderStarved, newerStarved, lowRank] = [
    demand(STARVED_RANK, 4),
    demand(STARVED_RANK, 6),
    demand(0, 9),
  ]
  assert.deepEqual(servableDemands([olderStarved, newerStarved], [starved], busyMachines), [olderStarved])
  assert.deepEqual(servableDemands([lowRank], [], busyMachines), [lowRank])
  assert.deepEqual(servableDemands([lowRank], [], []), [])
})
