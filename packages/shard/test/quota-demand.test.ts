import assert from "node:assert/strict"
import { test } from "node:test"
import { type JobView, type QuotaDemand, type QuotaHeadroom, STARVED_RANK } from "@sorreltally/planner"
import type { ShardName } from "@sorreltally/protocol"
import { allocationDemand, quotaDemands, teamClaims } from "../src/quota-demand.ts"
import { job, shardWith, team, teamName } from "./builders.ts"

/** Another shard's demand for quota of the same team. */
const competingDemand = (rank: number): QuotaDemand => ({
  shard: "deadline" as ShardName,
  team: teamName,
  rank,
  since: 0,
})
const coresOnly = (cores: number): QuotaHeadroom => ({ cores, accelerators: 0 })
const usage = coresOnly(20)

test("a shard demands quota for running tasks and for queued tasks that machines have capacity for", () => {
  const demand = allocationDemand(shardWith(job(1, 10)), team, usage, [], 30)
  assert.deepEqual([demand.used.cpus, demand.demanded.cpus, demand.competingDemand], [20, 48, "none"])
  assert.deepEqual(demand.smallestTask, { cpus: 4, gpus: 0 })
  // Without machine capacity, more quota would stay unused.
  assert.deepEqual(allocationDemand(shardWith(job(1, 10)), team, usage, [], 0).demanded.cpus, 20)
})

test("the shard with work of higher rank goes first", () => {
  const shard = shardWith(job(1, 10, { priority: "standard" }))
  assert.equal(
    allocationDemand(shard, team, usage, [competingDemand(0)], 30).competingDemand,
    "lowerPriority",
  )
  assert.equal(
    allocationDemand(shard, team, usage, [competingDemand(3)], 30).competingDemand,
    "higherPriority",
  )
})

// Guards against work of low rank that never starts while more urgent work of other shards exceeds the limit.
test("a few tasks of a starved job go before more urgent work of other shards", () => {
  const demand = allocationDemand(shardWith(job(1, 200)), team, usage, [competingDemand(3)], 400)
  // 20 cores in use, and a twentieth of 40 tasks with 4 cores each.
  assert.deepEqual([demand.demanded.cpus, demand.competingDemand], [28, "lowerPriority"])
  assert.equal(
    allocationDemand(shardWith(job(1, 200)), team, usage, [competingDemand(STARVED_RANK)], 400)
      .competingDemand,
    "higherPriority",
  )
  assert.equal(
    allocationDemand(shardWith(job(1, 100)), team, usage, [competingDemand(3)], 400).competingDemand,
    "higherPriority",
  )
})

test("claims are rounded up to steps", () => {
  const claimed = (planned: number) =>
    teamClaims(shardWith(), new Map([[teamName, usage]]), new Map([[teamName, coresOnly(planned)]]))[0]?.cpus
  // A step is 10 cores, 1/32 of the limit.
  assert.deepEqual([0, 1, 10, 11, 999].map(claimed), [20, 30, 30, 40, 320])
})

// Guards against quota that stays unused because it is kept for tasks that it can't start.
test("quota is neither demanded nor kept for tasks that no other shard's quota could start", () => {
  const large = shardWith(job(1, 200, { cores: 8 }))
  // 315 of 320 cores are used by this shard itself.
  const demand = allocationDemand(large, team, coresOnly(315), [competingDemand(0)], 400)
  assert.deepEqual(
    [demand.demanded.cpus, demand.smallestTask, demand.competingDemand],
    [315, null, "higherPriority"],
  )
  const spec = { team: teamName, cores: 8, accelerators: 0, memGb: 1 }
  const jobs = [
    { id: "run-000001", spec, queued: 40, rank: 1, ageS: 10 },
  ] as unknown as ReadonlyArray<JobView>
  const demandsWithUsage = (teamUsage: QuotaHeadroom) =>
    quotaDemands(large, {
      jobs,
      startableByTeam: new Map([[teamName, coresOnly(0)]]),
      usageByTeam: new Map([[teamName, teamUsage]]),
      unusedCores: 400,
    })
  assert.deepEqual(demandsWithUsage(coresOnly(315)), [])
  assert.equal(demandsWithUsage(usage).length, 1)
})
