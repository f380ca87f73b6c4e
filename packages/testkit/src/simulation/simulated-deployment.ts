/**
 * A whole deployment on one simulated clock: controllers, services, users, faults,
 * and the invariants, which are checked at regular intervals.
 */
import type { JobId, NodeName } from "@sorreltally/protocol"
import type { WirePlatform } from "@sorreltally/settings"
import { type DrawnPair, EffectObserver } from "../faults/effects.ts"
import { InfrastructureFaults } from "../faults/infrastructure-faults.ts"
import { LimitCoincidences } from "../faults/limit-coincidences.ts"
import { MembershipFaults } from "../faults/membership-faults.ts"
import { RestartFaults } from "../faults/restart-faults.ts"
import { UserFaults } from "../faults/user-faults.ts"
import { Invariants } from "../invariants/invariants.ts"
import { WaitingInvariant } from "../invariants/waiting-invariant.ts"
import { Cloud } from "../services/cloud.ts"
import { StateService } from "../services/state-service.ts"
import { Users } from "../services/users.ts"
import type { Deployment, DeploymentSetup } from "./deployment.ts"
import { Network } from "./network.ts"
import { machineTypesIn, platformFileOf, platformOf } from "./platform-file.ts"
import { type ControllerEnvironment, type FreezePoint, SimulatedController } from "./simulated-controller.ts"
import { Simulation } from "./simulation.ts"

/** Interval between the starts of two controllers. */
const START_INTERVAL_MS = 150
const CHECK_INTERVAL_MS = 500
/** Minimum age of the state that the cloud's list of machines shows. */
const LIST_LAG_MS = 3_000

/** A simulated deployment. */
export class SimulatedDeployment implements Deployment {
  readonly simulation: Simulation
  readonly network: Network
  readonly invariants: Invariants
  readonly state: StateService
  readonly cloud: Cloud
  readonly faults: InfrastructureFaults
  readonly restartFaults: RestartFaults
  readonly users: Users
  readonly userFaults: UserFaults
  readonly membershipFaults: MembershipFaults
  readonly limitCoincidences: LimitCoincidences
  readonly names: ReadonlyArray<NodeName>
  private readonly controllers = new Map<NodeName, SimulatedController>()
  readonly logged: Array<string> = []
  /** Number of jobs that the scenario has submitted; the next job's id is derived from it. */
  scenarioJobs = 0
  /** Pairs of faults in the order in which the scenario names them. */
  readonly pairs: Array<DrawnPair> = []
  readonly effects = new EffectObserver(this)
  /** Time of the last restart of a controller. */
  lastReturnAt = Number.NEGATIVE_INFINITY
  private processesStarted = 0
  /**
   * Bytes sent between controllers, maximum number of commands in flight at one controller,
   * and maximum number of machines whose last heartbeat reached the same controller.
   */
  readonly count = { peerBytes: 0, maxConcurrentCommands: 0, maxWorkersAtNode: 0 }
  private readonly nodeByWorker = new Map<string, NodeName>()
  private readonly workerCountByNode = new Map<NodeName, number>()
  /** Callbacks that receive every frame between controllers when it is sent. */
  readonly onFrame: Array<(frame: Uint8Array) => void> = []
  private readonly controllerEnvironment: ControllerEnvironment

  /** `startMs`: initial time of the clock, for a deployment that resumes an earlier one. */
  constructor(
    readonly setup: DeploymentSetup,
    startMs = 0,
  ) {
    this.simulation = new Simulation(setup.seed, startMs)
    this.network = new Network(this.simulation)
    this.names = Array.from({ length: setup.nodes }, (_, i) => `host-${i}` as NodeName)
    this.controllerEnvironment = this.makeControllerEnvironment()
    const types = machineTypesIn(setup.zones)
    const { teams } = platformOf(this.platformFile(0)).deployment
    this.invariants = new Invariants(this.simulation, teams, types, setup.workers.cancel_s)
    const { state } = this.platformFile(0).facts
    this.state = new StateService(this.simulation, this.network, state, setup.firstRevision)
    this.cloud = new Cloud(this.simulation, this.network, this.invariants, {
      types,
      capacity: setup.capacity,
      listLagMs: LIST_LAG_MS,
      nodes: this.names,
      times: setup.workers,
      neverBoots: setup.neverBoots,
      bootWithinMs: null,
    })
    this.users = new Users(this.simulation, this.network, this.invariants.users, this.names)
    this.userFaults = new UserFaults(this.simulation, this.users, this.invariants)
    this.faults = new InfrastructureFaults(this)
    this.restartFaults = new RestartFaults(this)
    this.membershipFaults = new MembershipFaults(this)
    this.limitCoincidences = new LimitCoincidences(this)
    for (const [i, name] of this.names.entries())
      this.simulation.after(i * START_INTERVAL_MS, () => this.start(name))
    this.checkInvariantsRegularly(new WaitingInvariant(this.simulation, this.invariants, this.cloud))
  }
  private checkInvariantsRegularly(waiting: WaitingInvariant): void {
    this.invariants.check()
    waiting.check()
    this.simulation.after(CHECK_INTERVAL_MS, () => this.checkInvariantsRegularly(waiting))
  }

