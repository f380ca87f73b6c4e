import assert from "node:assert/strict"
import { test } from "node:test"
import { MAX_TASKS_ON_MACHINE, type TeamName } from "@sorreltally/protocol"
import type { JobView, MachineView, Offer, Snapshot } from "../src/input.ts"
import { plan } from "../src/plan.ts"
import {
  headroom,
  jobId,
  job as jobOf,
  machine,
  machineType,
  snapshot as snapshotOf,
  spec,
  zone,
} from "./builders.ts"

const job = (number: number, team: string, overrides: Partial<JobView> = {}): JobView =>
  jobOf(jobId(number), {
    spec: { ...spec, team: team as TeamName },
    timeLeftS: 100,
    executionS: 20,
    ...overrides,
  })
const spotOffer: Offer = {
  type: machineType,
  zone: zone("a"),
  spot: true,
  price: 1,
  hasPendingRequest: false,
  machinesInZone: 0,
}
/** A snapshot with the given headroom of team limits; without `allocations`, no task may start yet. */
const snapshot = (
  jobs: ReadonlyArray<JobView>,
  machines: ReadonlyArray<MachineView>,
  limits: Readonly<Record<string, number>>,
  allocations: Readonly<Record<string, number>> = {},
): Snapshot =>
  snapshotOf(jobs, machines, {
    allocationHeadroom: headroom(
      Object.fromEntries(Object.keys(limits).map((team) => [team, allocations[team] ?? 0])),
    ),
    limitHeadroom: headroom(limits),
    offers: [spotOffer],
  })
const countRentedMachines = (snapshotToPlan: Snapshot): number =>
  plan(snapshotToPlan).rentals.reduce((sum, { count }) => sum + count, 0)

test("all jobs of a team together rent no more machines than the headroom of its limit allows", () => {
  const jobs = [1, 2, 3, 4, 5, 6].map((n) => job(n, "red"))
  // 64 cores are four machines, regardless of which of the six jobs they are rented for.
  assert.equal(countRentedMachines(snapshot(jobs, [], { red: 64 })), 4)
  assert.equal(countRentedMachines(snapshot([...jobs, job(7, "blue")], [], { red: 64, blue: 32 })), 6)
  assert.equal(countRentedMachines(snapshot(jobs, [], { red: 0 })), 0)
})

test("booting machines count towards the team's limit, regardless of the job they are rented for", () => {
  const jobs = [1, 2, 3].map((n) => job(n, "red"))
  const booting = ["i-1", "i-2", "i-3"].map((id) =>
    machine(id, { state: "booting", assignedJob: jobs[0]!.id }),
  )
  assert.equal(countRentedMachines(snapshot(jobs, booting, { red: 64 })), 1)
  assert.equal(
    countRentedMachines(snapshot(jobs, [...booting, machine("i-4", { state: "booting" })], { red: 64 })),
    0,
  )
})

test("capacity on ready machines is used before machines are rented within a limit", () => {
  const jobs = [1, 2, 3].map((n) => job(n, "red"))
  // No quota is allocated to the shard yet; once it is, these two machines take half of the limit's headroom.
  assert.equal(countRentedMachines(snapshot(jobs, [machine("i-1"), machine("i-2")], { red: 64 })), 2)
  // Tasks that start at once count as well.
  const placed = plan(snapshot(jobs, [machine("i-1"), machine("i-2")], { red: 64 }, { red: 64 }))
  assert.equal(placed.placements.length, 8)
  assert.equal(
    placed.rentals.reduce((sum, { count }) => sum + count, 0),
    2,
  )
})

test("jobs of a team together request machines of other shards only within the headroom of its limit", () => {
  const { unplaced } = plan(snapshot([job(1, "red"), job(2, "red")], [], { red: 200 }, { red: 48 }))
  // 50 tasks in total, though each job has 40. Each job may get capacity for the 12 that it could start.
  assert.deepEqual(
    unplaced.map(({ tasks, startableTasks }) => [tasks, startableTasks]),
    [
      [40, 12],
      [10, 12],
    ],
  )
})

test("machines on which the limits let no task run are idle and released to the pool", () => {
  const jobs = [job(1, "red"), job(2, "red")]
  const machines = ["i-1", "i-2", "i-3"].map((id) => machine(id, { assignedJob: jobs[1]!.id }))
  const decisions = plan(snapshot(jobs, machines, { red: 32 }))
  assert.deepEqual([...decisions.idleMachines], ["i-3"])
  assert.deepEqual([...decisions.assignedJobs], [["i-3", null]])
  assert.deepEqual([...plan(snapshot(jobs, machines, { red: 64 })).idleMachines], [])
  // A machine on which no job is eligible to run is idle as well.
  const jobInOtherZone = job(1, "red", { spec: { ...jobs[0]!.spec, zone: zone("b") } })
  assert.deepEqual([...plan(snapshot([jobInOtherZone], [machine("i-1")], { red: 64 })).idleMachines], ["i-1"])
})

test("headroom for which one job can't rent machines is available to the other jobs of its team", () => {
  const jobInOtherZone = job(1, "red", { spec: { ...job(1, "red").spec, zone: zone("b") } })
  assert.equal(
    countRentedMachines(snapshot([jobInOtherZone, job(2, "red"), job(3, "red")], [], { red: 64 })),
    4,
  )
})

// Guards against renting one machine after another for a task that waits for its shard's quota allocation
// although an empty machine has capacity for it.
test("no machine is rented for a task that waits for a quota allocation and fits a ready machine", () => {
  const singleTaskJob = job(1, "red", { queued: 1, timeLeftS: null })
  assert.equal(countRentedMachines(snapshot([singleTaskJob], [machine("i-1")], { red: 64 })), 0)
  assert.equal(countRentedMachines(snapshot([singleTaskJob], [], { red: 64 })), 1)
})

// Guards against heartbeats that exceed the maximum body size: they are rejected, and the machines lose
// their agent leases.
test("the number of tasks on a machine is limited, however small they are", () => {
  const jobOfTinyTasks = job(1, "red", {
    queued: 5_000,
    spec: { ...job(1, "red").spec, cores: 0.01, memGb: 0.001, taskCount: 5_000 },
  })
  const quota = { red: 200 }
  const placed = plan(
    snapshot([jobOfTinyTasks], [machine("i-1"), machine("i-2", { busyTasks: 290 })], quota, quota),
  )
  const countTasksOn = (id: string) => placed.placements.filter((p) => p.machine === id).length
  assert.equal(countTasksOn("i-1"), MAX_TASKS_ON_MACHINE)
  assert.equal(countTasksOn("i-2"), MAX_TASKS_ON_MACHINE - 290)
})
