/**
 * One controller node: creates and runs the services that its shards share, and dispatches messages from
 * other nodes. It makes no decisions about jobs or machines; which shards it owns is decided by `Membership`
 * alone.
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
import type { Entry, JobPage, StoreClient } from "@sorreltally/store"
import { Cause, Effect, type Fiber } from "effect"
import { DemandExchange } from "./demand-exchange.ts"
import { DemandRegistry } from "./demand-registry.ts"
import { HeartbeatRouter } from "./heartbeat-router.ts"
import { type DisplayedCounts, JobProgress } from "./job-progress.ts"
import { MachineHandoffs } from "./machine-handoffs.ts"
import { MachineListExchange } from "./machine-list-exchange.ts"
import { RunningShards } from "./running-shards.ts"

/** Settings and dependencies of a controller. */
export interface ControllerOptions {
  readonly platform: Platform
  readonly operators: Operators
  /** All configured controllers, this one included, in the order by which shards are numbered. */
  readonly nodes: ReadonlyArray<NodeName>
  readonly store: StoreClient
  readonly cloud: CloudClient
  readonly httpClient: HttpClient["Service"]
  readonly peers: PeerChannel
  readonly clocks: Clocks
  readonly log: Log
  /** Runs an effect in a fiber of its own, and logs an unexpected failure. */
  readonly fork: (effect: Effect.Effect<unknown>) => Fiber.Fiber<unknown>
}

/** One controller node: the shards that it owns, and the services that they share. */
export class Controller {
  /** This node's lease, its shards, and its replica of the store. */
  readonly membership: Membership
  /** This node's view of the cloud's catalog, offers and machines. */
  readonly inventory: CloudInventory
  /** Accepts, looks up and cancels jobs. */
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
    this.dropRemovedMachines()
    this.demandRegistry = new DemandRegistry(clocks)
    this.demandExchange = new DemandExchange({ registry: this.demandRegistry, shards, machineIndex, peers })
    this.handoffs = new MachineHandoffs({ shards, membership, machineIndex, peers })
    this.progress = new JobProgress(peers, () => shards.taskCounts())
    this.jobIndex = new JobIndex(membership.replica)
    this.jobIndex.listen((id, job) => {
      if (job === null) this.progress.dropCounts(id)
    })
    this.jobStore = this.makeJobStore()
    this.inventory = this.makeInventory()
  }

  // --- construction ---------------------------------------------------------------

  private makeMembership(): Membership {
    const { platform, operators, nodes, store, clocks, log, fork } = this.options
    const listener: MembershipListener = {
      onShardAcquired: (shard, epoch) => this.shards.start(shard, epoch),
      onShardLost: (shard) => this.shards.stop(shard),
      isBusy: () => this.shards.hasWork,
    }
    return new Membership({
      settings: {
        self: platform.nodeName,
        nodes,
        ...cancellationBudget(platform.deployment.workers, operators.membership),
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
      log: this.options.log,
      membership: this.membership,
      jobIndex: this.jobIndex,
      events: {
        onPagesWritten: (entries, spec) => this.jobChanged(entries, spec),
        cachedFinalStatus: (id) => this.progress.finalStatus(id),
        cacheFinalStatus: (id, status) => this.progress.cacheFinalStatus(id, status),
        shardOf: (spec) => this.shardOfJob(spec),
      },
    })
  }
  private makeInventory(): CloudInventory {
    const { platform, operators, store, cloud, peers, clocks } = this.options
    const listExchange = new MachineListExchange({ shards: this.shards, peers, now: clocks.monotonicNow })
    return new CloudInventory({
      cloud,
      store,
      replica: this.membership.replica,
      now: clocks.monotonicNow,
      refusalMemoryS: operators.provisioning.refusalMemoryS,
      requestsPerSecond: platform.deployment.cloud.requestsPerSecond,
      shouldList: () => listExchange.shouldList(this.inventory.listedAt),
      publishList: (list) => listExchange.publish(list),
    })
  }
  private dropRemovedMachines(): void {
    this.machineIndex.listen((id, entry) => {
      if (entry !== null) return
      this.heartbeatForwarder.removeMachine(id)
      this.heartbeatBalancer.removeMachine(id)
    })
  }
  /** Services that the controllers of this node's shards share. */
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
      demandOfOtherShards: (except) => this.demandRegistry.demandOfOthers(except),
      publishDemand: (shard, demand) => this.demandExchange.publish(shard, demand),
      handOff: (shard, id, handoff) => this.handoffs.send(shard, id, handoff),
      jobIndex: this.jobIndex,
      onJobsEnded: (ends) => this.progress.recordEnds(ends),
      compactJobPage: (page) => this.jobStore.compactJobPage(page),
      nextRentalRequestId: () => this.nextRentalRequestId(),
      fork,
    }
  }
  /** A unique request id: each start of the process has a new incarnation name, and numbers its requests. */
  private nextRentalRequestId(): RentalRequestId {
    const prefix = this.membership.incarnation() ?? this.options.platform.nodeName
    return `${prefix}-${++this.rentalCount}` as RentalRequestId
  }

  // --- running --------------------------------------------------------------------

  /** Runs all services of this node until it is interrupted. */
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

  /** Dispatches a message from another node. */
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
        // The list was requested shortly before; it lags by seconds itself, so the difference is negligible.
        return this.inventory.applyList(message.machines, this.options.clocks.monotonicNow())
      case "nodeLoad":
        return this.loads.receiveLoad(from, message.load)
      case "jobChanged":
        if (this.jobIndex.keepsJobs(message.page)) this.membership.replica.applyWrite(message.page)
        return
      case "demand":
        return this.demandExchange.receive(message.demands)
      case "machineHandoff":
        return this.handoffs.receive(message)
      case "jobProgress":
        return this.progress.receive(message)
    }
  }

  /** Answers a worker's heartbeat to this node, immediately or as soon as there are commands. */
  receiveHeartbeat(heartbeat: Heartbeat, respond: Respond): void {
    this.heartbeatRouter.receive(heartbeat, respond)
  }

  // --- health ---------------------------------------------------------------------

  /** Whether this node can act for its shards and answer users: it holds its lease and has the catalog. */
  isHealthy(): boolean {
    return this.membership.holdsLease() && this.catalog() !== null
  }
  /** Whether any other node is healthy; null: none is connected. */
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

  // --- users' requests ------------------------------------------------------------

  /** Machine types by name; null while they aren't known. */
  catalog(): ReadonlyMap<MachineTypeName, MachineType> | null {
    return this.inventory.catalog()
  }
  /** A job's numbers of done and running tasks, for display only. */
  counts(id: JobId): DisplayedCounts {
    return this.progress.counts(id)
  }
  /**
   * Applies the pages that accepted or cancelled a job, and sends a single page to the job's owner ahead of the
   * watch. Several pages are left to the watch, which delivers them together.
   */
  private jobChanged(entries: ReadonlyArray<Entry<JobPage>>, spec: JobSpec): Effect.Effect<void> {
    return Effect.sync(() => {
      const { platform, peers } = this.options
      this.membership.replica.applyWrites(entries)
      const [entry, ...others] = entries
      if (entry === undefined || others.length > 0) return
      const owner = this.membership.ownerOf(this.shardOfJob(spec))
      if (owner !== null && owner !== platform.nodeName)
        peers.send({ kind: "jobChanged", page: entry }, owner)
    })
  }
  private shardOfJob({ id, deadlineS }: JobSpec): ShardName {
    return shardOf(id, deadlineS != null, this.options.nodes.length)
  }
}

/** Creates a controller with this process's clocks and HTTP client. */
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
