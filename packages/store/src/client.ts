/**
 * The store as one controller uses it: a key-value store with compare-and-swap transactions, leases and
 * watches. Everything here may fail with an unknown outcome; only conditions make a repetition safe.
 */
import type { LeaseId, Revision } from "@sorreltally/protocol"
import type { RequestPriority } from "@sorreltally/rate-limit"
import type { Effect } from "effect"
import type { StoreError } from "./errors.ts"
import type { CompareAndSwapResult, Condition, Entry, Operation, WatchResult } from "./model.ts"
import type { KeyFamily, StoreKey } from "./records/keys.ts"

/** Limits of the store for all controllers together. */
export interface StoreLimits {
  readonly writesPerSecond: number
  /** Size of one stored value in KiB. */
  readonly valueKb: number
  /** Changes in one transaction. */
  readonly maxOperations: number
}

/** The store, as one controller uses it. */
export interface StoreClient {
  /** The entry under a key; null when there is none. */
  readonly get: <A>(key: StoreKey<A>, timeoutMs?: number) => Effect.Effect<Entry<A> | null, StoreError>
  /** Every key under a prefix; the revision is the one that the first page was read at, and no page is older. */
  readonly list: <A>(
    family: KeyFamily<A>,
  ) => Effect.Effect<{ readonly items: ReadonlyArray<Entry<A>>; readonly revision: Revision }, StoreError>
  /**
   * Applies all operations, or none. Priority 0: leases and shards; 1: users and rentals;
   * 2: placements and ends; 3: cleaning up; "reserved": its capacity was awaited before.
   */
  readonly compareAndSwap: (
    conditions: ReadonlyArray<Condition>,
    operations: ReadonlyArray<Operation>,
    priority: RequestPriority | "reserved",
    timeoutMs?: number,
  ) => Effect.Effect<CompareAndSwapResult, StoreError>
  /** Waits for capacity for that many operations, which are then sent as "reserved", with what is ready by then. */
  readonly awaitWriteCapacity: (operations: number, priority: RequestPriority) => Effect.Effect<void>
  /** A new lease, which ends `ttlMs` after its last keep-alive. */
  readonly createLease: (ttlMs: number) => Effect.Effect<LeaseId, StoreError>
  /** Gives the lease its full TTL again. False: the lease has expired. */
  readonly keepAlive: (lease: LeaseId, timeoutMs: number) => Effect.Effect<boolean, StoreError>
  /** Succeeds as well when the lease has expired before. */
  readonly revokeLease: (lease: LeaseId) => Effect.Effect<void, StoreError>
  /** Waits up to `blockMs` for a change; given up when no response has come `responseMs` after that. */
  readonly watch: (
    prefix: string,
    after: Revision,
    blockMs: number,
    responseMs?: number,
  ) => Effect.Effect<WatchResult, StoreError>
  /** The limits that the platform announced. */
  readonly limits: StoreLimits
  /** Writes a second that this node made of late. */
  readonly writeRate: () => number
  /** Takes in how many writes a second the other nodes make together. */
  readonly setPeerWriteRate: (perSecond: number) => void
  /** Share of the limit on writes that all nodes together use. */
  readonly writeLoad: () => number
}
