import assert from "node:assert/strict"
import { describe, it } from "node:test"
import type { MonotonicTime, ShardName } from "@sorreltally/protocol"
import { keys } from "@sorreltally/store"
import {
  AllocationFixture,
  BLUE,
  conditionFailed,
  cores,
  OWN_SHARD,
  RED,
  refused,
  team,
  unknownOutcome,
  waitUntil,
  written,
} from "./builders.ts"

describe("a change of an allocation", () => {
  it("takes effect when it is requested, if it is a reduction", () => {
    const fixture = new AllocationFixture({ [OWN_SHARD]: 40 })
    assert.ok(fixture.adjust({ usedCores: 8, demandedCores: 8, competingDemand: "higherPriority" }))
    assert.equal(fixture.allocatedCores, 8)
  })

  it("takes effect once it is written, if it is a growth", async () => {
    const fixture = new AllocationFixture({ [OWN_SHARD]: 40 })
    fixture.responses = [written]
    assert.ok(fixture.adjust({ usedCores: 40, demandedCores: 60 }))
    await waitUntil(() => fixture.allocatedCores > 60)
  })

  // Guards against exceeding the limit: a reduction of unknown outcome is applied late, and its quota is
  // allocated to another shard while this shard still uses it.
  it("of unknown outcome stays in effect until the record changes, even if a retry is refused", async () => {
    const fixture = new AllocationFixture({ [OWN_SHARD]: 40 })
    fixture.responses = [unknownOutcome, refused, refused]
    fixture.adjust({ usedCores: 8, demandedCores: 8, competingDemand: "higherPriority" })
    await waitUntil(() => fixture.writes.length === 4)
    assert.equal(fixture.allocatedCores, 8)
    assert.equal(fixture.adjust({ usedCores: 8, demandedCores: 40 }), null)
  })

  it("that was refused has no effect", async () => {
    const fixture = new AllocationFixture({ [OWN_SHARD]: 40 })
    fixture.responses = [refused]
    fixture.adjust({ usedCores: 8, demandedCores: 8, competingDemand: "higherPriority" })
    await waitUntil(() => fixture.allocatedCores === 40)
    assert.equal(fixture.writes.length, 1)
  })

  it("of unknown outcome is abandoned once another node owns the shard", async () => {
    const fixture = new AllocationFixture({ [OWN_SHARD]: 40 })
    fixture.responses = [unknownOutcome, conditionFailed(keys.shard(OWN_SHARD))]
    fixture.adjust({ usedCores: 8, demandedCores: 8, competingDemand: "higherPriority" })
    await waitUntil(() => fixture.allocatedCores === 40)
    assert.equal(fixture.writes.length, 2)
  })
})

describe("rentable quota", () => {
  const allocatedToAll = { [OWN_SHARD]: 10, "part-1": 30, "part-2": 30, "part-3": 30 }

  it("is the limit minus the allocations of other shards, plus the slack of one shard", () => {
    const { allocation } = new AllocationFixture(allocatedToAll)
    // 100 - (90 - 12.5) = 22.5 in all.
    assert.equal(allocation.rentable(team, cores(0), []).cpus, 22.5)
    assert.equal(allocation.rentable(team, cores(10), []).cpus, 12.5)
    const fullyAllocated = new AllocationFixture({ "part-1": 100 })
    assert.equal(fullyAllocated.allocation.rentable(team, cores(0), []).cpus, 12.5)
  })

  it("uses the claims of other shards in place of their allocations", () => {
    const { allocation } = new AllocationFixture(allocatedToAll)
    const claim = (shard: string, cpus: number) => ({ shard: shard as ShardName, team: RED, ...cores(cpus) })
    const rentableCores = (...claims: Parameters<typeof allocation.rentable>[2]) =>
      allocation.rentable(team, cores(0), claims).cpus
    // 100 - (10 + 20 + 30 - 12.5) = 52.5: two shards claim less than their allocations.
    assert.equal(rentableCores(claim("part-1", 10), claim("part-2", 20)), 52.5)
    // A shard that has rented beyond its allocation counts with its claim.
    assert.equal(rentableCores(claim("part-1", 50)), 2.5)
    assert.equal(rentableCores({ ...claim("part-1", 50), team: BLUE }), 22.5)
  })
})

