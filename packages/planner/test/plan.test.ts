import assert from "node:assert/strict"
import { test } from "node:test"
import type { ImageName } from "@sorreltally/protocol"
import type { JobView, MachineView } from "../src/input.ts"
import { plan } from "../src/plan.ts"
import {
  jobId,
  job as jobOf,
  machine,
  spec as plainSpec,
  snapshot as snapshotOf,
  type,
  zone,
} from "./builders.ts"

const spec = { ...plainSpec, cores: 1, taskCount: 12 }
const job = (more: Partial<JobView>): JobView =>
  jobOf(jobId(1), { spec, queued: 12, withinGuarantee: true, ...more })
const snapshot = (jobs: ReadonlyArray<JobView>, machines: ReadonlyArray<MachineView>) =>
  snapshotOf(jobs, machines, { load: () => ({ cores: 32, endingCoresBySecond: [] }) })
const byMachine = (jobs: ReadonlyArray<JobView>, machines: ReadonlyArray<MachineView>) => {
  const count = new Map<string, number>()
  for (const { machine } of plan(snapshot(jobs, machines)).placements)
    count.set(machine, (count.get(machine) ?? 0) + 1)
  return Object.fromEntries(count)
}

test("a job that waited long and goes first with some of its tasks still spreads over zones, or stays in one", () => {
  const machines = [machine("i-1"), machine("i-2", { zone: zone("b") })]
  const spreadZones = { ...spec, spreadZones: true }
  assert.deepEqual(byMachine([job({ ageS: 200, spec: spreadZones })], machines), { "i-1": 6, "i-2": 6 })
  assert.deepEqual(byMachine([job({ ageS: 200, spec: spreadZones })], machines.slice(1)), { "i-2": 6 })
  const singleZone = { ...spec, singleZone: true, cores: 2 }
  assert.deepEqual(byMachine([job({ ageS: 200, spec: singleZone })], machines), { "i-1": 8 })
})

test("of a job of which nothing began for long, some go before what is due sooner", () => {
  const old = job({ id: jobId(2), rank: 0, ageS: 100 })
  const urgent = job({ rank: 3, queued: 40, timeLeftS: 20 })
  const { placements } = plan(snapshot([urgent, old], [machine("i-1")]))
  assert.equal(placements.filter((p) => p.job === old.id).length, 1)
  assert.equal(placements.filter((p) => p.job === urgent.id).length, 15)
})

test("while other shards wait for machines, none that they could borrow is begun for one task", () => {
  const half = machine("i-1", { busyTasks: 1, free: { ...type, cores: 8 } })
  const cached = machine("i-2", { images: ["img"] })
  const small = job({ queued: 4, spec: { ...spec, imageGb: 4 } })
  const on = (othersWait: boolean) =>
    new Set(
      plan({ ...snapshot([small], [half, cached]), otherShardsWait: othersWait }).placements.map(
        (p) => p.machine as string,
      ),
    )
  assert.deepEqual([...on(false)], ["i-2"])
  assert.deepEqual([...on(true)], ["i-1"])
})

// Guards against fetching on each other's machines, and against letting urgent work wait for it.
test("a job that can wait leaves a machine to one whose image is there; an urgent one doesn't", () => {
  const cached = machine("i-1", { free: { ...type, cores: 1 }, images: ["theirs"] })
  const theirs = { ...spec, image: "theirs" as ImageName }
  const placed = (first: Partial<JobView>) =>
    plan(
      snapshot(
        [
          job({ id: jobId(1), startWithinS: 40, ...first }),
          job({ id: jobId(2), startWithinS: 60, spec: theirs }),
        ],
        [cached],
      ),
    ).placements.map((p) => p.job)
  assert.deepEqual(placed({}), ["run-000002"])
  assert.deepEqual(placed({ ageS: 25 }), ["run-000001"])
  assert.deepEqual(placed({ timeLeftS: 40 }), ["run-000001"])
})
