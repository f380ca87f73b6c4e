import assert from "node:assert/strict"
import { describe, it } from "node:test"
import type { QuotaDemand, ShardDemand, TeamClaim } from "@sorreltally/planner"
import type { MonotonicTime, ShardName, TeamName, WallTime } from "@sorreltally/protocol"
import { DemandRegistry } from "../src/demand-registry.ts"

const OWN_SHARD = "part-0" as ShardName
const OTHER_SHARD = "part-1" as ShardName
const TEAM = "red" as TeamName

/** Builds demand for a team's quota, with a claim on the team's limit. */
const buildDemand = (shard: ShardName, rank: number, cpus: number): ShardDemand => {
  const quota: QuotaDemand = { shard, team: TEAM, rank, since: 0 }
  const claim: TeamClaim = { shard, team: TEAM, cpus, gpus: 0 }
  return { machines: [], quotas: [quota], claims: [claim] }
}

/** Creates a registry whose clock the test sets. */
const makeRegistry = (startMs: number) => {
  const clock = { nowMs: startMs }
  const registry = new DemandRegistry({
    monotonicNow: () => clock.nowMs as MonotonicTime,
    wallNow: () => clock.nowMs as WallTime,
  })
  return { clock, registry }
}

describe("DemandRegistry", () => {
  it("returns the demand of the other shards, without the excluded shard's own", () => {
    const { registry } = makeRegistry(0)
    registry.set(OWN_SHARD, buildDemand(OWN_SHARD, 1, 8))
    registry.set(OTHER_SHARD, buildDemand(OTHER_SHARD, 2, 16))
    assert.deepEqual(registry.demandOfOthers(OWN_SHARD), buildDemand(OTHER_SHARD, 2, 16))
  })

  it("ignores demand that its owner has not published for 3.5 s", () => {
    const { clock, registry } = makeRegistry(1_000)
    registry.set(OTHER_SHARD, buildDemand(OTHER_SHARD, 2, 16))
    clock.nowMs = 4_499
    assert.equal(registry.demandOfOthers(OWN_SHARD).quotas.length, 1)
    clock.nowMs = 4_500
    assert.deepEqual(registry.demandOfOthers(OWN_SHARD), { machines: [], quotas: [], claims: [] })
  })

  it("distinguishes a change of demand for machines or quota, of claims only, and no change", () => {
    const { registry } = makeRegistry(0)
    assert.equal(registry.update(OWN_SHARD, buildDemand(OWN_SHARD, 1, 8)), "demand")
    assert.equal(registry.update(OWN_SHARD, buildDemand(OWN_SHARD, 1, 8)), "none")
    assert.equal(registry.update(OWN_SHARD, buildDemand(OWN_SHARD, 1, 16)), "claims")
    assert.equal(registry.update(OWN_SHARD, buildDemand(OWN_SHARD, 2, 16)), "demand")
  })
})
