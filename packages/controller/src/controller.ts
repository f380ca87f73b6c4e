import type { CloudClient } from "@sorreltally/cloud"
import { DEADLINE, type Host, Membership, partOf } from "@sorreltally/membership"
import type { PeerChannel } from "@sorreltally/peers"
import type { Need, QuotaNeed, TeamClaim, Wants } from "@sorreltally/planner"
import { cancellationBudget, type Operators, type Platform, sizesOf } from "@sorreltally/settings"
import type { Entry, FinalStatus, StateClient } from "@sorreltally/state"
import {
  Exchange,
  type HireName,
  type JobId,
  type JobRequest,
  type ListedMachine,
  type Log,
  later,
  type MachineId,
  type MachineType,
  type Moment,
  type NodeName,
  type Outgoing,
  type PartName,
  type Report,
  type Stamp,
  type Timekeeper,
  type TypeName,
  timekeeper,
  type ZoneName,
} from "@sorreltally/wire"
import type { Introduction } from "@sorreltally/workers"
import { Cause, Effect, Fiber } from "effect"
import { FleetBook } from "./book.ts"
import type { EngineContext } from "./context.ts"
import { PartEngine } from "./engine.ts"
import { Estimates } from "./estimates.ts"
import { Fleet } from "./fleet.ts"
import { InFlight } from "./in-flight.ts"
import { JobBook } from "./job-book.ts"
import type { JobEnd } from "./job-ends.ts"
import { JobTable } from "./job-table.ts"
import { type Load, Relays } from "./relays.ts"
import { Signal } from "./signal.ts"

const WANTS_EVERY_MS = 200
/** Unchanged, they are told again this often: they are forgotten after `WANTS_LAST_MS`. */
const WANTS_AGAIN_MS = 1_600
/** Owners tell the others how far their jobs are this often: it is for display only. */
const COUNTS_EVERY_MS = 2_000
const WANTS_LAST_MS = 3_500
/** Without the leader's list for this long, a node asks the cloud itself. */
const LISTS_ITSELF_MS = 12_000
const NO_WANTS: Wants = { needs: [], quotas: [], claims: [] }

type Counts = readonly [JobId, number, number]
type Introductions = ReadonlyArray<readonly [MachineId, Introduction]>
/** Final answers kept in memory. */
const REMEMBERED = 20_000

/** One controller: its parts' engines, and what they share. */
export class Controller {
  readonly membership: Membership
  readonly fleet: Fleet
  private readonly book: FleetBook
  private readonly jobBook: JobBook
  /** Accepts, finds and cancels jobs. */
  readonly jobTable: JobTable
  private readonly shown = new Map<JobId, { readonly done: number; readonly running: number }>()
  private readonly finals = new Map<JobId, FinalStatus>()
  private endsToTell: Array<readonly [JobId, FinalStatus]> = []
  private readonly engines = new Map<
    PartName,
    { readonly engine: PartEngine; readonly fiber: Fiber.Fiber<unknown> }
  >()
  private readonly relays: Relays
  private readonly estimates = new Estimates()
  private readonly commands: InFlight
  private readonly wants = new Map<PartName, { readonly wants: Wants; readonly at: Moment }>()
  private readonly wantsChanged = new Signal()
  private hires = 0

