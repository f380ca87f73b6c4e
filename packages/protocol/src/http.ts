/**
 * HTTP interfaces of the service: the client for outgoing requests, and the types of the server's requests
 * and responses. Independent of paths and bodies; the daemon or the simulation provides the transport.
 */
import { Context, Data, Effect, Option } from "effect"
import type { Address } from "./ids.ts"

/**
 * The request timed out or the connection failed: the request may have been executed, or may still be
 * executed at any later time (protocol, "Delayed messages").
 */
export class NoResponseError extends Data.TaggedError("NoResponseError")<{
  /** Cause of the failure, for the log. */
  readonly reason: string
}> {}

/** A request from this node to a worker, the cloud or the store. */
export interface HttpRequest {
  readonly address: Address
  readonly method: "GET" | "POST" | "DELETE"
  /** Path including the query. */
  readonly path: string
  /** Sent as JSON; absent for a request without a body. */
  readonly body?: unknown
  /** Time-out of the response, in milliseconds. */
  readonly timeoutMs: number
}
/** A complete response, of any status. */
export interface HttpResponse {
  readonly status: number
  /** Parsed JSON body; null if the body was empty or not valid JSON. */
  readonly body: unknown
}
/** HTTP client: over Node's `http` in the daemon, in memory in tests. */
export class HttpClient extends Context.Service<
  HttpClient,
  {
    /** Sends the request once, without retries. */
    readonly call: (request: HttpRequest) => Effect.Effect<HttpResponse, NoResponseError>
  }
>()("sorreltally/HttpClient") {}

/** Builds a client on a transport that may never respond: each request fails after its `timeoutMs`. */
export const withTimeout = (
  send: (request: HttpRequest) => Effect.Effect<HttpResponse, NoResponseError>,
): HttpClient["Service"] => ({
  call: (request) =>
    send(request).pipe(
      Effect.timeoutOption(request.timeoutMs),
      Effect.flatMap(
        Option.match({
          onNone: () =>
            Effect.fail(new NoResponseError({ reason: `no response within ${request.timeoutMs} ms` })),
          onSome: (response: HttpResponse) => Effect.succeed(response),
        }),
      ),
    ),
})

/** A request received by the daemon's server or passed in by a test. */
export interface IncomingRequest {
  readonly method: string
  /** Path including the query. */
  readonly path: string
  /** Unparsed text. */
  readonly body: string
}
/** The response to an incoming request. */
export interface OutgoingResponse {
  readonly status: number
  /** Sent as JSON, unless `contentType` is given. */
  readonly body: unknown
  /** Type of a body that is a string and sent as it is; absent for JSON. */
  readonly contentType?: string
  /** Value of the `Retry-After` header, in seconds; absent for a response without it. */
  readonly retryAfterS?: number
}
/** Sends the response to a request; called exactly once per request. */
export type Respond = (response: OutgoingResponse) => void