// Guards against starvation: a shard of higher priority keeps acquiring quota for tasks that fit no machine.
describe("a shard with unused quota that another shard demands", () => {
  it("yields for 6 s if it started no task with it", () => {
    const fixture = new AllocationFixture({ [OWN_SHARD]: 40 })
    const demand = { usedCores: 0, demandedCores: 40, competingDemand: "lowerPriority" } as const
    assert.equal(fixture.adjust(demand), null)
    fixture.now = 6_001 as MonotonicTime
    assert.ok(fixture.adjust(demand))
    assert.equal(fixture.allocatedCores, 0)
    assert.ok(fixture.allocation.isYielding(RED))
    fixture.now = 12_002 as MonotonicTime
    assert.ok(!fixture.allocation.isYielding(RED))
  })

  it("does not yield if a task has started in the meantime", () => {
    const fixture = new AllocationFixture({ [OWN_SHARD]: 40 })
    fixture.adjust({ usedCores: 0, demandedCores: 40, competingDemand: "lowerPriority" })
    fixture.now = 3_000 as MonotonicTime
    fixture.allocation.taskStarted(RED)
    fixture.now = 6_001 as MonotonicTime
    assert.ok(fixture.adjust({ usedCores: 4, demandedCores: 40, competingDemand: "lowerPriority" }))
    assert.ok(!fixture.allocation.isYielding(RED))
  })

  it("does not yield if the quota was not enough for a task", () => {
    const fixture = new AllocationFixture({ [OWN_SHARD]: 40, "part-1": 60 })
    fixture.adjust({ usedCores: 38, demandedCores: 60, competingDemand: "lowerPriority" })
    fixture.now = 6_001 as MonotonicTime
    assert.ok(fixture.adjust({ usedCores: 38, demandedCores: 60, competingDemand: "lowerPriority" }))
    assert.ok(!fixture.allocation.isYielding(RED))
  })
})

describe("a small remainder of a limit", () => {
  it("is allocated if it lets a task start", () => {
    const fixture = new AllocationFixture({ [OWN_SHARD]: 40, "part-1": 59.75 })
    assert.ok(fixture.adjust({ usedCores: 40, demandedCores: 40.25, smallestTask: cores(0.25) }))
  })

  it("is not allocated if it lets no task start", () => {
    const fixture = new AllocationFixture({ [OWN_SHARD]: 40, "part-1": 59.75 })
    assert.equal(fixture.adjust({ usedCores: 40, demandedCores: 44 }), null)
  })
})

// Guards against a remainder of a limit that stays unused while the shard of higher priority waits for more.
describe("quota that the shard of higher priority leaves unallocated", () => {
  const demand = { usedCores: 0, demandedCores: 40, competingDemand: "higherPriority" } as const

  it("lets one task of another shard start after 30 s, and is released if none started", () => {
    const fixture = new AllocationFixture({ [OWN_SHARD]: 0, "part-1": 94 })
    fixture.responses = [written]
    assert.equal(fixture.adjust(demand), null)
    fixture.now = 30_000 as MonotonicTime
    assert.equal(fixture.adjust(demand), null)
    fixture.now = 30_001 as MonotonicTime
    assert.ok(fixture.adjust(demand))
    assert.deepEqual(fixture.writes.at(-1)?.shares[OWN_SHARD], cores(4))
    // The quota is kept for 3 s, so that a task has time to start.
    fixture.now = 33_000 as MonotonicTime
    assert.equal(fixture.adjust(demand), null)
    fixture.now = 33_001 as MonotonicTime
    assert.ok(fixture.adjust(demand))
    assert.deepEqual(fixture.writes.at(-1)?.shares[OWN_SHARD], cores(0))
  })

  it("is not taken if it was allocated in the meantime", () => {
    const fixture = new AllocationFixture({ [OWN_SHARD]: 0, "part-1": 94 })
    fixture.adjust(demand)
    fixture.receiveRecord({ "part-1": 98 }, 8)
    fixture.now = 20_000 as MonotonicTime
    assert.equal(fixture.adjust(demand), null)
    fixture.receiveRecord({ "part-1": 94 }, 9)
    fixture.now = 31_000 as MonotonicTime
    assert.equal(fixture.adjust(demand), null)
  })
})
