import type { CloudClient } from "@sorreltally/cloud"
import { DEADLINE, type Host, Membership, partOf } from "@sorreltally/membership"
import type { PeerChannel } from "@sorreltally/peers"
import type { Wants } from "@sorreltally/planner"
import { cancellationBudget, type Operators, type Platform, sizesOf } from "@sorreltally/settings"
import type { Entry, StateClient } from "@sorreltally/state"
import {
  type Answer,
  Exchange,
  encodeRedirect,
  type Heartbeat,
  type HireName,
  type JobId,
  type JobRequest,
  type ListedMachine,
  type Log,
  later,
  type MachineId,
  type MachineType,
  type NodeName,
  type Outgoing,
  type PartName,
  type RelayedAnswers,
  type RelayedCommands,
  type RelayedReplies,
  type RelayedReports,
  type RepeatedReport,
  type Stamp,
  type Timekeeper,
  type TypeName,
  timekeeper,
  type ZoneName,
} from "@sorreltally/wire"
import type { Introduction } from "@sorreltally/workers"
import { Cause, Effect, Fiber } from "effect"
import { FleetBook } from "./book.ts"
import { CommandRelay } from "./command-relay.ts"
import type { EngineContext } from "./context.ts"
import { PartEngine } from "./engine.ts"
import { Estimates } from "./estimates.ts"
import { Fleet } from "./fleet.ts"
import { InFlight } from "./in-flight.ts"
import { JobBook } from "./job-book.ts"
import { JobProgress, type ProgressMessage, type TaskCounts } from "./job-progress.ts"
import { JobTable } from "./job-table.ts"
import { type NodeLoad, NodeLoads } from "./node-loads.ts"
import { PartWants, type ToldWants } from "./part-wants.ts"
import { Relays } from "./relays.ts"
import { ReportSharing } from "./report-sharing.ts"
import { Signal } from "./signal.ts"

const WANTS_EVERY_MS = 200
/** Unchanged, they are told again this often, before the others forget them. */
const WANTS_AGAIN_MS = 1_600
/** Without the leader's list for this long, a node asks the cloud itself. */
const LISTS_ITSELF_MS = 12_000

type Introductions = ReadonlyArray<readonly [MachineId, Introduction]>
/** Machines that changed hands, and the record that says so. */
interface ToldMachines {
  readonly part: PartName
  readonly block: Entry
  readonly machines: Introductions
}
/** The cloud's list, as the leader hands it on. */
type ToldList = ReadonlyArray<readonly [MachineId, string, ZoneName]>
const LATER: Outgoing = { status: 503, body: {} }

