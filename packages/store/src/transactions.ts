/**
 * Sends transactions to the store. A transaction is retried only after status 429, which means that it was not
 * applied; one that exceeds the store's limits is not sent.
 */
import type { HttpResponse, Log } from "@sorreltally/protocol"
import type { RequestPriority, SharedRateLimit } from "@sorreltally/rate-limit"
import { Effect, Metric } from "effect"
import type { StoreClient } from "./client.ts"
import {
  decodeCommit,
  decodeConflict,
  decodeRefusal,
  encodeTransaction,
  LEASE_EXPIRED,
  paths,
  type WireTransaction,
} from "./codec.ts"
import { StoreError } from "./errors.ts"
import type { LimitTracker } from "./limit-tracker.ts"
import { rateLimitedTransactions, rejectedTransactions } from "./metrics.ts"
import type { CompareAndSwapResult } from "./model.ts"
import { failRefused, type Send, type StoreRequest } from "./requests.ts"
import { measureTransaction, type TransactionSize, writtenKeys } from "./transaction-size.ts"

const OK = 200
const BAD_REQUEST = 400
const CONFLICT = 409
const TOO_MANY_REQUESTS = 429
/** Limit on the retries of a transaction that exceeded the store's rate. */
const MAX_RETRIES = 5
/** Delay before the first retry; the n-th retry waits n times as long. */
const RETRY_PAUSE_MS = 70

/** What sending transactions requires. */
export interface TransactionContext {
  readonly send: Send
  readonly rateLimit: SharedRateLimit
  readonly limits: LimitTracker
  readonly log: Log
}

/** An encoded transaction and its size. */
interface MeasuredTransaction {
  readonly transaction: WireTransaction
  readonly size: TransactionSize
}

/** Error for a transaction that the store rejected, or that the client knows it would reject. */
const rejectedError = (status: number) =>
  new StoreError({ operation: "compareAndSwap", outcome: "rejected", status })

/** Sends a transaction; retries it after a delay if it exceeded the store's rate. */
export const compareAndSwap =
  (context: TransactionContext): StoreClient["compareAndSwap"] =>
  (conditions, operations, priority, timeoutMs) =>
    Effect.suspend(() => {
      const transaction = encodeTransaction(conditions, operations)
      const size = measureTransaction(transaction)
      if (!context.limits.admits(size, () => JSON.stringify(transaction)))
        return Effect.fail(rejectedError(0))
      const request: StoreRequest = {
        operation: "compareAndSwap",
        method: "POST",
        path: paths.transaction,
        body: transaction,
        timeoutMs,
      }
      return Effect.flatMap(sendWithinRate(context, request, operations.length, priority), (response) =>
        interpret(context, { transaction, size }, response),
      )
    })

/** Interprets the response, and has the limit tracker take note of what it shows about the limits. */
const interpret = (
  context: TransactionContext,
  measured: MeasuredTransaction,
  response: HttpResponse,
): Effect.Effect<CompareAndSwapResult, StoreError> => {
  const { status, body } = response
  switch (status) {
    case OK:
      context.limits.recordAcceptance(measured.size)
      return Effect.succeed({ ok: true, revision: decodeCommit(body) })
    case CONFLICT:
      context.limits.recordAcceptance(measured.size)
      return Effect.succeed({ ok: false, failedKeys: decodeConflict(body) })
    case BAD_REQUEST:
      // The same request succeeds with another lease.
      if (decodeRefusal(body) === LEASE_EXPIRED) return failRefused("compareAndSwap", response)
      return Effect.andThen(reportRejection(context, measured, body), Effect.fail(rejectedError(status)))
    default:
      return failRefused("compareAndSwap", response)
  }
}

const reportRejection = (
  { limits, log }: TransactionContext,
  { transaction, size }: MeasuredTransaction,
  body: unknown,
): Effect.Effect<void> =>
  Effect.suspend(() => {
    const isExplained = limits.recordRejection(size, () => JSON.stringify(transaction))
    const fields = { reason: decodeRefusal(body), ...size, keys: writtenKeys(transaction) }
    if (isExplained) log.info("store rejected a transaction over its limits", fields)
    else log.error("store rejected a transaction within its limits", fields)
    return Metric.update(rejectedTransactions, 1)
  })

/** Waits for write capacity; a transaction without writes doesn't count against the write rate. */
const acquireWrites = (rateLimit: SharedRateLimit, writes: number, priority: RequestPriority) =>
  writes === 0 ? Effect.void : rateLimit.acquire(writes, priority)

const sendWithinRate = (
  context: TransactionContext,
  request: StoreRequest,
  writes: number,
  priority: RequestPriority | "reserved",
): Effect.Effect<HttpResponse, StoreError> =>
  Effect.gen(function* () {
    const { send, rateLimit } = context
    // A loop rather than a `Schedule`: each attempt waits for capacity, except the first of a reserved write.
    for (let retries = 0; ; retries++) {
      if (priority !== "reserved") yield* acquireWrites(rateLimit, writes, priority)
      else if (retries > 0) yield* acquireWrites(rateLimit, writes, 2)
      const response = yield* send(request)
      if (response.status !== TOO_MANY_REQUESTS) return response
      yield* recordRateRejection(context)
      if (retries >= MAX_RETRIES) return response
      // Rejected by the store's rate limit and therefore not applied: wait for capacity again, then retry.
      yield* Effect.sleep(RETRY_PAUSE_MS * (retries + 1))
    }
  })

/** Slows down this node's writes; lowers the limit on writes once rejections show that the store did. */
const recordRateRejection = ({ rateLimit, limits }: TransactionContext): Effect.Effect<void> =>
  Effect.suspend(() => {
    limits.recordRateRejection()
    if (rateLimit.recordRejection() && !limits.adoptAnnounced()) limits.lowerWriteRate(rateLimit.load)
    return Metric.update(rateLimitedTransactions, 1)
  })
