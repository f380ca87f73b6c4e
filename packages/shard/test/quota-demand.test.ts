import assert from "node:assert/strict"
import { test } from "node:test"
import { type JobView, type QuotaDemand, type QuotaHeadroom, STARVED_RANK } from "@sorreltally/planner"
import type { ShardName } from "@sorreltally/protocol"
import { quotaDemands, shareDemand, teamClaims } from "../src/quota-demand.ts"
import { job, red, shardOf, team } from "./builders.ts"

/** Another shard lacks quota of the same team. */
const asks = (rank: number): QuotaDemand => ({ shard: "deadline" as ShardName, team: red, rank, since: 0 })
const cores = (of: number): QuotaHeadroom => ({ cores: of, accelerators: 0 })
const use = cores(20)

test("what a shard wants of a limit is what its tasks use and what machines have capacity for", () => {
  const share = shareDemand(shardOf(job(1, 10)), team, use, [], 30)
  assert.deepEqual([share.used.cpus, share.demanded.cpus, share.competingDemand], [20, 48, "none"])
  assert.deepEqual(share.smallestTask, { cpus: 4, gpus: 0 })
  // No machine has capacity: quota would only lie idle.
  assert.deepEqual(shareDemand(shardOf(job(1, 10)), team, use, [], 0).demanded.cpus, 20)
})

test("the more urgent shard goes first, and so does the one whose work waits longer", () => {
  const shard = shardOf(job(1, 10, { priority: "standard" }))
  assert.equal(shareDemand(shard, team, use, [asks(0)], 30).competingDemand, "lowerPriority")
  assert.equal(shareDemand(shard, team, use, [asks(3)], 30).competingDemand, "higherPriority")
})

// Guards against work of low rank that never begins while other shards have more urgent work than the limit holds.
test("of a starved job a few tasks go before more urgent work of other shards", () => {
  const share = shareDemand(shardOf(job(1, 200)), team, use, [asks(3)], 400)
  // A twentieth of 40 tasks of 4 cores.
  assert.deepEqual([share.demanded.cpus, share.competingDemand], [28, "lowerPriority"])
  assert.equal(
    shareDemand(shardOf(job(1, 200)), team, use, [asks(STARVED_RANK)], 400).competingDemand,
    "higherPriority",
  )
  assert.equal(shareDemand(shardOf(job(1, 100)), team, use, [asks(3)], 400).competingDemand, "higherPriority")
})

test("what a shard counts on of a limit is published in steps", () => {
  const claimed = (planned: number) =>
    teamClaims(shardOf(), new Map([[red, use]]), new Map([[red, cores(planned)]]))[0]?.cpus
  // Steps of 10 cores, a 32nd of the limit.
  assert.deepEqual([0, 1, 10, 11, 999].map(claimed), [20, 30, 30, 40, 320])
})

// Guards against a remainder of a limit that nobody uses: it is kept for tasks which it can't start.
test("quota is neither asked for nor held for tasks that no other shard's quota could make room for", () => {
  const large = shardOf(job(1, 200, { cores: 8 }))
  // 315 of 320 cores are used by this shard itself.
  const share = shareDemand(large, team, cores(315), [asks(0)], 400)
  assert.deepEqual(
    [share.demanded.cpus, share.smallestTask, share.competingDemand],
    [315, null, "higherPriority"],
  )
  const spec = { team: red, cores: 8, accelerators: 0, memGb: 1 }
  const jobs = [
    { id: "run-000001", spec, queued: 40, rank: 1, ageS: 10 },
  ] as unknown as ReadonlyArray<JobView>
  const demandsWhenUsed = (used: QuotaHeadroom) =>
    quotaDemands(large, {
      jobs,
      startable: new Map([[red, cores(0)]]),
      used: new Map([[red, used]]),
      unusedCores: 400,
    })
  assert.deepEqual(demandsWhenUsed(cores(315)), [])
  assert.equal(demandsWhenUsed(use).length, 1)
})
