/**
 * Client of the state service: a key-value store with compare-and-swap transactions, leases and watches
 * (protocol, "Controller nodes -> state service"). Values are records, see `records/`.
 */

import {
  type Address,
  HttpClient,
  type HttpResponse,
  type LeaseId,
  type NoResponseError,
  processClocks,
  type Revision,
} from "@sorreltally/protocol"
import { type RequestPriority, SharedRateLimit } from "@sorreltally/rate-limit"
import { Data, Effect } from "effect"
import {
  decodeChange,
  decodeEntry,
  encodeCondition,
  encodeOperation,
  type WireCompareAndSwap,
  type WireConflict,
  type WireEntry,
  type WireLease,
  type WireNews,
  type WirePage,
} from "./codec.ts"
import type { CompareAndSwapResult, Condition, Entry, Operation, WatchResult } from "./model.ts"
import type { StoreKey } from "./records/keys.ts"

/** What was asked of the store. */
export type StoreOperation =
  | "get"
  | "list"
  | "compareAndSwap"
  | "grantLease"
  | "keepAlive"
  | "revokeLease"
  | "watch"

/** The store did not do what was asked of it. */
export class StoreError extends Data.TaggedError("StoreError")<{
  readonly operation: StoreOperation
  /** `unknown`: it may have been done, or may be done at any later time; `refused`: it was not done. */
  readonly outcome: "refused" | "unknown"
  /** HTTP status; 0 without a response. */
  readonly status: number
}> {}

/** Limits of the store for all controllers together. */
export interface StoreLimits {
  readonly writesPerSecond: number
  readonly valueKb: number
  /** Changes in one transaction. */
  readonly maxOperations: number
}

/** The store, as one controller uses it. */
export interface StoreClient {
  readonly get: <A>(key: StoreKey<A>, timeoutMs?: number) => Effect.Effect<Entry<A> | null, StoreError>
  /** Every key under a prefix; the revision is the one that the first page was read at. */
  readonly list: (
    prefix: string,
  ) => Effect.Effect<{ readonly items: ReadonlyArray<Entry>; readonly revision: Revision }, StoreError>
  /**
   * Applies all operations, or none. Priority 0: leases and shards; 1: users and rentals;
   * 2: placements and ends; 3: cleaning up; "reserved": its capacity was awaited before.
   */
  readonly compareAndSwap: (
    conditions: ReadonlyArray<Condition>,
    operations: ReadonlyArray<Operation>,
    priority: RequestPriority | "reserved",
    timeoutMs?: number,
  ) => Effect.Effect<CompareAndSwapResult, StoreError>
  /** Waits for capacity for that many operations, which are then sent as "reserved", with what is ready by then. */
  readonly awaitWriteCapacity: (operations: number, priority: RequestPriority) => Effect.Effect<void>
  readonly createLease: (ttlMs: number) => Effect.Effect<LeaseId, StoreError>
  /** False: the lease has expired. */
  readonly keepAlive: (lease: LeaseId, timeoutMs: number) => Effect.Effect<boolean, StoreError>
  /** Succeeds as well when the lease has expired before. */
  readonly revokeLease: (lease: LeaseId) => Effect.Effect<void, StoreError>
  /** Waits up to `blockMs` for a change; given up when no answer has come `answerMs` after that. */
  readonly watch: (
    prefix: string,
    after: Revision,
    blockMs: number,
    answerMs?: number,
  ) => Effect.Effect<WatchResult, StoreError>
  readonly limits: StoreLimits
  /** Writes a second that this node made of late. */
  readonly writeRate: () => number
  /** Takes in how many writes a second the other nodes make together. */
  readonly setPeerWriteRate: (perSecond: number) => void
  /** Share of the limit on writes that all nodes together use. */
  readonly writeLoad: () => number
}

const REQUEST_TIMEOUT_MS = 1_500
const LIST_TIMEOUT_MS = 5_000
const LIST_PAGE_ITEMS = 1_000
const WATCH_ANSWER_MS = 2_000
/** How often a transaction that exceeded the store's rate is sent again, and the pause before. */
const MAX_RETRIES = 5
const RETRY_PAUSE_MS = 70

