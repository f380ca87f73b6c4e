import assert from "node:assert/strict"
import { test } from "node:test"
import type {
  MachineType,
  MachineTypeName,
  MonotonicTime,
  OutgoingResponse,
  Respond,
  WallTime,
} from "@sorreltally/protocol"
import { defaultOperators, type Platform } from "@sorreltally/settings"
import { type FinalStatus, type JobRecord, StoreError } from "@sorreltally/store"
import { Effect } from "effect"
import { Api, type JobService } from "../src/api.ts"
import { Limiter } from "../src/concurrency-limiter.ts"

const good = {
  id: "run-000412",
  lane: "train",
  owner: "vision",
  shape: "batch",
  urgency: "high",
  pieces: 4,
  cores: 8,
  accelerators: 0,
  mem_gb: 16,
  bundle: "img-07",
  image_gb: 6.2,
  builds: null,
  together: true,
  scatter: false,
  loaners: true,
  expected_s: 240,
  snapshot_s: 30,
  flush_s: 4,
  due_s: 900,
}

const harness = (options: { readonly catalog?: boolean; readonly down?: boolean } = {}) => {
  const live = new Map<string, JobRecord>()
  const finals = new Map<string, FinalStatus>()
  const find = (id: string) => {
    const [status, record] = [finals.get(id), live.get(id)]
    if (status !== undefined) return { kind: "final", status } as const
    return record === undefined ? ({ kind: "none" } as const) : ({ kind: "live", record } as const)
  }
  const unlessDown = <A>(answer: () => A) =>
    options.down === true
      ? Effect.fail(new StoreError({ operation: "get", outcome: "refused", status: 503 }))
      : Effect.sync(answer)
  const jobs: JobService = {
    find: (id) => unlessDown(() => find(id)),
    accept: (record) =>
      unlessDown(() => {
        const { id } = record.spec
        const found = find(id)
        if (found.kind !== "none") return found
        live.set(id, record)
        return { kind: "accepted" } as const
      }),
    cancel: (id) =>
      unlessDown(() => {
        const found = find(id)
        if (found.kind === "live") live.set(id, { ...found.record, cancelled: true })
        return find(id)
      }),
  }
  const platform = {
    deployment: {
      zones: ["a"],
      teams: [{ name: "vision", cpus: 16, maxCpus: 32, gpus: 0, maxGpus: 0 }],
    },
  } as unknown as Platform
  const type = { name: "g8", cores: 16, accelerators: 0, memGb: 64, zones: ["a"] } as unknown as MachineType
  const backend = {
    ready: () => true,
    catalog: () => (options.catalog === false ? null : new Map([["g8" as MachineTypeName, type]])),
    jobs,
    counts: () => ({ done: 1, running: 2 }),
    report: (_: unknown, answer: Respond) => answer({ status: 200, body: {} }),
  }
  const time = {
    monotonicNow: () => performance.now() as MonotonicTime,
    wallNow: () => Date.now() as WallTime,
  }
  const api = new Api(platform, defaultOperators(), backend, time)
  const ask = (method: string, path: string, body: unknown = ""): Promise<OutgoingResponse> =>
    Effect.runPromise(
      api.handle({ method, path, body: typeof body === "string" ? body : JSON.stringify(body) }),
    )
  return { ask, finals, submit: (body: unknown) => ask("POST", "/v1/jobs", body) }
}
const status = async (answer: Promise<OutgoingResponse>) => (await answer).status

test("a good submission is accepted once and known ever after", async () => {
  const { ask, submit } = harness()
  assert.deepEqual(await submit({ ...good, colour: "unknown fields are ignored" }), {
    status: 201,
    body: { id: good.id, status: "queued" },
  })
  assert.equal(await status(submit(good)), 200)
  // What we would refuse today was accepted before: that stands.
  assert.equal(await status(submit({ ...good, owner: "nobody" })), 200)
  assert.deepEqual((await ask("GET", `/v1/jobs/${good.id}`)).body, {
    id: good.id,
    status: "running",
    done: 1,
    running: 2,
  })
})

