/**
 * One function for each request to the store but transactions, which sends it and interprets the status of the
 * response. None of these requests is retried.
 */
import type {
  Address,
  HttpClient,
  HttpRequest,
  HttpResponse,
  NoResponseError,
  Revision,
} from "@sorreltally/protocol"
import { Effect } from "effect"
import type { StoreClient } from "./client.ts"
import {
  decodeEntry,
  decodeEvents,
  decodeLease,
  decodePage,
  type EntryPage,
  encodeLeaseRequest,
  paths,
} from "./codec.ts"
import { StoreError, type StoreOperation } from "./errors.ts"
import type { Entry, WatchResult } from "./model.ts"
import type { KeyFamily, StoreKey } from "./records/keys.ts"

const REQUEST_TIMEOUT_MS = 1_500
const LIST_TIMEOUT_MS = 5_000
const LIST_PAGE_ITEMS = 1_000
const WATCH_RESPONSE_TIMEOUT_MS = 2_000
/** A request without its address; the time limit defaults to `REQUEST_TIMEOUT_MS`. */
export interface StoreRequest extends Omit<HttpRequest, "address" | "timeoutMs"> {
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
/** Fails with the error for a request that the store refused. */
export const failRefused = (operation: StoreOperation, { status }: HttpResponse) =>
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
