import {
  type Incarnation,
  type LeaseId,
  type Log,
  type ModRevision,
  type MonotonicTime,
  type NodeName,
  processClocks,
  type Revision,
  type ShardName,
} from "@sorreltally/protocol"
import { type Entry, keys, type NodeRecord, type StoreClient, type WatchEvent } from "@sorreltally/store"
import { Effect } from "effect"
import { TestClock } from "effect/testing"
import { Membership } from "../src/membership.ts"
import { NodeLease } from "../src/node-lease.ts"

export const NODE = "a" as NodeName
export const LEASE_ID = 7 as LeaseId
export const LEASE_TTL_MS = 1_000
export const LEASE_MARGIN_MS = 100
/** Time from a join to its first keep-alive. */
export const KEEP_ALIVE_MS = LEASE_TTL_MS / 5

const silentLog: Log = { error: () => {}, info: () => {}, debug: () => {} }

/** A store client whose requests succeed, with the given responses replaced. */
export const storeWith = (responses: Partial<StoreClient> = {}): StoreClient =>
  ({
    createLease: () => Effect.succeed(LEASE_ID),
    revokeLease: () => Effect.void,
    keepAlive: () => Effect.succeed(true),
    list: () => Effect.succeed({ items: [], revision: 4 as Revision }),
    watch: () => Effect.never,
    compareAndSwap: () => Effect.succeed({ ok: true, revision: 5 as ModRevision }),
    ...responses,
  }) as StoreClient

/** A node lease that runs on the test clock, and the clock's `now`. */
export const makeNodeLease = (store: StoreClient) =>
  Effect.gen(function* () {
    const { monotonicNow: now } = yield* processClocks
    const times = { leaseTtlMs: LEASE_TTL_MS, leaseMarginMs: LEASE_MARGIN_MS }
    const nodeLease = new NodeLease({ self: NODE, times, store, now, log: silentLog })
    return { nodeLease, now: now as () => MonotonicTime }
  })

/** The membership of a single-node cluster on the test clock, and the shards that the node owns. */
export const makeMembership = (store: StoreClient) =>
  Effect.gen(function* () {
    const { monotonicNow: now } = yield* processClocks
    const ownedShards = new Set<ShardName>()
    const membership = new Membership({
      settings: {
        self: NODE,
        nodes: [NODE],
        leaseTtlMs: LEASE_TTL_MS,
        leaseMarginMs: LEASE_MARGIN_MS,
        watchFreshMs: 10 * LEASE_TTL_MS,
      },
      store,
      listener: {
        onShardAcquired: (shard) => ownedShards.add(shard),
        onShardLost: (shard) => ownedShards.delete(shard),
        isBusy: () => true,
      },
      now,
      log: silentLog,
      fork: () => {},
    })
    return { membership, ownedShards }
  })

/** Runs a test on a clock that advances only through `TestClock.adjust`. */
export const runOnTestClock = <A, E>(test: Effect.Effect<A, E>): Promise<A> =>
  Effect.runPromise(Effect.provide(test, TestClock.layer()))

/** The key written and deleted by the replica tests. */
export const KEY = keys.node(NODE)
/** The key's entry after a write at a revision. */
export const entryAt = (revision: number): Entry<NodeRecord> => ({
  key: KEY,
  value: { incarnation: `${NODE}.${revision}` as Incarnation, leaseId: LEASE_ID },
  modRevision: revision as ModRevision,
})
/** The watch event of a write at a revision. */
export const putEvent = (revision: number): WatchEvent => ({ ...entryAt(revision), deleted: false })
/** The watch event of a delete at a revision. */
export const deleteEvent = (revision: number): WatchEvent => ({
  key: KEY,
  value: null,
  modRevision: revision as ModRevision,
  deleted: true,
})