  /** Settings file of one controller. */
  platformFile(index: number): WirePlatform {
    return platformFileOf(this.setup, this.names, index)
  }
  zoneOf(host: string): string | null {
    const index = this.names.indexOf(host as NodeName)
    if (index >= 0) return this.setup.zones[index % this.setup.zones.length]!
    return this.cloud.machines.get(host)?.zone ?? null
  }
  /** Entries of the state service about a job and all quota entries, as JSON for error messages. */
  storedEntriesOf(id: JobId): string {
    const found = [...this.state.entries].filter(([key]) => key.includes(id) || key.startsWith("s/quota/"))
    return JSON.stringify(found.map(([key, { value }]) => [key, value]))
  }

  // --- controllers ------------------------------------------------------------

  private makeControllerEnvironment(): ControllerEnvironment {
    return {
      simulation: this.simulation,
      network: this.network,
      processorShare: this.setup.processorShare,
      controller: (name) => this.controllers.get(name),
      frameSent: (bytes) => {
        this.count.peerBytes += bytes.length
        for (const listener of this.onFrame) listener(bytes)
      },
      commandsInFlightChanged: (count) => {
        this.count.maxConcurrentCommands = Math.max(this.count.maxConcurrentCommands, count)
      },
      heartbeatReceived: (machine, node) => this.heartbeatReceived(machine, node),
      requestSucceeded: (node, from, path) => {
        if (path === "/v1/report") this.membershipFaults.heartbeatAnswered(node, from)
        this.faults.requestAnswered(node, path)
      },
      sentRejectedAgain: (node, transaction) =>
        this.invariants.reportViolation("sent_rejected_again", `${node} sent ${transaction}`),
      log: (line) => this.logged.push(line),
    }
  }
  private start(name: NodeName): void {
    if (this.controllers.has(name)) return
    const platform = platformOf(this.platformFile(this.names.indexOf(name)))
    const seed = `${this.setup.seed}/${++this.processesStarted}`
    const controller = new SimulatedController({ name, platform, seed }, this.controllerEnvironment)
    this.controllers.set(name, controller)
    controller.start()
  }
  private heartbeatReceived(machine: string, node: NodeName): void {
    const previousNode = this.nodeByWorker.get(machine)
    if (previousNode === node) return
    this.nodeByWorker.set(machine, node)
    if (previousNode !== undefined)
      this.workerCountByNode.set(previousNode, this.workerCountByNode.get(previousNode)! - 1)
    const workerCount = (this.workerCountByNode.get(node) ?? 0) + 1
    this.workerCountByNode.set(node, workerCount)
    this.count.maxWorkersAtNode = Math.max(this.count.maxWorkersAtNode, workerCount)
  }

  /** Maximum number of running machines whose last heartbeat reached the same controller. */
  workersAtBusiestNode(): number {
    const counts = new Map<NodeName, number>()
    for (const { id } of this.faults.runningMachines()) {
      const node = this.nodeByWorker.get(id)
      if (node !== undefined) counts.set(node, (counts.get(node) ?? 0) + 1)
    }
    return Math.max(0, ...counts.values())
  }

  /** Ends a controller's process, and starts a new one after the given time. */
  crash(name: NodeName, restartAfterMs: number): void {
    this.invariants.recordFault(restartAfterMs)
    this.invariants.lastCrashAt = this.simulation.now
    this.limitCoincidences.controllerCrashed(name)
    this.controllers.get(name)?.kill()
    this.controllers.delete(name)
    this.network.close(name)
    this.simulation.after(restartAfterMs, () => {
      this.lastReturnAt = this.simulation.now
      this.start(name)
    })
  }
  /** Freezes a controller while its clocks run on: at once, or before it sends the next message of a kind. */
  freeze(name: NodeName, ms: number, point: FreezePoint | null): void {
    this.controllers.get(name)?.freeze(ms, point)
  }
}