/** A client that shares the store's limits with `nodes` controllers. */
export const makeStoreClient = (
  address: Address,
  limits: StoreLimits,
  nodes: number,
): Effect.Effect<StoreClient, never, HttpClient> =>
  Effect.gen(function* () {
    const httpClient = yield* HttpClient
    const clocks = yield* processClocks
    const rateLimit = new SharedRateLimit({
      limit: limits.writesPerSecond,
      nodes,
      burst: Math.max(limits.maxOperations, limits.writesPerSecond / 2),
      now: clocks.monotonicNow,
    })

    const call = (
      operation: StoreOperation,
      method: "GET" | "POST" | "DELETE",
      path: string,
      body?: unknown,
      timeoutMs = REQUEST_TIMEOUT_MS,
    ): Effect.Effect<HttpResponse, StoreError> =>
      httpClient
        .call({ address, method, path, body, timeoutMs })
        .pipe(
          Effect.mapError(
            (_: NoResponseError) => new StoreError({ operation, outcome: "unknown", status: 0 }),
          ),
        )
    const refused = (operation: StoreOperation, { status }: HttpResponse) =>
      Effect.fail(new StoreError({ operation, outcome: "refused", status }))

    const get = <A>(key: StoreKey<A>, timeoutMs?: number): Effect.Effect<Entry<A> | null, StoreError> =>
      Effect.flatMap(call("get", "GET", `/kv/${key}`, undefined, timeoutMs), (response) => {
        if (response.status === 200)
          return Effect.succeed(decodeEntry(response.body as WireEntry) as Entry<A>)
        return response.status === 404 ? Effect.succeed(null) : refused("get", response)
      })

    const readPage = (prefix: string, after: string) => {
      const from = after === "" ? "" : `&after=${encodeURIComponent(after)}`
      const path = `/kv?starts=${encodeURIComponent(prefix)}${from}&page=${LIST_PAGE_ITEMS}`
      return Effect.flatMap(call("list", "GET", path, undefined, LIST_TIMEOUT_MS), (response) =>
        response.status === 200 ? Effect.succeed(response.body as WirePage) : refused("list", response),
      )
    }
    const list: StoreClient["list"] = (prefix) =>
      Effect.gen(function* () {
        const items: Array<Entry> = []
        let revision: Revision | null = null
        let after = ""
        for (;;) {
          const page = yield* readPage(prefix, after)
          for (const item of page.items) items.push(decodeEntry(item))
          revision ??= page.epoch
          const last = page.items.at(-1)
          if (!page.more || last === undefined) return { items, revision }
          after = last.path
        }
      })

    const compareAndSwap: StoreClient["compareAndSwap"] = (conditions, operations, priority, timeoutMs) =>
      Effect.gen(function* () {
        const body = { when: conditions.map(encodeCondition), apply: operations.map(encodeOperation) }
        for (let retries = 0; ; retries++) {
          if (operations.length > 0 && (priority !== "reserved" || retries > 0))
            yield* rateLimit.acquire(operations.length, priority === "reserved" ? 2 : priority)
          const response = yield* call("compareAndSwap", "POST", "/multi", body, timeoutMs)
          if (response.status === 200)
            return { ok: true, revision: (response.body as WireCompareAndSwap).epoch } as const
          if (response.status === 409)
            return { ok: false, failedKeys: (response.body as WireConflict).failed } as const
          if (response.status !== 429) return yield* refused("compareAndSwap", response)
          // Over the rate at this moment, and surely not carried out: it waits for capacity again.
          rateLimit.rejected()
          if (retries >= MAX_RETRIES) return yield* refused("compareAndSwap", response)
          yield* Effect.sleep(RETRY_PAUSE_MS * (retries + 1))
        }
      })

    const createLease: StoreClient["createLease"] = (ttlMs) =>
      Effect.flatMap(call("grantLease", "POST", "/grants", { ttl_ms: ttlMs }), (response) =>
        response.status === 200
          ? Effect.succeed((response.body as WireLease).permit)
          : refused("grantLease", response),
      )

    const keepAlive: StoreClient["keepAlive"] = (lease, timeoutMs) =>
      Effect.flatMap(call("keepAlive", "POST", `/grants/${lease}/touch`, {}, timeoutMs), (response) => {
        if (response.status === 200) return Effect.succeed(true)
        return response.status === 404 ? Effect.succeed(false) : refused("keepAlive", response)
      })

    const revokeLease: StoreClient["revokeLease"] = (lease) =>
      Effect.flatMap(call("revokeLease", "DELETE", `/grants/${lease}`), (response) =>
        response.status === 200 || response.status === 404 ? Effect.void : refused("revokeLease", response),
      )

    const watch: StoreClient["watch"] = (prefix, after, blockMs, answerMs = WATCH_ANSWER_MS) => {
      const path = `/watch?starts=${encodeURIComponent(prefix)}&after=${after}&block_ms=${blockMs}`
      return Effect.flatMap(
        call("watch", "GET", path, undefined, blockMs + answerMs),
        (response): Effect.Effect<WatchResult, StoreError> => {
          if (response.status === 410) return Effect.succeed({ kind: "compacted" })
          if (response.status !== 200) return refused("watch", response)
          const { epoch, news } = response.body as WireNews
          return Effect.succeed({ kind: "events", revision: epoch, events: news.map(decodeChange) })
        },
      )
    }

    return {
      get,
      list,
      compareAndSwap,
      awaitWriteCapacity: (operations, priority) => rateLimit.acquire(operations, priority),
      createLease,
      keepAlive,
      revokeLease,
      watch,
      limits,
      writeRate: () => rateLimit.usage,
      setPeerWriteRate: (perSecond) => rateLimit.setPeerUsage(perSecond),
      writeLoad: () => rateLimit.load,
    }
  })
