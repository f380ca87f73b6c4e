import assert from "node:assert/strict"
import { test } from "node:test"
import {
  type JobId,
  type JobSpec,
  MAX_TASKS_ON_MACHINE,
  type MachineId,
  type MachineType,
  type TeamName,
  type ZoneName,
} from "@sorreltally/protocol"
import type { JobView, MachineView, Offer, QuotaHeadroom, Snapshot } from "../src/input.ts"
import { plan } from "../src/plan.ts"

const type = {
  name: "m",
  cores: 16,
  accelerators: 0,
  memGb: 64,
  imagePullGbPerS: 1,
  bootS: 40,
  onDemandPrice: 4,
  spotPrice: 1,
} as unknown as MachineType
const machine = (id: string, more: Partial<MachineView> = {}): MachineView => ({
  id: id as MachineId,
  type,
  zone: "a" as ZoneName,
  spot: true,
  free: type,
  busyTasks: 0,
  images: new Set(),
  reserved: false,
  state: "ready",
  assignedJob: null,
  ...more,
})
const job = (number: number, team: string, more: Partial<JobView> = {}): JobView => ({
  id: `run-${String(number).padStart(6, "0")}` as JobId,
  spec: {
    cores: 4,
    accelerators: 0,
    memGb: 1,
    taskCount: 40,
    team,
    jobClass: "bulk",
    spotAllowed: true,
    imageGb: 1,
    image: "img",
  } as unknown as JobSpec,
  rank: 1,
  queued: 40,
  running: 0,
  zones: new Map(),
  timeLeftS: 100,
  ageS: 0,
  submitted: 0,
  executionS: 20,
  startWithinS: null,
  unbegun: true,
  withinGuarantee: false,
  mayStart: true,
  avoids: new Set(),
  ...more,
})
const spot: Offer = { type, zone: "a" as ZoneName, spot: true, price: 1, asked: false, ours: 0 }
const room = (cores: number): QuotaHeadroom => ({ cores, accelerators: 0 })
/** What each team may still use of its limit; of that, its share lets it start nothing yet. */
const snapshot = (
  jobs: ReadonlyArray<JobView>,
  machines: ReadonlyArray<MachineView>,
  limits: Readonly<Record<string, number>>,
  shares: Readonly<Record<string, number>> = {},
): Snapshot => ({
  jobs,
  machines,
  reserve: { rank: 0, cores: 0, images: new Set() },
  otherShardsWait: false,
  types: [type],
  load: () => ({ cores: 0, ending: [] }),
  teams: new Map(Object.keys(limits).map((team) => [team as TeamName, room(shares[team] ?? 0)])),
  limits: new Map(Object.entries(limits).map(([team, cores]) => [team as TeamName, room(cores)])),
  market: [spot],
  rentalSize: 50,
  deploymentS: 40,
  maxOnDemandCostRatio: 6,
})
const rented = (of: Snapshot): number => plan(of).rentals.reduce((sum, { count }) => sum + count, 0)

test("all jobs of a team together rent no more than its limit leaves them", () => {
  const jobs = [1, 2, 3, 4, 5, 6].map((n) => job(n, "red"))
  // 64 cores are four machines, whichever of the six jobs they are rented for.
  assert.equal(rented(snapshot(jobs, [], { red: 64 })), 4)
  assert.equal(rented(snapshot([...jobs, job(7, "blue")], [], { red: 64, blue: 32 })), 6)
  assert.equal(rented(snapshot(jobs, [], { red: 0 })), 0)
})

test("machines that are coming count towards the team's limit, whichever job they are rented for", () => {
  const jobs = [1, 2, 3].map((n) => job(n, "red"))
  const coming = ["i-1", "i-2", "i-3"].map((id) =>
    machine(id, { state: "booting", assignedJob: jobs[0]!.id }),
  )
  assert.equal(rented(snapshot(jobs, coming, { red: 64 })), 1)
  assert.equal(rented(snapshot(jobs, [...coming, machine("i-4", { state: "booting" })], { red: 64 })), 0)
})

test("room on machines that are up is used before more are rented within a limit", () => {
  const jobs = [1, 2, 3].map((n) => job(n, "red"))
  // The part's share lets nothing start yet; once it does, these two take half of what the limit allows.
  assert.equal(rented(snapshot(jobs, [machine("i-1"), machine("i-2")], { red: 64 })), 2)
  // What starts at once counts as well.
  const placed = plan(snapshot(jobs, [machine("i-1"), machine("i-2")], { red: 64 }, { red: 64 }))
  assert.equal(placed.placements.length, 8)
  assert.equal(
    placed.rentals.reduce((sum, { count }) => sum + count, 0),
    2,
  )
})

test("machines of other parts are asked for within what the limit leaves all jobs of a team together", () => {
  const { unplaced } = plan(snapshot([job(1, "red"), job(2, "red")], [], { red: 200 }, { red: 48 }))
  // 50 tasks in all, though each job lacks 40. Room is made for each as far as the share lets it start.
  assert.deepEqual(
    unplaced.map(({ tasks, startable }) => [tasks, startable]),
    [
      [40, 12],
      [10, 12],
    ],
  )
})

test("machines on which the limits let nothing run are idle, and no job holds them", () => {
  const jobs = [job(1, "red"), job(2, "red")]
  const machines = ["i-1", "i-2", "i-3"].map((id) => machine(id, { assignedJob: jobs[1]!.id }))
  const decided = plan(snapshot(jobs, machines, { red: 32 }))
  assert.deepEqual([...decided.idle], ["i-3"])
  assert.deepEqual([...decided.assignedJobs], [["i-3", null]])
  assert.deepEqual([...plan(snapshot(jobs, machines, { red: 64 })).idle], [])
  // Nor is a machine of use to a job that mayn't run there.
  const elsewhere = job(1, "red", { spec: { ...jobs[0]!.spec, zone: "b" as ZoneName } })
  assert.deepEqual([...plan(snapshot([elsewhere], [machine("i-1")], { red: 64 })).idle], ["i-1"])
})

test("what the market can't give one job stays for the others of its team", () => {
  const elsewhere = job(1, "red", { spec: { ...job(1, "red").spec, zone: "b" as ZoneName } })
  assert.equal(rented(snapshot([elsewhere, job(2, "red"), job(3, "red")], [], { red: 64 })), 4)
})

// Guards against machine after machine rented for a task that waits for its part's share beside an empty one.
test("a task that waits for its part's share rents no machine beside the one that has room for it", () => {
  const one = job(1, "red", { queued: 1, timeLeftS: null })
  assert.equal(rented(snapshot([one], [machine("i-1")], { red: 64 })), 0)
  assert.equal(rented(snapshot([one], [], { red: 64 })), 1)
})

// Guards against reports longer than a body may be: they are refused, and their machines lose their leases.
test("a machine takes only as many tiny tasks as its report can hold", () => {
  const tiny = job(1, "red", {
    queued: 5_000,
    spec: { ...job(1, "red").spec, cores: 0.01, memGb: 0.001, taskCount: 5_000 },
  })
  const shares = { red: 200 }
  const placed = plan(snapshot([tiny], [machine("i-1"), machine("i-2", { busyTasks: 290 })], shares, shares))
  const on = (id: string) => placed.placements.filter((p) => p.machine === id).length
  assert.equal(on("i-1"), MAX_TASKS_ON_MACHINE)
  assert.equal(on("i-2"), MAX_TASKS_ON_MACHINE - 290)
})