/** One controller: its parts' engines, and what they share. */
export class Controller {
  readonly membership: Membership
  readonly fleet: Fleet
  private readonly book: FleetBook
  private readonly jobBook: JobBook
  /** Accepts, finds and cancels jobs. */
  readonly jobTable: JobTable
  private readonly progress: JobProgress
  private readonly engines = new Map<
    PartName,
    { readonly engine: PartEngine; readonly fiber: Fiber.Fiber<unknown> }
  >()
  private readonly relays: Relays
  private readonly loads: NodeLoads
  private readonly sharing: ReportSharing
  private readonly estimates = new Estimates()
  private readonly commands: InFlight
  private readonly commandRelay: CommandRelay
  private readonly wants: PartWants
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
    const { time_bound_ms, machine_limits, workers } = platform.facts
    this.relays = new Relays(peers, time, time_bound_ms, fork)
    this.commandRelay = new CommandRelay(peers, exchange, this.commands, time, time_bound_ms, fork)
    this.loads = new NodeLoads(peers, time, state, () => this.load())
    this.sharing = new ReportSharing(time, machine_limits.cores, workers.report_s, () => this.loads.takers())
    this.book.listen((id, entry) => {
      if (entry !== null) return
      this.relays.forget(id)
      this.sharing.forget(id)
    })
    this.wants = new PartWants(time)
    this.progress = new JobProgress(peers, () => this.ownCounts())
    this.jobBook = new JobBook(this.membership.mirror)
    this.jobBook.listen((id, job) => {
      if (job === null) this.progress.forget(id)
    })
    this.jobTable = new JobTable(state, this.membership, this.jobBook, {
      changed: (entry, request) => this.jobChanged(entry, request),
      remembered: (id) => this.progress.finalStatus(id),
      remember: (id, status) => this.progress.remember(id, status),
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
        this.progress.tellOthers,
        this.peers.serve((kind, body, from) => this.receive(kind, body, from)),
        this.loads.run,
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
      commandRelay: this.commandRelay,
      membership: this.membership,
      fleet: this.fleet,
      book: this.book,
      estimates: this.estimates,
      time: this.time,
      log: this.log,
      wants: (except) => this.wants.ofOthers(except),
      publish: (of, wants) => this.publish(of, wants),
      introduce: (to, id, by) => this.introduce(to, id, by),
      jobBook: this.jobBook,
      ended: (ends) => this.progress.ended(ends),
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
    const told: ToldList = list.map((m) => [m.id, m.status, m.site])
    this.peers.tell("list", told)
  }

  // --- between the parts ------------------------------------------------------

  private publish(part: PartName, wants: Wants): void {
    const change = this.wants.change(part, wants)
    if (change === "none") return
    this.wantsChanged.notify()
    if (change === "claims") return
    for (const [other, { engine }] of this.engines) if (other !== part) engine.wake()
  }
  private tellWants() {
    return Effect.gen({ self: this }, function* () {
      for (;;) {
        yield* Effect.sleep(WANTS_EVERY_MS)
        yield* this.wantsChanged.wait(WANTS_AGAIN_MS - WANTS_EVERY_MS)
        const own = [...this.engines.keys()].map((part): ToldWants => ({ part, wants: this.wants.of(part) }))
        if (own.length === 0) continue
        // Whoever has no machines can lend none, and quota is asked for only when it lacks.
        const mine = own.reduce((sum, { part }) => sum + this.book.size(part), 0)
        if (mine === this.book.total && own.every(({ wants }) => wants.quotas.length === 0)) continue
        this.peers.tell("wants", own)
      }
    })
  }
  private introduce(part: PartName, id: MachineId, by: Introduction | null): void {
    if (by === null) return
    const own = this.engines.get(part)
    if (own !== undefined) return own.engine.introduced(id, by)
    const owner = this.membership.owner(part)
    const block = this.book.get(id)?.block
    if (owner === null || block === undefined) return
    const entry = this.membership.mirror.get(block)
    if (entry === null) return
    const told: ToldMachines = { part, block: { path: block, ...entry }, machines: [[id, by]] }
    this.peers.tell("machines", told, owner)
  }

  private *ownCounts(): Iterable<TaskCounts> {
    for (const { engine } of this.engines.values()) yield* engine.counts()
  }

  // --- workers --------------------------------------------------------------

  /** Answers a worker that reports to this node, at once or as soon as there is something to say. */
  report(body: Heartbeat, answer: Answer): void {
    this.sharing.came()
    const part = this.partOfMachine(body.machineId)
    const own = this.engines.get(part)
    const { node_name } = this.platform
    const owner = own === undefined ? this.membership.owner(part) : node_name
    if (owner === null || (owner === node_name && (own === undefined || !this.membership.entitled())))
      return answer(LATER)
    const elsewhere = this.reportsElsewhere(body, owner)
    if (elsewhere !== null) return answer({ status: 421, body: encodeRedirect(elsewhere) })
    if (own !== undefined) return own.engine.report(body, null, answer)
    // An owner that no node reaches may still be reached by its workers.
    if (!this.loads.sharesReports(owner) || !this.peers.reaches(owner))
      return this.relays.passOn(body, owner, answer)
    this.relays.relay(body, owner, answer)
  }
  /** The node that this worker should report to instead, where an owner shares its workers' reports. */
  private reportsElsewhere({ machineId }: Heartbeat, owner: NodeName): NodeName | null {
    if (owner === this.platform.node_name) return this.sharing.elsewhere(machineId)
    return this.loads.sharesReports(owner) ? this.sharing.evener(machineId) : null
  }
  private load(): NodeLoad {
    let machines = 0
    for (const { engine } of this.engines.values()) machines += engine.machines.size
    return {
      well: this.well(),
      changes: this.state.usage(),
      reports: this.sharing.reportsPerSecond,
      sharesReports: this.sharing.owns(machines),
    }
  }

  /** A machine that nobody has on record is the leader's to adopt. */
  private partOfMachine(machine: MachineId): PartName {
    return this.book.get(machine)?.part ?? DEADLINE
  }

  /** Takes in what another node tells. */
  private receive(kind: string, body: unknown, from: NodeName): void {
    if (kind === "reports") return this.takeReports(from, body as RelayedReports)
    if (kind === "answers") return this.relays.receivedAnswers(body as RelayedAnswers)
    if (kind === "commands") return this.commandRelay.receivedCommands(from, body as RelayedCommands)
    if (kind === "replies") return this.commandRelay.receivedReplies(body as RelayedReplies)
    if (kind === "list") return this.takeList(body as ToldList)
    if (kind === "load") return this.loads.received(from, body as NodeLoad)
    if (kind === "job") return this.membership.mirror.hint(body as Entry)
    if (kind === "wants") return this.takeWants(body as ReadonlyArray<ToldWants>)
    if (kind === "machines") return this.takeMachines(body as ToldMachines)
    if (kind === "counts") return this.progress.received(body as ProgressMessage)
  }
  private takeReports(from: NodeName, letter: RelayedReports): void {
    const engineOf = (machine: MachineId) => this.engines.get(this.partOfMachine(machine))?.engine
    const take = (report: Heartbeat, answer: Answer) => {
      const engine = engineOf(report.machineId)
      if (engine === undefined) answer(LATER)
      else engine.report(report, from, answer)
    }
    const whole = (repeat: RepeatedReport) => engineOf(repeat.machineId)?.repeated(repeat) ?? null
    this.relays.receivedReports(from, letter, take, whole)
  }
  private takeList(told: ToldList): void {
    // It was asked for a moment ago; as the list itself lags by seconds, that is near enough.
    this.fleet.take(
      told.map(([id, status, site]) => ({ id, status, site })),
      this.time.moment(),
    )
  }
  private takeWants(told: ReadonlyArray<ToldWants>): void {
    for (const { part, wants } of told) if (!this.engines.has(part)) this.wants.set(part, wants)
    for (const { engine } of this.engines.values()) engine.wake()
  }
  private takeMachines({ part, block, machines }: ToldMachines): void {
    this.membership.mirror.hint(block)
    const own = this.engines.get(part)
    for (const [id, by] of machines) own?.engine.introduced(id, by)
  }

  // --- is this node of use? -------------------------------------------------------

  well(): boolean {
    return this.membership.entitled() && this.catalog() !== null
  }
  /** Can other nodes act? Null: none of them is heard. */
  othersWell(): boolean | null {
    return this.loads.othersWell()
  }

  // --- what the users' side needs --------------------------------------------

  catalog(): ReadonlyMap<TypeName, MachineType> | null {
    return this.fleet.catalog()
  }

  /** A job was accepted or cancelled: its owner should know before the watch tells it. */
  private jobChanged(entry: Entry, request: JobRequest): Effect.Effect<void> {
    return Effect.sync(() => {
      this.membership.mirror.hint(entry)
      const owner = this.membership.owner(this.partOfJob(request))
      if (owner !== null && owner !== this.platform.node_name) this.peers.tell("job", entry, owner)
    })
  }
  private partOfJob({ id, due_s }: JobRequest): PartName {
    return partOf(id, due_s != null, this.nodes.length)
  }
  /** Tasks done and running, for display. */
  counts(id: JobId): { readonly done: number; readonly running: number } {
    return this.progress.counts(id)
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
