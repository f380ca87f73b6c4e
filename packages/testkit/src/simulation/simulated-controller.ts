/**
 * One process of a controller on simulated time: the production service, with its
 * HTTP client, links and log connected to the simulation. A restart is a new object;
 * pending answers and timers of the earlier one are never delivered.
 */
import { makeNode, type Node } from "@sorreltally/daemon/node"
import type { Links } from "@sorreltally/peers"
import {
  HttpClient,
  type HttpRequest,
  type HttpResponse,
  type Log,
  type NodeName,
  NoResponseError,
  withTimeout,
} from "@sorreltally/protocol"
import { defaultOperators, type Platform } from "@sorreltally/settings"
import { Effect, Exit, Random } from "effect"
import type { Answer, Network, Request } from "./network.ts"
import type { Process } from "./process.ts"
import type { Simulation } from "./simulation.ts"
import { ANSWER_COST_MS, peerMessageCostMs, requestCostMs } from "./work-costs.ts"

/** Kind of message before which a controller can be frozen, as the scenario format names it. */
export type FreezePoint = "answer" | "command" | "transaction" | "shard-acquisition" | "keep-alive"

/** Simulation, network and observers of a controller's process. */
export interface ControllerEnvironment {
  readonly simulation: Simulation
  readonly network: Network
  /** Share of a core that is simulated for a controller's work; null: its work takes no time. */
  readonly processorShare: number | null
  /** The present process of a controller, if it has one. */
  controller(name: NodeName): SimulatedController | undefined
  /** Called when a frame is sent to another controller. */
  frameSent(bytes: Uint8Array): void
  /** Called with the number of commands in flight at one controller, each time it sends one. */
  commandsInFlightChanged(count: number): void
  /** Called when a heartbeat arrives. */
  heartbeatReceived(machine: string, node: NodeName): void
  /** Called when a request was answered with 200. */
  requestSucceeded(node: NodeName, from: string, path: string): void
  /** Called when a controller sends a transaction that the state service has rejected before. */
  sentRejectedAgain(node: NodeName, transaction: string): void
  /** Called with every line of a controller's log. */
  log(line: string): void
}
/** Name, settings and seed of a controller's process. */
export interface ControllerIdentity {
  readonly name: NodeName
  readonly platform: Platform
  /** Seed of its random draws; differs at each start. */
  readonly seed: string
}

/** Maximum offset of a controller's wall clock from the simulation's. */
const MAX_CLOCK_OFFSET_MS = 900

/** A controller from its start to its end. */
export class SimulatedController {
  private readonly process: Process
  private receiveFrame: ((frame: Uint8Array) => void) | null = null
  /** Freeze before the next message of a kind; that message is sent once the controller resumes. */
  private pendingFreeze: { readonly point: FreezePoint; readonly ms: number } | null = null
  private commandsInFlight = 0
  /** Transactions that the state service rejected with an answer that the controller received. */
  private readonly rejectedTransactions = new Set<string>()

  constructor(
    private readonly identity: ControllerIdentity,
    private readonly environment: ControllerEnvironment,
  ) {
    const { simulation, processorShare } = environment
    const clockOffsetMs = simulation.random.between(-MAX_CLOCK_OFFSET_MS, MAX_CLOCK_OFFSET_MS)
    this.process = simulation.process(clockOffsetMs, processorShare)
  }

  /** Serves as soon as the process has started. */
  start(): void {
    const nodeEffect = makeNode(this.identity.platform, defaultOperators(), this.links(), this.logger())
    this.process.runWhenAwake(() =>
      Effect.runCallback(this.withServices(nodeEffect), {
        onExit: (exit) => {
          if (Exit.isSuccess(exit)) this.serve(exit.value)
        },
      }),
    )
  }
  kill(): void {
    this.process.kill()
  }
  /** Freezes the process while its clocks run on: at once, or before it sends the next message of a kind. */
  freeze(ms: number, point: FreezePoint | null): void {
    if (point === null) this.process.freeze(ms)
    else this.pendingFreeze = { point, ms }
  }
  /** Handles a frame of another controller. */
  receive(frame: Uint8Array): void {
    this.process.runWhenAwake(() => this.receiveFrame?.(frame), peerMessageCostMs(frame.length))
  }

