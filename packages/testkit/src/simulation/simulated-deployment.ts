/**
 * A whole deployment on one simulated clock: controllers, their surroundings,
 * users, faults, and the invariants that are checked all the while.
 */
import type { JobId, NodeName } from "@sorreltally/protocol"
import type { WirePlatform } from "@sorreltally/settings"
import { type DrawnPair, EffectObserver } from "../faults/effects.ts"
import { InfrastructureFaults } from "../faults/infrastructure-faults.ts"
import { LimitCoincidences } from "../faults/limit-coincidences.ts"
import { MembershipFaults } from "../faults/membership-faults.ts"
import { UserFaults } from "../faults/user-faults.ts"
import { Invariants } from "../invariants/invariants.ts"
import { WaitingInvariant } from "../invariants/waiting-invariant.ts"
import { Cloud } from "../services/cloud.ts"
import { StateService } from "../services/state-service.ts"
import { Users } from "../services/users.ts"
import type { Deployment, DeploymentSetup } from "./deployment.ts"
import { Network } from "./network.ts"
import { machineTypesIn, platformFileOf, platformOf } from "./platform-file.ts"
import { type ControllerSurroundings, type FreezePoint, SimulatedController } from "./simulated-controller.ts"
import { Simulation } from "./simulation.ts"

/** Controllers start one after the other. */
const START_INTERVAL_MS = 150
const CHECK_INTERVAL_MS = 500
/** How long ago the cloud's list shows machines, at least. */
const LIST_LAG_MS = 3_000

/** A whole deployment: controllers, their surroundings, users, and the invariants. */
export class SimulatedDeployment implements Deployment {
  readonly simulation: Simulation
  readonly network: Network
  readonly invariants: Invariants
  readonly state: StateService
  readonly cloud: Cloud
  readonly faults: InfrastructureFaults
  readonly users: Users
  readonly userFaults: UserFaults
  readonly membershipFaults: MembershipFaults
  readonly limitCoincidences: LimitCoincidences
  readonly names: ReadonlyArray<NodeName>
  private readonly controllers = new Map<NodeName, SimulatedController>()
  readonly logged: Array<string> = []
  /** Jobs that the scenario submitted so far: the next one's id follows from it. */
  scenarioJobs = 0
  /** Pairs of faults that the scenario names, in order. */
  readonly pairs: Array<DrawnPair> = []
  readonly effects = new EffectObserver(this)
  /** When a controller last started again after it had ended. */
  lastReturnAt = Number.NEGATIVE_INFINITY
  private processesStarted = 0
  /** Bytes between controllers, the most commands under way at one, the most machines whose last heartbeat reached one. */
  readonly count = { peerBytes: 0, commandsAtOnce: 0, workersAtOne: 0 }
  private readonly nodeOfWorker = new Map<string, NodeName>()
  private readonly workersAt = new Map<NodeName, number>()
  /** Called with every frame between controllers as it is sent. */
  readonly onFrame: Array<(frame: Uint8Array) => void> = []
  private readonly surroundings: ControllerSurroundings

  /** `beginsAtMs`: what the clock shows at its beginning, for a deployment that goes on from an earlier one. */
  constructor(
    readonly setup: DeploymentSetup,
    beginsAtMs = 0,
  ) {
    this.simulation = new Simulation(setup.seed, beginsAtMs)
    this.network = new Network(this.simulation)
    this.names = Array.from({ length: setup.nodes }, (_, i) => `host-${i}` as NodeName)
    this.surroundings = this.surroundingsOfControllers()
    const types = machineTypesIn(setup.zones)
    const { teams } = platformOf(this.platformFile(0)).deployment
    this.invariants = new Invariants(this.simulation, teams, types, setup.workers.cancel_s)
    this.state = new StateService(this.simulation, this.network, this.platformFile(0).facts.state)
    this.cloud = new Cloud(this.simulation, this.network, this.invariants, {
      types,
      capacity: setup.capacity,
      lagMs: LIST_LAG_MS,
      nodes: this.names,
      times: setup.workers,
      neverBoots: setup.neverBoots,
      bootWithinMs: null,
    })
    this.users = new Users(this.simulation, this.network, this.invariants.users, this.names)
    this.userFaults = new UserFaults(this.simulation, this.users, this.invariants)
    this.faults = new InfrastructureFaults(this)
    this.membershipFaults = new MembershipFaults(this)
    this.limitCoincidences = new LimitCoincidences(this)
    for (const [i, name] of this.names.entries())
      this.simulation.after(i * START_INTERVAL_MS, () => this.start(name))
    this.keepChecking(new WaitingInvariant(this.simulation, this.invariants, this.cloud))
  }
  private keepChecking(waiting: WaitingInvariant): void {
    this.invariants.check()
    waiting.check()
    this.simulation.after(CHECK_INTERVAL_MS, () => this.keepChecking(waiting))
  }

