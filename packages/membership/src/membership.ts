import { keys, type LiveRecord, MIRRORED, type PartRecord, type StateClient } from "@sorreltally/state"
import {
  type GrantId,
  type Incarnation,
  type Log,
  later,
  type Moment,
  NEVER,
  type NodeName,
  type PartName,
  type Stamp,
  timekeeper,
} from "@sorreltally/wire"
import { Effect, Random, Result } from "effect"
import { Freshness } from "./freshness.ts"
import { Mirror } from "./mirror.ts"
import { allParts, DEADLINE, homeOf, preferredOwner } from "./parts.ts"

export interface MembershipSettings {
  readonly self: NodeName
  /** All controllers, this one included, in the same order on every node. */
  readonly nodes: ReadonlyArray<NodeName>
  readonly grantTtlMs: number
  readonly grantMarginMs: number
  /** What the state service takes of all nodes together. */
  readonly stateRps: number
}

/** What the rest of the controller does when a part comes or goes. Both are synchronous. */
export interface PartKeeper {
  readonly gained: (part: PartName, epoch: Stamp) => void
  readonly lost: (part: PartName) => void
  /** It has work, and should hear of changes as soon as can be. */
  readonly busy: () => boolean
}

const WATCH_BLOCK_MS = 2_000
/** Share of the state service's requests that all nodes' watches may use. */
const WATCH_SHARE = 0.3
/**
 * A node whose parts have no work watches this much less often: of jobs it
 * hears by hints, for users it asks anew, and every change is paid by all nodes.
 */
const IDLE_WATCH = 3
/** The watch is how an owner learns of cancellations: an owner that hasn't been told anything this long stops acting. */
const WATCH_FRESH_MS = 3 * WATCH_BLOCK_MS

/** How long a part that never had an owner waits for the node it is meant for. */
const FIRST_START_MS = 4_000

/** How long a node has to be back before it gets a part back, and the pause between two. */
const BACK_FOR_MS = 15_000
const HOME_SPACING_MS = 5_000

interface Standing {
  readonly incarnation: Incarnation
  readonly grant: GrantId
  readonly liveStamp: Stamp
}

/**
 * Grants, parts and epochs. A node owns a part from its winning transaction
 * until it can no longer be sure that its grant lives; see docs/design.md for
 * the argument.
 */
export class Membership {
  readonly mirror = new Mirror()
  readonly parts: ReadonlyArray<PartName>
  /** For answers that must not be older than their question. */
  readonly freshness: Freshness
  private readonly watchSpacingMs: number
  private current: Standing | null = null
  private grantUntil: Moment = NEVER
  private freshUntil: Moment = NEVER
  private readonly owned = new Map<PartName, Stamp>()
  private readonly aliveSince = new Map<
    NodeName,
    { readonly incarnation: Incarnation | null; readonly at: Moment }
  >()
  private lastSentHome: Moment = NEVER
  private readonly orphanSince = new Map<PartName, Moment>()

  constructor(
    private readonly settings: MembershipSettings,
    private readonly state: StateClient,
    private readonly keeper: PartKeeper,
    private readonly now: () => Moment,
    private readonly log: Log,
    fork: (effect: Effect.Effect<unknown>) => void,
  ) {
    this.parts = allParts(settings.nodes)
    // Requests to the state service are few, and every node has to watch: at
    // most this often, and as often again to answer users.
    const nodes = settings.nodes.length
    this.watchSpacingMs = (1000 * nodes) / (WATCH_SHARE * settings.stateRps)
    this.freshness = new Freshness(state, this.mirror, this.watchSpacingMs, now, fork)
    this.mirror.listen("s/part/", (path, entry) => {
      const part = path.slice("s/part/".length) as PartName
      const epoch = this.owned.get(part)
      if (epoch !== undefined && entry !== null && entry.stamp > epoch) this.drop(part, "taken over")
    })
  }

  /** May this node act for its parts, and answer from its memory? */
  entitled(): boolean {
    const now = this.now()
    return this.current !== null && now < this.grantUntil && now < this.freshUntil
  }
  incarnation(): Incarnation | null {
    return this.current?.incarnation ?? null
  }
  owner(part: PartName): NodeName | null {
    const record = this.mirror.get<PartRecord>(keys.part(part))
    if (record === null || record.v.owner === null) return null
    const live = this.mirror.get<LiveRecord>(keys.live(record.v.owner))
    return live !== null && live.v.incarnation === record.v.incarnation ? record.v.owner : null
  }
  alive(): ReadonlySet<NodeName> {
    return new Set(this.settings.nodes.filter((n) => this.mirror.get(keys.live(n)) !== null))
  }
  /** An owner found that the part isn't its own any more. */
  disown(part: PartName): void {
    if (this.owned.has(part)) this.drop(part, "a fenced transaction failed")
  }

