/**
 * One controller node: sets up what its shards share, runs it, and dispatches messages from other nodes. It
 * decides nothing about jobs or machines, and owns no shard but those that membership says it holds.
 */
import type { CloudClient } from "@sorreltally/cloud"
import { InFlightLimit } from "@sorreltally/concurrency"
import { CommandForwarder, HeartbeatBalancer, HeartbeatForwarder, NodeLoads } from "@sorreltally/forwarding"
import { JobIndex, JobStore } from "@sorreltally/jobs"
import { Membership, type MembershipListener, shardOf } from "@sorreltally/membership"
import type { NodeLoad, PeerChannel, PeerMessage } from "@sorreltally/peers"
import {
  type Clocks,
  type Heartbeat,
  HttpClient,
  type JobId,
  type JobSpec,
  type Log,
  type MachineType,
  type MachineTypeName,
  type NodeName,
  processClocks,
  type RentalRequestId,
  type Respond,
  type ShardName,
} from "@sorreltally/protocol"
import { CloudInventory, MachineIndex } from "@sorreltally/provisioning"
import { cancellationBudget, type Operators, type Platform, socketBudget } from "@sorreltally/settings"
import { type NodeContext, RunTimeEstimates } from "@sorreltally/shard"
import type { Entry, StoreClient } from "@sorreltally/store"
import { Cause, Effect, type Fiber } from "effect"
import { DemandExchange } from "./demand-exchange.ts"
import { DemandRegistry } from "./demand-registry.ts"
import { HeartbeatRouter } from "./heartbeat-router.ts"
import { JobProgress, type ShownCounts } from "./job-progress.ts"
import { MachineHandoffs } from "./machine-handoffs.ts"
import { MachineListExchange } from "./machine-list-exchange.ts"
import { RunningShards } from "./running-shards.ts"

/** What a controller is given: its settings, its counterparts and its surroundings. */
export interface ControllerOptions {
  readonly platform: Platform
  readonly operators: Operators
  /** All configured controllers, this one included, in the order that shards are numbered by. */
  readonly nodes: ReadonlyArray<NodeName>
  readonly store: StoreClient
  readonly cloud: CloudClient
  readonly httpClient: HttpClient["Service"]
  readonly peers: PeerChannel
  readonly clocks: Clocks
  readonly log: Log
  /** Runs an effect beside the others, and logs a failure that nobody expects. */
  readonly fork: (effect: Effect.Effect<unknown>) => Fiber.Fiber<unknown>
}

/** One controller: the shards that it owns, and what they share. */
export class Controller {
  /** This node's lease, its shards and its replica of the store. */
  readonly membership: Membership
  /** What this node knows of the cloud. */
  readonly inventory: CloudInventory
  /** Accepts, finds and cancels jobs. */
  readonly jobStore: JobStore
  private readonly machineIndex: MachineIndex
  private readonly jobIndex: JobIndex
  private readonly progress: JobProgress
  private readonly shards: RunningShards
  private readonly heartbeatForwarder: HeartbeatForwarder
  private readonly heartbeatBalancer: HeartbeatBalancer
  private readonly heartbeatRouter: HeartbeatRouter
  private readonly loads: NodeLoads
  private readonly estimates = new RunTimeEstimates()
  private readonly commandsInFlight: InFlightLimit
  private readonly commandForwarder: CommandForwarder
  private readonly demandRegistry: DemandRegistry
  private readonly demandExchange: DemandExchange
  private readonly handoffs: MachineHandoffs
  private rentalCount = 0

  constructor(private readonly options: ControllerOptions) {
    const { platform, peers, clocks, log, fork } = options
    this.shards = new RunningShards({
      context: () => this.shardContext(),
      relinquish: (shard) => this.membership.relinquish(shard),
      log,
      fork,
    })
    this.commandsInFlight = new InFlightLimit(socketBudget(platform).commands)
    this.membership = this.makeMembership()
    const { membership, shards } = this
    this.machineIndex = new MachineIndex(membership.replica)
    const { machineIndex } = this
    const { clockSkewMs, machineLimits, workers } = platform.deployment
    this.heartbeatForwarder = new HeartbeatForwarder({ peers, clocks, clockSkewMs, fork })
    this.commandForwarder = this.makeCommandForwarder()
    this.loads = new NodeLoads({ peers, clocks, store: options.store, ownLoad: () => this.ownLoad() })
    this.heartbeatBalancer = new HeartbeatBalancer({
      clocks,
      cores: machineLimits.cores,
      heartbeatIntervalS: workers.heartbeatIntervalS,
      recipients: () => this.loads.recipients(),
    })
    this.heartbeatRouter = this.makeHeartbeatRouter()
    this.forgetMachinesOffRecord()
    this.demandRegistry = new DemandRegistry(clocks)
    this.demandExchange = new DemandExchange({ registry: this.demandRegistry, shards, machineIndex, peers })
    this.handoffs = new MachineHandoffs({ shards, membership, machineIndex, peers })
    this.progress = new JobProgress(peers, () => shards.taskCounts())
    this.jobIndex = new JobIndex(membership.replica)
    this.jobIndex.listen((id, job) => {
      if (job === null) this.progress.forget(id)
    })
    this.jobStore = this.makeJobStore()
    this.inventory = this.makeInventory()
  }

