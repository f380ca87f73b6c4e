import assert from "node:assert/strict"
import { test } from "node:test"
import type { ImageName } from "@sorreltally/protocol"
import type { JobView, MachineView } from "../src/input.ts"
import { plan } from "../src/plan.ts"
import {
  jobId,
  job as jobOf,
  machine,
  machineType,
  spec as plainSpec,
  snapshot as snapshotOf,
  zone,
} from "./builders.ts"

const spec = { ...plainSpec, cores: 1, taskCount: 12 }
const job = (more: Partial<JobView>): JobView =>
  jobOf(jobId(1), { spec, queued: 12, withinGuarantee: true, ...more })
const snapshot = (jobs: ReadonlyArray<JobView>, machines: ReadonlyArray<MachineView>) =>
  snapshotOf(jobs, machines, { load: () => ({ cores: 32, endingCoresBySecond: [] }) })
const countByMachine = (jobs: ReadonlyArray<JobView>, machines: ReadonlyArray<MachineView>) => {
  const counts = new Map<string, number>()
  for (const { machine } of plan(snapshot(jobs, machines)).placements)
    counts.set(machine, (counts.get(machine) ?? 0) + 1)
  return Object.fromEntries(counts)
}

test("a job with boosted tasks still spreads over zones or stays in one zone", () => {
  const machines = [machine("i-1"), machine("i-2", { zone: zone("b") })]
  const spreadZones = { ...spec, spreadZones: true }
  assert.deepEqual(countByMachine([job({ ageS: 200, spec: spreadZones })], machines), { "i-1": 6, "i-2": 6 })
  assert.deepEqual(countByMachine([job({ ageS: 200, spec: spreadZones })], machines.slice(1)), { "i-2": 6 })
  const singleZone = { ...spec, singleZone: true, cores: 2 }
  assert.deepEqual(countByMachine([job({ ageS: 200, spec: singleZone })], machines), { "i-1": 8 })
})

test("some tasks of an overdue job are placed before a more urgent job", () => {
  const overdueJob = job({ id: jobId(2), rank: 0, ageS: 100 })
  const urgentJob = job({ rank: 3, queued: 40, timeLeftS: 20 })
  const { placements } = plan(snapshot([urgentJob, overdueJob], [machine("i-1")]))
  assert.equal(placements.filter((p) => p.job === overdueJob.id).length, 1)
  assert.equal(placements.filter((p) => p.job === urgentJob.id).length, 15)
})

test("while other shards wait for machines, small jobs go to busy machines rather than to empty ones", () => {
  const halfFullMachine = machine("i-1", { busyTasks: 1, free: { ...machineType, cores: 8 } })
  const emptyMachine = machine("i-2", { images: ["img"] })
  const smallJob = job({ queued: 4, spec: { ...spec, imageGb: 4 } })
  const machinesUsed = (othersWait: boolean) =>
    new Set(
      plan({
        ...snapshot([smallJob], [halfFullMachine, emptyMachine]),
        otherShardsLackMachines: othersWait,
      }).placements.map((p) => p.machine as string),
    )
  assert.deepEqual([...machinesUsed(false)], ["i-2"])
  assert.deepEqual([...machinesUsed(true)], ["i-1"])
})

// Guards against jobs that fetch images on each other's machines, and against urgent jobs waiting for that.
test("a job that can wait yields a machine to one whose image is cached there; an urgent job doesn't", () => {
  const machineWithOtherImage = machine("i-1", { free: { ...machineType, cores: 1 }, images: ["other"] })
  const specWithOtherImage = { ...spec, image: "other" as ImageName }
  const placedJobs = (overridesOfFirst: Partial<JobView>) =>
    plan(
      snapshot(
        [
          job({ id: jobId(1), startWithinS: 40, ...overridesOfFirst }),
          job({ id: jobId(2), startWithinS: 60, spec: specWithOtherImage }),
        ],
        [machineWithOtherImage],
      ),
    ).placements.map((p) => p.job)
  assert.deepEqual(placedJobs({}), ["run-000002"])
  assert.deepEqual(placedJobs({ ageS: 25 }), ["run-000001"])
  assert.deepEqual(placedJobs({ timeLeftS: 40 }), ["run-000001"])
})