test("malformed submissions get 400", async () => {
  const { submit } = harness()
  for (const bad of [
    "{",
    "[]",
    "3",
    "null",
    {},
    { ...good, id: "job-1" },
    { ...good, id: 7 },
    { ...good, pieces: 0 },
  ]) {
    assert.equal(await status(submit(bad)), 400, JSON.stringify(bad))
  }
  for (const field of ["lane", "owner", "shape", "cores", "together", "expected_s", "image_gb", "urgency"]) {
    const { [field as keyof typeof good]: _, ...rest } = good
    assert.equal(await status(submit(rest)), 400, `without ${field}`)
  }
  for (const wrong of [
    { pieces: 1.5 },
    { pieces: 100_001 },
    { shape: "other" },
    { urgency: "now" },
    { cores: "8" },
  ]) {
    assert.equal(await status(submit({ ...good, ...wrong })), 400, JSON.stringify(wrong))
  }
})

test("what can never run gets 422", async () => {
  const { submit } = harness()
  const never = [
    { owner: "nobody" },
    { cores: 17 },
    { builds: ["g9"] },
    { site: "b" },
    { cores: 33 },
    { accelerators: 1 },
  ]
  for (const wrong of never)
    assert.equal(await status(submit({ ...good, ...wrong })), 422, JSON.stringify(wrong))
})

test("what can't be decided now gets 503 with a time to come back, at once", async () => {
  const unknownTypes = await harness({ catalog: false }).submit(good)
  assert.equal(unknownTypes.status, 503)
  assert.ok((unknownTypes.retryAfterS ?? 0) > 0)
  const down = harness({ down: true })
  const refused = await down.submit(good)
  assert.equal(refused.status, 503)
  assert.ok((refused.retryAfterS ?? 0) > 0)
  assert.equal(await status(down.ask("GET", `/v1/jobs/${good.id}`)), 503)
})

test("unknown jobs, paths and methods", async () => {
  const { ask } = harness()
  assert.equal(await status(ask("GET", "/v1/jobs/run-999999")), 404)
  assert.equal(await status(ask("POST", "/v1/jobs/run-999999/cancel")), 404)
  assert.equal(await status(ask("GET", "/v1/jobs/nonsense")), 404)
  assert.equal(await status(ask("GET", "/v2")), 404)
  assert.equal(await status(ask("GET", "/v1/jobs")), 405)
  assert.equal(await status(ask("DELETE", "/v1/jobs/run-000412")), 405)
  assert.equal(await status(ask("GET", "/ready")), 200)
})

test("a cancelled job stays cancelled; a done one is answered done", async () => {
  const { ask, finals, submit } = harness()
  await submit(good)
  assert.deepEqual((await ask("POST", `/v1/jobs/${good.id}/cancel`)).body, {
    id: good.id,
    status: "withdrawn",
  })
  assert.deepEqual((await submit(good)).body, { id: good.id, status: "withdrawn" })
  finals.set("run-000500", "done")
  assert.deepEqual((await ask("POST", "/v1/jobs/run-000500/cancel")).body, {
    id: "run-000500",
    status: "done",
  })
})

test("the limit on requests in progress follows measured times", () => {
  const limiter = new Limiter({ least: 4, most: 64 })
  const work = (ms: number, rounds: number) => {
    for (let i = 0; i < rounds; i++) limiter.enter(0 as MonotonicTime)?.(ms as MonotonicTime)
  }
  work(10, 200)
  const calm = limiter.current
  assert.ok(calm > 30, `grown to ${calm}`)
  work(400, 20)
  assert.ok(limiter.current < calm / 2, `shrunk to ${limiter.current}`)
  const deferred = Array.from({ length: 100 }, () => limiter.enter(0 as MonotonicTime)).filter(
    (leave) => leave !== null,
  )
  assert.ok(
    deferred.length === limiter.current || deferred.length === limiter.current + 1,
    `${deferred.length} let in`,
  )
  assert.equal(limiter.enter(0 as MonotonicTime), null)
})
