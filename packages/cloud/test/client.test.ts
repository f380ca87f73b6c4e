import assert from "node:assert/strict"
import { test } from "node:test"
import type { HttpResponse } from "@sorreltally/protocol"
import { Effect, Result } from "effect"
import type { CloudError } from "../src/client.ts"
import { cloudClientWithAnswers, rentalRequest } from "./builders.ts"

const rented: HttpResponse = { status: 200, body: { hosts: ["i-000001", "i-000002"] } }
/** The error of a rental request that gets this response. */
const rentalError = async (answer: HttpResponse | "lost"): Promise<CloudError> => {
  const { client } = await cloudClientWithAnswers(answer)
  return Effect.runPromise(Effect.flip(client.rent(rentalRequest, () => true)))
}

// Guards against renting twice: the cloud recognises a repeated request by its request id and body.
test("a rental request retried after a lost response is identical byte for byte", async () => {
  const { client, requests } = await cloudClientWithAnswers("lost", rented)
  const first = await Effect.runPromise(Effect.result(client.rent(rentalRequest, () => true)))
  assert.ok(Result.isFailure(first))
  const second = await Effect.runPromise(client.rent(rentalRequest, () => true))
  assert.deepEqual(second, { kind: "rented", machines: ["i-000001", "i-000002"] })
  const sent = requests.map(({ method, path, body }) => JSON.stringify([method, path, body]))
  assert.equal(sent.length, 2)
  assert.equal(sent[1], sent[0])
})

test('a 503 response with "no capacity" is an outcome, not an error', async () => {
  const { client } = await cloudClientWithAnswers({ status: 503, body: { error: "no capacity" } })
  const outcome = await Effect.runPromise(client.rent(rentalRequest, () => true))
  assert.deepEqual(outcome, { kind: "no-capacity" })
})

// Guards against treating a rental as refused that the cloud has carried out, or may still carry out.
test("a rental request without a response has an unknown outcome", async () => {
  const { operation, outcome, status } = await rentalError("lost")
  assert.deepEqual({ operation, outcome, status }, { operation: "rent", outcome: "unknown", status: 0 })
})

for (const answer of [
  { status: 400, body: { error: "no such type" } },
  { status: 429, body: null },
  { status: 503, body: { error: "busy" } },
])
  test(`a rental request answered with ${answer.status} fails as refused, with that status`, async () => {
    const { operation, outcome, status } = await rentalError(answer)
    assert.deepEqual(
      { operation, outcome, status },
      { operation: "rent", outcome: "refused", status: answer.status },
    )
  })

test("a rental request that is no longer needed when the rate limit admits it is not sent", async () => {
  const { client, requests } = await cloudClientWithAnswers(rented)
  const outcome = await Effect.runPromise(client.rent(rentalRequest, () => false))
  assert.deepEqual([outcome, requests], [{ kind: "dropped" }, []])
})
