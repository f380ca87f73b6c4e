/** Test fixtures: the client under test, connected to a cloud with scripted responses. */
import {
  type Address,
  HttpClient,
  type HttpRequest,
  type HttpResponse,
  type MachineTypeName,
  NoResponseError,
  type RentalRequest,
  type RentalRequestId,
  type ZoneName,
} from "@sorreltally/protocol"
import { Effect } from "effect"
import { makeCloudClient } from "../src/client.ts"

export const rentalRequest: RentalRequest = {
  requestId: "host-0.1-7" as RentalRequestId,
  machineType: "g8" as MachineTypeName,
  zone: "a" as ZoneName,
  spot: true,
  count: 2,
}

/** A client whose requests get these responses in turn; "lost": the request arrives, its response doesn't. */
export const cloudClientWithAnswers = async (...answers: ReadonlyArray<HttpResponse | "lost">) => {
  const requests: Array<HttpRequest> = []
  const call = (request: HttpRequest) =>
    Effect.suspend(() => {
      const answer = answers[requests.length]
      requests.push(request)
      return answer === undefined || answer === "lost"
        ? Effect.fail(new NoResponseError({ reason: "no answer in time" }))
        : Effect.succeed(answer)
    })
  const makeClient = makeCloudClient("127.0.0.1:1" as Address, { requestsPerSecond: 1_000 }, 1)
  const client = await Effect.runPromise(Effect.provideService(makeClient, HttpClient, { call }))
  return { client, requests }
}
