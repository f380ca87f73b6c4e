/**
 * Client interface of the store: a key-value store with compare-and-swap transactions, leases and watches.
 * Every request may fail with an unknown outcome; only conditions make it safe to repeat a transaction.
 */
import type { LeaseId, Revision } from "@sorreltally/protocol"
import type { RequestPriority } from "@sorreltally/rate-limit"
import type { Effect } from "effect"
import type { StoreError } from "./errors.ts"
import type { StoreLimits } from "./limits.ts"
import type { CompareAndSwapResult, Condition, Entry, Operation, WatchResult } from "./model.ts"
import type { KeyFamily, StoreKey } from "./records/keys.ts"

/** Client of the store. */
export interface StoreClient {
  /** Returns the entry of a key, or null if the key doesn't exist. */
  readonly get: <A>(key: StoreKey<A>, timeoutMs?: number) => Effect.Effect<Entry<A> | null, StoreError>
  /** Lists all keys with a prefix. `revision` is that of the first page, and no page is older. */
  readonly list: <A>(
    family: KeyFamily<A>,
  ) => Effect.Effect<{ readonly items: ReadonlyArray<Entry<A>>; readonly revision: Revision }, StoreError>
  /**
   * Applies all operations, or none. Fails with outcome "rejected" if the transaction exceeds the limits: it
   * has to be built anew within the present `limits`. Priority 0: leases and shards; 1: users and rentals; 2: placements and
   * final states; 3: cleanup; "reserved": the caller has awaited the write capacity with
   * `awaitWriteCapacity`.
   */
  readonly compareAndSwap: (
    conditions: ReadonlyArray<Condition>,
    operations: ReadonlyArray<Operation>,
    priority: RequestPriority | "reserved",
    timeoutMs?: number,
  ) => Effect.Effect<CompareAndSwapResult, StoreError>
  /**
   * Waits for the write capacity for this number of operations. The caller then sends the operations that are
   * ready by that time with priority "reserved".
   */
  readonly awaitWriteCapacity: (operations: number, priority: RequestPriority) => Effect.Effect<void>
  /** Creates a lease, which expires `ttlMs` after its last keep-alive. */
  readonly createLease: (ttlMs: number) => Effect.Effect<LeaseId, StoreError>
  /** Renews the lease for its full TTL; returns false if the lease has expired. */
  readonly keepAlive: (lease: LeaseId, timeoutMs: number) => Effect.Effect<boolean, StoreError>
  /** Revokes the lease; also succeeds if the lease has already expired. */
  readonly revokeLease: (lease: LeaseId) => Effect.Effect<void, StoreError>
  /**
   * Waits up to `blockMs` for a change; fails if no response arrives within `responseTimeoutMs` after that.
   */
  readonly watch: (
    prefix: string,
    after: Revision,
    blockMs: number,
    responseTimeoutMs?: number,
  ) => Effect.Effect<WatchResult, StoreError>
  /**
   * Limits that the store is assumed to enforce now; the same object until they are lowered. To be read anew
   * for each request, since a transaction that exceeds them is rejected without being sent.
   */
  readonly limits: StoreLimits
  /** Whether the limits have been lowered since this process started. */
  readonly limitsWereLowered: () => boolean
  /** The lowest limits that the settings state or announce: constant, and the same on every node. */
  readonly lowestStatedLimits: StoreLimits
  /** Recent writes per second by this node. */
  readonly writeRate: () => number
  /** Sets the writes per second that all other nodes together report. */
  readonly setPeerWriteRate: (perSecond: number) => void
  /** Share of the write limit that all nodes together use. */
  readonly writeLoad: () => number
}
