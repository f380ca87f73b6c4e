import type { CloudClient } from "@sorreltally/cloud"
import { InFlight, Signal } from "@sorreltally/concurrency"
import { CommandForwarder, HeartbeatBalancer, HeartbeatForwarder, NodeLoads } from "@sorreltally/forwarding"
import { JobIndex, JobStore } from "@sorreltally/jobs"
import { DEADLINE_SHARD, Membership, type MembershipListener, shardOf } from "@sorreltally/membership"
import type {
  ForwardedHeartbeats,
  MachineHandoffMessage,
  NodeLoad,
  PeerChannel,
  PeerMessage,
  PublishedDemand,
  TaskCounts,
} from "@sorreltally/peers"
import type { ShardDemand } from "@sorreltally/planner"
import {
  addMs,
  type Clocks,
  encodeRedirect,
  type Heartbeat,
  HttpClient,
  type JobId,
  type JobSpec,
  type ListedMachine,
  type Log,
  type MachineId,
  type MachineType,
  type MachineTypeName,
  type ModRevision,
  type NodeName,
  type OutgoingResponse,
  processClocks,
  type RentalRequestId,
  type Respond,
  type ShardName,
} from "@sorreltally/protocol"
import { CloudInventory, MachineIndex } from "@sorreltally/provisioning"
import { cancellationBudget, type Operators, type Platform, sizesOf } from "@sorreltally/settings"
import { type NodeContext, RunTimeEstimates, ShardController } from "@sorreltally/shard"
import type { Entry, StoreClient } from "@sorreltally/store"
import type { MachineHandoff, RepeatedHeartbeat } from "@sorreltally/workers"
import { Cause, Effect, Fiber } from "effect"
import { DemandRegistry } from "./demand-registry.ts"
import { JobProgress } from "./job-progress.ts"

const DEMAND_INTERVAL_MS = 200
/** Unchanged, they are told again this often, before the others forget them. */
const DEMAND_REPEAT_MS = 1_600
/** Without the leader's list for this long, a node asks the cloud itself. */
const LISTS_ITSELF_MS = 12_000

const LATER: OutgoingResponse = { status: 503, body: {} }

/** One controller: its parts' engines, and what they share. */
export class Controller {
  readonly membership: Membership
  readonly inventory: CloudInventory
  private readonly machineIndex: MachineIndex
  private readonly jobIndex: JobIndex
  /** Accepts, finds and cancels jobs. */
  readonly jobStore: JobStore
  private readonly progress: JobProgress
  private readonly engines = new Map<
    ShardName,
    { readonly engine: ShardController; readonly fiber: Fiber.Fiber<unknown> }
  >()
  private readonly heartbeatForwarder: HeartbeatForwarder
  private readonly loads: NodeLoads
  private readonly heartbeatBalancer: HeartbeatBalancer
  private readonly estimates = new RunTimeEstimates()
  private readonly commands: InFlight
  private readonly commandForwarder: CommandForwarder
  private readonly demandRegistry: DemandRegistry
  private readonly demandChanged = new Signal()
  private rentalCount = 0

