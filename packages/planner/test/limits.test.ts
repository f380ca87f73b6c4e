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
  snapshot as snapshotOf,
  spec,
  type,
  zone,
} from "./builders.ts"

const job = (number: number, team: string, more: Partial<JobView> = {}): JobView =>
  jobOf(jobId(number), {
    spec: { ...spec, team: team as TeamName },
    timeLeftS: 100,
    executionS: 20,
    ...more,
  })
const spot: Offer = {
  type,
  zone: zone("a"),
  spot: true,
  price: 1,
  hasPendingRequest: false,
  machinesInZone: 0,
}
/** What each team may still use of its limit; of that, its quota allocation lets it start nothing yet. */
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
    offers: [spot],
  })
const rented = (of: Snapshot): number => plan(of).rentals.reduce((sum, { count }) => sum + count, 0)

test("all jobs of a team together rent no more than its limit leaves them", () => {
  const jobs = [1, 2, 3, 4, 5, 6].map((n) => job(n, "red"))
  // 64 cores are four machines, whichever of the six jobs they are rented for.
  assert.equal(rented(snapshot(jobs, [], { red: 64 })), 4)
  assert.equal(rented(snapshot([...jobs, job(7, "blue")], [], { red: 64, blue: 32 })), 6)
  assert.equal(rented(snapshot(jobs, [], { red: 0 })), 0)
})

test("booting machines count towards the team's limit, whichever job they are rented for", () => {
  const jobs = [1, 2, 3].map((n) => job(n, "red"))
  const booting = ["i-1", "i-2", "i-3"].map((id) =>
    machine(id, { state: "booting", assignedJob: jobs[0]!.id }),
  )
  assert.equal(rented(snapshot(jobs, booting, { red: 64 })), 1)
  assert.equal(rented(snapshot(jobs, [...booting, machine("i-4", { state: "booting" })], { red: 64 })), 0)
})

test("capacity on ready machines is used before more are rented within a limit", () => {
  const jobs = [1, 2, 3].map((n) => job(n, "red"))
  // The shard's quota allocation lets nothing start yet; once it does, these two take half of what the limit allows.
  assert.equal(rented(snapshot(jobs, [machine("i-1"), machine("i-2")], { red: 64 })), 2)
  // What starts at once counts as well.
  const placed = plan(snapshot(jobs, [machine("i-1"), machine("i-2")], { red: 64 }, { red: 64 }))
  assert.equal(placed.placements.length, 8)
  assert.equal(
    placed.rentals.reduce((sum, { count }) => sum + count, 0),
    2,
  )
})

test("machines of other shards are asked for within what the limit leaves all jobs of a team together", () => {
  const { unplaced } = plan(snapshot([job(1, "red"), job(2, "red")], [], { red: 200 }, { red: 48 }))
  // 50 tasks in all, though each job lacks 40. Capacity is made for each as far as the allocation lets it start.
  assert.deepEqual(
    unplaced.map(({ tasks, startableTasks: startable }) => [tasks, startable]),
    [
      [40, 12],
      [10, 12],
    ],
  )
})

test("machines on which the limits let nothing run are idle, and assigned to no job", () => {
  const jobs = [job(1, "red"), job(2, "red")]
  const machines = ["i-1", "i-2", "i-3"].map((id) => machine(id, { assignedJob: jobs[1]!.id }))
  const decided = plan(snapshot(jobs, machines, { red: 32 }))
  assert.deepEqual([...decided.idleMachines], ["i-3"])
  assert.deepEqual([...decided.assignedJobs], [["i-3", null]])
  assert.deepEqual([...plan(snapshot(jobs, machines, { red: 64 })).idleMachines], [])
  // Nor is a machine of use to a job that mayn't run there.
  const elsewhere = job(1, "red", { spec: { ...jobs[0]!.spec, zone: zone("b") } })
  assert.deepEqual([...plan(snapshot([elsewhere], [machine("i-1")], { red: 64 })).idleMachines], ["i-1"])
})

test("what the market can't give one job stays for the others of its team", () => {
  const elsewhere = job(1, "red", { spec: { ...job(1, "red").spec, zone: zone("b") } })
  assert.equal(rented(snapshot([elsewhere, job(2, "red"), job(3, "red")], [], { red: 64 })), 4)
})

// Guards against machine after machine rented for a task that waits for its shard's quota allocation beside an empty one.
test("a task that waits for its shard's quota allocation rents no machine beside the one that has capacity for it", () => {
  const one = job(1, "red", { queued: 1, timeLeftS: null })
  assert.equal(rented(snapshot([one], [machine("i-1")], { red: 64 })), 0)
  assert.equal(rented(snapshot([one], [], { red: 64 })), 1)
})

// Guards against heartbeats longer than a body may be: they are refused, and their machines lose their leases.
test("a machine takes only as many tiny tasks as its heartbeat can hold", () => {
  const tiny = job(1, "red", {
    queued: 5_000,
    spec: { ...job(1, "red").spec, cores: 0.01, memGb: 0.001, taskCount: 5_000 },
  })
  const quota = { red: 200 }
  const placed = plan(snapshot([tiny], [machine("i-1"), machine("i-2", { busyTasks: 290 })], quota, quota))
  const on = (id: string) => placed.placements.filter((p) => p.machine === id).length
  assert.equal(on("i-1"), MAX_TASKS_ON_MACHINE)
  assert.equal(on("i-2"), MAX_TASKS_ON_MACHINE - 290)
})
