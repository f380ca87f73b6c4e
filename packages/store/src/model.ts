/** Data model of the store: entries, conditions, operations, and results of transactions and watches. */
import type { LeaseId, ModRevision, Revision } from "@sorreltally/protocol"
import type { StoreKey } from "./records/keys.ts"

/** A record with its key and its mod revision. */
export interface Entry<A = unknown> {
  readonly key: StoreKey<A>
  readonly value: A
  readonly modRevision: ModRevision
}
/** Finds the entry of a key in a list. */
export const findEntry = <A>(entries: ReadonlyArray<Entry>, key: StoreKey<A>): Entry<A> | undefined =>
  // The type of the key states the type that its codec decoded.
  entries.find((entry) => entry.key === key) as Entry<A> | undefined

/** Requires that the key has this mod revision or, with `ABSENT_KEY_REVISION`, that it doesn't exist. */
export interface Condition {
  readonly key: StoreKey<unknown>
  readonly modRevision: ModRevision
}
/** A change of one key. A record put without a lease persists until it is deleted. */
export type Operation =
  | {
      readonly kind: "put"
      readonly key: StoreKey<unknown>
      readonly value: unknown
      readonly leaseId?: LeaseId
    }
  | { readonly kind: "delete"; readonly key: StoreKey<unknown> }

/** Creates an operation that writes a record under its key. */
export const put = <A>(
  key: StoreKey<A>,
  value: A,
  leaseId?: LeaseId,
): Operation & { readonly kind: "put" } =>
  leaseId === undefined ? { kind: "put", key, value } : { kind: "put", key, value, leaseId }
/** Creates an operation that deletes a key. */
export const remove = (key: StoreKey<unknown>): Operation => ({ kind: "delete", key })

/** Result of a transaction. If not `ok`, the conditions on `failedKeys` did not hold and nothing changed. */
export type CompareAndSwapResult =
  | { readonly ok: true; readonly revision: ModRevision }
  | { readonly ok: false; readonly failedKeys: ReadonlyArray<string> }

/**
 * Result of a watch. `compacted`: the store no longer has all changes since the requested revision, so the
 * keys must be listed again.
 */
export type WatchResult =
  | { readonly kind: "events"; readonly revision: Revision; readonly events: ReadonlyArray<WatchEvent> }
  | { readonly kind: "compacted" }
/** One change of a watched key. The value of a deleted key has no meaning. */
export interface WatchEvent extends Entry {
  readonly deleted: boolean
}
