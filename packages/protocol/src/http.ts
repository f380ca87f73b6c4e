import { Context, Data, Effect, Option } from "effect"
import type { Address } from "./ids.ts"

/** Nobody answered in time: the request may have been carried out, or may be yet. */
export class NoResponseError extends Data.TaggedError("NoAnswer")<{ readonly reason: string }> {}

export interface HttpRequest {
  readonly address: Address
  readonly method: "GET" | "POST" | "DELETE"
  readonly path: string
  readonly body?: unknown
  readonly timeoutMs: number
}
export interface HttpResponse {
  readonly status: number
  /** The parsed JSON body, or null when there was none or it was no JSON. */
  readonly body: unknown
}
/** An HTTP client: Node's in the daemon, an in-memory one in the tests. */
export class HttpClient extends Context.Service<
  HttpClient,
  { readonly call: (call: HttpRequest) => Effect.Effect<HttpResponse, NoResponseError> }
>()("sorreltally/Exchange") {}

/** Makes an exchange of something that may never answer: what takes longer than the call allows is given up. */
export const withTimeout = (
  once: (call: HttpRequest) => Effect.Effect<HttpResponse, NoResponseError>,
): HttpClient["Service"] => ({
  call: (call) =>
    once(call).pipe(
      Effect.timeoutOption(call.timeoutMs),
      Effect.flatMap(
        Option.match({
          onNone: () => Effect.fail(new NoResponseError({ reason: "no answer in time" })),
          onSome: (reply: HttpResponse) => Effect.succeed(reply),
        }),
      ),
    ),
})

/** A request as the daemon's server or the tests hand it in; `body` is raw text. */
export interface IncomingRequest {
  readonly method: string
  readonly path: string
  readonly body: string
}
export interface OutgoingResponse {
  readonly status: number
  readonly body: unknown
  readonly retryAfterS?: number
}
/** Takes the answer to one request, once. */
export type Respond = (answer: OutgoingResponse) => void
