import assert from "node:assert/strict"
import { test } from "node:test"
import type { JobId, JobSpec, MachineId, MachineType, ShardName, ZoneName } from "@sorreltally/protocol"
import type { MachineDemand } from "../src/demand.ts"
import type { JobView, MachineView, TaskShape } from "../src/input.ts"
import { lend, servableDemands } from "../src/loans.ts"
import { STARVED_RANK } from "../src/starvation.ts"

const type = { name: "m", cores: 8, accelerators: 0, memGb: 64, imagePullGbPerS: 1 } as unknown as MachineType
const machine: MachineView = {
  id: "i-000001" as MachineId,
  type,
  zone: "a" as ZoneName,
  spot: true,
  free: type,
  busyTasks: 0,
  images: new Set(),
  reserved: false,
  state: "ready",
  assignedJob: null,
}
const shape = { cores: 4, accelerators: 0, memGb: 1, spotAllowed: true, image: "img" } as unknown as TaskShape
const HIGH = 2
const STARVED_AGE_S = 200

/** A job of ours of which nothing began, submitted at that time of day. */
const ours = (submitted: number, ageS: number): JobView => ({
  id: "run-000001" as JobId,
  spec: { ...shape, taskCount: 4 } as unknown as JobSpec,
  rank: HIGH,
  queued: 4,
  running: 0,
  zones: new Map(),
  timeLeftS: null,
  ageS,
  submitted,
  executionS: 10,
  startWithinS: null,
  unbegun: true,
  withinGuarantee: true,
  mayStart: true,
  avoids: new Set(),
})
const need = (rank: number, since: number): MachineDemand => ({
  shard: "part-1" as ShardName,
  shape,
  rank,
  tasks: 1,
  pressing: 0,
  since,
})
const lent = (jobs: ReadonlyArray<JobView>, of: MachineDemand): number =>
  lend({
    machines: [machine],
    jobs,
    demands: [of],
    share: 1,
    lentLately: new Map(),
    reserve: { rank: 0, cores: 0, images: new Set() },
  }).length

test("a machine is lent to more urgent work, and to any where there is none of ours", () => {
  assert.equal(lent([], need(0, 5)), 1)
  assert.equal(lent([ours(5, 0)], need(HIGH, 1)), 0)
  assert.equal(lent([ours(5, 0)], need(STARVED_RANK, 9)), 1)
})

// Guards against a machine that goes from part to part and is never used, as each part has starved jobs.
test("of two parts with starved jobs the one with the oldest gets the machine, and keeps it", () => {
  const starved = ours(5, STARVED_AGE_S)
  assert.equal(lent([starved], need(STARVED_RANK, 4)), 1)
  assert.equal(lent([starved], need(STARVED_RANK, 6)), 0)
  assert.equal(lent([starved], need(STARVED_RANK, 5)), 0)
  assert.equal(lent([starved], need(HIGH, 1)), 0)
})

test("a machine is emptied only for work that it would be lent to", () => {
  const starved = ours(5, STARVED_AGE_S)
  const busy = [{ ...machine, busyTasks: 2 }]
  const [older, younger, other] = [need(STARVED_RANK, 4), need(STARVED_RANK, 6), need(0, 9)]
  assert.deepEqual(servableDemands([older, younger], [starved], busy), [older])
  assert.deepEqual(servableDemands([other], [], busy), [other])
  assert.deepEqual(servableDemands([other], [], []), [])
})
