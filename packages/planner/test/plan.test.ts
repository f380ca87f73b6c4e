import assert from "node:assert/strict"
import { test } from "node:test"
import type { JobId, JobSpec, MachineId, MachineType, TeamName, ZoneName } from "@sorreltally/protocol"
import type { JobView, MachineView, Snapshot } from "../src/input.ts"
import { plan } from "../src/plan.ts"

const type = {
  name: "m",
  cores: 16,
  accelerators: 0,
  memGb: 64,
  imagePullGbPerS: 1,
} as unknown as MachineType
const machine = (id: string, zone: string): MachineView => ({
  id: id as MachineId,
  type,
  zone: zone as ZoneName,
  spot: true,
  free: type,
  busyTasks: 0,
  images: new Set(),
  reserved: false,
  state: "ready",
  assignedJob: null,
})
const request = {
  cores: 1,
  accelerators: 0,
  memGb: 1,
  taskCount: 12,
  team: "red",
  jobClass: "bulk",
  spotAllowed: true,
  imageGb: 1,
  image: "img",
} as unknown as JobSpec
const job = (more: Partial<JobView>): JobView => ({
  id: "run-000001" as JobId,
  spec: request,
  rank: 1,
  queued: 12,
  running: 0,
  zones: new Map(),
  timeLeftS: null,
  ageS: 0,
  submitted: 0,
  executionS: 10,
  startWithinS: null,
  unbegun: true,
  withinGuarantee: true,
  mayStart: true,
  avoids: new Set(),
  ...more,
})
const snapshot = (jobs: ReadonlyArray<JobView>, machines: ReadonlyArray<MachineView>): Snapshot => ({
  jobs,
  machines,
  reserve: { rank: 0, cores: 0, images: new Set() },
  otherShardsWait: false,
  types: [type],
  load: () => ({ cores: 32, ending: [] }),
  teams: new Map([["red" as TeamName, { cores: 100, accelerators: 0 }]]),
  limits: new Map([["red" as TeamName, { cores: 100, accelerators: 0 }]]),
  market: [],
  rentalSize: 50,
  deploymentS: 40,
  maxOnDemandCostRatio: 6,
})
const byMachine = (jobs: ReadonlyArray<JobView>, machines: ReadonlyArray<MachineView>) => {
  const count = new Map<string, number>()
  for (const { machine } of plan(snapshot(jobs, machines)).placements)
    count.set(machine, (count.get(machine) ?? 0) + 1)
  return Object.fromEntries(count)
}

test("a job that waited long and goes first with some of its tasks stays scattered, and together", () => {
  const machines = [machine("i-1", "a"), machine("i-2", "b")]
  const scatter = { ...request, spreadZones: true }
  assert.deepEqual(byMachine([job({ ageS: 200, spec: scatter })], machines), { "i-1": 6, "i-2": 6 })
  assert.deepEqual(byMachine([job({ ageS: 200, spec: scatter })], machines.slice(1)), { "i-2": 6 })
  const together = { ...request, singleZone: true, cores: 2 }
  assert.deepEqual(byMachine([job({ ageS: 200, spec: together })], machines), { "i-1": 8 })
})

test("of a job of which nothing began for long, some go before what is due sooner", () => {
  const old = job({ id: "run-000002" as JobId, rank: 0, ageS: 100 })
  const urgent = job({ rank: 3, queued: 40, timeLeftS: 20 })
  const { placements } = plan(snapshot([urgent, old], [machine("i-1", "a")]))
  assert.equal(placements.filter((p) => p.job === old.id).length, 1)
  assert.equal(placements.filter((p) => p.job === urgent.id).length, 15)
})

test("while other parts wait for machines, none that they could borrow is begun for one task", () => {
  const half = { ...machine("i-1", "a"), busyTasks: 1, free: { ...type, cores: 8 } }
  const cached = { ...machine("i-2", "a"), images: new Set(["img"]) } as MachineView
  const small = job({ queued: 4, spec: { ...request, imageGb: 4 } })
  const on = (othersWait: boolean) =>
    new Set(
      plan({ ...snapshot([small], [half, cached]), otherShardsWait: othersWait }).placements.map(
        (p) => p.machine as string,
      ),
    )
  assert.deepEqual([...on(false)], ["i-2"])
  assert.deepEqual([...on(true)], ["i-1"])
})

// Guards against fetching on each other's machines, and against letting pressing work wait for it.
test("a job that can wait leaves a machine to one whose image is there; a pressing one doesn't", () => {
  const cached = { ...machine("i-1", "a"), free: { ...type, cores: 1 }, images: new Set(["theirs"]) }
  const theirs = { ...request, image: "theirs" } as unknown as JobSpec
  const placed = (first: Partial<JobView>) =>
    plan(
      snapshot(
        [
          job({ id: "run-000001" as JobId, startWithinS: 40, ...first }),
          job({ id: "run-000002" as JobId, startWithinS: 60, spec: theirs }),
        ],
        [cached as unknown as MachineView],
      ),
    ).placements.map((p) => p.job)
  assert.deepEqual(placed({}), ["run-000002"])
  assert.deepEqual(placed({ ageS: 25 }), ["run-000001"])
  assert.deepEqual(placed({ timeLeftS: 40 }), ["run-000001"])
})
