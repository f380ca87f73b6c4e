import { type Haste, SharedPace } from "@sorreltally/pacing"
import {
  type Address,
  Exchange,
  type GrantId,
  type NoAnswer,
  type Reply,
  type Revision,
  type Stamp,
  timekeeper,
} from "@sorreltally/wire"
import { Data, Effect } from "effect"

/**
 * The state service didn't do what was asked. `unknown` means that it may have
 * been done, or may be done at any later time; otherwise it was not done.
 */
export class StateTrouble extends Data.TaggedError("StateTrouble")<{
  readonly outcome: "refused" | "unknown"
  readonly status: number
}> {}

export interface Entry {
  readonly path: string
  readonly v: unknown
  readonly stamp: Stamp
}
export interface Condition {
  readonly path: string
  readonly stamp: Stamp
}
export type Change =
  | { readonly set: string; readonly v: unknown; readonly permit?: GrantId }
  | { readonly delete: string }
export type TxnResult =
  | { readonly ok: true; readonly epoch: Stamp }
  | { readonly ok: false; readonly failed: ReadonlyArray<string> }
type News =
  | { readonly kind: "news"; readonly epoch: Revision; readonly changes: ReadonlyArray<NewsItem> }
  | { readonly kind: "too-old" }
export type NewsItem = {
  readonly path: string
  readonly v: unknown
  readonly stamp: Stamp
  readonly gone: boolean
}

export interface StateLimits {
  readonly write_rps: number
  readonly value_kb: number
  readonly txn_ops: number
}

export interface StateClient {
  readonly get: (path: string, timeoutMs?: number) => Effect.Effect<Entry | null, StateTrouble>
  /** Every key under a prefix; the revision is the one the first page was read at. */
  readonly list: (
    prefix: string,
  ) => Effect.Effect<{ readonly items: ReadonlyArray<Entry>; readonly epoch: Revision }, StateTrouble>
  /** Haste 0: grants and parts; 1: users and rentals; 2: placements and ends; 3: tidying. */
  readonly multi: (
    when: ReadonlyArray<Condition>,
    apply: ReadonlyArray<Change>,
    haste: Haste | "paid",
    timeoutMs?: number,
  ) => Effect.Effect<TxnResult, StateTrouble>
  /** Waits for the turn of that many changes; `multi` is then called as paid, with what is ready by then. */
  readonly room: (changes: number, haste: Haste) => Effect.Effect<void>
  readonly grant: (ttlMs: number) => Effect.Effect<GrantId, StateTrouble>
  /** False: the grant has ended. */
  readonly touch: (grant: GrantId, timeoutMs: number) => Effect.Effect<boolean, StateTrouble>
  readonly revoke: (grant: GrantId) => Effect.Effect<void, StateTrouble>
  /** Given up when no answer has come `answerMs` after the blocking time. */
  readonly watch: (
    prefix: string,
    after: Revision,
    blockMs: number,
    answerMs?: number,
  ) => Effect.Effect<News, StateTrouble>
  readonly limits: StateLimits
  /** Changes a second that this node made of late; and what the others say of theirs. */
  readonly usage: () => number
  readonly othersUse: (perSecond: number) => void
  /** Share of the limit on changes that all nodes together take. */
  readonly load: () => number
}

const trouble = (reply: Reply) => new StateTrouble({ outcome: "refused", status: reply.status })
const silence = (_: NoAnswer) => new StateTrouble({ outcome: "unknown", status: 0 })

const REQUEST_TIMEOUT_MS = 1_500
const WATCH_ANSWER_MS = 2_000
/** How often a transaction that came at a bad moment is sent again, and the pause before. */
const MOST_TURNS = 5
const TURN_MS = 70

