/** Codec of the state service's bodies (protocol, "Controller nodes -> state service"); records have their own. */
import type { LeaseId, ModRevision, Revision } from "@sorreltally/protocol"
import type { Condition, Entry, Operation, WatchEvent } from "./model.ts"
import { decodeRecord, encodeRecord } from "./records/codecs.ts"

/** One key, as `GET /kv/{key}` and lists answer it. */
export interface WireEntry {
  readonly path: string
  readonly v: unknown
  readonly stamp: ModRevision
}
/** One page of a list. */
export interface WirePage {
  readonly items: ReadonlyArray<WireEntry>
  readonly more: boolean
  readonly epoch: Revision
}
interface WireChange {
  readonly set?: string
  readonly delete?: string
  readonly v?: unknown
  readonly stamp: ModRevision
}
/** The answer of a watch. */
export interface WireNews {
  readonly epoch: Revision
  readonly news: ReadonlyArray<WireChange>
}
/** The answer of a transaction that was applied. */
export interface WireCompareAndSwap {
  readonly epoch: ModRevision
}
/** The answer of a transaction some of whose conditions did not hold. */
export interface WireConflict {
  readonly failed: ReadonlyArray<string>
}
/** The answer of `POST /grants`. */
export interface WireLease {
  readonly permit: LeaseId
}

/** Decodes one key. */
export const decodeEntry = ({ path, v, stamp }: WireEntry): Entry => ({
  key: path,
  value: decodeRecord(path, v),
  modRevision: stamp,
})
/** Decodes one change of a watch. */
export const decodeChange = (change: WireChange): WatchEvent => {
  const { stamp: modRevision } = change
  if (change.delete !== undefined) return { key: change.delete, value: null, modRevision, deleted: true }
  const key = change.set!
  return { key, value: decodeRecord(key, change.v), modRevision, deleted: false }
}
/** One element of a transaction's `when`. */
export const encodeCondition = ({ key, modRevision }: Condition) => ({ path: key, stamp: modRevision })
/** One element of a transaction's `apply`. */
export const encodeOperation = (operation: Operation) => {
  if (operation.kind === "delete") return { delete: operation.key }
  const { key, value, leaseId } = operation
  const encoded = { set: key, v: encodeRecord(key, value) }
  return leaseId === undefined ? encoded : { ...encoded, permit: leaseId }
}