  constructor(
    private readonly platform: Platform,
    private readonly operators: Operators,
    private readonly nodes: ReadonlyArray<NodeName>,
    private readonly store: StoreClient,
    private readonly cloud: CloudClient,
    private readonly httpClient: HttpClient["Service"],
    private readonly peers: PeerChannel,
    private readonly clocks: Clocks,
    private readonly log: Log,
    private readonly fork: (effect: Effect.Effect<unknown>) => Fiber.Fiber<unknown>,
  ) {
    const listener: MembershipListener = {
      acquired: (shard, epoch) => this.acquired(shard, epoch),
      lost: (shard) => this.lost(shard),
      isBusy: () =>
        [...this.engines.values()].some(({ engine }) => engine.jobs.size + engine.machines.size > 0),
    }
    this.commands = new InFlight(sizesOf(platform).commands)
    this.membership = new Membership({
      settings: {
        self: platform.nodeName,
        nodes,
        ...cancellationBudget(platform.deployment.workers, operators.membership),
        storeRequestsPerSecond: platform.deployment.store.requestsPerSecond,
      },
      store,
      listener,
      now: clocks.monotonicNow,
      log,
      fork,
    })
    this.machineIndex = new MachineIndex(this.membership.replica)
    const { clockSkewMs: timeBoundMs, machineLimits, workers } = platform.deployment
    this.heartbeatForwarder = new HeartbeatForwarder({
      peers,
      clocks,
      clockSkewMs: timeBoundMs,
      fork,
    })
    this.commandForwarder = new CommandForwarder({
      peers,
      httpClient,
      inFlight: this.commands,
      clocks,
      clockSkewMs: timeBoundMs,
      fork,
    })
    this.loads = new NodeLoads(peers, clocks, store, () => this.load())
    this.heartbeatBalancer = new HeartbeatBalancer(
      clocks,
      machineLimits.cores,
      workers.heartbeatIntervalS,
      () => this.loads.takers(),
    )
    this.machineIndex.listen((id, entry) => {
      if (entry !== null) return
      this.heartbeatForwarder.forget(id)
      this.heartbeatBalancer.forget(id)
    })
    this.demandRegistry = new DemandRegistry(clocks)
    this.progress = new JobProgress(peers, () => this.ownCounts())
    this.jobIndex = new JobIndex(this.membership.replica)
    this.jobIndex.listen((id, job) => {
      if (job === null) this.progress.forget(id)
    })
    this.jobStore = new JobStore(store, this.membership, this.jobIndex, {
      changed: (entry, request) => this.jobChanged(entry, request),
      remembered: (id) => this.progress.finalStatus(id),
      remember: (id, status) => this.progress.remember(id, status),
      shardOf: (request) => this.shardOfJob(request),
    })
    this.inventory = new CloudInventory(
      cloud,
      store,
      this.membership.replica,
      clocks.monotonicNow,
      operators.provisioning["refusal-memory-s"],
      platform.deployment.cloud.requestsPerSecond,
      () => this.lists(),
      (list) => this.shareList(list),
    )
  }

  readonly run: Effect.Effect<void> = Effect.suspend(() =>
    Effect.all(
      [
        this.membership.run,
        this.inventory.run,
        this.publishDemand(),
        this.progress.publish,
        this.peers.serve((message, from) => this.receive(message, from)),
        this.loads.run,
      ],
      { concurrency: "unbounded", discard: true },
    ),
  )

  private acquired(shard: ShardName, epoch: ModRevision): void {
    const context: NodeContext = {
      platform: this.platform,
      operators: this.operators,
      nodes: this.nodes.length,
      store: this.store,
      cloud: this.cloud,
      httpClient: this.httpClient,
      commandsInFlight: this.commands,
      commandForwarder: this.commandForwarder,
      membership: this.membership,
      inventory: this.inventory,
      machineIndex: this.machineIndex,
      estimates: this.estimates,
      clocks: this.clocks,
      log: this.log,
      demandRegistry: (except) => this.demandRegistry.ofOthers(except),
      publish: (of, demandRegistry) => this.publish(of, demandRegistry),
      handOff: (to, id, by) => this.handOff(to, id, by),
      jobIndex: this.jobIndex,
      ended: (ends) => this.progress.ended(ends),
      foldJobs: (page) => this.jobStore.fold(page),
      nextRentalRequestId: () =>
        `${this.membership.incarnation() ?? this.platform.nodeName}-${++this.rentalCount}` as RentalRequestId,
      fork: this.fork,
    }
    const engine = new ShardController(shard, epoch, context)
    const guarded = engine.run.pipe(
      Effect.catchCause((cause) => {
        if (Cause.hasInterruptsOnly(cause)) return Effect.void
        // A bug must not leave a part with an owner that does nothing: start over with a new epoch.
        this.log.error("shard failed", { shard, cause: Cause.pretty(cause) })
        return Effect.andThen(
          Effect.sleep(1_000),
          Effect.sync(() => this.membership.relinquish(shard)),
        )
      }),
    )
    this.engines.set(shard, { engine, fiber: this.fork(guarded) })
  }
  private lost(shard: ShardName): void {
    const held = this.engines.get(shard)
    if (held === undefined) return
    this.engines.delete(shard)
    held.engine.stop()
    this.fork(Fiber.interrupt(held.fiber))
  }

  // --- the cloud's list -----------------------------------------------------------

