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
   * `unknown`: the request may have been applied, or may be applied at any later time; `refused`: it was not;
   * `rejected`: nor will the same request ever be, because it exceeds a limit or is malformed.
   */
  readonly outcome: "refused" | "rejected" | "unknown"
  /** HTTP status; 0 without a response, or if the client didn't send the request. */
  readonly status: number
  /** Reason why there was no response. */
  readonly cause?: unknown
}> {
  override get message(): string {
    return `store: ${this.operation} ${this.description}`
  }

  private get description(): string {
    if (this.outcome === "refused") return `refused with status ${this.status}; nothing was changed`
    if (this.outcome === "rejected")
      return "rejected: it exceeds a limit or is malformed; nothing was changed"
    return "without a response; it may have been applied, or may be applied later"
  }
}