  constructor(
    private readonly platform: Platform,
    private readonly operators: Operators,
    private readonly nodes: ReadonlyArray<NodeName>,
    private readonly state: StateClient,
    private readonly cloud: CloudClient,
    private readonly exchange: Exchange["Service"],
    private readonly peers: PeerChannel,
    private readonly time: Timekeeper,
    private readonly log: Log,
    private readonly fork: (effect: Effect.Effect<unknown>) => Fiber.Fiber<unknown>,
  ) {
    const host: Host = {
      gained: (part, epoch) => this.gained(part, epoch),
      lost: (part) => this.lost(part),
      busy: () =>
        [...this.engines.values()].some(({ engine }) => engine.jobs.size + engine.machines.size > 0),
    }
    this.commands = new InFlight(sizesOf(platform).commands)
    this.membership = new Membership(
      {
        self: platform.node_name,
        nodes,
        ...cancellationBudget(platform.facts.workers, operators.membership),
        stateRps: platform.facts.state.rps,
      },
      state,
      host,
      time.moment,
      log,
      fork,
    )
    this.book = new FleetBook(this.membership.mirror)
    const { time_bound_ms } = platform.facts
    this.relays = new Relays(peers, time, time_bound_ms, () => this.well(), state, fork)
    this.jobBook = new JobBook(this.membership.mirror)
    this.jobBook.listen((id, job) => {
      if (job === null) this.shown.delete(id)
    })
    this.jobTable = new JobTable(state, this.membership, this.jobBook, {
      changed: (entry, request) => this.jobChanged(entry, request),
      remembered: (id) => this.finals.get(id) ?? null,
      remember: (id, status) => this.remember(id, status),
      partOf: (request) => this.partOfJob(request),
    })
    this.fleet = new Fleet(
      cloud,
      state,
      this.membership.mirror,
      time.moment,
      operators.provisioning["refusal-memory-s"],
      platform.facts.cloud.rps,
      () => this.lists(),
      (list) => this.shareList(list),
    )
  }

  readonly run: Effect.Effect<void> = Effect.suspend(() =>
    Effect.all(
      [
        this.membership.run,
        this.fleet.run,
        this.tellWants(),
        this.tellCounts(),
        this.peers.serve((kind, body, from) => this.answerPeer(kind, body, from)),
        this.relays.run,
      ],
      { concurrency: "unbounded", discard: true },
    ),
  )

  private gained(part: PartName, epoch: Stamp): void {
    const context: EngineContext = {
      platform: this.platform,
      operators: this.operators,
      nodes: this.nodes.length,
      state: this.state,
      cloud: this.cloud,
      exchange: this.exchange,
      commands: this.commands,
      membership: this.membership,
      fleet: this.fleet,
      book: this.book,
      estimates: this.estimates,
      time: this.time,
      log: this.log,
      wants: (except) => this.wantsOf(except),
      publish: (of, wants) => this.publish(of, wants),
      introduce: (to, id, by) => this.introduce(to, id, by),
      jobBook: this.jobBook,
      ended: (ends) => this.ended(ends),
      foldJobs: (page) => this.jobTable.fold(page),
      nextHire: () =>
        `${this.membership.incarnation() ?? this.platform.node_name}-${++this.hires}` as HireName,
      fork: this.fork,
    }
    const engine = new PartEngine(part, epoch, context)
    const guarded = engine.run.pipe(
      Effect.catchCause((cause) => {
        if (Cause.hasInterruptsOnly(cause)) return Effect.void
        // A bug must not leave a part with an owner that does nothing: start over with a new epoch.
        this.log.error("part failed", { part, cause: Cause.pretty(cause) })
        return Effect.andThen(
          Effect.sleep(1_000),
          Effect.sync(() => this.membership.disown(part)),
        )
      }),
    )
    this.engines.set(part, { engine, fiber: this.fork(guarded) })
  }
  private lost(part: PartName): void {
    const held = this.engines.get(part)
    if (held === undefined) return
    this.engines.delete(part)
    held.engine.stop()
    this.fork(Fiber.interrupt(held.fiber))
  }

  // --- the cloud's list -----------------------------------------------------------

  /** The leader lists for all; without a word from it, every node that has machines does. */
  private lists(): boolean {
    if (this.engines.has(DEADLINE)) return true
    const waited = this.time.moment() > later(this.fleet.listedAt, LISTS_ITSELF_MS)
    return waited && [...this.engines.values()].some(({ engine }) => engine.machines.size > 0)
  }
  private shareList(list: ReadonlyArray<ListedMachine>): void {
    if (!this.engines.has(DEADLINE)) return
    const told = list.map((m) => [m.id, m.status, m.site] as const)
    this.fork(this.peers.tell("list", told))
  }

  // --- between the parts ------------------------------------------------------

