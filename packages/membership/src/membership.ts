/**
 * A node's membership in the cluster: its lease, its replica of the store, and the shards that it owns.
 * Owns the answer to "may this node act?"; never acts for a shard itself (see `MembershipListener`).
 */
import type { Incarnation, Log, MonotonicTime, NodeName, ShardName } from "@sorreltally/protocol"
import { REPLICATED_KEYS, type StoreClient } from "@sorreltally/store"
import { Effect, Result } from "effect"
import { NodeLeaseKeeper, type NodeLeaseTimes } from "./node-lease.ts"
import type { ShardListener } from "./owned-shards.ts"
import { ReadBarrier } from "./read-barrier.ts"
import { Replica } from "./replica.ts"
import { ReplicaWatch, watchSpacingMs } from "./replica-watch.ts"
import { ShardOwnership } from "./shard-ownership.ts"
import { allShards } from "./shards.ts"

/** Settings of a node's membership. */
export interface MembershipSettings extends NodeLeaseTimes {
  readonly self: NodeName
  /** All controllers, this one included, in the same order on every node. */
  readonly nodes: ReadonlyArray<NodeName>
  /** A node whose replica wasn't refreshed for this long stops acting. */
  readonly watchFreshMs: number
  /** Requests a second that the store takes of all nodes together. */
  readonly storeRequestsPerSecond: number
}

/** The rest of the controller, as membership sees it. */
export interface MembershipListener extends ShardListener {
  /** Whether its shards have work, and should learn of changes as soon as can be. */
  readonly isBusy: () => boolean
}

/** What a membership needs. */
export interface MembershipOptions {
  readonly settings: MembershipSettings
  readonly store: StoreClient
  readonly listener: MembershipListener
  readonly now: () => MonotonicTime
  readonly log: Log
  /** Starts a fiber that the node's scope owns. */
  readonly fork: (effect: Effect.Effect<unknown>) => void
}

const REJOIN_MS = 400

/**
 * Node lease, shards and shard epochs. A node owns a shard from its winning
 * transaction until it can no longer be sure that its lease is valid and that
 * it has learned of every cancellation; see docs/design.md for the argument.
 */
export class Membership {
  readonly replica = new Replica()
  readonly shards: ReadonlyArray<ShardName>
  /** For answers that must not be older than their query. */
  readonly readBarrier: ReadBarrier
  private readonly store: StoreClient
  private readonly now: () => MonotonicTime
  private readonly log: Log
  private readonly nodeLease: NodeLeaseKeeper
  private readonly watch: ReplicaWatch
  private readonly ownership: ShardOwnership

  constructor({ settings, store, listener, now, log, fork }: MembershipOptions) {
    const { self, nodes, watchFreshMs: freshMs, storeRequestsPerSecond } = settings
    const { replica } = this
    this.store = store
    this.now = now
    this.log = log
    this.shards = allShards(nodes)
    // The store takes few requests, and every node has to watch: at most this
    // often, and as often again to answer users.
    const spacingMs = watchSpacingMs(nodes.length, storeRequestsPerSecond)
    this.nodeLease = new NodeLeaseKeeper({ self, times: settings, store, now, log })
    this.watch = new ReplicaWatch({ store, replica, spacingMs, freshMs, isBusy: listener.isBusy, now })
    const caughtUp = (sent: MonotonicTime) => this.watch.markCurrentAsOf(sent)
    this.readBarrier = new ReadBarrier({ store, replica, spacingMs, caughtUp, now, fork })
    this.ownership = new ShardOwnership({
      self,
      nodes,
      shards: this.shards,
      store,
      replica,
      nodeLease: this.nodeLease,
      holdsLease: () => this.holdsLease(),
      listener,
      now,
      log,
    })
  }

  /** Whether this node may act for its shards, and answer from its memory. */
  holdsLease(): boolean {
    const now = this.now()
    return this.nodeLease.holds(now) && this.watch.isFresh(now)
  }
  /** This life of the node; null while it is no member. */
  incarnation(): Incarnation | null {
    return this.nodeLease.current?.incarnation ?? null
  }
  /** The node that owns a shard by the replica, if its incarnation still lives. */
  owner(shard: ShardName): NodeName | null {
    return this.ownership.owner(shard)
  }
  /** This node's controller of the shard can't go on: the shard starts over under a new epoch. */
  relinquish(shard: ShardName): void {
    this.ownership.relinquish(shard, "its controller failed")
  }

  /** Joins, stays a member until the lease has ended, and joins again. */
  readonly run: Effect.Effect<never> = Effect.suspend(() =>
    Effect.forever(
      Effect.gen({ self: this }, function* () {
        const joined = yield* Effect.result(this.join())
        if (Result.isFailure(joined)) return yield* Effect.sleep(REJOIN_MS)
        yield* Effect.raceAllFirst([this.nodeLease.renew, this.watch.run, this.ownership.run])
        this.nodeLease.leave()
        this.ownership.loseAll("node lease lost")
      }),
    ),
  )

  private join() {
    return Effect.gen({ self: this }, function* () {
      // Obtaining the lease takes time: the replica is as fresh as its read, not as the lease.
      const listed = this.now()
      const { items, revision } = yield* this.store.list(REPLICATED_KEYS)
      const nodeEntry = yield* this.nodeLease.join(items)
      this.replica.loadSnapshot(items, revision)
      this.replica.applyWrite(nodeEntry)
      this.watch.markCurrentAsOf(listed)
      this.log.info("membership joined", { incarnation: nodeEntry.value.incarnation, revision })
    })
  }
}
