import assert from "node:assert/strict"
import { describe, it } from "node:test"
import { buildApi, statusOf, submission } from "./builders.ts"

describe("a submission", () => {
  it("is accepted once, and repeated submissions get the same job", async () => {
    const { send, submit } = buildApi()
    assert.deepEqual(await submit({ ...submission, colour: "unknown fields are ignored" }), {
      status: 201,
      body: { id: submission.id, status: "queued" },
    })
    assert.equal(await statusOf(submit(submission)), 200)
    // A repeated submission gets the accepted job even if its own content would be refused.
    assert.equal(await statusOf(submit({ ...submission, owner: "nobody" })), 200)
    assert.deepEqual((await send("GET", `/v1/jobs/${submission.id}`)).body, {
      id: submission.id,
      status: "running",
      done: 1,
      running: 2,
    })
  })

  it("gets 400 if it is malformed", async () => {
    const { submit } = buildApi()
    const malformed = [
      "{",
      "[]",
      "3",
      "null",
      {},
      { ...submission, id: "job-1" },
      { ...submission, id: 7 },
      { ...submission, pieces: 0 },
    ]
    for (const body of malformed) assert.equal(await statusOf(submit(body)), 400, JSON.stringify(body))
    const required = ["lane", "owner", "shape", "cores", "together", "expected_s", "image_gb", "urgency"]
    for (const field of required) {
      const { [field as keyof typeof submission]: _, ...incomplete } = submission
      assert.equal(await statusOf(submit(incomplete)), 400, `without ${field}`)
    }
    const invalidFields = [
      { pieces: 1.5 },
      { pieces: 100_001 },
      { shape: "other" },
      { urgency: "now" },
      { cores: "8" },
    ]
    for (const fields of invalidFields)
      assert.equal(await statusOf(submit({ ...submission, ...fields })), 400, JSON.stringify(fields))
  })

  it("gets 422 if the job can never run", async () => {
    const { submit } = buildApi()
    const impossibleFields = [
      { owner: "nobody" },
      { cores: 17 },
      { builds: ["g9"] },
      { site: "b" },
      { cores: 33 },
      { accelerators: 1 },
    ]
    for (const fields of impossibleFields)
      assert.equal(await statusOf(submit({ ...submission, ...fields })), 422, JSON.stringify(fields))
  })

  // Guards against users who repeat a submission for a minute that can never be stored.
  it("gets 422 if the job's record is larger than a value of the store may be", async () => {
    const { submit } = buildApi()
    const builds = Array.from({ length: 20 }, () => "g8")
    assert.equal(await statusOf(submit({ ...submission, builds })), 422)
  })

  it("gets 503 with retry-after if machine types are unknown or the store refuses requests", async () => {
    const machineTypesUnknown = await buildApi({ machineTypesKnown: false }).submit(submission)
    assert.equal(machineTypesUnknown.status, 503)
    assert.ok((machineTypesUnknown.retryAfterS ?? 0) > 0)
    const apiWithoutStore = buildApi({ storeDown: true })
    const refused = await apiWithoutStore.submit(submission)
    assert.equal(refused.status, 503)
    assert.ok((refused.retryAfterS ?? 0) > 0)
    assert.equal(await statusOf(apiWithoutStore.send("GET", `/v1/jobs/${submission.id}`)), 503)
  })
})

describe("a request", () => {
  it("for an unknown job, path or method gets 404 or 405", async () => {
    const { send } = buildApi()
    assert.equal(await statusOf(send("GET", "/v1/jobs/run-999999")), 404)
    assert.equal(await statusOf(send("POST", "/v1/jobs/run-999999/cancel")), 404)
    assert.equal(await statusOf(send("GET", "/v1/jobs/nonsense")), 404)
    assert.equal(await statusOf(send("GET", "/v2")), 404)
    assert.equal(await statusOf(send("GET", "/v1/jobs")), 405)
    assert.equal(await statusOf(send("DELETE", "/v1/jobs/run-000412")), 405)
    assert.equal(await statusOf(send("GET", "/ready")), 200)
  })
})

describe("the metrics", () => {
  it("are answered as text in the Prometheus format", async () => {
    const { status, contentType, body } = await buildApi().send("GET", "/metrics")
    assert.equal(status, 200)
    assert.match(contentType ?? "", /^text\/plain/)
    assert.equal(typeof body, "string")
  })
})

describe("a cancellation", () => {
  it("is durable for a live job, and doesn't change a job that is done", async () => {
    const { send, finals, submit } = buildApi()
    await submit(submission)
    assert.deepEqual((await send("POST", `/v1/jobs/${submission.id}/cancel`)).body, {
      id: submission.id,
      status: "withdrawn",
    })
    assert.deepEqual((await submit(submission)).body, { id: submission.id, status: "withdrawn" })
    finals.set("run-000500", "done")
    assert.deepEqual((await send("POST", "/v1/jobs/run-000500/cancel")).body, {
      id: "run-000500",
      status: "done",
    })
  })
})
