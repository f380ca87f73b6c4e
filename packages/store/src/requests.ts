/**
 * One function for each request to the store, which sends it and interprets the status of the response. Only
 * transactions are retried, and only after status 429, which means that the transaction was not applied.
 */
import type {
  Address,
  HttpClient,
  HttpRequest,
  HttpResponse,
  Log,
  NoResponseError,
  Revision,
} from "@sorreltally/protocol"
import type { RequestPriority, SharedRateLimit } from "@sorreltally/rate-limit"
import { Effect, Metric } from "effect"
import type { StoreClient } from "./client.ts"
import {
  decodeCommit,
  decodeConflict,
  decodeEntry,
  decodeEvents,
  decodeLease,
  decodePage,
  decodeRefusal,
  type EntryPage,
  encodeLeaseRequest,
  encodeTransaction,
  paths,
  type WireTransaction,
} from "./codec.ts"
import { StoreError, type StoreOperation } from "./errors.ts"
import { rateLimitedTransactions, rejectedTransactions } from "./metrics.ts"
import type { CompareAndSwapResult, Entry, WatchResult } from "./model.ts"
import type { KeyFamily, StoreKey } from "./records/keys.ts"
import { measureTransaction } from "./transaction-size.ts"

const REQUEST_TIMEOUT_MS = 1_500
const BAD_REQUEST = 400
const TOO_MANY_REQUESTS = 429
const LIST_TIMEOUT_MS = 5_000
const LIST_PAGE_ITEMS = 1_000
const WATCH_RESPONSE_TIMEOUT_MS = 2_000
/** Limit on the retries of a transaction that exceeded the store's rate. */
const MAX_RETRIES = 5
/** Delay before the first retry; the n-th retry waits n times as long. */
const RETRY_PAUSE_MS = 70

/** A request without its address; the time limit defaults to `REQUEST_TIMEOUT_MS`. */
interface StoreRequest extends Omit<HttpRequest, "address" | "timeoutMs"> {
  readonly operation: StoreOperation
  readonly timeoutMs?: number
}
/** Sends a request to the store. */
export type Send = (request: StoreRequest) => Effect.Effect<HttpResponse, StoreError>

/** Returns a function that sends requests to the store at `address`. */
export const sendTo =
  (httpClient: HttpClient["Service"], address: Address): Send =>
  ({ operation, method, path, body, timeoutMs = REQUEST_TIMEOUT_MS }) =>
    Effect.mapError(
      httpClient.call({ address, method, path, body, timeoutMs }),
      (cause: NoResponseError) => new StoreError({ operation, outcome: "unknown", status: 0, cause }),
    )
const failRefused = (operation: StoreOperation, { status }: HttpResponse) =>
  Effect.fail(new StoreError({ operation, outcome: "refused", status }))

/** Reads one key. */
export const get =
  (send: Send): StoreClient["get"] =>
  <A>(key: StoreKey<A>, timeoutMs?: number) =>
    Effect.flatMap(
      send({ operation: "get", method: "GET", path: paths.key(key), timeoutMs }),
      (response): Effect.Effect<Entry<A> | null, StoreError> => {
        // The type of the key states the type that its codec decodes.
        if (response.status === 200) return Effect.succeed(decodeEntry(response.body) as Entry<A>)
        return response.status === 404 ? Effect.succeed(null) : failRefused("get", response)
      },
    )

const readPage = (send: Send, prefix: string, after: string): Effect.Effect<EntryPage, StoreError> =>
  Effect.flatMap(
    send({
      operation: "list",
      method: "GET",
      path: paths.page(prefix, after, LIST_PAGE_ITEMS),
      timeoutMs: LIST_TIMEOUT_MS,
    }),
    (response) =>
      response.status === 200 ? Effect.succeed(decodePage(response.body)) : failRefused("list", response),
  )
/** Reads all keys with a prefix, page by page. */
export const list =
  (send: Send): StoreClient["list"] =>
  <A>(family: KeyFamily<A>) =>
    Effect.gen(function* () {
      const items: Array<Entry<A>> = []
      let revision: Revision | null = null
      let after = ""
      for (;;) {
        const page = yield* readPage(send, family, after)
        // The type of the family states the type that its codec decodes.
        for (const entry of page.entries) items.push(entry as Entry<A>)
        revision ??= page.revision
        if (page.next === null) return { items, revision }
        after = page.next
      }
    })

const toCompareAndSwapResult = (response: HttpResponse): Effect.Effect<CompareAndSwapResult, StoreError> => {
  switch (response.status) {
    case 200:
      return Effect.succeed({ ok: true, revision: decodeCommit(response.body) })
    case 409:
      return Effect.succeed({ ok: false, failedKeys: decodeConflict(response.body) })
    default:
      return failRefused("compareAndSwap", response)
  }
}

