import assert from "node:assert/strict"
import { test } from "node:test"
import { Replica } from "@sorreltally/membership"
import type { JobId, ModRevision, Revision, ShardName } from "@sorreltally/protocol"
import {
  type Condition,
  encodeRecord,
  type JobRecord,
  keys,
  type Operation,
  put,
  type StoreClient,
} from "@sorreltally/store"
import { Effect } from "effect"
import { JobIndex } from "../src/job-index.ts"
import { bucketOf, digitsOf } from "../src/job-pages.ts"
import { type Acceptance, JobStore } from "../src/job-store.ts"

const SHARD = "part-0" as ShardName
const limits = { valueKb: 2, maxOperations: 8, writesPerSecond: 100 }

/** The keys, and transactions that reach them late. */
class Store {
  readonly keys = new Map<string, { readonly value: unknown; readonly modRevision: ModRevision }>()
  revision = 0
  /** Transactions from now on get no answer; what they asked for is kept. */
  holding = false
  readonly deferred: Array<{
    readonly when: ReadonlyArray<Condition>
    readonly apply: ReadonlyArray<Operation>
  }> = []

  multi(when: ReadonlyArray<Condition>, apply: ReadonlyArray<Operation>) {
    const failedKeys = when
      .filter((c) => (this.keys.get(c.key)?.modRevision ?? 0) !== c.modRevision)
      .map((c) => c.key)
    if (failedKeys.length > 0) return { ok: false, failedKeys } as const
    this.revision++
    const modRevision = this.revision as ModRevision
    for (const change of apply)
      if (change.kind === "put") this.keys.set(change.key, { value: change.value, modRevision })
    return { ok: true, revision: modRevision } as const
  }
  readonly client = {
    limits,
    compareAndSwap: (when: ReadonlyArray<Condition>, apply: ReadonlyArray<Operation>) =>
      Effect.suspend(() => {
        if (!this.holding) return Effect.succeed(this.multi(when, apply))
        this.deferred.push({ when, apply })
        return Effect.never
      }),
    list: (prefix: string) =>
      Effect.sync(() => ({ items: this.under(prefix), revision: this.revision as Revision })),
  } as unknown as StoreClient

  under(prefix: string) {
    const all = [...this.keys]
      .filter(([path]) => path.startsWith(prefix))
      .sort(([a], [b]) => (a < b ? -1 : 1))
    return all.map(([key, entry]) => ({ key, ...entry }))
  }
}

/** One controller's view of the store. */
const nodeOf = (store: Store) => {
  const replica = new Replica()
  const jobIndex = new JobIndex(replica)
  const refresh = () => replica.loadSnapshot(store.under("s/"), store.revision as Revision)
  const readBarrier = { wait: Effect.sync(refresh) } as never
  const table = new JobStore(store.client, { replica, readBarrier }, jobIndex, {
    changed: (entry) => Effect.sync(() => replica.applyWrite(entry)),
    remembered: () => null,
    remember: () => {},
    shardOf: () => SHARD,
  })
  return { replica, jobIndex, table, refresh }
}
const run = <A>(effect: Effect.Effect<A, unknown>) => Effect.runPromise(effect as Effect.Effect<A>)
const jobRecord = (id: string): JobRecord =>
  ({
    spec: { id, jobClass: "l", team: "o", taskCount: 1, cores: 1, deadlineS: null },
    submittedAt: 0,
    cancelled: false,
  }) as never
const idAt = (n: number) => `run-${String(n).padStart(6, "0")}` as JobId
/** The first ids that fall into one bucket. */
const sameBucket = (count: number): ReadonlyArray<JobId> => {
  const ids: Array<JobId> = []
  for (let n = 1; ids.length < count; n++) if (bucketOf(idAt(n)) === bucketOf(idAt(1))) ids.push(idAt(n))
  return ids
}
/** Writes an end as the part's owner would. */
const end = (store: Store, ids: ReadonlyArray<JobId>, cancelled: ReadonlyArray<JobId> = []) =>
  store.multi(
    [],
    [put(keys.endsPage(SHARD, 0), { done: ids.map(digitsOf), cancelled: cancelled.map(digitsOf) })],
  )

test("two nodes that accept the same id at the same moment make one job", async () => {
  const store = new Store()
  const [a, b] = [nodeOf(store), nodeOf(store)]
  const id = idAt(1)
  const answers = await Promise.all([a, b].map(({ table }) => run(table.accept(jobRecord(id)))))
  assert.deepEqual(answers.map(({ kind }: Acceptance) => kind).sort(), ["accepted", "live"])
})

