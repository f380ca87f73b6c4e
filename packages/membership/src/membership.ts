/**
 * Cluster membership of a node: its lease, its replica of the store, and the shards that it owns.
 * Decides whether the node may act for its shards; acting is left to the `MembershipListener`.
 */
import type { Incarnation, Log, MonotonicTime, NodeName, ShardName } from "@sorreltally/protocol"
import { REPLICATED_KEYS, type StoreClient } from "@sorreltally/store"
import { Effect, Result } from "effect"
import { NodeLease, type NodeLeaseTimes } from "./node-lease.ts"
import type { ShardListener } from "./owned-shards.ts"
import { ReadBarrier } from "./read-barrier.ts"
import { Replica } from "./replica.ts"
import { ReplicaWatch, watchSpacingMs } from "./replica-watch.ts"
import { ShardOwnership } from "./shard-ownership.ts"
import { allShards } from "./shards.ts"

/** Settings of a node's membership. */
export interface MembershipSettings extends NodeLeaseTimes {
  readonly self: NodeName
  /** All controllers including this one, in the same order on every node. */
  readonly nodes: ReadonlyArray<NodeName>
  /** A node whose replica has not been refreshed for this long stops acting. */
  readonly watchFreshMs: number
}

/** Callbacks from membership to the rest of the controller. */
export interface MembershipListener extends ShardListener {
  /** Whether this node's shards have work, so that the replica has to follow changes closely. */
  readonly isBusy: () => boolean
}

/** Options of a membership. */
export interface MembershipOptions {
  readonly settings: MembershipSettings
  readonly store: StoreClient
  readonly listener: MembershipListener
  readonly now: () => MonotonicTime
  readonly log: Log
  /** Starts a fiber that the node's scope owns. */
  readonly fork: (effect: Effect.Effect<unknown>) => void
}

const REJOIN_PAUSE_MS = 400

/**
 * Node lease, shards and shard epochs. A node owns a shard from the transaction that acquired it until
 * the node can no longer guarantee that its lease is valid and that its replica contains every
 * cancellation; docs/design.md has the safety argument.
 */
export class Membership {
  readonly replica = new Replica()
  readonly shards: ReadonlyArray<ShardName>
  /** Makes reads from the replica linearizable. */
  readonly readBarrier: ReadBarrier
  private readonly store: StoreClient
  private readonly now: () => MonotonicTime
  private readonly log: Log
  private readonly nodeLease: NodeLease
  private readonly watch: ReplicaWatch
  private readonly ownership: ShardOwnership

  constructor({ settings, store, listener, now, log, fork }: MembershipOptions) {
    const { self, nodes, watchFreshMs: maxStalenessMs } = settings
    const { replica } = this
    this.store = store
    this.now = now
    this.log = log
    this.shards = allShards(nodes)
    // The store accepts few requests, and every node has to watch. Watches and read barriers of a node are
    // each limited to one request per `spacingMs`.
    const spacingMs = () => watchSpacingMs(nodes.length, store.limits.requestsPerSecond)
    this.nodeLease = new NodeLease({ self, times: settings, store, now, log })
    this.watch = new ReplicaWatch({
      store,
      replica,
      spacingMs,
      maxStalenessMs,
      isBusy: listener.isBusy,
      now,
    })
    const onCaughtUp = (sentAt: MonotonicTime) => this.watch.markCurrentAsOf(sentAt)
    this.readBarrier = new ReadBarrier({ store, replica, spacingMs, onCaughtUp, now, fork })
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

  /** Whether this node may act for its shards and answer from its replica. */
  holdsLease(): boolean {
    const now = this.now()
    return this.nodeLease.isValid(now) && this.watch.isFresh(now)
  }
  /** The current incarnation of this node; null while it is not a member. */
  incarnation(): Incarnation | null {
    return this.nodeLease.current?.incarnation ?? null
  }
  /** The shard's owner recorded in the replica; null if the owner's incarnation is no longer alive. */
  ownerOf(shard: ShardName): NodeName | null {
    return this.ownership.ownerOf(shard)
  }
  /** Relinquishes a shard whose controller on this node failed; it restarts under a new shard epoch. */
  relinquish(shard: ShardName): void {
    this.ownership.relinquish(shard, "shard controller failed")
  }

  /** Joins the cluster, remains a member until the node lease ends, then joins again. */
  readonly run: Effect.Effect<never> = Effect.suspend(() =>
    Effect.forever(
      Effect.gen({ self: this }, function* () {
        const joined = yield* Effect.result(this.join())
        if (Result.isFailure(joined)) return yield* Effect.sleep(REJOIN_PAUSE_MS)
        yield* Effect.raceAllFirst([this.nodeLease.renew, this.watch.run, this.ownership.run])
        this.nodeLease.leave()
        this.ownership.relinquishAll("node lease lost")
      }),
    ),
  )

  private join() {
    return Effect.gen({ self: this }, function* () {
      // The replica is as fresh as the list request, which precedes the requests for the lease.
      const listSentAt = this.now()
      const { items, revision } = yield* this.store.list(REPLICATED_KEYS)
      const nodeEntry = yield* this.nodeLease.join(items)
      this.replica.loadSnapshot(items, revision)
      this.replica.applyWrite(nodeEntry)
      this.watch.markCurrentAsOf(listSentAt)
      this.log.info("membership joined", { incarnation: nodeEntry.value.incarnation, revision })
    })
  }
}
