/** Codec of the simulated state service's store for dumps. Fixtures contain its field names and order. */
import type { StoreState } from "./key-value-store.ts"

/** A whole store as plain data, with field names of the wire. */
export interface StoreDump {
  readonly epoch: number
  /** Id of the last lease that was granted. */
  readonly permits: number
  /** Leases with their time-to-live and expiry time, in milliseconds. */
  readonly grants: ReadonlyArray<{ readonly permit: number; readonly ttl: number; readonly until: number }>
  readonly entries: ReadonlyArray<{
    readonly path: string
    readonly v: unknown
    readonly stamp: number
    readonly permit: number | null
  }>
}

/** Encodes a store's state for a dump. */
export const encodeStoreDump = ({ revision, lastLeaseId, leases, entries }: StoreState): StoreDump => ({
  epoch: revision,
  permits: lastLeaseId,
  grants: [...leases].map(([permit, { ttlMs: ttl, expiresAt: until }]) => ({ permit, ttl, until })),
  entries: [...entries].map(([path, { value, modRevision, leaseId }]) => ({
    path,
    v: value,
    stamp: modRevision,
    permit: leaseId,
  })),
})
/** Decodes a store's state from a dump. */
export const decodeStoreDump = ({ epoch, permits, grants, entries }: StoreDump): StoreState => ({
  revision: epoch,
  lastLeaseId: permits,
  leases: new Map(grants.map(({ permit, ttl, until }) => [permit, { ttlMs: ttl, expiresAt: until }])),
  entries: new Map(
    entries.map(({ path, v, stamp, permit }) => [path, { value: v, modRevision: stamp, leaseId: permit }]),
  ),
})