  private wantsOf(except: PartName): Wants {
    const oldest = later(this.time.moment(), -WANTS_LAST_MS)
    const needs: Array<Need> = []
    const quotas: Array<QuotaNeed> = []
    const claims: Array<TeamClaim> = []
    for (const [part, { wants, at }] of this.wants) {
      if (part === except || at <= oldest) continue
      needs.push(...wants.needs)
      quotas.push(...wants.quotas)
      claims.push(...wants.claims)
    }
    return { needs, quotas, claims }
  }
  private publish(part: PartName, wants: Wants): void {
    const before = this.wants.get(part)?.wants ?? NO_WANTS
    const lacks = ({ needs, quotas }: Wants) => JSON.stringify({ needs, quotas })
    const lacksOther = lacks(before) !== lacks(wants)
    const changed = lacksOther || JSON.stringify(before.claims) !== JSON.stringify(wants.claims)
    this.wants.set(part, { wants, at: this.time.moment() })
    if (!changed) return
    this.wantsChanged.notify()
    if (!lacksOther) return
    for (const [other, { engine }] of this.engines) if (other !== part) engine.wake()
  }
  private tellWants() {
    return Effect.gen({ self: this }, function* () {
      for (;;) {
        yield* Effect.sleep(WANTS_EVERY_MS)
        yield* this.wantsChanged.wait(WANTS_AGAIN_MS - WANTS_EVERY_MS)
        const own = [...this.engines.keys()].map((part) => ({
          part,
          wants: this.wants.get(part)?.wants ?? NO_WANTS,
        }))
        if (own.length === 0) continue
        // Whoever has no machines can lend none, and quota is asked for only when it lacks.
        const mine = own.reduce((sum, { part }) => sum + this.book.size(part), 0)
        if (mine === this.book.total && own.every(({ wants }) => wants.quotas.length === 0)) continue
        yield* this.peers.tell("wants", own)
      }
    })
  }
  private introduce(part: PartName, id: MachineId, by: Introduction | null): void {
    if (by === null) return
    const own = this.engines.get(part)
    if (own !== undefined) return own.engine.introduced(id, by)
    const owner = this.membership.owner(part)
    const block = this.book.get(id)?.block
    const entry = block === undefined ? null : this.membership.mirror.get(block)
    if (owner === null || entry === null) return
    const told = { part, block: { path: block, ...entry }, machines: [[id, by]] satisfies Introductions }
    this.fork(this.peers.tell("machines", told, owner))
  }

  // --- how far the jobs are -----------------------------------------------------

  private ended(ends: ReadonlyArray<JobEnd>): void {
    for (const { id, status } of ends) {
      this.remember(id, status)
      this.endsToTell.push([id, status])
    }
  }
  /** A final answer, once durable, holds for good. */
  private remember(id: JobId, status: FinalStatus): void {
    this.finals.set(id, status)
    if (this.finals.size <= REMEMBERED) return
    const oldest = this.finals.keys().next()
    if (oldest.done !== true) this.finals.delete(oldest.value)
  }
  private tellCounts() {
    return Effect.gen({ self: this }, function* () {
      for (;;) {
        yield* Effect.sleep(COUNTS_EVERY_MS)
        const counts: Array<Counts> = []
        for (const { engine } of this.engines.values()) {
          for (const count of engine.counts()) {
            const [id, done, running] = count
            const shown = this.shown.get(id)
            if (shown !== undefined && shown.done === done && shown.running === running) continue
            this.shown.set(id, { done, running })
            counts.push(count)
          }
        }
        const ends = this.endsToTell
        this.endsToTell = []
        if (counts.length === 0 && ends.length === 0) continue
        yield* this.peers.tell("counts", { counts, ends })
      }
    })
  }

  // --- workers --------------------------------------------------------------

  report(body: Report): Effect.Effect<Outgoing> {
    return Effect.suspend((): Effect.Effect<Outgoing> => {
      const part = this.partOfMachine(body.host)
      const own = this.engines.get(part)
      const { node_name } = this.platform
      const owner = own === undefined ? this.membership.owner(part) : node_name
      if (owner === null || (owner === node_name && (own === undefined || !this.membership.entitled())))
        return Effect.succeed({ status: 503, body: {} })
      return own !== undefined ? own.engine.reportInTime(body) : this.relays.passOn(body, owner)
    })
  }

  /** A machine that nobody has on record is the leader's to adopt. */
  private partOfMachine(machine: MachineId): PartName {
    return this.book.get(machine)?.part ?? DEADLINE
  }

