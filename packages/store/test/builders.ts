import {
  type Address,
  HttpClient,
  type HttpRequest,
  type HttpResponse,
  NoResponseError,
  type ShardName,
} from "@sorreltally/protocol"
import { Effect } from "effect"
import { TestClock } from "effect/testing"
import { makeStoreClient } from "../src/make-client.ts"
import { type Operation, put } from "../src/model.ts"
import { keys } from "../src/records/keys.ts"

/** The store's write limit; a rejected write waits for the capacity left at the reduced rate. */
const WRITES_PER_SECOND = 10

/** A response of the store, or "none" if the request times out. */
export type StubResponse = HttpResponse | "none"
export const stubResponse = (status: number, body: unknown = null): HttpResponse => ({ status, body })

/** A single node's client of a store that gives these responses in turn, with the requests that were sent. */
export const makeClientWithResponses = (...responses: ReadonlyArray<StubResponse>) =>
  Effect.gen(function* () {
    const requests: Array<HttpRequest> = []
    const call = (request: HttpRequest) =>
      Effect.suspend(() => {
        requests.push(request)
        const next = responses[requests.length - 1]
        return next === undefined || next === "none"
          ? Effect.fail(new NoResponseError({ reason: "request timed out" }))
          : Effect.succeed(next)
      })
    const log = { error: () => {}, info: () => {}, debug: () => {} }
    const limits = {
      requestsPerSecond: 100,
      writesPerSecond: WRITES_PER_SECOND,
      valueKb: 4,
      maxOperations: 8,
    }
    const client = yield* Effect.provideService(
      makeStoreClient({ address: "store:1" as Address, limits, announcedLimits: null, nodeCount: 1, log }),
      HttpClient,
      { call },
    )
    return { client, requests }
  })

/** An arbitrary write. */
export const sampleWrite: Operation = put(keys.shard("deadline" as ShardName), {
  owner: null,
  incarnation: null,
})

/** Runs a test on a clock that advances only by `TestClock.adjust`. */
export const runOnTestClock = <A, E>(test: Effect.Effect<A, E>): Promise<A> =>
  Effect.runPromise(Effect.provide(test, TestClock.layer()))
