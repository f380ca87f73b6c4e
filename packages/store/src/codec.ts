/**
 * Codec of the store's requests and responses (protocol, "Controller nodes -> state service"); records have
 * codecs of their own. Responses are not validated: the store is trusted to follow the protocol, and as every
 * node decodes every watch event, checking each field would be a permanent cost.
 */
import type { LeaseId, ModRevision, Revision } from "@sorreltally/protocol"
import type { Condition, Entry, Operation, WatchEvent, WatchResult } from "./model.ts"
import { decodeRecord, encodeRecord } from "./records/codecs.ts"
import type { StoreKey } from "./records/keys.ts"

interface WireEntry {
  readonly path: StoreKey<unknown>
  readonly v: unknown
  readonly stamp: ModRevision
}
interface WirePage {
  readonly items: ReadonlyArray<WireEntry>
  readonly more: boolean
  readonly epoch: Revision
}
interface WireChange {
  readonly set?: StoreKey<unknown>
  readonly delete?: StoreKey<unknown>
  readonly v?: unknown
  readonly stamp: ModRevision
}
interface WireEvents {
  readonly epoch: Revision
  readonly news: ReadonlyArray<WireChange>
}

/** Paths of the requests. */
export const paths = {
  key: (key: string) => `/kv/${key}`,
  /** Path of a page of the keys with a prefix that follow the key `after`; "" starts at the first key. */
  page: (prefix: string, after: string, size: number) => {
    const afterParameter = after === "" ? "" : `&after=${encodeURIComponent(after)}`
    return `/kv?starts=${encodeURIComponent(prefix)}${afterParameter}&page=${size}`
  },
  transaction: "/multi",
  leases: "/grants",
  lease: (lease: LeaseId) => `/grants/${lease}`,
  keepAlive: (lease: LeaseId) => `/grants/${lease}/touch`,
  watch: (prefix: string, after: Revision, blockMs: number) =>
    `/watch?starts=${encodeURIComponent(prefix)}&after=${after}&block_ms=${blockMs}`,
}

const decodeWireEntry = ({ path, v, stamp }: WireEntry): Entry => ({
  key: path,
  value: decodeRecord(path, v),
  modRevision: stamp,
})
/** Decodes the response to a read of one key. */
export const decodeEntry = (body: unknown): Entry => decodeWireEntry(body as WireEntry)

/** One page of a list. */
export interface EntryPage {
  readonly entries: ReadonlyArray<Entry>
  readonly revision: Revision
  /** Key to pass as `after` for the next page; null on the last page. */
  readonly next: string | null
}
/** Decodes one page of a list. */
export const decodePage = (body: unknown): EntryPage => {
  const { items, more, epoch } = body as WirePage
  const last = items.at(-1)
  return {
    entries: items.map(decodeWireEntry),
    revision: epoch,
    next: more && last !== undefined ? last.path : null,
  }
}

const decodeEvent = (change: WireChange): WatchEvent => {
  const { stamp: modRevision } = change
  if (change.delete !== undefined) return { key: change.delete, value: null, modRevision, deleted: true }
  const key = change.set!
  return { key, value: decodeRecord(key, change.v), modRevision, deleted: false }
}
/** Decodes the response to a watch. */
export const decodeEvents = (body: unknown): WatchResult => {
  const { epoch, news } = body as WireEvents
  return { kind: "events", revision: epoch, events: news.map(decodeEvent) }
}

type WireCondition = { readonly path: StoreKey<unknown>; readonly stamp: ModRevision }
/** An encoded put or delete. */
export type WireOperation =
  | { readonly set: StoreKey<unknown>; readonly v: unknown; readonly permit?: LeaseId }
  | { readonly delete: StoreKey<unknown> }
/** An encoded transaction. */
export interface WireTransaction {
  readonly when: ReadonlyArray<WireCondition>
  readonly apply: ReadonlyArray<WireOperation>
}

const encodeCondition = ({ key, modRevision }: Condition): WireCondition => ({
  path: key,
  stamp: modRevision,
})
const encodeOperation = (operation: Operation): WireOperation => {
  if (operation.kind === "delete") return { delete: operation.key }
  const { key, value, leaseId } = operation
  const encoded = { set: key, v: encodeRecord(key, value) }
  return leaseId === undefined ? encoded : { ...encoded, permit: leaseId }
}
/** Encodes a transaction. */
export const encodeTransaction = (
  conditions: ReadonlyArray<Condition>,
  operations: ReadonlyArray<Operation>,
): WireTransaction => ({ when: conditions.map(encodeCondition), apply: operations.map(encodeOperation) })
/** Returns the revision that an applied transaction wrote, from the body of the response. */
export const decodeCommit = (body: unknown): ModRevision => (body as { readonly epoch: ModRevision }).epoch
/**
 * Returns the keys whose conditions did not hold, from the response to a transaction that was not applied.
 */
export const decodeConflict = (body: unknown): ReadonlyArray<string> =>
  (body as { readonly failed: ReadonlyArray<string> }).failed

/** Encodes the request for a lease. */
export const encodeLeaseRequest = (ttlMs: number) => ({ ttl_ms: ttlMs })
/** Decodes the response to the request for a lease. */
export const decodeLease = (body: unknown): LeaseId => (body as { readonly permit: LeaseId }).permit

/** Reason that the store gives for refusing a put whose lease has expired. */
export const LEASE_EXPIRED = "no such lease"
/** Returns the reason that the store gives for a refusal; empty if it gives none. */
export const decodeRefusal = (body: unknown): string => {
  const { error } = (body ?? {}) as { readonly error?: unknown }
  return typeof error === "string" ? error : ""
}
