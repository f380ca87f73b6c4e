import assert from "node:assert/strict"
import { test } from "node:test"
import { Replica } from "@sorreltally/membership"
import type { ModRevision, MonotonicTime, ShardName, TeamName } from "@sorreltally/protocol"
import type { Team } from "@sorreltally/settings"
import {
  type CompareAndSwapResult,
  keys,
  type QuotaRecord,
  type StoreClient,
  StoreError,
} from "@sorreltally/store"
import { Effect, type Fiber } from "effect"
import { QuotaAllocation, type ShareNeed } from "../src/quota-allocation.ts"

const red = "red" as TeamName
const team = { name: red, cpus: 50, maxCpus: 100, gpus: 0, maxGpus: 0 } as unknown as Team
const ours = "part-0" as ShardName
const path = keys.quota(red)
const cpus = (amount: number) => ({ cpus: amount, gpus: 0 })

/** The shares of a record at a stamp, a clock, and a state service that answers as it is told to. */
class Fixture {
  now = 0 as MonotonicTime
  answers: Array<CompareAndSwapResult | StoreError> = []
  readonly written: Array<QuotaRecord> = []
  readonly replica = new Replica()
  stored: { value: QuotaRecord; modRevision: number }
  readonly shares: QuotaAllocation

  constructor(shares: Readonly<Record<string, number>>) {
    const record = Object.fromEntries(Object.entries(shares).map(([shard, amount]) => [shard, cpus(amount)]))
    this.stored = { value: { shares: record } as QuotaRecord, modRevision: 7 }
    this.replica.applyWrite({ key: path, value: this.stored.value, modRevision: 7 as ModRevision })
    const state = {
      get: () => Effect.sync(() => ({ key: path, ...this.stored })),
      compareAndSwap: (_: unknown, apply: ReadonlyArray<{ readonly value: QuotaRecord }>) =>
        Effect.suspend(() => {
          this.written.push(apply[0]!.value)
          const answer = this.answers.shift()
          if (answer === undefined) return Effect.never
          return answer instanceof StoreError ? Effect.fail(answer) : Effect.succeed(answer)
        }),
    } as unknown as StoreClient
    this.shares = new QuotaAllocation(
      ours,
      5 as ModRevision,
      [team],
      this.replica,
      state,
      () => this.now,
      () => {},
    )
  }
  get share(): number {
    return this.shares.share(team).cpus
  }
  /** What our share is changed to, if it is. */
  adjust(
    need: Partial<ShareNeed> & { readonly uses: number; readonly wants: number },
  ): Fiber.Fiber<void> | null {
    const { uses, wants, ...more } = need
    const [change] = this.shares.adjust(() => ({
      used: cpus(uses),
      wanted: cpus(wants),
      smallestTask: wants > uses ? cpus(4) : null,
      asked: "no",
      ...more,
    }))
    return change === undefined ? null : Effect.runFork(change)
  }
  async until(so: () => boolean): Promise<void> {
    for (let i = 0; i < 400 && !so(); i++) await new Promise((resolve) => setTimeout(resolve, 5))
    assert.ok(so())
  }
}
const lost = new StoreError({ operation: "compareAndSwap", outcome: "unknown", status: 0 })
const refused = new StoreError({ operation: "compareAndSwap", outcome: "refused", status: 503 })

test("a smaller share counts from the moment it is asked for, a larger one once it is written", async () => {
  const less = new Fixture({ [ours]: 40 })
  assert.ok(less.adjust({ uses: 8, wants: 8, asked: "first" }))
  assert.equal(less.share, 8)
  const more = new Fixture({ [ours]: 40 })
  more.answers = [{ ok: true, revision: 8 as ModRevision }]
  assert.ok(more.adjust({ uses: 40, wants: 60 }))
  await more.until(() => more.share > 60)
})

// Guards against quota: a reduction without an answer is carried out late, after another part was to be trusted with it.
test("a reduction that got no answer counts until the record has moved, also after a refused repetition", async () => {
  const fixture = new Fixture({ [ours]: 40 })
  fixture.answers = [lost, refused, refused]
  fixture.adjust({ uses: 8, wants: 8, asked: "first" })
  await fixture.until(() => fixture.written.length === 4)
  assert.equal(fixture.share, 8)
  assert.equal(fixture.adjust({ uses: 8, wants: 40 }), null)
})

test("a reduction that was surely refused counts no longer", async () => {
  const fixture = new Fixture({ [ours]: 40 })
  fixture.answers = [refused]
  fixture.adjust({ uses: 8, wants: 8, asked: "first" })
  await fixture.until(() => fixture.share === 40)
  assert.equal(fixture.written.length, 1)
})

test("a lost change whose part went to another owner is given up", async () => {
  const fixture = new Fixture({ [ours]: 40 })
  fixture.answers = [lost, { ok: false, failedKeys: [keys.shard(ours)] }]
  fixture.adjust({ uses: 8, wants: 8, asked: "first" })
  await fixture.until(() => fixture.share === 40)
  assert.equal(fixture.written.length, 2)
})

