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

/** Writes a second that the store takes; a rejected write waits for the share of it that is left. */
const WRITES_PER_SECOND = 10

/** A response of the store, or none. */
export type Response = HttpResponse | "none"
export const response = (status: number, body: unknown = null): HttpResponse => ({ status, body })

/** The only node's client of a store that gives these responses in turn, and the requests that it got. */
export const clientWith = (...responses: ReadonlyArray<Response>) =>
  Effect.gen(function* () {
    const requests: Array<HttpRequest> = []
    const call = (request: HttpRequest) =>
      Effect.suspend(() => {
        requests.push(request)
        const next = responses[requests.length - 1]
        return next === undefined || next === "none"
          ? Effect.fail(new NoResponseError({ reason: "no answer in time" }))
          : Effect.succeed(next)
      })
    const limits = { writesPerSecond: WRITES_PER_SECOND, valueKb: 4, maxOperations: 8 }
    const client = yield* Effect.provideService(
      makeStoreClient("store:1" as Address, limits, 1),
      HttpClient,
      { call },
    )
    return { client, requests }
  })

/** Some write. */
export const write: Operation = put(keys.shard("deadline" as ShardName), { owner: null, incarnation: null })

/** Runs a test on a clock that only moves when told to. */
export const onTestClock = <A, E>(test: Effect.Effect<A, E>): Promise<A> =>
  Effect.runPromise(Effect.provide(test, TestClock.layer()))
