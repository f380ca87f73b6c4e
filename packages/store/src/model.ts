/** What the store holds and what can be asked of it, in the terms of a key-value store. */
import type { LeaseId, ModRevision, Revision } from "@sorreltally/protocol"
import type { StoreKey } from "./records/keys.ts"

/** A record, its key, and the revision that wrote it. */
export interface Entry<A = unknown> {
  readonly key: StoreKey<A>
  readonly value: A
  readonly modRevision: ModRevision
}
/** The entry of one key among those of a list. */
export const findEntry = <A>(entries: ReadonlyArray<Entry>, key: StoreKey<A>): Entry<A> | undefined =>
  // The key's type says what its codec decoded.
  entries.find((entry) => entry.key === key) as Entry<A> | undefined

/** Holds while the key's last change is this revision; `ABSENT_KEY_REVISION`: while the key doesn't exist. */
export interface Condition {
  readonly key: StoreKey<unknown>
  readonly modRevision: ModRevision
}
/** A change of one key. A record put without a lease stays until it is deleted. */
export type Operation =
  | {
      readonly kind: "put"
      readonly key: StoreKey<unknown>
      readonly value: unknown
      readonly leaseId?: LeaseId
    }
  | { readonly kind: "delete"; readonly key: StoreKey<unknown> }

/** Writes a record under its key. */
export const put = <A>(
  key: StoreKey<A>,
  value: A,
  leaseId?: LeaseId,
): Operation & { readonly kind: "put" } =>
  leaseId === undefined ? { kind: "put", key, value } : { kind: "put", key, value, leaseId }
/** Deletes a key. */
export const remove = (key: StoreKey<unknown>): Operation => ({ kind: "delete", key })

/** Not `ok`: some conditions did not hold, and nothing was changed. */
export type CompareAndSwapResult =
  | { readonly ok: true; readonly revision: ModRevision }
  | { readonly ok: false; readonly failedKeys: ReadonlyArray<string> }

/** `compacted`: the store no longer knows all changes since then; the keys have to be listed again. */
export type WatchResult =
  | { readonly kind: "events"; readonly revision: Revision; readonly events: ReadonlyArray<WatchEvent> }
  | { readonly kind: "compacted" }
/** One change of a watched key; the value of a deleted key means nothing. */
export interface WatchEvent extends Entry {
  readonly deleted: boolean
}
