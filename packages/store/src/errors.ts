/** What can go wrong between a controller and the store. */
import { Data } from "effect"

/** What was asked of the store. */
export type StoreOperation =
  | "get"
  | "list"
  | "compareAndSwap"
  | "createLease"
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
  /** Why there was no response. */
  readonly cause?: unknown
}> {
  override get message(): string {
    return this.outcome === "refused"
      ? `store: ${this.operation} refused with status ${this.status}; nothing was changed`
      : `store: ${this.operation} without a response; it may have been applied, or may be later`
  }
}
