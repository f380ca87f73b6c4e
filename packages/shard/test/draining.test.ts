import assert from "node:assert/strict"
import { test } from "node:test"
import { type MachineDemand, type MachineView, STARVED_RANK } from "@sorreltally/planner"
import { Draining } from "../src/draining.ts"
import { machine, machineDemand } from "./builders.ts"

const asked = [machineDemand("part-1", 1)]
const starved = [machineDemand("part-1", STARVED_RANK)]
const drained = (views: ReadonlyArray<MachineView>): ReadonlyArray<string> =>
  views.filter(({ state }) => state === "draining").map(({ id }) => id)

/** One plan's step. */
const apply = (
  draining: Draining,
  machines: ReadonlyArray<MachineView>,
  demands: ReadonlyArray<MachineDemand>,
  unusedCores: number,
  forStarved = true,
) => draining.apply({ machines, demands, unusedCores, forStarved })

/** The ids drained in the first plan. */
const first = (...input: [ReadonlyArray<MachineView>, ReadonlyArray<MachineDemand>, number, boolean?]) =>
  drained(apply(new Draining(), ...input))

test("a machine is drained for another shard only if its tasks fit into capacity of no use here", () => {
  const machines = [machine("i-1", 3), machine("i-2", 2), machine("i-3", 4)]
  assert.deepEqual(first(machines, asked, 7), [])
  assert.deepEqual(first(machines, asked, 8), ["i-2"])
  assert.deepEqual(first(machines, [], 100), [])
  // The same capacity isn't counted for two shards.
  const two = [...asked, machineDemand("part-2", 1)]
  assert.deepEqual(first(machines, two, 15), ["i-2"])
  assert.deepEqual(first(machines, two, 16), ["i-1", "i-2"])
  const reserved = machines.map((view) => ({ ...view, reserved: true }))
  assert.deepEqual(first(reserved, two, 100), [])
})

test("for starved jobs the shard with the most machines drains one in any case", () => {
  const machines = [machine("i-1", 3), machine("i-2", 2)]
  assert.deepEqual(first(machines, starved, 0, true), ["i-2"])
  assert.deepEqual(first(machines, starved, 0, false), [])
})

test("the machine stays chosen until it is gone, or nobody asks any more", () => {
  const draining = new Draining()
  apply(draining, [machine("i-1", 3), machine("i-2", 2)], asked, 8)
  const later = [machine("i-1", 1), machine("i-2", 2)]
  assert.deepEqual(drained(apply(draining, later, asked, 0)), ["i-2"])
  assert.deepEqual(drained(apply(draining, later.slice(0, 1), asked, 8)), ["i-1"])
  assert.deepEqual(drained(apply(draining, later, [], 8)), [])
})

test("a machine that was drained goes to the shard that it was drained for", () => {
  const draining = new Draining()
  assert.deepEqual([...draining.emptied(apply(draining, [machine("i-1", 1)], starved, 0))], [])
  const empty = apply(draining, [machine("i-1", 0)], starved, 0)
  assert.deepEqual([...draining.emptied(empty)], [{ machine: "i-1", to: "part-1" }])
})