  private answerPeer(kind: string, body: unknown, from: NodeName): Effect.Effect<unknown> {
    if (kind === "reports") {
      const answer = (report: Report): Outgoing =>
        this.engines.get(this.partOfMachine(report.host))?.engine.report(report) ?? {
          status: 503,
          body: {},
        }
      return Effect.sync(() => this.relays.relayed(body as Parameters<Relays["relayed"]>[0], answer))
    }
    if (kind === "list") {
      const told = body as ReadonlyArray<readonly [MachineId, string, ZoneName]>
      // It was asked for a moment ago; as the list itself lags by seconds, that is near enough.
      const list = told.map(([id, status, site]) => ({ id, status, site }))
      return Effect.sync(() => this.fleet.take(list, this.time.moment()))
    }
    if (kind === "load") return Effect.sync(() => this.relays.told(from, body as Load))
    if (kind === "job") {
      this.membership.mirror.hint(body as Entry)
      return Effect.succeed(true)
    }
    if (kind === "wants") {
      const told = body as ReadonlyArray<{ part: PartName; wants: Wants }>
      for (const { part, wants } of told) {
        if (!this.engines.has(part)) this.wants.set(part, { wants, at: this.time.moment() })
      }
      for (const { engine } of this.engines.values()) engine.wake()
      return Effect.succeed(true)
    }
    if (kind === "machines") {
      const told = body as { part: PartName; block: Entry; machines: Introductions }
      this.membership.mirror.hint(told.block)
      const own = this.engines.get(told.part)
      for (const [id, by] of told.machines) own?.engine.introduced(id, by)
      return Effect.succeed(true)
    }
    if (kind === "counts") {
      const { counts, ends } = body as {
        counts: ReadonlyArray<Counts>
        ends: ReadonlyArray<[JobId, FinalStatus]>
      }
      for (const [id, done, running] of counts) this.shown.set(id, { done, running })
      for (const [id, status] of ends) this.remember(id, status)
      return Effect.succeed(true)
    }
    return Effect.succeed(null)
  }

  // --- is this node of use? -------------------------------------------------------

  well(): boolean {
    return this.membership.entitled() && this.catalog() !== null
  }
  /** Can other nodes act? Null: none of them is heard. */
  othersWell(): boolean | null {
    return this.relays.othersWell()
  }

  // --- what the users' side needs --------------------------------------------

  catalog(): ReadonlyMap<TypeName, MachineType> | null {
    return this.fleet.catalog()
  }

  /** A job was accepted or cancelled: its owner should know before the watch tells it. */
  private jobChanged(entry: Entry, request: JobRequest): Effect.Effect<void> {
    return Effect.suspend(() => {
      this.membership.mirror.hint(entry)
      const owner = this.membership.owner(this.partOfJob(request))
      if (owner === null || owner === this.platform.node_name) return Effect.void
      return this.peers.tell("job", entry, owner)
    })
  }
  private partOfJob({ id, due_s }: JobRequest): PartName {
    return partOf(id, due_s != null, this.nodes.length)
  }
  /** Tasks done and running, for display. */
  counts(id: JobId): { readonly done: number; readonly running: number } {
    return this.shown.get(id) ?? { done: 0, running: 0 }
  }
}

export const makeController = (
  platform: Platform,
  operators: Operators,
  nodes: ReadonlyArray<NodeName>,
  state: StateClient,
  cloud: CloudClient,
  peers: PeerChannel,
  log: Log,
): Effect.Effect<Controller, never, Exchange> =>
  Effect.gen(function* () {
    const exchange = yield* Exchange
    const time = yield* timekeeper
    const context = yield* Effect.context<never>()
    const fork = (effect: Effect.Effect<unknown>) =>
      Effect.runForkWith(context)(
        Effect.tapCause(effect, (cause) =>
          Effect.sync(() => {
            if (!Cause.hasInterruptsOnly(cause)) log.error("task failed", { cause: Cause.pretty(cause) })
          }),
        ),
      )
    return new Controller(platform, operators, nodes, state, cloud, exchange, peers, time, log, fork)
  })
