import type { Incarnation, Log, MonotonicTime, NodeName, ShardName } from "@sorreltally/protocol"
import { MIRRORED, type StoreClient } from "@sorreltally/store"
import { Effect, Result } from "effect"
import { GrantKeeper, type GrantTimes } from "./node-lease.ts"
import { Freshness } from "./read-barrier.ts"
import { Mirror } from "./replica.ts"
import { MirrorWatch, watchSpacingMs } from "./replica-watch.ts"
import { type PartListener, PartOwnership } from "./shard-ownership.ts"
import { allParts } from "./shards.ts"

export interface MembershipSettings extends GrantTimes {
  readonly self: NodeName
  /** All controllers, this one included, in the same order on every node. */
  readonly nodes: ReadonlyArray<NodeName>
  /** After this long without an answered watch a node stops acting. */
  readonly watchFreshMs: number
  /** What the state service takes of all nodes together. */
  readonly stateRps: number
}

/** The rest of the controller, as membership sees it. */
export interface Host extends PartListener {
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
  readonly mirror = new Mirror()
  readonly parts: ReadonlyArray<ShardName>
  /** For answers that must not be older than their question. */
  readonly freshness: Freshness
  private readonly grant: GrantKeeper
  private readonly watch: MirrorWatch
  private readonly ownership: PartOwnership

  constructor(
    settings: MembershipSettings,
    private readonly state: StoreClient,
    host: Host,
    private readonly now: () => MonotonicTime,
    private readonly log: Log,
    fork: (effect: Effect.Effect<unknown>) => void,
  ) {
    const { self, nodes, watchFreshMs } = settings
    const { mirror } = this
    this.parts = allParts(nodes)
    // Requests to the state service are few, and every node has to watch: at
    // most this often, and as often again to answer users.
    const spacingMs = watchSpacingMs(nodes.length, settings.stateRps)
    this.grant = new GrantKeeper(self, settings, state, now, log)
    this.watch = new MirrorWatch(state, mirror, spacingMs, watchFreshMs, host.busy, now)
    const broughtUp = (sent: MonotonicTime) => this.watch.broughtUpTo(sent)
    this.freshness = new Freshness(state, mirror, spacingMs, broughtUp, now, fork)
    const entitled = () => this.entitled()
    this.ownership = new PartOwnership(
      self,
      nodes,
      this.parts,
      state,
      mirror,
      this.grant,
      entitled,
      host,
      now,
      log,
    )
  }

  /** May this node act for its parts, and answer from its memory? */
  entitled(): boolean {
    const now = this.now()
    return this.grant.holds(now) && this.watch.isFresh(now)
  }
  incarnation(): Incarnation | null {
    return this.grant.current?.incarnation ?? null
  }
  owner(part: ShardName): NodeName | null {
    return this.ownership.owner(part)
  }
  /** An owner can't go on: the part starts over under a new epoch. */
  disown(part: ShardName): void {
    this.ownership.disown(part, "its engine failed")
  }

  readonly run: Effect.Effect<never> = Effect.suspend(() =>
    Effect.forever(
      Effect.gen({ self: this }, function* () {
        const joined = yield* Effect.result(this.join())
        if (Result.isFailure(joined)) return yield* Effect.sleep(REJOIN_MS)
        yield* Effect.raceAllFirst([this.grant.renew, this.watch.run, this.ownership.run])
        this.grant.leave()
        this.ownership.dropAll("grant lost")
      }),
    ),
  )

  private join() {
    return Effect.gen({ self: this }, function* () {
      // Obtaining the grant takes time: the mirror is as fresh as its read, not as the grant.
      const listed = this.now()
      const { items, revision } = yield* this.state.list(MIRRORED)
      const live = yield* this.grant.join(items)
      this.mirror.reload(items, revision)
      this.mirror.hint(live)
      this.watch.broughtUpTo(listed)
      this.log.info("joined", { incarnation: live.value.incarnation, revision })
    })
  }
}
