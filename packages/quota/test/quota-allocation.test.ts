import assert from "node:assert/strict"
import { describe, it } from "node:test"
import type { MonotonicTime, ShardName } from "@sorreltally/protocol"
import { keys } from "@sorreltally/store"
import {
  AllocationFixture,
  BLUE,
  conditionFailed,
  cores,
  eventually,
  OWN_SHARD,
  RED,
  refused,
  team,
  unanswered,
  written,
} from "./builders.ts"

describe("a change of the allocation", () => {
  it("counts from the moment it is asked for when it is a reduction", () => {
    const fixture = new AllocationFixture({ [OWN_SHARD]: 40 })
    assert.ok(fixture.adjust({ usedCores: 8, demandedCores: 8, competingDemand: "higherPriority" }))
    assert.equal(fixture.allocatedCores, 8)
  })

  it("counts once it is written when it is a growth", async () => {
    const fixture = new AllocationFixture({ [OWN_SHARD]: 40 })
    fixture.answers = [written]
    assert.ok(fixture.adjust({ usedCores: 40, demandedCores: 60 }))
    await eventually(() => fixture.allocatedCores > 60)
  })

  // Guards against quota: a reduction without an answer is carried out late, after another shard was to be trusted with it.
  it("without an answer counts until the record has moved, also after a refused repetition", async () => {
    const fixture = new AllocationFixture({ [OWN_SHARD]: 40 })
    fixture.answers = [unanswered, refused, refused]
    fixture.adjust({ usedCores: 8, demandedCores: 8, competingDemand: "higherPriority" })
    await eventually(() => fixture.writes.length === 4)
    assert.equal(fixture.allocatedCores, 8)
    assert.equal(fixture.adjust({ usedCores: 8, demandedCores: 40 }), null)
  })

  it("that was surely refused counts no longer", async () => {
    const fixture = new AllocationFixture({ [OWN_SHARD]: 40 })
    fixture.answers = [refused]
    fixture.adjust({ usedCores: 8, demandedCores: 8, competingDemand: "higherPriority" })
    await eventually(() => fixture.allocatedCores === 40)
    assert.equal(fixture.writes.length, 1)
  })

  it("without an answer is given up once another node owns the shard", async () => {
    const fixture = new AllocationFixture({ [OWN_SHARD]: 40 })
    fixture.answers = [unanswered, conditionFailed(keys.shard(OWN_SHARD))]
    fixture.adjust({ usedCores: 8, demandedCores: 8, competingDemand: "higherPriority" })
    await eventually(() => fixture.allocatedCores === 40)
    assert.equal(fixture.writes.length, 2)
  })
})

describe("rentable quota", () => {
  const allocatedToAll = { [OWN_SHARD]: 10, "part-1": 30, "part-2": 30, "part-3": 30 }

  it("is the limit without what other shards have allocated, but for one shard's slack", () => {
    const { allocation } = new AllocationFixture(allocatedToAll)
    // 100 - (90 - 12.5) = 22.5 in all.
    assert.equal(allocation.rentable(team, cores(0), []).cpus, 22.5)
    assert.equal(allocation.rentable(team, cores(10), []).cpus, 12.5)
    const fullyAllocated = new AllocationFixture({ "part-1": 100 })
    assert.equal(fullyAllocated.allocation.rentable(team, cores(0), []).cpus, 12.5)
  })

  it("counts the claims of other shards instead of their allocations", () => {
    const { allocation } = new AllocationFixture(allocatedToAll)
    const claim = (shard: string, cpus: number) => ({ shard: shard as ShardName, team: RED, ...cores(cpus) })
    const rentableCores = (...claims: Parameters<typeof allocation.rentable>[2]) =>
      allocation.rentable(team, cores(0), claims).cpus
    // 100 - (10 + 20 + 30 - 12.5) = 52.5: two shards leave some of their allocations unused.
    assert.equal(rentableCores(claim("part-1", 10), claim("part-2", 20)), 52.5)
    // A shard that has rented beyond its allocation counts for that.
    assert.equal(rentableCores(claim("part-1", 50)), 2.5)
    assert.equal(rentableCores({ ...claim("part-1", 50), team: BLUE }), 22.5)
  })
})

// Guards against a job left waiting: a shard of higher priority acquires quota again and again for what fits nowhere.
describe("a shard that held quota which another one demands", () => {
  it("yields for a while when it started nothing with it", () => {
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

  it("doesn't yield when a task started meanwhile", () => {
    const fixture = new AllocationFixture({ [OWN_SHARD]: 40 })
    fixture.adjust({ usedCores: 0, demandedCores: 40, competingDemand: "lowerPriority" })
    fixture.now = 3_000 as MonotonicTime
    fixture.allocation.taskStarted(RED)
    fixture.now = 6_001 as MonotonicTime
    assert.ok(fixture.adjust({ usedCores: 4, demandedCores: 40, competingDemand: "lowerPriority" }))
    assert.ok(!fixture.allocation.isYielding(RED))
  })

  it("doesn't yield when the quota was too little for a task", () => {
    const fixture = new AllocationFixture({ [OWN_SHARD]: 40, "part-1": 60 })
    fixture.adjust({ usedCores: 38, demandedCores: 60, competingDemand: "lowerPriority" })
    fixture.now = 6_001 as MonotonicTime
    assert.ok(fixture.adjust({ usedCores: 38, demandedCores: 60, competingDemand: "lowerPriority" }))
    assert.ok(!fixture.allocation.isYielding(RED))
  })
})

describe("the last bit of a limit", () => {
  it("is allocated when it lets a task start", () => {
    const fixture = new AllocationFixture({ [OWN_SHARD]: 40, "part-1": 59.75 })
    assert.ok(fixture.adjust({ usedCores: 40, demandedCores: 40.25, smallestTask: cores(0.25) }))
  })

  it("isn't worth a write when it starts no task", () => {
    const fixture = new AllocationFixture({ [OWN_SHARD]: 40, "part-1": 59.75 })
    assert.equal(fixture.adjust({ usedCores: 40, demandedCores: 44 }), null)
  })
})

// Guards against a rest of a limit that the shard of higher priority waits to see grow, while nobody uses it.
describe("quota that the shard of higher priority leaves unallocated", () => {
  const demand = { usedCores: 0, demandedCores: 40, competingDemand: "higherPriority" } as const

  it("lets one task of another shard start after long, and is released if none did", () => {
    const fixture = new AllocationFixture({ [OWN_SHARD]: 0, "part-1": 94 })
    fixture.answers = [written]
    assert.equal(fixture.adjust(demand), null)
    fixture.now = 30_000 as MonotonicTime
    assert.equal(fixture.adjust(demand), null)
    fixture.now = 30_001 as MonotonicTime
    assert.ok(fixture.adjust(demand))
    assert.deepEqual(fixture.writes.at(-1)?.shares[OWN_SHARD], cores(4))
    // It is kept until a task had time to start.
    fixture.now = 33_000 as MonotonicTime
    assert.equal(fixture.adjust(demand), null)
    fixture.now = 33_001 as MonotonicTime
    assert.ok(fixture.adjust(demand))
    assert.deepEqual(fixture.writes.at(-1)?.shares[OWN_SHARD], cores(0))
  })

  it("stays there when it was allocated in between", () => {
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
