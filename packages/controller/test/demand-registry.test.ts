import assert from "node:assert/strict"
import { describe, it } from "node:test"
import type { QuotaDemand, ShardDemand, TeamClaim } from "@sorreltally/planner"
import type { MonotonicTime, ShardName, TeamName, WallTime } from "@sorreltally/protocol"
import { DemandRegistry } from "../src/demand-registry.ts"

const OWN = "part-0" as ShardName
const OTHER = "part-1" as ShardName
const team = "red" as TeamName

/** Demand for a team's quota, and a claim on its limit. */
const demandOf = (shard: ShardName, rank: number, cpus: number): ShardDemand => {
  const quota: QuotaDemand = { shard, team, rank, since: 0 }
  const claim: TeamClaim = { shard, team, cpus, gpus: 0 }
  return { machines: [], quotas: [quota], claims: [claim] }
}

/** A registry whose clock is set by hand. */
const registryAt = (startMs: number) => {
  const clock = { nowMs: startMs }
  const registry = new DemandRegistry({
    monotonicNow: () => clock.nowMs as MonotonicTime,
    wallNow: () => clock.nowMs as WallTime,
  })
  return { clock, registry }
}

describe("the registry of shards' demand", () => {
  it("shows a shard what the others published, without its own demand", () => {
    const { registry } = registryAt(0)
    registry.set(OWN, demandOf(OWN, 1, 8))
    registry.set(OTHER, demandOf(OTHER, 2, 16))
    assert.deepEqual(registry.ofOthers(OWN), demandOf(OTHER, 2, 16))
  })

  it("lets demand expire that its owner has not published for 3.5 s", () => {
    const { clock, registry } = registryAt(1_000)
    registry.set(OTHER, demandOf(OTHER, 2, 16))
    clock.nowMs = 4_499
    assert.equal(registry.ofOthers(OWN).quotas.length, 1)
    clock.nowMs = 4_500
    assert.deepEqual(registry.ofOthers(OWN), { machines: [], quotas: [], claims: [] })
  })

  it("tells a change of what a shard lacks from one of its claims, and from none", () => {
    const { registry } = registryAt(0)
    assert.equal(registry.update(OWN, demandOf(OWN, 1, 8)), "lack")
    assert.equal(registry.update(OWN, demandOf(OWN, 1, 8)), "none")
    assert.equal(registry.update(OWN, demandOf(OWN, 1, 16)), "claims")
    assert.equal(registry.update(OWN, demandOf(OWN, 2, 16)), "lack")
  })
})