  private withServices<A>(effect: Effect.Effect<A, never, HttpClient>): Effect.Effect<A> {
    const client = withTimeout((call) => this.call(call))
    const provided = this.process.provide(Effect.provideService(effect, HttpClient, client))
    return Random.withSeed(provided, this.identity.seed)
  }
  private serve(node: Node): void {
    const { name } = this.identity
    Effect.runCallback(this.withServices(node.run))
    this.environment.network.listen(name, (request, from, answer) => {
      if (isHeartbeat(request)) this.environment.heartbeatReceived(from, name)
      this.process.runWhenAwake(() => this.handle(node, request, from, answer), requestCostMs(request))
    })
  }
  private handle(node: Node, request: Request, from: string, answer: (answer: Answer) => void): void {
    const incoming = { method: request.method, path: request.path, body: JSON.stringify(request.body) }
    node.serve(incoming, (outgoing) => {
      const isOk = outgoing.status === 200
      if (isOk) this.environment.requestSucceeded(this.identity.name, from, request.path)
      this.sendUnlessFrozen(isOk && isHeartbeat(request) ? "answer" : null, () => answer(outgoing))
    })
  }

  /** Sends at once, or after a freeze that is in progress or is due before this kind of message. */
  private sendUnlessFrozen(point: FreezePoint | null, send: () => void): void {
    if (this.process.isAlive() && this.pendingFreeze !== null && this.pendingFreeze.point === point) {
      this.process.freeze(this.pendingFreeze.ms)
      this.pendingFreeze = null
    }
    this.process.runWhenAwake(send)
  }
  private call(call: HttpRequest): Effect.Effect<HttpResponse, NoResponseError> {
    const isCommand = call.path === COMMANDS_PATH
    const request = { method: call.method, path: call.path, body: call.body }
    return Effect.callback<HttpResponse, NoResponseError>((resume) => {
      const to = call.address.slice(0, call.address.lastIndexOf(":"))
      if (isCommand) this.environment.commandsInFlightChanged(++this.commandsInFlight)
      this.checkNotRejected(request)
      const done = (answer: Answer | null) =>
        this.process.runWhenAwake(() => resume(responseOf(answer)), ANSWER_COST_MS)
      this.sendUnlessFrozen(freezePointOf(request), () =>
        this.environment.network.request(this.identity.name, to, request, done),
      )
    }).pipe(
      // An answer that comes after the controller's time-out is not seen by the controller.
      Effect.tap(({ status }) => Effect.sync(() => this.recordRejection(request, status))),
      Effect.ensuring(
        Effect.sync(() => {
          if (isCommand) this.commandsInFlight--
        }),
      ),
    )
  }

  private recordRejection({ path, body }: Request, status: number): void {
    if (status === 400 && path === TRANSACTIONS_PATH) this.rejectedTransactions.add(contentOf(body))
  }
  private checkNotRejected({ path, body }: Request): void {
    if (path !== TRANSACTIONS_PATH || this.rejectedTransactions.size === 0) return
    const transaction = contentOf(body)
    if (this.rejectedTransactions.has(transaction))
      this.environment.sentRejectedAgain(this.identity.name, transaction)
  }

  private links(): Links {
    const { network, simulation } = this.environment
    const { name } = this.identity
    return {
      send: (to, frame) => {
        const bytes = Uint8Array.from(frame)
        this.environment.frameSent(bytes)
        this.process.runWhenAwake(() => {
          network.trace?.recordFrame(simulation.now, name, to, bytes)
          network.transmit(name, to, () => this.environment.controller(to)?.receive(bytes))
        })
      },
      receive: (handler) => {
        this.receiveFrame = handler
      },
    }
  }
  private logger(): Log {
    const log = (level: string) => (message: string, fields?: Record<string, unknown>) => {
      if (!this.process.isAlive() || (level === "debug" && process.env.VERBOSE !== "debug")) return
      const atS = (this.environment.simulation.now / 1000).toFixed(2)
      this.environment.log(`${atS} ${this.identity.name} ${level} ${message} ${JSON.stringify(fields ?? {})}`)
    }
    return { error: log("error"), info: log("info"), debug: log("debug") }
  }
}

const COMMANDS_PATH = "/orders"
const TRANSACTIONS_PATH = "/multi"
const isHeartbeat = ({ path }: Request): boolean => path === "/v1/report"

/** A transaction without the number of its write, by which alone a repeated placement write may differ. */
const contentOf = (transaction: unknown): string =>
  JSON.stringify(transaction).replace(/"w":\[\d+,\d+\],/g, "")

const responseOf = (answer: Answer | null): Effect.Effect<HttpResponse, NoResponseError> =>
  answer === null ? Effect.fail(new NoResponseError({ reason: "reset" })) : Effect.succeed(answer)

const freezePointOf = ({ path, body }: Request): FreezePoint | null => {
  if (path === COMMANDS_PATH) return "command"
  if (path.endsWith("/touch")) return "keep-alive"
  if (path !== TRANSACTIONS_PATH) return null
  const { apply } = body as { apply: ReadonlyArray<{ readonly set?: string }> }
  return apply.some(({ set }) => set?.startsWith("s/part/") === true) ? "shard-acquisition" : "transaction"
}