  // --- set-up ---------------------------------------------------------------------

  private makeMembership(): Membership {
    const { platform, operators, nodes, store, clocks, log, fork } = this.options
    const listener: MembershipListener = {
      acquired: (shard, epoch) => this.shards.start(shard, epoch),
      lost: (shard) => this.shards.stop(shard),
      isBusy: () => this.shards.haveWork,
    }
    return new Membership({
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
  }
  private makeCommandForwarder(): CommandForwarder {
    const { platform, peers, httpClient, clocks, fork } = this.options
    return new CommandForwarder({
      peers,
      httpClient,
      inFlight: this.commandsInFlight,
      clocks,
      clockSkewMs: platform.deployment.clockSkewMs,
      fork,
    })
  }
  private makeHeartbeatRouter(): HeartbeatRouter {
    const { platform, peers } = this.options
    return new HeartbeatRouter({
      self: platform.nodeName,
      shards: this.shards,
      membership: this.membership,
      machineIndex: this.machineIndex,
      peers,
      loads: this.loads,
      balancer: this.heartbeatBalancer,
      forwarder: this.heartbeatForwarder,
    })
  }
  private makeJobStore(): JobStore {
    return new JobStore({
      store: this.options.store,
      membership: this.membership,
      jobIndex: this.jobIndex,
      events: {
        changed: (entry, spec) => this.jobChanged(entry, spec),
        cachedFinal: (id) => this.progress.finalStatus(id),
        cacheFinal: (id, status) => this.progress.remember(id, status),
        shardOf: (spec) => this.shardOfJob(spec),
      },
    })
  }
  private makeInventory(): CloudInventory {
    const { platform, operators, store, cloud, peers, clocks } = this.options
    const lists = new MachineListExchange({ shards: this.shards, peers, now: clocks.monotonicNow })
    return new CloudInventory({
      cloud,
      store,
      replica: this.membership.replica,
      now: clocks.monotonicNow,
      refusalMemoryS: operators.provisioning.refusalMemoryS,
      requestsPerSecond: platform.deployment.cloud.requestsPerSecond,
      shouldList: () => lists.shouldList(this.inventory.listedAt),
      publishList: (list) => lists.publish(list),
    })
  }
  private forgetMachinesOffRecord(): void {
    this.machineIndex.listen((id, entry) => {
      if (entry !== null) return
      this.heartbeatForwarder.removeMachine(id)
      this.heartbeatBalancer.removeMachine(id)
    })
  }
  /** What the controller of a shard shares with the others of this node. */
  private shardContext(): NodeContext {
    const { platform, operators, nodes, store, cloud, httpClient, clocks, log, fork } = this.options
    return {
      platform,
      operators,
      nodeCount: nodes.length,
      store,
      cloud,
      httpClient,
      commandsInFlight: this.commandsInFlight,
      commandForwarder: this.commandForwarder,
      membership: this.membership,
      inventory: this.inventory,
      machineIndex: this.machineIndex,
      estimates: this.estimates,
      clocks,
      log,
      demandOfOthers: (except) => this.demandRegistry.ofOthers(except),
      publishDemand: (shard, demand) => this.demandExchange.publish(shard, demand),
      handOff: (shard, id, handoff) => this.handoffs.send(shard, id, handoff),
      jobIndex: this.jobIndex,
      jobsEnded: (ends) => this.progress.ended(ends),
      foldJobs: (page) => this.jobStore.fold(page),
      nextRentalRequestId: () => this.nextRentalRequestId(),
      fork,
    }
  }
  /** Never used before: an incarnation's name is new with each start, and its rentals are counted. */
  private nextRentalRequestId(): RentalRequestId {
    const process = this.membership.incarnation() ?? this.options.platform.nodeName
    return `${process}-${++this.rentalCount}` as RentalRequestId
  }

  // --- running --------------------------------------------------------------------

  /** Runs all that this node does, until it is interrupted. */
  readonly run: Effect.Effect<void> = Effect.suspend(() =>
    Effect.all(
      [
        this.membership.run,
        this.inventory.run,
        this.demandExchange.run,
        this.progress.publish,
        this.options.peers.serve((message, from) => this.receive(message, from)),
        this.loads.run,
      ],
      { concurrency: "unbounded", discard: true },
    ),
  )

  /** Takes in a message from another node. */
  private receive(message: PeerMessage, from: NodeName): void {
    switch (message.kind) {
      case "heartbeats":
        return this.heartbeatRouter.receiveForwarded(from, message)
      case "heartbeatReplies":
        return this.heartbeatForwarder.receiveReplies(message)
      case "commands":
        return this.commandForwarder.receiveCommands(from, message)
      case "commandResults":
        return this.commandForwarder.receiveResults(message)
      case "machineList":
        // It was asked for a moment ago; as the list itself lags by seconds, that is near enough.
        return this.inventory.take(message.machines, this.options.clocks.monotonicNow())
      case "nodeLoad":
        return this.loads.receiveLoad(from, message.load)
      case "jobChanged":
        return this.membership.replica.applyWrite(message.page)
      case "demand":
        return this.demandExchange.received(message.demands)
      case "machineHandoff":
        return this.handoffs.received(message)
      case "jobProgress":
        return this.progress.received(message)
    }
  }

  /** Answers a worker's heartbeat to this node, at once or as soon as there are commands. */
  receiveHeartbeat(heartbeat: Heartbeat, respond: Respond): void {
    this.heartbeatRouter.receive(heartbeat, respond)
  }

  // --- health ---------------------------------------------------------------------

  /** Whether this node can act for shards and answer users. */
  isHealthy(): boolean {
    return this.membership.holdsLease() && this.catalog() !== null
  }
  /** Whether any other node can act; null: none of them is connected. */
  othersHealthy(): boolean | null {
    return this.loads.isAnyOtherHealthy()
  }
  private ownLoad(): NodeLoad {
    return {
      healthy: this.isHealthy(),
      writesPerSecond: this.options.store.writeRate(),
      heartbeatsPerSecond: this.heartbeatBalancer.heartbeatsPerSecond,
      sharesHeartbeats: this.heartbeatBalancer.updateSharing(this.shards.machineCount),
    }
  }

  // --- for users' requests --------------------------------------------------------

  /** The machine types; null while they aren't known. */
  catalog(): ReadonlyMap<MachineTypeName, MachineType> | null {
    return this.inventory.catalog()
  }
  /** Tasks done and running, for display. */
  counts(id: JobId): ShownCounts {
    return this.progress.counts(id)
  }
  /** A job was accepted or cancelled: its owner should know before the watch brings it. */
  private jobChanged(entry: Entry, spec: JobSpec): Effect.Effect<void> {
    return Effect.sync(() => {
      const { platform, peers } = this.options
      this.membership.replica.applyWrite(entry)
      const owner = this.membership.owner(this.shardOfJob(spec))
      if (owner !== null && owner !== platform.nodeName)
        peers.send({ kind: "jobChanged", page: entry }, owner)
    })
  }
  private shardOfJob({ id, deadlineS }: JobSpec): ShardName {
    return shardOf(id, deadlineS != null, this.options.nodes.length)
  }
}

/** Makes a controller on this process's clocks and HTTP client. */
export const makeController = (
  options: Omit<ControllerOptions, "httpClient" | "clocks" | "fork">,
): Effect.Effect<Controller, never, HttpClient> =>
  Effect.gen(function* () {
    const httpClient = yield* HttpClient
    const clocks = yield* processClocks
    const context = yield* Effect.context<never>()
    const logFailure = (cause: Cause.Cause<never>) =>
      Effect.sync(() => {
        if (!Cause.hasInterruptsOnly(cause)) options.log.error("fiber failed", { cause: Cause.pretty(cause) })
      })
    const fork = (effect: Effect.Effect<unknown>) =>
      Effect.runForkWith(context)(Effect.tapCause(effect, logFailure))
    return new Controller({ ...options, httpClient, clocks, fork })
  })
