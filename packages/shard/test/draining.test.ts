import assert from "node:assert/strict"
import { test } from "node:test"
import { type MachineDemand, type MachineView, STARVED_RANK } from "@sorreltally/planner"
import { Draining } from "../src/draining.ts"
import { machine, machineDemand } from "./builders.ts"

const ordinaryDemands = [machineDemand("part-1", 1)]
const starvedDemands = [machineDemand("part-1", STARVED_RANK)]
const drained = (views: ReadonlyArray<MachineView>): ReadonlyArray<string> =>
  views.filter(({ state }) => state === "draining").map(({ id }) => id)

/** Applies draining in one plan. */
const apply = (
  draining: Draining,
  machines: ReadonlyArray<MachineView>,
  demands: ReadonlyArray<MachineDemand>,
  unusedCores: number,
  mayDrainForStarved = true,
) => draining.apply({ machines, demands, unusedCores, mayDrainForStarved })

/** Ids of the machines that drain in the first plan. */
const drainedInFirstPlan = (
  ...input: [ReadonlyArray<MachineView>, ReadonlyArray<MachineDemand>, number, boolean?]
) => drained(apply(new Draining(), ...input))

test("a machine is drained for another shard only if its tasks fit into unused capacity", () => {
  const machines = [machine("i-1", 3), machine("i-2", 2), machine("i-3", 4)]
  assert.deepEqual(drainedInFirstPlan(machines, ordinaryDemands, 7), [])
  assert.deepEqual(drainedInFirstPlan(machines, ordinaryDemands, 8), ["i-2"])
  assert.deepEqual(drainedInFirstPlan(machines, [], 100), [])
  // The same capacity doesn't count for two shards.
  const demandsOfTwoShards = [...ordinaryDemands, machineDemand("part-2", 1)]
  assert.deepEqual(drainedInFirstPlan(machines, demandsOfTwoShards, 15), ["i-2"])
  assert.deepEqual(drainedInFirstPlan(machines, demandsOfTwoShards, 16), ["i-1", "i-2"])
  const reserved = machines.map((view) => ({ ...view, reserved: true }))
  assert.deepEqual(drainedInFirstPlan(reserved, demandsOfTwoShards, 100), [])
})

test("the shard with the most machines drains one for starved jobs even without unused capacity", () => {
  const machines = [machine("i-1", 3), machine("i-2", 2)]
  assert.deepEqual(drainedInFirstPlan(machines, starvedDemands, 0, true), ["i-2"])
  assert.deepEqual(drainedInFirstPlan(machines, starvedDemands, 0, false), [])
})

test("a draining machine stays chosen until it is gone or no shard demands it", () => {
  const draining = new Draining()
  apply(draining, [machine("i-1", 3), machine("i-2", 2)], ordinaryDemands, 8)
  const later = [machine("i-1", 1), machine("i-2", 2)]
  assert.deepEqual(drained(apply(draining, later, ordinaryDemands, 0)), ["i-2"])
  assert.deepEqual(drained(apply(draining, later.slice(0, 1), ordinaryDemands, 8)), ["i-1"])
  assert.deepEqual(drained(apply(draining, later, [], 8)), [])
})

test("a drained machine is lent to the shard that it was drained for once it is empty", () => {
  const draining = new Draining()
  assert.deepEqual([...draining.emptiedLoans(apply(draining, [machine("i-1", 1)], starvedDemands, 0))], [])
  const empty = apply(draining, [machine("i-1", 0)], starvedDemands, 0)
  assert.deepEqual([...draining.emptiedLoans(empty)], [{ machine: "i-1", to: "part-1" }])
})