test("an acceptance that comes late, after the job was accepted again and is over, changes nothing", async () => {
  const store = new Store()
  const [late, other] = [nodeOf(store), nodeOf(store)]
  const [id, next] = sameBucket(2) as [JobId, JobId]
  store.holding = true
  const waiting = Effect.runFork(late.table.accept(jobRecord(id)))
  await new Promise((resolve) => setTimeout(resolve, 5))
  store.holding = false
  assert.equal((await run(other.table.accept(jobRecord(id)))).kind, "accepted")
  end(store, [id])
  other.refresh()
  assert.equal((await run(other.table.accept(jobRecord(next)))).kind, "accepted")
  end(store, [])
  assert.equal(store.deferred.length, 1)
  assert.equal(store.multi(store.deferred[0]!.when, store.deferred[0]!.apply).ok, false)
  for (const { table } of [late, other])
    assert.deepEqual(await run(table.find(id)), { kind: "final", status: "done" })
  waiting.interruptUnsafe()
})

test("a cancellation that races the end of its job is answered with the end", async () => {
  const store = new Store()
  const node = nodeOf(store)
  const id = idAt(7)
  await run(node.table.accept(jobRecord(id)))
  // The end becomes durable after the cancelling node has read the job as live.
  const { compareAndSwap } = store.client
  let first = true
  Object.assign(store.client, {
    compareAndSwap: (when: never, apply: never) => {
      if (first) end(store, [id])
      first = false
      return compareAndSwap(when, apply, 1)
    },
  })
  assert.deepEqual(await run(node.table.cancel(id)), { kind: "final", status: "done" })
  node.refresh()
  assert.equal(node.jobIndex.get(id), null)
})

test("final states outgrow the page, and are found in the archive; unknown ids stay unknown", async () => {
  const store = new Store()
  const node = nodeOf(store)
  const ids = sameBucket(260)
  const [unknown, ...known] = ids as [JobId, ...Array<JobId>]
  for (const id of known) {
    assert.equal((await run(node.table.accept(jobRecord(id)))).kind, "accepted")
    end(store, [id])
    node.refresh()
  }
  const page = keys.jobPage(bucketOf(unknown), 0)
  assert.ok(store.under(keys.archive(bucketOf(unknown))).length >= 2, "some are archived")
  assert.ok(JSON.stringify(encodeRecord(page, store.keys.get(page)!.value)).length < limits.valueKb * 1024)
  const newcomer = nodeOf(store)
  for (const id of known) {
    assert.deepEqual(await run(newcomer.table.find(id)), { kind: "final", status: "done" }, id)
    assert.deepEqual(await run(newcomer.table.accept(jobRecord(id))), { kind: "final", status: "done" })
  }
  assert.equal((await run(newcomer.table.find(unknown))).kind, "none")
})

test("more live jobs than a page holds go to further pages, each id once", async () => {
  const store = new Store()
  const [a, b] = [nodeOf(store), nodeOf(store)]
  const ids = sameBucket(30)
  for (const [n, id] of ids.entries())
    assert.equal((await run((n % 2 === 0 ? a : b).table.accept(jobRecord(id)))).kind, "accepted")
  a.refresh()
  assert.ok(a.jobIndex.pages(bucketOf(ids[0]!)).length > 1)
  for (const id of ids) assert.equal((await run(b.table.accept(jobRecord(id)))).kind, "live")
  assert.equal([...a.jobIndex.live()].length, ids.length)
})

test("a full read that finds an end no longer named, before the page that holds its final state, revives no job", () => {
  const store = new Store()
  const node = nodeOf(store)
  const id = idAt(3)
  const path = keys.jobPage(bucketOf(id), 0)
  store.multi([], [put(path, { jobs: [jobRecord(id)], done: [], cancelled: [], archivedPages: 0 })])
  end(store, [id])
  node.refresh()
  assert.equal(node.jobIndex.get(id), null)
  const revived: Array<JobId> = []
  node.jobIndex.listen((job, entry) => {
    if (entry !== null) revived.push(job)
  })
  store.multi([], [put(path, { jobs: [], done: [digitsOf(id)], cancelled: [], archivedPages: 0 })])
  end(store, [])
  node.refresh()
  assert.deepEqual(revived, [])
  assert.equal(node.jobIndex.finalOf(id, node.jobIndex.pages(bucketOf(id))), "done")
})
