import assert from "node:assert/strict"
import { test } from "node:test"
import { type MachineDemand, type MachineView, STARVED_RANK } from "@sorreltally/planner"
import type { MachineId, MachineType, ZoneName } from "@sorreltally/protocol"
import { Draining } from "../src/draining.ts"

const type = { name: "m", cores: 8, accelerators: 0, memGb: 32 } as unknown as MachineType
const machine = (id: string, busyTasks: number, more: Partial<MachineView> = {}): MachineView => ({
  id: id as MachineId,
  type,
  zone: "a" as ZoneName,
  spot: true,
  free: { cores: 8 - 2 * busyTasks, accelerators: 0, memGb: 32 },
  busyTasks,
  images: new Set(),
  reserved: false,
  state: "ready",
  assignedJob: null,
  ...more,
})
const need = (shard: string, rank: number): MachineDemand =>
  ({
    shard,
    rank,
    tasks: 4,
    pressing: 0,
    since: 0,
    shape: { cores: 2, accelerators: 0, memGb: 1, spotAllowed: true },
  }) as unknown as MachineDemand
const drained = (views: ReadonlyArray<MachineView>): ReadonlyArray<string> =>
  views.filter(({ state }) => state === "draining").map(({ id }) => id)

test("a machine is emptied for another part only if its tasks fit into room of no use here", () => {
  const views = [machine("i-1", 3), machine("i-2", 2), machine("i-3", 4)]
  assert.deepEqual(
    drained(
      new Draining().apply({
        machines: views,
        demands: [need("part-1", 1)],
        unusedCores: 7,
        forStarved: true,
      }),
    ),
    [],
  )
  assert.deepEqual(
    drained(
      new Draining().apply({
        machines: views,
        demands: [need("part-1", 1)],
        unusedCores: 8,
        forStarved: true,
      }),
    ),
    ["i-2"],
  )
  assert.deepEqual(
    drained(new Draining().apply({ machines: views, demands: [], unusedCores: 100, forStarved: true })),
    [],
  )
  // The same room isn't counted for two parts.
  const two = [need("part-1", 1), need("part-2", 1)]
  assert.deepEqual(
    drained(new Draining().apply({ machines: views, demands: two, unusedCores: 15, forStarved: true })),
    ["i-2"],
  )
  assert.deepEqual(
    drained(new Draining().apply({ machines: views, demands: two, unusedCores: 16, forStarved: true })),
    ["i-1", "i-2"],
  )
  const reserved = views.map((view) => ({ ...view, reserved: true }))
  assert.deepEqual(
    drained(new Draining().apply({ machines: reserved, demands: two, unusedCores: 100, forStarved: true })),
    [],
  )
})

test("for jobs that waited too long the part with the most machines empties one in any case", () => {
  const views = [machine("i-1", 3), machine("i-2", 2)]
  const starved = [need("part-1", STARVED_RANK)]
  assert.deepEqual(
    drained(new Draining().apply({ machines: views, demands: starved, unusedCores: 0, forStarved: true })),
    ["i-2"],
  )
  assert.deepEqual(
    drained(new Draining().apply({ machines: views, demands: starved, unusedCores: 0, forStarved: false })),
    [],
  )
})

test("the machine stays chosen until it is gone, or nobody asks any more", () => {
  const draining = new Draining()
  draining.apply({
    machines: [machine("i-1", 3), machine("i-2", 2)],
    demands: [need("part-1", 1)],
    unusedCores: 8,
    forStarved: true,
  })
  const later = [machine("i-1", 1), machine("i-2", 2)]
  assert.deepEqual(
    drained(
      draining.apply({ machines: later, demands: [need("part-1", 1)], unusedCores: 0, forStarved: true }),
    ),
    ["i-2"],
  )
  assert.deepEqual(
    drained(
      draining.apply({
        machines: later.slice(0, 1),
        demands: [need("part-1", 1)],
        unusedCores: 8,
        forStarved: true,
      }),
    ),
    ["i-1"],
  )
  assert.deepEqual(
    drained(draining.apply({ machines: later, demands: [], unusedCores: 8, forStarved: true })),
    [],
  )
})

test("a machine that was emptied goes to the part for which it was", () => {
  const draining = new Draining()
  const starved = [need("part-1", STARVED_RANK)]
  assert.deepEqual(
    [
      ...draining.emptied(
        draining.apply({ machines: [machine("i-1", 1)], demands: starved, unusedCores: 0, forStarved: true }),
      ),
    ],
    [],
  )
  const empty = draining.apply({
    machines: [machine("i-1", 0)],
    demands: starved,
    unusedCores: 0,
    forStarved: true,
  })
  assert.deepEqual([...draining.emptied(empty)], [{ machine: "i-1", to: "part-1" }])
})