  readonly run: Effect.Effect<never> = Effect.suspend(() =>
    Effect.forever(
      Effect.gen({ self: this }, function* () {
        const joined = yield* Effect.result(this.join())
        if (Result.isFailure(joined)) {
          yield* Effect.sleep(400)
          return
        }
        yield* Effect.raceAllFirst([this.touchLoop(), this.watchLoop(), this.takeOverLoop()])
        this.leave()
      }),
    ),
  )

  private join() {
    return Effect.gen({ self: this }, function* () {
      const { self, grantTtlMs, grantMarginMs } = this.settings
      const { items, epoch } = yield* this.state.list(MIRRORED)
      const former = items.find((i) => i.path === keys.live(self))
      if (former !== undefined) {
        // Whoever held this name is dead, for we run under it now. Ending its
        // grant frees its parts at once instead of when the grant runs out;
        // what it still has under way is fenced by the parts' new epochs.
        yield* this.state.revoke((former.v as LiveRecord).grant)
      }
      const a = yield* Random.nextInt
      const b = yield* Random.nextInt
      const incarnation = `${self}.${Math.abs(a).toString(36)}${Math.abs(b).toString(36)}` as Incarnation
      const asked = this.now()
      const grant = yield* this.state.grant(grantTtlMs)
      const record: LiveRecord = { incarnation, grant }
      const path = keys.live(self)
      const won = yield* this.state.multi(
        [{ path, stamp: 0 as Stamp }],
        [{ set: path, v: record, permit: grant }],
        0,
      )
      if (!won.ok) return yield* Effect.fail("the former grant still stands" as const)
      this.mirror.reload(items, epoch)
      this.mirror.hint({ path, v: record, stamp: won.epoch })
      this.current = { incarnation, grant, liveStamp: won.epoch }
      this.grantUntil = later(asked, grantTtlMs - grantMarginMs)
      this.freshUntil = later(asked, WATCH_FRESH_MS)
      this.log.info("joined", { incarnation, revision: epoch })
    })
  }

  private leave(): void {
    this.current = null
    this.grantUntil = NEVER
    for (const part of [...this.owned.keys()]) this.drop(part, "grant lost")
  }

  private drop(part: PartName, why: string): void {
    this.owned.delete(part)
    this.log.info("part lost", { part, why })
    this.keeper.lost(part)
  }

  /** Ends when the grant has. */
  private touchLoop() {
    return Effect.gen({ self: this }, function* () {
      const { grantTtlMs, grantMarginMs } = this.settings
      const pauseMs = grantTtlMs / 5
      for (;;) {
        yield* Effect.sleep(pauseMs)
        const current = this.current
        if (current === null) return
        const sent = this.now()
        const touched = yield* Effect.result(this.state.touch(current.grant, Math.min(2_000, grantTtlMs / 3)))
        if (Result.isSuccess(touched)) {
          if (!touched.success) return
          this.grantUntil = later(sent, grantTtlMs - grantMarginMs)
        } else {
          this.log.debug("touch failed", { status: touched.failure.status })
        }
      }
    })
  }

  private watchLoop() {
    return Effect.gen({ self: this }, function* () {
      for (;;) {
        const sent = this.now()
        const news = yield* Effect.result(this.state.watch(MIRRORED, this.mirror.revision, WATCH_BLOCK_MS))
        if (Result.isFailure(news)) {
          yield* Effect.sleep(200)
          continue
        }
        if (news.success.kind === "too-old") {
          const read = yield* Effect.result(this.state.list(MIRRORED))
          if (Result.isSuccess(read)) this.mirror.reload(read.success.items, read.success.epoch)
          else yield* Effect.sleep(200)
          continue
        }
        this.mirror.apply(news.success.changes, news.success.epoch)
        this.freshUntil = later(sent, WATCH_FRESH_MS)
        // Every change wakes every node's watch: what comes in one go costs one request.
        yield* Effect.sleep(this.keeper.busy() ? this.watchSpacingMs : IDLE_WATCH * this.watchSpacingMs)
      }
    })
  }

  private takeOverLoop() {
    return Effect.gen({ self: this }, function* () {
      for (;;) {
        if (this.entitled()) {
          for (const part of this.parts) {
            if (this.wants(part)) yield* this.takeOver(part)
          }
          yield* this.sendHome()
        }
        yield* Effect.sleep(250)
      }
    })
  }