  /** The leader lists for all; without a word from it, every node that has machines does. */
  private lists(): boolean {
    if (this.engines.has(DEADLINE_SHARD)) return true
    const waited = this.clocks.monotonicNow() > addMs(this.inventory.listedAt, LISTS_ITSELF_MS)
    return waited && [...this.engines.values()].some(({ engine }) => engine.machines.size > 0)
  }
  private shareList(list: ReadonlyArray<ListedMachine>): void {
    if (!this.engines.has(DEADLINE_SHARD)) return
    this.peers.send({
      kind: "machineList",
      machines: list.map(({ id, status, zone }) => ({ id, status, zone })),
    })
  }

  // --- between the parts ------------------------------------------------------

  private publish(shard: ShardName, demandRegistry: ShardDemand): void {
    const change = this.demandRegistry.change(shard, demandRegistry)
    if (change === "none") return
    this.demandChanged.notify()
    if (change === "claims") return
    for (const [other, { engine }] of this.engines) if (other !== shard) engine.wake()
  }
  private publishDemand() {
    return Effect.gen({ self: this }, function* () {
      for (;;) {
        yield* Effect.sleep(DEMAND_INTERVAL_MS)
        yield* this.demandChanged.wait(DEMAND_REPEAT_MS - DEMAND_INTERVAL_MS)
        const own = [...this.engines.keys()].map(
          (shard): PublishedDemand => ({ shard, demand: this.demandRegistry.of(shard) }),
        )
        if (own.length === 0) continue
        // Whoever has no machines can lend none, and quota is asked for only when it lacks.
        const mine = own.reduce((sum, { shard }) => sum + this.machineIndex.size(shard), 0)
        if (
          mine === this.machineIndex.total &&
          own.every(({ demand: demandRegistry }) => demandRegistry.quotas.length === 0)
        )
          continue
        this.peers.send({ kind: "demand", demands: own })
      }
    })
  }
  private handOff(shard: ShardName, id: MachineId, by: MachineHandoff | null): void {
    if (by === null) return
    const own = this.engines.get(shard)
    if (own !== undefined) return own.engine.acceptHandoff(id, by)
    const owner = this.membership.owner(shard)
    const block = this.machineIndex.get(id)?.block
    if (owner === null || block === undefined) return
    const entry = this.membership.replica.get(block)
    if (entry === null) return
    const machines = [{ machineId: id, handoff: by }]
    this.peers.send({ kind: "machineHandoff", shard, block: entry, machines }, owner)
  }

  private *ownCounts(): Iterable<TaskCounts> {
    for (const { engine } of this.engines.values()) yield* engine.counts()
  }

  // --- workers --------------------------------------------------------------

  /** Answers a worker that reports to this node, at once or as soon as there is something to say. */
  receiveHeartbeat(body: Heartbeat, answer: Respond): void {
    this.heartbeatBalancer.came()
    const shard = this.shardOfMachine(body.machineId)
    const own = this.engines.get(shard)
    const { nodeName } = this.platform
    const owner = own === undefined ? this.membership.owner(shard) : nodeName
    if (owner === null || (owner === nodeName && (own === undefined || !this.membership.holdsLease())))
      return answer(LATER)
    const elsewhere = this.reportsElsewhere(body, owner)
    if (elsewhere !== null) return answer({ status: 421, body: encodeRedirect(elsewhere) })
    if (own !== undefined) return own.engine.receiveHeartbeat(body, null, answer)
    // An owner that no node reaches may still be reached by its workers.
    if (!this.loads.sharesReports(owner) || !this.peers.reaches(owner))
      return this.heartbeatForwarder.redirect(body, owner, answer)
    this.heartbeatForwarder.forward(body, owner, answer)
  }
  /** The node that this worker should report to instead, where an owner shares its workers' reports. */
  private reportsElsewhere({ machineId }: Heartbeat, owner: NodeName): NodeName | null {
    if (owner === this.platform.nodeName) return this.heartbeatBalancer.elsewhere(machineId)
    return this.loads.sharesReports(owner) ? this.heartbeatBalancer.evener(machineId) : null
  }
  private load(): NodeLoad {
    let machines = 0
    for (const { engine } of this.engines.values()) machines += engine.machines.size
    return {
      healthy: this.well(),
      writesPerSecond: this.store.writeRate(),
      heartbeatsPerSecond: this.heartbeatBalancer.reportsPerSecond,
      sharesHeartbeats: this.heartbeatBalancer.owns(machines),
    }
  }

