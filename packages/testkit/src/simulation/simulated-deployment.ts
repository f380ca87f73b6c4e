import { makeNode, type Node } from "@sorreltally/daemon/node"
import type { Links } from "@sorreltally/peers"
import {
  HttpClient,
  type HttpResponse,
  type JobId,
  type Log,
  type NodeName,
  NoResponseError,
  withTimeout,
} from "@sorreltally/protocol"
import {
  defaultOperators,
  NO_LIMIT,
  type Platform,
  platformFromWire,
  type Team,
  teamFromWire,
  type WirePlatform,
} from "@sorreltally/settings"
import { Effect, Exit, Random } from "effect"
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
import { machineTypeOffer } from "../services/wire-builders.ts"
import type { Deployment, DeploymentSetup } from "./deployment.ts"
import { type Answer, Network, type Request } from "./network.ts"
import { type Process, Simulation } from "./simulation.ts"
import { ANSWER_MS, peerMessageMs, requestMs } from "./work-costs.ts"

export const defaultSetup: DeploymentSetup = {
  seed: 1,
  nodes: 3,
  zones: ["a", "b"],
  capacity: 6,
  neverBoots: 0,
  teamMax: 64,
  stateRps: 200,
  stateWrites: 60,
  sockets: 2500,
  cores: 0.4,
  processorShare: null,
  workers: { report_s: 3, lease_s: 27, cancel_s: 47 },
}

interface ControllerProcess {
  readonly process: Process
  readonly inbox: { receive: ((frame: Uint8Array) => void) | null }
  /** It stands still as soon as it is about to send such a message, which leaves when it goes on. */
  freezeAt: { readonly at: FreezePoint; readonly ms: number } | null
}
/** What a controller may be about to send when it is made to stand still. */
export type FreezePoint = "answer" | "command" | "transaction" | "take-over" | "touch"

