/** The store of the simulated state service as plain data. Names and order of fields are those of fixtures. */
import type { StoreState } from "./key-value-store.ts"

/** The whole store as plain data; its names are those of the wire. */
export interface StoreDump {
  readonly epoch: number
  /** Number of the last lease made. */
  readonly permits: number
  /** Leases: how long each lasts after a touch, and until when it does; in milliseconds. */
  readonly grants: ReadonlyArray<{ readonly permit: number; readonly ttl: number; readonly until: number }>
  readonly entries: ReadonlyArray<{
    readonly path: string
    readonly v: unknown
    readonly stamp: number
    readonly permit: number | null
  }>
}

/** A store's state as plain data. */
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
/** The state that a dump holds. */
export const decodeStoreDump = ({ epoch, permits, grants, entries }: StoreDump): StoreState => ({
  revision: epoch,
  lastLeaseId: permits,
  leases: new Map(grants.map(({ permit, ttl, until }) => [permit, { ttlMs: ttl, expiresAt: until }])),
  entries: new Map(
    entries.map(({ path, v, stamp, permit }) => [path, { value: v, modRevision: stamp, leaseId: permit }]),
  ),
})
