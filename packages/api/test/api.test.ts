import assert from "node:assert/strict"
import { describe, it } from "node:test"
import { buildApi, statusOf, submission } from "./builders.ts"

describe("a submission", () => {
  it("is accepted once and known ever after", async () => {
    const { send, submit } = buildApi()
    assert.deepEqual(await submit({ ...submission, colour: "unknown fields are ignored" }), {
      status: 201,
      body: { id: submission.id, status: "queued" },
    })
    assert.equal(await statusOf(submit(submission)), 200)
    // What would be refused today was accepted before: that stands.
    assert.equal(await statusOf(submit({ ...submission, owner: "nobody" })), 200)
    assert.deepEqual((await send("GET", `/v1/jobs/${submission.id}`)).body, {
      id: submission.id,
      status: "running",
      done: 1,
      running: 2,
    })
  })

  it("gets 400 where it is malformed", async () => {
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
      const { [field as keyof typeof submission]: _, ...without } = submission
      assert.equal(await statusOf(submit(without)), 400, `without ${field}`)
    }
    const wrong = [
      { pieces: 1.5 },
      { pieces: 100_001 },
      { shape: "other" },
      { urgency: "now" },
      { cores: "8" },
    ]
    for (const fields of wrong)
      assert.equal(await statusOf(submit({ ...submission, ...fields })), 400, JSON.stringify(fields))
  })

  it("gets 422 where it can never run", async () => {
    const { submit } = buildApi()
    const impossible = [
      { owner: "nobody" },
      { cores: 17 },
      { builds: ["g9"] },
      { site: "b" },
      { cores: 33 },
      { accelerators: 1 },
    ]
    for (const fields of impossible)
      assert.equal(await statusOf(submit({ ...submission, ...fields })), 422, JSON.stringify(fields))
  })

  it("gets 503 with a time to retry, at once, where it can't be decided now", async () => {
    const typesUnknown = await buildApi({ knowsMachineTypes: false }).submit(submission)
    assert.equal(typesUnknown.status, 503)
    assert.ok((typesUnknown.retryAfterS ?? 0) > 0)
    const storeDown = buildApi({ storeDown: true })
    const refused = await storeDown.submit(submission)
    assert.equal(refused.status, 503)
    assert.ok((refused.retryAfterS ?? 0) > 0)
    assert.equal(await statusOf(storeDown.send("GET", `/v1/jobs/${submission.id}`)), 503)
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

describe("a cancellation", () => {
  it("stands for a live job, and leaves a job that is done as it is", async () => {
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
