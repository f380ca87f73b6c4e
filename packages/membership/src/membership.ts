import type { Incarnation, Log, MonotonicTime, NodeName, ShardName } from "@sorreltally/protocol"
import { REPLICATED, type StoreClient } from "@sorreltally/store"
import { Effect, Result } from "effect"
import { NodeLeaseKeeper, type NodeLeaseTimes } from "./node-lease.ts"
import { ReadBarrier } from "./read-barrier.ts"
import { Replica } from "./replica.ts"
import { ReplicaWatch, watchSpacingMs } from "./replica-watch.ts"
import { type ShardListener, ShardOwnership } from "./shard-ownership.ts"
import { allShards } from "./shards.ts"

export interface MembershipSettings extends NodeLeaseTimes {
  readonly self: NodeName
  /** All controllers, this one included, in the same order on every node. */
  readonly nodes: ReadonlyArray<NodeName>
  /** After this long without an answered watch a node stops acting. */
  readonly watchFreshMs: number
  /** What the state service takes of all nodes together. */
  readonly stateRps: number
}

/** The rest of the controller, as membership sees it. */
export interface MembershipListener extends ShardListener {
  /** It has work, and should hear of changes as soon as can be. */
  readonly busy: () => boolean
}

const REJOIN_MS = 400

/**
 * Grants, parts and epochs. A node owns a part from its winning transaction
 * until it can no longer be sure that its grant lives and that it has heard of
 * every cancellation; see docs/design.md for the argument.
 */
export class Membership {
  readonly replica = new Replica()
  readonly shards: ReadonlyArray<ShardName>
  /** For answers that must not be older than their question. */
  readonly readBarrier: ReadBarrier
  private readonly nodeLease: NodeLeaseKeeper
  private readonly watch: ReplicaWatch
  private readonly ownership: ShardOwnership

  constructor(
    settings: MembershipSettings,
    private readonly store: StoreClient,
    host: MembershipListener,
    private readonly now: () => MonotonicTime,
    private readonly log: Log,
    fork: (effect: Effect.Effect<unknown>) => void,
  ) {
    const { self, nodes, watchFreshMs } = settings
    const { replica } = this
    this.shards = allShards(nodes)
    // Requests to the state service are few, and every node has to watch: at
    // most this often, and as often again to answer users.
    const spacingMs = watchSpacingMs(nodes.length, settings.stateRps)
    this.nodeLease = new NodeLeaseKeeper(self, settings, store, now, log)
    this.watch = new ReplicaWatch(store, replica, spacingMs, watchFreshMs, host.busy, now)
    const broughtUp = (sent: MonotonicTime) => this.watch.broughtUpTo(sent)
    this.readBarrier = new ReadBarrier(store, replica, spacingMs, broughtUp, now, fork)
    const holdsLease = () => this.holdsLease()
    this.ownership = new ShardOwnership(
      self,
      nodes,
      this.shards,
      store,
      replica,
      this.nodeLease,
      holdsLease,
      host,
      now,
      log,
    )
  }

  /** May this node act for its parts, and answer from its memory? */
  holdsLease(): boolean {
    const now = this.now()
    return this.nodeLease.holds(now) && this.watch.isFresh(now)
  }
  incarnation(): Incarnation | null {
    return this.nodeLease.current?.incarnation ?? null
  }
  owner(shard: ShardName): NodeName | null {
    return this.ownership.owner(shard)
  }
  /** An owner can't go on: the part starts over under a new epoch. */
  relinquish(shard: ShardName): void {
    this.ownership.relinquish(shard, "its controller failed")
  }

  readonly run: Effect.Effect<never> = Effect.suspend(() =>
    Effect.forever(
      Effect.gen({ self: this }, function* () {
        const joined = yield* Effect.result(this.join())
        if (Result.isFailure(joined)) return yield* Effect.sleep(REJOIN_MS)
        yield* Effect.raceAllFirst([this.nodeLease.renew, this.watch.run, this.ownership.run])
        this.nodeLease.leave()
        this.ownership.dropAll("node lease lost")
      }),
    ),
  )

  private join() {
    return Effect.gen({ self: this }, function* () {
      // Obtaining the grant takes time: the mirror is as fresh as its read, not as the grant.
      const listed = this.now()
      const { items, revision } = yield* this.store.list(REPLICATED)
      const live = yield* this.nodeLease.join(items)
      this.replica.loadSnapshot(items, revision)
      this.replica.applyWrite(live)
      this.watch.broughtUpTo(listed)
      this.log.info("membership joined", { incarnation: live.value.incarnation, revision })
    })
  }
}
