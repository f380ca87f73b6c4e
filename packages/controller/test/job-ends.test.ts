import assert from "node:assert/strict"
import { test } from "node:test"
import { JobState } from "@sorreltally/jobs"
import { Mirror } from "@sorreltally/membership"
import { type Change, type Condition, type JobRecord, keys, type StateClient } from "@sorreltally/state"
import type { JobId, Moment, PartName, Revision, Stamp } from "@sorreltally/wire"
import { Effect, Fiber } from "effect"
import { JobBook } from "../src/job-book.ts"
import { type JobEnd, JobEnds } from "../src/job-ends.ts"
import { JobTable } from "../src/job-table.ts"

const PART = "deadline" as PartName
const JOBS = 400
const EPOCH = 1 as Stamp

test("ends of many jobs go together; where nobody else folds them into their pages, the owner does", async () => {
  const stored = new Map<string, { readonly v: unknown; readonly stamp: Stamp }>()
  stored.set(keys.part(PART), { v: {}, stamp: EPOCH })
  let revision = 1
  const puts = { ends: 0, pages: 0 }
  const state = {
    limits: { value_kb: 1, txn_ops: 8, write_rps: 1e6, rps: 1e6 },
    room: () => Effect.void,
    load: () => 0,
    multi: (when: ReadonlyArray<Condition>, apply: ReadonlyArray<Change & { set: string; v: unknown }>) =>
      Effect.sync(() => {
        const failed = when.filter((c) => (stored.get(c.path)?.stamp ?? 0) !== c.stamp)
        if (failed.length > 0) return { ok: false, failed: failed.map((c) => c.path) }
        const stamp = ++revision as Stamp
        for (const change of apply) {
          stored.set(change.set, { v: change.v, stamp })
          puts[change.set.startsWith("s/ends/") ? "ends" : "pages"]++
          assert.ok(JSON.stringify(change.v).length <= 1024)
        }
        return { ok: true, epoch: stamp }
      }),
  } as unknown as StateClient
  const mirror = new Mirror()
  const items = () => [...stored].map(([path, entry]) => ({ path, ...entry }))
  const freshness = { since: Effect.sync(() => mirror.reload(items(), revision as Revision)) } as never
  const book = new JobBook(mirror)
  const table = new JobTable(state, { mirror, freshness }, book, {
    changed: (entry) => Effect.sync(() => mirror.hint(entry)),
    remembered: () => null,
    remember: () => {},
    partOf: () => PART,
  })
  for (let n = 0; n < JOBS; n++) {
    const request = { id: `run-${String(n).padStart(6, "0")}`, pieces: 1, due_s: 9 }
    await Effect.runPromise(table.accept({ request, submitted: 0 } as unknown as JobRecord))
  }
  puts.pages = 0
  let nowMs = 0
  const clock = () => {
    nowMs += 1_000
    return nowMs as Moment
  }
  const told: Array<JobEnd> = []
  const ends = new JobEnds(PART, EPOCH, state, { mirror, freshness }, book, clock, () => true, {
    ended: (some) => told.push(...some),
    fold: (page) => table.fold(page),
  })
  for (const { id, record, page, stamp } of [...book.live()]) {
    const job = new JobState(id, record, page, stamp)
    book.listen((changed, entry) => {
      if (changed === id && entry !== null) job.stamp = entry.stamp
    })
    job.finish(0)
    ends.add(job)
  }
  const fiber = Effect.runFork(ends.run)
  for (let i = 0; i < 2_000 && told.length < JOBS; i++) await new Promise((resolve) => setTimeout(resolve, 5))
  await Effect.runPromise(Fiber.interrupt(fiber))
  assert.equal(new Set(told.map(({ id }: { id: JobId }) => id)).size, JOBS)
  assert.ok(told.every(({ status }) => status === "done"))
  assert.ok(puts.ends < JOBS / 8, `${puts.ends} puts of ends`)
  assert.ok(puts.pages > 0 && puts.pages < JOBS, `${puts.pages} pages folded by the owner`)
})