export const makeStateClient = (
  address: Address,
  limits: StateLimits,
  nodes: number,
): Effect.Effect<StateClient, never, Exchange> =>
  Effect.gen(function* () {
    const exchange = yield* Exchange
    const time = yield* timekeeper
    const pace = new SharedPace(
      limits.write_rps,
      nodes,
      Math.max(limits.txn_ops, limits.write_rps / 2),
      time.moment,
    )

    const call = (
      method: "GET" | "POST" | "DELETE",
      path: string,
      body?: unknown,
      timeoutMs = REQUEST_TIMEOUT_MS,
    ) => exchange.call({ address, method, path, body, timeoutMs }).pipe(Effect.mapError(silence))

    const get: StateClient["get"] = (path, timeoutMs) =>
      Effect.flatMap(call("GET", `/kv/${path}`, undefined, timeoutMs), (reply) =>
        reply.status === 200
          ? Effect.succeed(reply.body as Entry)
          : reply.status === 404
            ? Effect.succeed(null)
            : Effect.fail(trouble(reply)),
      )

    const list: StateClient["list"] = (prefix) =>
      Effect.gen(function* () {
        const items: Array<Entry> = []
        let epoch: Revision | null = null
        let after = ""
        for (;;) {
          const from = after === "" ? "" : `&after=${encodeURIComponent(after)}`
          const reply = yield* call(
            "GET",
            `/kv?starts=${encodeURIComponent(prefix)}${from}&page=1000`,
            undefined,
            5_000,
          )
          if (reply.status !== 200) return yield* Effect.fail(trouble(reply))
          const page = reply.body as { items: Array<Entry>; more: boolean; epoch: Revision }
          items.push(...page.items)
          epoch ??= page.epoch
          const last = page.items.at(-1)
          if (!page.more || last === undefined) return { items, epoch }
          after = last.path
        }
      })

    const multi: StateClient["multi"] = (when, apply, haste, timeoutMs) =>
      Effect.gen(function* () {
        for (let tries = 0; ; tries++) {
          if (apply.length > 0 && (haste !== "paid" || tries > 0))
            yield* pace.take(apply.length, haste === "paid" ? 2 : haste)
          const reply = yield* call("POST", "/multi", { when, apply }, timeoutMs)
          if (reply.status === 200)
            return { ok: true, epoch: (reply.body as { epoch: Stamp }).epoch } as const
          if (reply.status === 409)
            return { ok: false, failed: (reply.body as { failed: Array<string> }).failed } as const
          if (reply.status !== 429) return yield* Effect.fail(trouble(reply))
          // Too many at this moment, and surely not carried out: it waits for its turn again.
          pace.refused()
          if (tries >= MOST_TURNS) return yield* Effect.fail(trouble(reply))
          yield* Effect.sleep(TURN_MS * (tries + 1))
        }
      })

    return {
      get,
      list,
      multi,
      room: (changes, haste) => pace.take(changes, haste),
      limits,
      usage: () => pace.usage,
      othersUse: (perSecond) => pace.others(perSecond),
      load: () => pace.load,
      grant: (ttlMs) =>
        Effect.flatMap(call("POST", "/grants", { ttl_ms: ttlMs }), (reply) =>
          reply.status === 200
            ? Effect.succeed((reply.body as { permit: GrantId }).permit)
            : Effect.fail(trouble(reply)),
        ),
      touch: (grant, timeoutMs) =>
        Effect.flatMap(call("POST", `/grants/${grant}/touch`, {}, timeoutMs), (reply) =>
          reply.status === 200
            ? Effect.succeed(true)
            : reply.status === 404
              ? Effect.succeed(false)
              : Effect.fail(trouble(reply)),
        ),
      revoke: (grant) =>
        Effect.flatMap(call("DELETE", `/grants/${grant}`), (reply) =>
          reply.status === 200 || reply.status === 404 ? Effect.void : Effect.fail(trouble(reply)),
        ),
      watch: (prefix, after, blockMs, answerMs = WATCH_ANSWER_MS) =>
        Effect.flatMap(
          call(
            "GET",
            `/watch?starts=${encodeURIComponent(prefix)}&after=${after}&block_ms=${blockMs}`,
            undefined,
            blockMs + answerMs,
          ),
          (reply): Effect.Effect<News, StateTrouble> => {
            if (reply.status === 410) return Effect.succeed({ kind: "too-old" })
            if (reply.status !== 200) return Effect.fail(trouble(reply))
            const body = reply.body as { epoch: Revision; news: ReadonlyArray<Record<string, unknown>> }
            const changes = body.news.map((n): NewsItem => {
              const gone = typeof n.delete === "string"
              return {
                path: (gone ? n.delete : n.set) as string,
                v: n.v,
                stamp: n.stamp as Stamp,
                gone,
              }
            })
            return Effect.succeed({ kind: "news", epoch: body.epoch, changes })
          },
        ),
    }
  })
