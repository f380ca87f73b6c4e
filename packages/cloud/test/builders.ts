/** A cloud that answers as a test says, and the client under test. */
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

/** Answers requests in turn; "lost": the request arrives, its answer doesn't. */
export const cloudAnswering = async (...answers: ReadonlyArray<HttpResponse | "lost">) => {
  const requests: Array<HttpRequest> = []
  const call = (request: HttpRequest) =>
    Effect.suspend(() => {
      const answer = answers[requests.length]
      requests.push(request)
      return answer === undefined || answer === "lost"
        ? Effect.fail(new NoResponseError({ reason: "no answer in time" }))
        : Effect.succeed(answer)
    })
  const making = makeCloudClient("127.0.0.1:1" as Address, { requestsPerSecond: 1_000 }, 1)
  const client = await Effect.runPromise(Effect.provideService(making, HttpClient, { call }))
  return { client, requests }
}
