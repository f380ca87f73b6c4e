/**
 * Contents of the simulated state service: entries with the revision of their last
 * change, leases whose entries are deleted with them, and the latest changes for
 * watches. Requests and faults are handled elsewhere; callers pass the current time.
 */

/** A stored value. */
export interface StoredEntry {
  readonly value: unknown
  /** Revision of the store at the last change of this entry. */
  readonly modRevision: number
  readonly leaseId: number | null
}
/** A change in the form that watches receive; `entry: null`: the key was deleted. */
export interface WatchEvent {
  readonly revision: number
  readonly key: string
  readonly entry: StoredEntry | null
}
/** A put or delete of a transaction. */
export type StoreOperation =
  | { readonly type: "put"; readonly key: string; readonly value: unknown; readonly leaseId: number | null }
  | { readonly type: "delete"; readonly key: string }
/** A lease. `expiresAt` is in milliseconds of the simulated clock. */
interface Lease {
  readonly ttlMs: number
  expiresAt: number
}

/** Contents of a store without its recent changes for watches. */
export interface StoreState {
  readonly revision: number
  readonly lastLeaseId: number
  readonly leases: ReadonlyMap<number, Readonly<Lease>>
  readonly entries: ReadonlyMap<string, StoredEntry>
}

const MAX_WATCH_EVENTS = 10_000

/** A key-value store with entries, leases and its recent changes. */
export class KeyValueStore {
  readonly entries = new Map<string, StoredEntry>()
  revision = 0
  private lastLeaseId = 0
  private readonly leases = new Map<number, Lease>()
  private readonly watchEvents: Array<WatchEvent> = []

  /** `onChange` is called after every change, with the previous and the new entry. */
  constructor(
    private readonly onChange: (
      key: string,
      before: StoredEntry | undefined,
      after: StoredEntry | null,
    ) => void,
  ) {}

  /** Grants a lease and returns its id. */
  grantLease(ttlMs: number, now: number): number {
    this.leases.set(++this.lastLeaseId, { ttlMs, expiresAt: now + ttlMs })
    return this.lastLeaseId
  }
  hasLease(id: number): boolean {
    return this.leases.has(id)
  }
  keepAlive(id: number, now: number): void {
    const lease = this.leases.get(id)
    if (lease !== undefined) lease.expiresAt = now + lease.ttlMs
  }
  keepAllAlive(now: number): void {
    for (const lease of this.leases.values()) lease.expiresAt = now + lease.ttlMs
  }
  expiredLeases(now: number): ReadonlyArray<number> {
    return [...this.leases].filter(([, { expiresAt }]) => expiresAt < now).map(([id]) => id)
  }
  /** Deletes a lease, and its entries under one new revision; returns whether it had entries. */
  revokeLease(id: number): boolean {
    this.leases.delete(id)
    const keys = [...this.entries].filter(([, { leaseId }]) => leaseId === id).map(([key]) => key)
    if (keys.length === 0) return false
    this.revision++
    for (const key of keys) this.applyChange(key, null)
    return true
  }
  /** Elapsed share of a lease's time-to-live since its grant or last keep-alive; 0: no such lease. */
  leaseShareElapsed(id: number | null, now: number): number {
    const lease = this.leases.get(id ?? -1)
    return lease === undefined ? 0 : 1 - (lease.expiresAt - now) / lease.ttlMs
  }

  /** Applies all operations under one new revision. */
  apply(operations: ReadonlyArray<StoreOperation>): void {
    this.revision++
    for (const operation of operations) {
      if (operation.type === "delete") this.applyChange(operation.key, null)
      else {
        const { key, value, leaseId } = operation
        this.applyChange(key, { value, modRevision: this.revision, leaseId })
      }
    }
  }
  private applyChange(key: string, entry: StoredEntry | null): void {
    const before = this.entries.get(key)
    if (entry === null) this.entries.delete(key)
    else this.entries.set(key, entry)
    this.watchEvents.push({ revision: this.revision, key, entry })
    if (this.watchEvents.length > MAX_WATCH_EVENTS) this.watchEvents.shift()
    this.onChange(key, before, entry)
  }

  /** Recorded changes of keys with a prefix after a revision, oldest first. */
  eventsSince(revision: number, prefix: string): ReadonlyArray<WatchEvent> {
    return this.watchEvents.filter((event) => event.revision > revision && event.key.startsWith(prefix))
  }
  /** Whether all changes after this revision are still recorded. */
  hasEventsSince(revision: number): boolean {
    return revision + 1 >= (this.watchEvents[0]?.revision ?? 1)
  }

  get state(): StoreState {
    const { revision, lastLeaseId, leases, entries } = this
    return { revision, lastLeaseId, leases, entries }
  }
  /** Restores a state without recording any changes for watches. */
  restore(state: StoreState): void {
    this.revision = state.revision
    this.lastLeaseId = state.lastLeaseId
    for (const [id, lease] of state.leases) this.leases.set(id, { ...lease })
    for (const [key, entry] of state.entries) this.entries.set(key, entry)
  }
}
