import { Context, Data, Effect, Option } from "effect"
import type { Address } from "./ids.ts"

/** Nobody answered in time: the request may have been carried out, or may be yet. */
export class NoAnswer extends Data.TaggedError("NoAnswer")<{ readonly reason: string }> {}

export interface Call {
  readonly address: Address
  readonly method: "GET" | "POST" | "DELETE"
  readonly path: string
  readonly body?: unknown
  readonly timeoutMs: number
}
export interface Reply {
  readonly status: number
  /** The parsed JSON body, or null when there was none or it was no JSON. */
  readonly body: unknown
}
/** An HTTP client: Node's in the daemon, an in-memory one in the tests. */
export class Exchange extends Context.Service<
  Exchange,
  { readonly call: (call: Call) => Effect.Effect<Reply, NoAnswer> }
>()("sorreltally/Exchange") {}

/** Makes an exchange of something that may never answer: what takes longer than the call allows is given up. */
export const answeredInTime = (
  once: (call: Call) => Effect.Effect<Reply, NoAnswer>,
): Exchange["Service"] => ({
  call: (call) =>
    once(call).pipe(
      Effect.timeoutOption(call.timeoutMs),
      Effect.flatMap(
        Option.match({
          onNone: () => Effect.fail(new NoAnswer({ reason: "no answer in time" })),
          onSome: (reply: Reply) => Effect.succeed(reply),
        }),
      ),
    ),
})

/** A request as the daemon's server or the tests hand it in; `body` is raw text. */
export interface Incoming {
  readonly method: string
  readonly path: string
  readonly body: string
}
export interface Outgoing {
  readonly status: number
  readonly body: unknown
  readonly retryAfterS?: number
}
/** Takes the answer to one request, once. */
export type Answer = (answer: Outgoing) => void