  /** The settings file that the platform hands to one controller. */
  platformFile(index: number): WirePlatform {
    return platformFileOf(this.setup, this.names, index)
  }
  zoneOf(host: string): string | null {
    const index = this.names.indexOf(host as NodeName)
    if (index >= 0) return this.setup.zones[index % this.setup.zones.length]!
    return this.cloud.machines.get(host)?.zone ?? null
  }
  /** What the state service holds of a job, for a look from outside. */
  stored(id: JobId): string {
    const found = [...this.state.entries].filter(([key]) => key.includes(id) || key.startsWith("s/quota/"))
    return JSON.stringify(found.map(([key, { value }]) => [key, value]))
  }

  // --- controllers ------------------------------------------------------------

  private surroundingsOfControllers(): ControllerSurroundings {
    return {
      simulation: this.simulation,
      network: this.network,
      processorShare: this.setup.processorShare,
      controller: (name) => this.controllers.get(name),
      frameSent: (bytes) => {
        this.count.peerBytes += bytes.length
        for (const listener of this.onFrame) listener(bytes)
      },
      commandsUnderWay: (count) => {
        this.count.commandsAtOnce = Math.max(this.count.commandsAtOnce, count)
      },
      heartbeatReceived: (machine, node) => this.heartbeatReceived(machine, node),
      answered: (node, from, path) => {
        if (path === "/v1/report") this.membershipFaults.heartbeatAnswered(node, from)
        this.faults.requestAnswered(node, path)
      },
      log: (line) => this.logged.push(line),
    }
  }
  private start(name: NodeName): void {
    if (this.controllers.has(name)) return
    const platform = platformOf(this.platformFile(this.names.indexOf(name)))
    const seed = `${this.setup.seed}/${++this.processesStarted}`
    const controller = new SimulatedController({ name, platform, seed }, this.surroundings)
    this.controllers.set(name, controller)
    controller.start()
  }
  private heartbeatReceived(machine: string, node: NodeName): void {
    const before = this.nodeOfWorker.get(machine)
    if (before === node) return
    this.nodeOfWorker.set(machine, node)
    if (before !== undefined) this.workersAt.set(before, this.workersAt.get(before)! - 1)
    const there = (this.workersAt.get(node) ?? 0) + 1
    this.workersAt.set(node, there)
    this.count.workersAtOne = Math.max(this.count.workersAtOne, there)
  }

  /** The process ends, and another one starts after that time. */
  crash(name: NodeName, backAfterMs: number): void {
    this.invariants.recordFault(backAfterMs)
    this.invariants.lastCrashAt = this.simulation.now
    this.limitCoincidences.controllerCrashed(name)
    this.controllers.get(name)?.kill()
    this.controllers.delete(name)
    this.network.close(name)
    this.simulation.after(backAfterMs, () => {
      this.lastReturnAt = this.simulation.now
      this.start(name)
    })
  }
  /** It stands still while its clocks run on: at once, or in the middle of sending something. */
  freeze(name: NodeName, ms: number, at: FreezePoint | null): void {
    this.controllers.get(name)?.freeze(ms, at)
  }
}
