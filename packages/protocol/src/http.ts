/**
 * HTTP as the service sees it: a client for its own requests, and the typed form of requests and
 * responses of its server. Knows no path and no body; sockets are the daemon's, or the simulation's.
 */
import { Context, Data, Effect, Option } from "effect"
import type { Address } from "./ids.ts"

/**
 * No response came in time, or the connection failed: the request may have been carried out, or may
 * be at any later time (protocol, "Delayed messages").
 */
export class NoResponseError extends Data.TaggedError("NoResponseError")<{
  /** What happened to the connection, for the log. */
  readonly reason: string
}> {}

/** A request of this node to a worker, the cloud or the store. */
export interface HttpRequest {
  readonly address: Address
  readonly method: "GET" | "POST" | "DELETE"
  /** Path with its query. */
  readonly path: string
  /** Sent as JSON; absent: no body. */
  readonly body?: unknown
  /** Milliseconds after which the response is no longer waited for. */
  readonly timeoutMs: number
}
/** A complete response, whatever its status. */
export interface HttpResponse {
  readonly status: number
  /** The parsed JSON body, or null when there was none or it was no JSON. */
  readonly body: unknown
}
/** An HTTP client: Node's in the daemon, an in-memory one in the tests. */
export class HttpClient extends Context.Service<
  HttpClient,
  {
    /** Sends the request once; nothing is repeated here. */
    readonly call: (request: HttpRequest) => Effect.Effect<HttpResponse, NoResponseError>
  }
>()("sorreltally/HttpClient") {}

/** A client of a transport that may never respond: a request is abandoned after its own timeout. */
export const withTimeout = (
  send: (request: HttpRequest) => Effect.Effect<HttpResponse, NoResponseError>,
): HttpClient["Service"] => ({
  call: (request) =>
    send(request).pipe(
      Effect.timeoutOption(request.timeoutMs),
      Effect.flatMap(
        Option.match({
          onNone: () => Effect.fail(new NoResponseError({ reason: "no answer in time" })),
          onSome: (response: HttpResponse) => Effect.succeed(response),
        }),
      ),
    ),
})

/** A request as the daemon's server or the tests pass it in. */
export interface IncomingRequest {
  readonly method: string
  /** Path with its query. */
  readonly path: string
  /** Raw text, not parsed yet. */
  readonly body: string
}
/** The response to an incoming request. */
export interface OutgoingResponse {
  readonly status: number
  /** Sent as JSON. */
  readonly body: unknown
  /** The `Retry-After` header, in seconds; absent: none. */
  readonly retryAfterS?: number
}
/** Sends the response to one request; called exactly once. */
export type Respond = (response: OutgoingResponse) => void
