/**
 * One function for each request to the store: what it sends, and what each status means. Only a transaction
 * is repeated, and only after 429, which says that it was not applied.
 */
import type {
  Address,
  HttpClient,
  HttpRequest,
  HttpResponse,
  NoResponseError,
  Revision,
} from "@sorreltally/protocol"
import type { RequestPriority, SharedRateLimit } from "@sorreltally/rate-limit"
import { Effect } from "effect"
import type { StoreClient } from "./client.ts"
import {
  decodeCommit,
  decodeConflict,
  decodeEntry,
  decodeEvents,
  decodeLease,
  decodePage,
  type EntryPage,
  encodeLeaseRequest,
  encodeTransaction,
  paths,
} from "./codec.ts"
import { StoreError, type StoreOperation } from "./errors.ts"
import type { CompareAndSwapResult, Entry, WatchResult } from "./model.ts"
import type { KeyFamily, StoreKey } from "./records/keys.ts"

const REQUEST_TIMEOUT_MS = 1_500
const TOO_MANY_REQUESTS = 429
const LIST_TIMEOUT_MS = 5_000
const LIST_PAGE_ITEMS = 1_000
const WATCH_RESPONSE_MS = 2_000
/** How often a transaction that exceeded the store's rate is sent again, and the pause before. */
const MAX_RETRIES = 5
const RETRY_PAUSE_MS = 70

/** A request without its address; the time limit is that of most requests unless it says otherwise. */
interface StoreRequest extends Omit<HttpRequest, "address" | "timeoutMs"> {
  readonly operation: StoreOperation
  readonly timeoutMs?: number
}
/** Sends a request to the store. */
export type Send = (request: StoreRequest) => Effect.Effect<HttpResponse, StoreError>

/** Sends requests to the store at this address. */
export const sendTo =
  (httpClient: HttpClient["Service"], address: Address): Send =>
  ({ operation, method, path, body, timeoutMs = REQUEST_TIMEOUT_MS }) =>
    Effect.mapError(
      httpClient.call({ address, method, path, body, timeoutMs }),
      (cause: NoResponseError) => new StoreError({ operation, outcome: "unknown", status: 0, cause }),
    )
const refused = (operation: StoreOperation, { status }: HttpResponse) =>
  Effect.fail(new StoreError({ operation, outcome: "refused", status }))

/** Reads one key. */
export const get =
  (send: Send): StoreClient["get"] =>
  <A>(key: StoreKey<A>, timeoutMs?: number) =>
    Effect.flatMap(
      send({ operation: "get", method: "GET", path: paths.key(key), timeoutMs }),
      (response): Effect.Effect<Entry<A> | null, StoreError> => {
        // The key's type says what its codec decodes.
        if (response.status === 200) return Effect.succeed(decodeEntry(response.body) as Entry<A>)
        return response.status === 404 ? Effect.succeed(null) : refused("get", response)
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
      response.status === 200 ? Effect.succeed(decodePage(response.body)) : refused("list", response),
  )
/** Reads all keys under a prefix, page by page. */
export const list =
  (send: Send): StoreClient["list"] =>
  <A>(family: KeyFamily<A>) =>
    Effect.gen(function* () {
      const items: Array<Entry<A>> = []
      let revision: Revision | null = null
      let after = ""
      for (;;) {
        const page = yield* readPage(send, family, after)
        // The family's type says what its codec decodes.
        for (const entry of page.entries) items.push(entry as Entry<A>)
        revision ??= page.revision
        if (page.next === null) return { items, revision }
        after = page.next
      }
    })

const transactionResult = (response: HttpResponse): Effect.Effect<CompareAndSwapResult, StoreError> => {
  switch (response.status) {
    case 200:
      return Effect.succeed({ ok: true, revision: decodeCommit(response.body) })
    case 409:
      return Effect.succeed({ ok: false, failedKeys: decodeConflict(response.body) })
    default:
      return refused("compareAndSwap", response)
  }
}

/** Sends a transaction, again after a pause when it exceeded the store's rate. */
export const compareAndSwap =
  (send: Send, rateLimit: SharedRateLimit): StoreClient["compareAndSwap"] =>
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
      return sendWithinRate(send, rateLimit, request, operations.length, priority)
    })

/** Waits for the store's write rate; a transaction that writes nothing doesn't count against it. */
const acquireWrites = (rateLimit: SharedRateLimit, writes: number, priority: RequestPriority) =>
  writes === 0 ? Effect.void : rateLimit.acquire(writes, priority)

const sendWithinRate = (
  send: Send,
  rateLimit: SharedRateLimit,
  request: StoreRequest,
  writes: number,
  priority: RequestPriority | "reserved",
): Effect.Effect<CompareAndSwapResult, StoreError> =>
  Effect.gen(function* () {
    // A loop rather than a `Schedule`, as capacity is awaited before each sending but a reserved first.
    for (let retries = 0; ; retries++) {
      if (priority !== "reserved") yield* acquireWrites(rateLimit, writes, priority)
      else if (retries > 0) yield* acquireWrites(rateLimit, writes, 2)
      const response = yield* send(request)
      if (response.status !== TOO_MANY_REQUESTS) return yield* transactionResult(response)
      rateLimit.recordRejection()
      if (retries >= MAX_RETRIES) return yield* transactionResult(response)
      // Over the rate at this moment, and surely not applied: it waits for capacity again.
      yield* Effect.sleep(RETRY_PAUSE_MS * (retries + 1))
    }
  })

/** Asks for a lease. */
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
          : refused("createLease", response),
    )

/** Keeps a lease alive; 404 says that it has expired. */
export const keepAlive =
  (send: Send): StoreClient["keepAlive"] =>
  (lease, timeoutMs) =>
    Effect.flatMap(
      send({ operation: "keepAlive", method: "POST", path: paths.keepAlive(lease), body: {}, timeoutMs }),
      (response) => {
        if (response.status === 200) return Effect.succeed(true)
        return response.status === 404 ? Effect.succeed(false) : refused("keepAlive", response)
      },
    )

/** Ends a lease; 404 says that it has expired before. */
export const revokeLease =
  (send: Send): StoreClient["revokeLease"] =>
  (lease) =>
    Effect.flatMap(
      send({ operation: "revokeLease", method: "DELETE", path: paths.lease(lease) }),
      (response) =>
        response.status === 200 || response.status === 404 ? Effect.void : refused("revokeLease", response),
    )

/** Waits for changes; 410 says that the store no longer knows all of them. */
export const watch =
  (send: Send): StoreClient["watch"] =>
  (prefix, after, blockMs, responseMs = WATCH_RESPONSE_MS) =>
    Effect.flatMap(
      send({
        operation: "watch",
        method: "GET",
        path: paths.watch(prefix, after, blockMs),
        timeoutMs: blockMs + responseMs,
      }),
      (response): Effect.Effect<WatchResult, StoreError> => {
        if (response.status === 410) return Effect.succeed({ kind: "compacted" })
        return response.status === 200
          ? Effect.succeed(decodeEvents(response.body))
          : refused("watch", response)
      },
    )
