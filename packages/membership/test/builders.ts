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
import { NodeLeaseKeeper } from "../src/node-lease.ts"

export const NODE = "a" as NodeName
export const LEASE = 7 as LeaseId
export const LEASE_TTL_MS = 1_000
export const LEASE_MARGIN_MS = 100
/** The first keep-alive after a join. */
export const KEEP_ALIVE_MS = LEASE_TTL_MS / 5

const silentLog: Log = { error: () => {}, info: () => {}, debug: () => {} }

/** A store that does all that is asked of it; a test replaces the responses that it is about. */
export const storeWith = (responses: Partial<StoreClient> = {}): StoreClient =>
  ({
    createLease: () => Effect.succeed(LEASE),
    revokeLease: () => Effect.void,
    keepAlive: () => Effect.succeed(true),
    list: () => Effect.succeed({ items: [], revision: 4 as Revision }),
    watch: () => Effect.never,
    compareAndSwap: () => Effect.succeed({ ok: true, revision: 5 as ModRevision }),
    ...responses,
  }) as StoreClient

/** A node's lease on the test's clock, and that clock. */
export const nodeLeaseOn = (store: StoreClient) =>
  Effect.gen(function* () {
    const { monotonicNow: now } = yield* processClocks
    const times = { leaseTtlMs: LEASE_TTL_MS, leaseMarginMs: LEASE_MARGIN_MS }
    const nodeLease = new NodeLeaseKeeper({ self: NODE, times, store, now, log: silentLog })
    return { nodeLease, now: now as () => MonotonicTime }
  })

/** The only node's membership on the test's clock, and the shards that it owns. */
export const membershipOn = (store: StoreClient) =>
  Effect.gen(function* () {
    const { monotonicNow: now } = yield* processClocks
    const owned = new Set<ShardName>()
    const membership = new Membership({
      settings: {
        self: NODE,
        nodes: [NODE],
        leaseTtlMs: LEASE_TTL_MS,
        leaseMarginMs: LEASE_MARGIN_MS,
        watchFreshMs: 10 * LEASE_TTL_MS,
        storeRequestsPerSecond: 10,
      },
      store,
      listener: {
        acquired: (shard) => owned.add(shard),
        lost: (shard) => owned.delete(shard),
        isBusy: () => true,
      },
      now,
      log: silentLog,
      fork: () => {},
    })
    return { membership, owned }
  })

/** Runs a test on a clock that only moves when told to. */
export const onTestClock = <A, E>(test: Effect.Effect<A, E>): Promise<A> =>
  Effect.runPromise(Effect.provide(test, TestClock.layer()))

/** The key that the replica's tests write and delete. */
export const KEY = keys.node(NODE)
/** Its entry as a write at this revision left it. */
export const entry = (revision: number): Entry<NodeRecord> => ({
  key: KEY,
  value: { incarnation: `${NODE}.${revision}` as Incarnation, leaseId: LEASE },
  modRevision: revision as ModRevision,
})
/** That write, as a watch brings it. */
export const written = (revision: number): WatchEvent => ({ ...entry(revision), deleted: false })
/** A delete of the key, as a watch brings it. */
export const deleted = (revision: number): WatchEvent => ({
  key: KEY,
  value: null,
  modRevision: revision as ModRevision,
  deleted: true,
})
