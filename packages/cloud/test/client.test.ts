import assert from "node:assert/strict"
import { test } from "node:test"
import type { HttpResponse } from "@sorreltally/protocol"
import { Effect, Result } from "effect"
import type { CloudError } from "../src/client.ts"
import { cloudAnswering, rentalRequest } from "./builders.ts"

const rented: HttpResponse = { status: 200, body: { hosts: ["i-000001", "i-000002"] } }
/** How a rental request fails that is answered like this. */
const rentalError = async (answer: HttpResponse | "lost"): Promise<CloudError> => {
  const { client } = await cloudAnswering(answer)
  return Effect.runPromise(Effect.flip(client.rent(rentalRequest, () => true)))
}

// Guards against a rental that is paid twice: the cloud knows a repeated request by its id and body.
test("a rental request repeated after a lost answer is the same request, byte for byte", async () => {
  const { client, requests } = await cloudAnswering("lost", rented)
  const first = await Effect.runPromise(Effect.result(client.rent(rentalRequest, () => true)))
  assert.ok(Result.isFailure(first))
  const second = await Effect.runPromise(client.rent(rentalRequest, () => true))
  assert.deepEqual(second, { kind: "rented", machines: ["i-000001", "i-000002"] })
  const sent = requests.map(({ method, path, body }) => JSON.stringify([method, path, body]))
  assert.equal(sent.length, 2)
  assert.equal(sent[1], sent[0])
})

test("a 503 that names no capacity is an outcome and no error", async () => {
  const { client } = await cloudAnswering({ status: 503, body: { error: "no capacity" } })
  const outcome = await Effect.runPromise(client.rent(rentalRequest, () => true))
  assert.deepEqual(outcome, { kind: "no-capacity" })
})

// Guards against a rental taken for refused that the cloud has carried out, or may yet carry out.
test("a rental request without an answer has an unknown outcome", async () => {
  const { operation, outcome, status } = await rentalError("lost")
  assert.deepEqual({ operation, outcome, status }, { operation: "rent", outcome: "unknown", status: 0 })
})

for (const answer of [
  { status: 400, body: { error: "no such type" } },
  { status: 429, body: null },
  { status: 503, body: { error: "busy" } },
])
  test(`a rental request answered ${answer.status} is refused, with its status`, async () => {
    const { operation, outcome, status } = await rentalError(answer)
    assert.deepEqual(
      { operation, outcome, status },
      { operation: "rent", outcome: "refused", status: answer.status },
    )
  })

test("a rental that isn't wanted any more when its turn comes is not sent", async () => {
  const { client, requests } = await cloudAnswering(rented)
  const outcome = await Effect.runPromise(client.rent(rentalRequest, () => false))
  assert.deepEqual([outcome, requests], [{ kind: "dropped" }, []])
})
