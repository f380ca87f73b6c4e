/** Errors of requests to the store. */
import { Data } from "effect"

/** Kind of request to the store. */
export type StoreOperation =
  | "get"
  | "list"
  | "compareAndSwap"
  | "createLease"
  | "keepAlive"
  | "revokeLease"
  | "watch"

/** A request to the store was refused, or got no response. */
export class StoreError extends Data.TaggedError("StoreError")<{
  readonly operation: StoreOperation
  /**
   * `unknown`: the request may have been applied, or may be applied at any later time; `refused`: it was not.
   */
  readonly outcome: "refused" | "unknown"
  /** HTTP status; 0 without a response. */
  readonly status: number
  /** Reason why there was no response. */
  readonly cause?: unknown
}> {
  override get message(): string {
    return this.outcome === "refused"
      ? `store: ${this.operation} refused with status ${this.status}; nothing was changed`
      : `store: ${this.operation} without a response; it may have been applied, or may be applied later`
  }
}