  /** A machine that nobody has on record is the leader's to adopt. */
  private shardOfMachine(machine: MachineId): ShardName {
    return this.machineIndex.get(machine)?.shard ?? DEADLINE_SHARD
  }

  /** Takes in a message from another node. */
  private receive(message: PeerMessage, from: NodeName): void {
    switch (message.kind) {
      case "heartbeats":
        return this.receiveHeartbeats(from, message)
      case "heartbeatReplies":
        return this.heartbeatForwarder.receivedReplies(message)
      case "commands":
        return this.commandForwarder.receivedCommands(from, message)
      case "commandResults":
        return this.commandForwarder.receivedResults(message)
      case "machineList":
        // It was asked for a moment ago; as the list itself lags by seconds, that is near enough.
        return this.inventory.take(message.machines, this.clocks.monotonicNow())
      case "nodeLoad":
        return this.loads.received(from, message.load)
      case "jobChanged":
        return this.membership.replica.applyWrite(message.page)
      case "demand":
        return this.receiveDemand(message.demands)
      case "machineHandoff":
        return this.receiveHandoff(message)
      case "jobProgress":
        return this.progress.received(message)
    }
  }
  private receiveHeartbeats(from: NodeName, message: ForwardedHeartbeats): void {
    const engineOf = (machine: MachineId) => this.engines.get(this.shardOfMachine(machine))?.engine
    const take = (heartbeat: Heartbeat, respond: Respond) => {
      const engine = engineOf(heartbeat.machineId)
      if (engine === undefined) respond(LATER)
      else engine.receiveHeartbeat(heartbeat, from, respond)
    }
    const whole = (repeat: RepeatedHeartbeat) => engineOf(repeat.machineId)?.repeated(repeat) ?? null
    this.heartbeatForwarder.receivedHeartbeats(from, message, take, whole)
  }
  private receiveDemand(demands: ReadonlyArray<PublishedDemand>): void {
    for (const { shard, demand } of demands)
      if (!this.engines.has(shard)) this.demandRegistry.set(shard, demand)
    for (const { engine } of this.engines.values()) engine.wake()
  }
  private receiveHandoff({ shard, block, machines }: MachineHandoffMessage): void {
    this.membership.replica.applyWrite(block)
    const own = this.engines.get(shard)
    for (const { machineId, handoff } of machines) own?.engine.acceptHandoff(machineId, handoff)
  }

  // --- is this node of use? -------------------------------------------------------

  well(): boolean {
    return this.membership.holdsLease() && this.catalog() !== null
  }
  /** Can other nodes act? Null: none of them is heard. */
  othersWell(): boolean | null {
    return this.loads.othersWell()
  }

  // --- what the users' side needs --------------------------------------------

  catalog(): ReadonlyMap<MachineTypeName, MachineType> | null {
    return this.inventory.catalog()
  }

  /** A job was accepted or cancelled: its owner should know before the watch tells it. */
  private jobChanged(entry: Entry, request: JobSpec): Effect.Effect<void> {
    return Effect.sync(() => {
      this.membership.replica.applyWrite(entry)
      const owner = this.membership.owner(this.shardOfJob(request))
      if (owner !== null && owner !== this.platform.nodeName)
        this.peers.send({ kind: "jobChanged", page: entry }, owner)
    })
  }
  private shardOfJob({ id, deadlineS: dueS }: JobSpec): ShardName {
    return shardOf(id, dueS != null, this.nodes.length)
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
  store: StoreClient,
  cloud: CloudClient,
  peers: PeerChannel,
  log: Log,
): Effect.Effect<Controller, never, HttpClient> =>
  Effect.gen(function* () {
    const httpClient = yield* HttpClient
    const clocks = yield* processClocks
    const context = yield* Effect.context<never>()
    const fork = (effect: Effect.Effect<unknown>) =>
      Effect.runForkWith(context)(
        Effect.tapCause(effect, (cause) =>
          Effect.sync(() => {
            if (!Cause.hasInterruptsOnly(cause)) log.error("fiber failed", { cause: Cause.pretty(cause) })
          }),
        ),
      )
    return new Controller(platform, operators, nodes, store, cloud, httpClient, peers, clocks, log, fork)
  })