test("machines are rented by the limit without what other parts have, but for one part's slack", () => {
  const { shares } = new Fixture({ [ours]: 10, "part-1": 30, "part-2": 30, "part-3": 30 })
  // 100 - (90 - 12.5) = 22.5 in all.
  assert.equal(shares.beyond(team, cpus(0), []).cpus, 22.5)
  assert.equal(shares.beyond(team, cpus(10), []).cpus, 12.5)
  assert.equal(new Fixture({ "part-1": 100 }).shares.beyond(team, cpus(0), []).cpus, 12.5)
})

test("what other parts say that they count on counts instead of their shares", () => {
  const { shares } = new Fixture({ [ours]: 10, "part-1": 30, "part-2": 30, "part-3": 30 })
  const claim = (shard: string, amount: number) => ({ shard: shard as ShardName, team: red, ...cpus(amount) })
  // 100 - (10 + 20 + 30 - 12.5) = 52.5: two parts leave some of their shares unused.
  assert.equal(shares.beyond(team, cpus(0), [claim("part-1", 10), claim("part-2", 20)]).cpus, 52.5)
  // A part that has rented beyond its share counts for that.
  assert.equal(shares.beyond(team, cpus(0), [claim("part-1", 50)]).cpus, 2.5)
  assert.equal(
    shares.beyond(team, cpus(0), [{ ...claim("part-1", 50), team: "blue" as TeamName }]).cpus,
    22.5,
  )
})

// Guards against a job left waiting: a part that goes first takes quota back again and again for what fits nowhere.
test("a part that held quota in vain leaves it to the others for a while", () => {
  const fixture = new Fixture({ [ours]: 40 })
  const need = { uses: 0, wants: 40, asked: "after" } as const
  assert.equal(fixture.adjust(need), null)
  fixture.now = 6_001 as MonotonicTime
  assert.ok(fixture.adjust(need))
  assert.equal(fixture.share, 0)
  assert.ok(fixture.shares.yields(red))
  fixture.now = 12_002 as MonotonicTime
  assert.ok(!fixture.shares.yields(red))
})

test("quota that is used, or too little for a task, is no quota held in vain", () => {
  const used = new Fixture({ [ours]: 40 })
  used.adjust({ uses: 0, wants: 40, asked: "after" })
  used.now = 3_000 as MonotonicTime
  used.shares.started(red)
  used.now = 6_001 as MonotonicTime
  assert.ok(used.adjust({ uses: 4, wants: 40, asked: "after" }))
  assert.ok(!used.shares.yields(red))
  const little = new Fixture({ [ours]: 40, "part-1": 60 })
  little.adjust({ uses: 38, wants: 60, asked: "after" })
  little.now = 6_001 as MonotonicTime
  assert.ok(little.adjust({ uses: 38, wants: 60, asked: "after" }))
  assert.ok(!little.shares.yields(red))
})

test("the last bit of a limit is taken when it lets a task start", () => {
  const small = { smallestTask: cpus(0.25) }
  const free = new Fixture({ [ours]: 40, "part-1": 59.75 })
  assert.ok(free.adjust({ uses: 40, wants: 40.25, ...small }))
  const sliver = new Fixture({ [ours]: 40, "part-1": 59.75 })
  assert.equal(sliver.adjust({ uses: 40, wants: 44 }), null)
})

// Guards against a remainder of a limit that the part which goes first waits to see grow, while nobody uses it.
test("what whoever goes first leaves free for long lets one task of another part start", () => {
  const fixture = new Fixture({ [ours]: 0, "part-1": 94 })
  fixture.answers = [{ ok: true, revision: 8 as ModRevision }]
  const waits = { uses: 0, wants: 40, asked: "first" } as const
  assert.equal(fixture.adjust(waits), null)
  fixture.now = 30_000 as MonotonicTime
  assert.equal(fixture.adjust(waits), null)
  fixture.now = 30_001 as MonotonicTime
  assert.ok(fixture.adjust(waits))
  assert.deepEqual(fixture.written.at(-1)?.shares[ours], cpus(4))
  // It is kept until a task had time to start, and given back if none did.
  fixture.now = 33_000 as MonotonicTime
  assert.equal(fixture.adjust(waits), null)
  fixture.now = 33_001 as MonotonicTime
  assert.ok(fixture.adjust(waits))
  assert.deepEqual(fixture.written.at(-1)?.shares[ours], cpus(0))
})

test("free quota that doesn't stay free, or starts no task, is left to whoever goes first", () => {
  const fixture = new Fixture({ [ours]: 0, "part-1": 94 })
  const waits = { uses: 0, wants: 40, asked: "first" } as const
  fixture.adjust(waits)
  fixture.replica.applyWrite({
    key: path,
    value: { shares: { "part-1": cpus(98) } } as QuotaRecord,
    modRevision: 8 as ModRevision,
  })
  fixture.now = 20_000 as MonotonicTime
  assert.equal(fixture.adjust(waits), null)
  fixture.replica.applyWrite({
    key: path,
    value: { shares: { "part-1": cpus(94) } } as QuotaRecord,
    modRevision: 9 as ModRevision,
  })
  fixture.now = 31_000 as MonotonicTime
  assert.equal(fixture.adjust(waits), null)
})
