import assert from "node:assert/strict"
import { test } from "node:test"
import { FailureTracker, JobState } from "@sorreltally/jobs"
import { type JobView, type QuotaDemand, STARVED_RANK } from "@sorreltally/planner"
import type { JobId, JobSpec, ModRevision, ShardName, TeamName } from "@sorreltally/protocol"
import type { Team } from "@sorreltally/settings"
import { type JobRecord, keys } from "@sorreltally/store"
import { quotaNeeds, shareNeed, teamClaims } from "../src/quota-demand.ts"
import type { ShardView } from "../src/shard-context.ts"

const red = "red" as TeamName
const NOW = 1_000_000
const job = (number: number, ageS: number, more: Partial<JobSpec> = {}): JobState => {
  const id = `run-${String(number).padStart(6, "0")}` as JobId
  const request = {
    id,
    taskCount: 40,
    cores: 4,
    accelerators: 0,
    memGb: 1,
    team: red,
    priority: "standard",
    ...more,
  }
  const record = { spec: request, submittedAt: NOW - ageS * 1000, cancelled: false } as unknown as JobRecord
  return new JobState(id, record, keys.jobPage(0, 0), 1 as ModRevision)
}
const team = { name: red, cpus: 50, maxCpus: 320, gpus: 0, maxGpus: 0 } as unknown as Team
const teams = [team]
const shard = (...jobs: ReadonlyArray<JobState>): ShardView =>
  ({
    name: "part-0",
    jobs: new Map(jobs.map((j) => [j.id, j])),
    failures: new FailureTracker(),
    node: { clocks: { wallNow: () => NOW, monotonicNow: () => 0 }, platform: { deployment: { teams } } },
  }) as unknown as ShardView
const asks = (rank: number): QuotaDemand => ({ shard: "deadline" as ShardName, team: red, rank, since: 0 })
const use = { cores: 20, accelerators: 0 }

test("what a part wants of a limit is what its tasks use and what machines have room for", () => {
  const need = shareNeed(shard(job(1, 10)), team, use, [], 30)
  assert.deepEqual([need.used.cpus, need.demanded.cpus, need.competingDemand], [20, 48, "none"])
  assert.deepEqual(need.smallestTask, { cpus: 4, gpus: 0 })
  // No machine has room: quota would only lie idle.
  assert.deepEqual(shareNeed(shard(job(1, 10)), team, use, [], 0).demanded.cpus, 20)
})

test("the more urgent part goes first, and so does the one whose work waits longer", () => {
  const mine = shard(job(1, 10, { priority: "standard" }))
  assert.equal(shareNeed(mine, team, use, [asks(0)], 30).competingDemand, "lowerPriority")
  assert.equal(shareNeed(mine, team, use, [asks(3)], 30).competingDemand, "higherPriority")
})

// Guards against work of low rank that never begins while other parts have more urgent work than the limit holds.
test("of a job that waited too long a few tasks go before more urgent work of other parts", () => {
  const need = shareNeed(shard(job(1, 200)), team, use, [asks(3)], 400)
  // A twentieth of 40 tasks of 4 cores.
  assert.deepEqual([need.demanded.cpus, need.competingDemand], [28, "lowerPriority"])
  assert.equal(
    shareNeed(shard(job(1, 200)), team, use, [asks(STARVED_RANK)], 400).competingDemand,
    "higherPriority",
  )
  assert.equal(shareNeed(shard(job(1, 100)), team, use, [asks(3)], 400).competingDemand, "higherPriority")
})

test("what a part counts on of a limit is told in steps", () => {
  const claimed = (cores: number) =>
    teamClaims(shard(), new Map([[red, use]]), new Map([[red, { cores, accelerators: 0 }]]))[0]?.cpus
  // Steps of 10 cores, a 32nd of the limit.
  assert.deepEqual([0, 1, 10, 11, 999].map(claimed), [20, 30, 30, 40, 320])
})

// Guards against a remainder of a limit that nobody uses: it is kept for tasks which it can't start.
test("quota is neither asked for nor held for tasks that no other part's quota could make room for", () => {
  const large = shard(job(1, 200, { cores: 8 }))
  const limit = new Map([[red, { cores: 315, accelerators: 0 }]])
  // 315 of 320 cores are used by this part itself.
  const need = shareNeed(large, team, { cores: 315, accelerators: 0 }, [asks(0)], 400)
  assert.deepEqual(
    [need.demanded.cpus, need.smallestTask, need.competingDemand],
    [315, null, "higherPriority"],
  )
  const views = [
    {
      id: "run-000001",
      request: { team: red, cores: 8, accelerators: 0, memGb: 1 },
      queued: 40,
      rank: 1,
      ageS: 10,
    },
  ] as unknown as ReadonlyArray<JobView>
  const noRoom = new Map([[red, { cores: 0, accelerators: 0 }]])
  assert.deepEqual(quotaNeeds(large, views, noRoom, limit, 400), [])
  assert.equal(quotaNeeds(large, views, noRoom, new Map([[red, use]]), 400).length, 1)
})