  /**
   * A node that is back for a while gets its part back, one part at a time: a
   * node that took over several does all their work, and all their calls.
   */
  private sendHome() {
    return Effect.gen({ self: this }, function* () {
      const { self, nodes } = this.settings
      const now = this.now()
      for (const node of nodes) {
        const incarnation = this.mirror.get<LiveRecord>(keys.live(node))?.v.incarnation ?? null
        const known = this.aliveSince.get(node)
        if (known === undefined || known.incarnation !== incarnation)
          this.aliveSince.set(node, { incarnation, at: now })
      }
      if (now < later(this.lastSentHome, HOME_SPACING_MS)) return
      for (const [part, epoch] of this.owned) {
        const home = homeOf(part, nodes)
        // The leader stays where it is: its move would be felt by every deadline.
        if (part === DEADLINE || home === null || home === self) continue
        const since = this.aliveSince.get(home)
        if (since === undefined || since.incarnation === null || now < later(since.at, BACK_FOR_MS)) continue
        this.lastSentHome = now
        this.drop(part, `sent home to ${home}`)
        const record: PartRecord = { owner: null, incarnation: null }
        const path = keys.part(part)
        const done = yield* Effect.result(
          this.state.multi([{ path, stamp: epoch }], [{ set: path, v: record }], 0),
        )
        if (Result.isSuccess(done) && done.success.ok)
          this.mirror.hint({ path, v: record, stamp: done.success.epoch })
        return
      }
    })
  }

  private wants(part: PartName): boolean {
    const { self, nodes } = this.settings
    if (this.owned.has(part)) return false
    const owner = this.owner(part)
    // Ours by the record yet not owned: we disowned it, and need a new epoch.
    if (owner !== null && owner !== self) {
      this.orphanSince.delete(part)
      return false
    }
    const now = this.now()
    const since = this.orphanSince.get(part) ?? now
    this.orphanSince.set(part, since)
    // Others wait a little, so that the preferred owner usually meets no rival;
    // a part that nobody ever owned waits for its home to start.
    const home = homeOf(part, nodes)
    const preferred = preferredOwner(part, nodes, this.alive()) === self
    const unborn = this.mirror.get(keys.part(part)) === null && home !== self
    const patience = unborn ? FIRST_START_MS : preferred ? 0 : 1_500 + 500 * nodes.indexOf(self)
    return now - since >= patience
  }

  private takeOver(part: PartName) {
    return Effect.gen({ self: this }, function* () {
      const current = this.current
      if (current === null) return
      const { self } = this.settings
      const path = keys.part(part)
      const record: PartRecord = { owner: self, incarnation: current.incarnation }
      const former = this.mirror.get<PartRecord>(path)
      // The former owner's live key must be gone and our own must stand: a late
      // copy of this transaction changes nothing.
      const when = [
        { path, stamp: this.mirror.stamp(path) },
        { path: keys.live(self), stamp: current.liveStamp },
      ]
      const owner = former?.v.owner ?? null
      if (owner !== null && owner !== self) {
        when.push({ path: keys.live(owner), stamp: this.mirror.stamp(keys.live(owner)) })
      }
      const won = yield* Effect.result(this.state.multi(when, [{ set: path, v: record }], 0))
      if (Result.isSuccess(won) && won.success.ok) {
        const epoch = won.success.epoch
        this.owned.set(part, epoch)
        this.mirror.hint({ path, v: record, stamp: epoch })
        this.log.info("part taken", { part, epoch, from: owner })
        this.keeper.gained(part, epoch)
        return
      }
      // Lost the race, or don't know. If we did win without hearing of it, the
      // record says so, and taking the part over again gives a clean epoch.
      const read = yield* Effect.result(this.state.get(path))
      if (Result.isSuccess(read) && read.success !== null) {
        const seen = read.success
        this.mirror.hint(seen)
        const v = seen.v as PartRecord
        if (v.owner === self && v.incarnation === current.incarnation && !this.owned.has(part)) {
          this.owned.set(part, seen.stamp)
          this.log.info("part taken", { part, epoch: seen.stamp, from: owner })
          this.keeper.gained(part, seen.stamp)
        }
      } else {
        yield* Effect.sleep(300)
      }
    })
  }
}

export const makeMembership = (
  settings: MembershipSettings,
  state: StateClient,
  keeper: PartKeeper,
  log: Log,
  fork: (effect: Effect.Effect<unknown>) => void,
): Effect.Effect<Membership> =>
  Effect.map(timekeeper, (time) => new Membership(settings, state, keeper, time.moment, log, fork))