/** A whole deployment: controllers, their surroundings, users, and the rules. */
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
  private readonly controllers = new Map<NodeName, ControllerProcess>()
  readonly logged: Array<string> = []
  /** Jobs that the scenario submitted so far: the next one's id follows from it. */
  scenarioJobs = 0
  /** Pairs of faults that the scenario names, in order. */
  readonly pairs: Array<DrawnPair> = []
  readonly effects = new EffectObserver(this)
  /** When a controller last started again after it had ended. */
  lastReturnAt = Number.NEGATIVE_INFINITY
  private processesStarted = 0
  /** Bytes between controllers, the most commands under way at one, the most machines that reported to one last. */
  readonly count = { peerBytes: 0, commandsAtOnce: 0, workersAtOne: 0 }
  private readonly nodeOfWorker = new Map<string, NodeName>()
  private readonly workersAt = new Map<NodeName, number>()

  /** Called with every frame between controllers as it is sent. */
  readonly onFrame: Array<(frame: Uint8Array) => void> = []

  /** `beginsAtMs`: what the clock shows at its beginning, for a deployment that goes on from an earlier one. */
  constructor(
    readonly setup: DeploymentSetup,
    beginsAtMs = 0,
  ) {
    this.simulation = new Simulation(setup.seed, beginsAtMs)
    this.network = new Network(this.simulation)
    this.names = Array.from({ length: setup.nodes }, (_, i) => `host-${i}` as NodeName)
    const types = [
      machineTypeOffer({
        name: "small",
        cores: 8,
        mem_gb: 32,
        hourly: 0.6,
        spot_price: 0.12,
        sites: setup.zones,
      }),
      machineTypeOffer({
        name: "large",
        cores: 32,
        mem_gb: 128,
        hourly: 3,
        spot_price: 0.6,
        startup_s: 12,
        sites: setup.zones,
      }),
    ]
    this.invariants = new Invariants(
      this.simulation,
      this.platform(0).deployment.teams,
      types,
      setup.workers.cancel_s,
    )
    this.state = new StateService(this.simulation, this.network, this.platformFile(0).facts.state)
    this.cloud = new Cloud(this.simulation, this.network, this.invariants, {
      types,
      capacity: setup.capacity,
      lagMs: 3_000,
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
    for (let i = 0; i < setup.nodes; i++) this.simulation.after(i * 150, () => this.start(this.names[i]!))
    const waiting = new WaitingInvariant(this.simulation, this.invariants, this.cloud)
    const look = () => {
      this.invariants.look()
      waiting.look()
      this.simulation.after(500, look)
    }
    look()
  }

  /** The settings of one controller. A limit of 0 stays one here, as teams have no GPUs, but for the guests. */
  platform(index: number): Platform {
    const file = this.platformFile(index)
    const platform = platformFromWire(file)
    const teams = file.facts.teams.map(({ name, cpus, cpus_max, gpus, gpus_max }): Team => {
      if (name === "guest") return teamFromWire({ name, cpus: 0, cpus_max: 0 })
      return { name, cpus: cpus!, maxCpus: cpus_max!, gpus: gpus!, maxGpus: gpus_max! }
    })
    return { ...platform, deployment: { ...platform.deployment, teams } }
  }
  /** The settings file that the platform hands to one controller. */
  platformFile(index: number): WirePlatform {
    const { zones, teamMax, stateRps, stateWrites, sockets, cores } = this.setup
    const peers = this.names
      .filter((_, i) => i !== index)
      .map((name) => ({ node_name: name, area: zones[0]!, peer_addr: `${name}:1` }))
    return {
      node_name: this.names[index]!,
      area: zones[index % zones.length]!,
      listen: `${this.names[index]}:80`,
      back: `${this.names[index]}:1`,
      peers,
      outside: { cloud: "cloud:1", state: "state:1" },
      facts: {
        zones,
        teams: [
          { name: "red", cpus: teamMax / 2, cpus_max: teamMax, gpus: 0, gpus_max: 0 },
          { name: "blue", cpus: teamMax / 2, cpus_max: teamMax, gpus: 0, gpus_max: 0 },
          { name: "guest", cpus: 0, cpus_max: NO_LIMIT, gpus: 0, gpus_max: NO_LIMIT },
        ],
        objectives: [{ kind: "wait", class: "bulk", within_s: 60, share: 0.9 }],
        workers: this.setup.workers,
        state: { rps: stateRps, write_rps: stateWrites, value_kb: 4, txn_ops: 8 },
        cloud: { rps: 6, list_lag_s: 3 },
        machine_limits: { cores, mem_mb: 300, fd_limit: sockets },
        time_bound_ms: 1000,
      },
    } as unknown as WirePlatform
  }

  // --- controllers ------------------------------------------------------------

  zoneOf(host: string): string | null {
    const index = this.names.indexOf(host as NodeName)
    if (index >= 0) return this.setup.zones[index % this.setup.zones.length]!
    return this.cloud.machines.get(host)?.zone ?? null
  }

  private start(name: NodeName): void {
    if (this.controllers.has(name)) return
    const index = this.names.indexOf(name)
    const process = this.simulation.process(
      this.simulation.random.between(-900, 900),
      this.setup.processorShare,
    )
    const inbox: ControllerProcess["inbox"] = { receive: null }
    const send = (what: FreezePoint | null, go: () => void) => {
      const life = this.controllers.get(name)
      if (life?.process === process && life.freezeAt !== null && life.freezeAt.at === what) {
        process.freeze(life.freezeAt.ms)
        life.freezeAt = null
      }
      process.whenAwake(go)
    }
    const links: Links = {
      send: (to, frame) => {
        const bytes = Uint8Array.from(frame)
        this.count.peerBytes += bytes.length
        for (const told of this.onFrame) told(bytes)
        const deliver = () => {
          const life = this.controllers.get(to)
          life?.process.whenAwake(() => life.inbox.receive?.(bytes), peerMessageMs(bytes.length))
        }
        process.whenAwake(() => {
          this.network.trace?.frame(this.simulation.now, name, to, bytes)
          this.network.carry(name, to, deliver)
        })
      },
      receive: (handler) => {
        inbox.receive = handler
      },
    }
    let commands = 0
    const exchange = withTimeout((call) =>
      Effect.callback<HttpResponse, NoResponseError>((resume) => {
        const to = call.address.slice(0, call.address.lastIndexOf(":"))
        const request = { method: call.method, path: call.path, body: call.body }
        const command = call.path === "/orders"
        if (command) this.count.commandsAtOnce = Math.max(this.count.commandsAtOnce, ++commands)
        const done = (answer: Answer | null) =>
          process.whenAwake(
            () =>
              resume(
                answer === null
                  ? Effect.fail(new NoResponseError({ reason: "reset" }))
                  : Effect.succeed(answer),
              ),
            ANSWER_MS,
          )
        send(freezePointOf(request), () => this.network.request(name, to, request, done))
      }).pipe(
        Effect.ensuring(
          Effect.sync(() => {
            if (call.path === "/orders") commands--
          }),
        ),
      ),
    )
    const log = (level: string) => (message: string, facts?: Record<string, unknown>) => {
      if (!process.alive() || (level === "debug" && globalThis.process.env.VERBOSE !== "debug")) return
      this.logged.push(
        `${(this.simulation.now / 1000).toFixed(2)} ${name} ${level} ${message} ${JSON.stringify(facts ?? {})}`,
      )
    }
    const logs: Log = { error: log("error"), info: log("info"), debug: log("debug") }
    const seed = `${this.setup.seed}/${++this.processesStarted}`
    const withServices = <A>(effect: Effect.Effect<A, never, HttpClient>): Effect.Effect<A> =>
      process.provide(Effect.provideService(effect, HttpClient, exchange))
    const withSeed = <A>(effect: Effect.Effect<A, never, HttpClient>) =>
      Random.withSeed(withServices(effect), seed)
    const serve = (node: Node) => {
      Effect.runCallback(withSeed(node.run))
      this.network.listen(name, (request, from, answer) => {
        if (request.path === "/v1/report") this.heartbeatReceived(from, name)
        process.whenAwake(() => {
          const incoming = { method: request.method, path: request.path, body: JSON.stringify(request.body) }
          node.serve(incoming, (outgoing) => {
            const report = request.path === "/v1/report" && outgoing.status === 200
            if (report) this.membershipFaults.answered(name, from)
            if (outgoing.status === 200) this.faults.answered(name, request.path)
            send(report ? "answer" : null, () => answer(outgoing))
          })
        }, requestMs(request))
      })
    }
    this.controllers.set(name, { process, inbox, freezeAt: null })
    process.whenAwake(() =>
      Effect.runCallback(withSeed(makeNode(this.platform(index), defaultOperators(), links, logs)), {
        onExit: (exit) => {
          if (Exit.isSuccess(exit)) serve(exit.value)
        },
      }),
    )
  }

  private heartbeatReceived(machine: string, to: NodeName): void {
    const before = this.nodeOfWorker.get(machine)
    if (before === to) return
    this.nodeOfWorker.set(machine, to)
    if (before !== undefined) this.workersAt.set(before, this.workersAt.get(before)! - 1)
    const there = (this.workersAt.get(to) ?? 0) + 1
    this.workersAt.set(to, there)
    this.count.workersAtOne = Math.max(this.count.workersAtOne, there)
  }

  crash(name: NodeName, backAfterMs: number): void {
    this.invariants.faultLasts(backAfterMs)
    this.invariants.lastCrashAt = this.simulation.now
    this.limitCoincidences.crashed(name)
    this.controllers.get(name)?.process.kill()
    this.controllers.delete(name)
    this.network.close(name)
    this.simulation.after(backAfterMs, () => {
      this.lastReturnAt = this.simulation.now
      this.start(name)
    })
  }

  // --- faults ----------------------------------------------------------------

  /** It stands still while its clocks run on: at once, or in the middle of sending something. */
  freeze(name: NodeName, ms: number, at: FreezePoint | null): void {
    const life = this.controllers.get(name)
    if (life === undefined) return
    if (at === null) life.process.freeze(ms)
    else life.freezeAt = { at, ms }
  }

  /** What the state service holds of a job, for a look from outside. */
  stored(id: JobId): string {
    const of = [...this.state.entries].filter(([key]) => key.includes(id) || key.startsWith("s/quota/"))
    return JSON.stringify(of.map(([key, { value }]) => [key, value]))
  }
}

const freezePointOf = ({ path, body }: Request): FreezePoint | null => {
  if (path === "/orders") return "command"
  if (path.endsWith("/touch")) return "touch"
  if (path !== "/multi") return null
  const { apply } = body as { apply: ReadonlyArray<{ readonly set?: string }> }
  return apply.some(({ set }) => set?.startsWith("s/part/") === true) ? "take-over" : "transaction"
}