/** Sends a transaction; retries it after a delay if it exceeded the store's rate. */
export const compareAndSwap =
  (send: Send, rateLimit: SharedRateLimit, log: Log): StoreClient["compareAndSwap"] =>
  (conditions, operations, priority, timeoutMs) =>
    Effect.suspend(() => {
      const body = encodeTransaction(conditions, operations)
      const request: StoreRequest = {
        operation: "compareAndSwap",
        method: "POST",
        path: paths.transaction,
        body,
        timeoutMs,
      }
      return Effect.tap(sendWithinRate(send, rateLimit, request, operations.length, priority), (response) =>
        response.status === BAD_REQUEST ? reportRejection(log, body, response) : Effect.void,
      ).pipe(Effect.flatMap(toCompareAndSwapResult))
    })

const reportRejection = (log: Log, transaction: WireTransaction, { body }: HttpResponse) =>
  Effect.gen(function* () {
    log.info("store rejected a transaction", {
      reason: decodeRefusal(body),
      ...measureTransaction(transaction),
      keys: transaction.apply.map((operation) => ("set" in operation ? operation.set : operation.delete)),
    })
    yield* Metric.update(rejectedTransactions, 1)
  })

/** Waits for write capacity; a transaction without writes doesn't count against the write rate. */
const acquireWrites = (rateLimit: SharedRateLimit, writes: number, priority: RequestPriority) =>
  writes === 0 ? Effect.void : rateLimit.acquire(writes, priority)

const sendWithinRate = (
  send: Send,
  rateLimit: SharedRateLimit,
  request: StoreRequest,
  writes: number,
  priority: RequestPriority | "reserved",
): Effect.Effect<HttpResponse, StoreError> =>
  Effect.gen(function* () {
    // A loop rather than a `Schedule`: each attempt waits for capacity, except the first of a reserved write.
    for (let retries = 0; ; retries++) {
      if (priority !== "reserved") yield* acquireWrites(rateLimit, writes, priority)
      else if (retries > 0) yield* acquireWrites(rateLimit, writes, 2)
      const response = yield* send(request)
      if (response.status !== TOO_MANY_REQUESTS) return response
      yield* Metric.update(rateLimitedTransactions, 1)
      rateLimit.recordRejection()
      if (retries >= MAX_RETRIES) return response
      // Rejected by the store's rate limit and therefore not applied: wait for capacity again, then retry.
      yield* Effect.sleep(RETRY_PAUSE_MS * (retries + 1))
    }
  })

/** Requests a new lease. */
export const createLease =
  (send: Send): StoreClient["createLease"] =>
  (ttlMs) =>
    Effect.flatMap(
      send({
        operation: "createLease",
        method: "POST",
        path: paths.leases,
        body: encodeLeaseRequest(ttlMs),
      }),
      (response) =>
        response.status === 200
          ? Effect.succeed(decodeLease(response.body))
          : failRefused("createLease", response),
    )

/** Sends a keep-alive of a lease; status 404 means that the lease has expired. */
export const keepAlive =
  (send: Send): StoreClient["keepAlive"] =>
  (lease, timeoutMs) =>
    Effect.flatMap(
      send({ operation: "keepAlive", method: "POST", path: paths.keepAlive(lease), body: {}, timeoutMs }),
      (response) => {
        if (response.status === 200) return Effect.succeed(true)
        return response.status === 404 ? Effect.succeed(false) : failRefused("keepAlive", response)
      },
    )

/** Revokes a lease; status 404 means that it had already expired. */
export const revokeLease =
  (send: Send): StoreClient["revokeLease"] =>
  (lease) =>
    Effect.flatMap(
      send({ operation: "revokeLease", method: "DELETE", path: paths.lease(lease) }),
      (response) =>
        response.status === 200 || response.status === 404
          ? Effect.void
          : failRefused("revokeLease", response),
    )

/** Waits for changes; status 410 means that the store has discarded some of those since `after`. */
export const watch =
  (send: Send): StoreClient["watch"] =>
  (prefix, after, blockMs, responseTimeoutMs = WATCH_RESPONSE_TIMEOUT_MS) =>
    Effect.flatMap(
      send({
        operation: "watch",
        method: "GET",
        path: paths.watch(prefix, after, blockMs),
        timeoutMs: blockMs + responseTimeoutMs,
      }),
      (response): Effect.Effect<WatchResult, StoreError> => {
        if (response.status === 410) return Effect.succeed({ kind: "compacted" })
        return response.status === 200
          ? Effect.succeed(decodeEvents(response.body))
          : failRefused("watch", response)
      },
    )
