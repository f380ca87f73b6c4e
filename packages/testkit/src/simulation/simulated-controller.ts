/**
 * One process of a controller on simulated time: the service itself, with its
 * HTTP client, links and log led into the simulation. A new start after an end
 * is a new object; what the former one waited for never comes.
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

/** What a controller may be about to send when it is made to stand still; the words are those of scenarios. */
export type FreezePoint = "answer" | "command" | "transaction" | "take-over" | "touch"

/** What a controller's process is surrounded by. */
export interface ControllerEnvironment {
  readonly simulation: Simulation
  readonly network: Network
  /** The share of a core that a controller's work really has; null: its work takes no time. */
  readonly processorShare: number | null
  /** The process that another controller runs at the moment. */
  controller(name: NodeName): SimulatedController | undefined
  /** A frame between controllers is sent. */
  frameSent(bytes: Uint8Array): void
  /** So many commands are under way at one controller. */
  commandsInFlightChanged(count: number): void
  /** A heartbeat arrived. */
  heartbeatReceived(machine: string, node: NodeName): void
  /** A request was answered with 200. */
  answered(node: NodeName, from: string, path: string): void
  /** A line of a controller's log. */
  log(line: string): void
}
/** Which controller it is. */
export interface ControllerIdentity {
  readonly name: NodeName
  readonly platform: Platform
  /** Of its random draws: another one at each start. */
  readonly seed: string
}

/** How far the wall clocks of controllers are apart from the simulation's, at most. */
const MAX_CLOCK_OFFSET_MS = 900

/** A controller from its start to its end. */
export class SimulatedController {
  private readonly process: Process
  private receiveFrame: ((frame: Uint8Array) => void) | null = null
  /** It stands still as soon as it is about to send such a message, which leaves when it goes on. */
  private pendingFreeze: { readonly point: FreezePoint; readonly ms: number } | null = null
  private commandsInFlight = 0

  constructor(
    private readonly identity: ControllerIdentity,
    private readonly environment: ControllerEnvironment,
  ) {
    const { simulation, processorShare } = environment
    const clockOffsetMs = simulation.random.between(-MAX_CLOCK_OFFSET_MS, MAX_CLOCK_OFFSET_MS)
    this.process = simulation.process(clockOffsetMs, processorShare)
  }

  /** Begins as soon as the process is up. */
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
  /** It stands still while its clocks run on: at once, or in the middle of sending something. */
  freeze(ms: number, point: FreezePoint | null): void {
    if (point === null) this.process.freeze(ms)
    else this.pendingFreeze = { point, ms }
  }
  /** A frame of another controller arrived. */
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
      if (isOk) this.environment.answered(this.identity.name, from, request.path)
      this.sendUnlessFrozen(isOk && isHeartbeat(request) ? "answer" : null, () => answer(outgoing))
    })
  }

  /** Sends at once, unless it stands still, or is to do so before such a message. */
  private sendUnlessFrozen(point: FreezePoint | null, send: () => void): void {
    if (this.process.isAlive() && this.pendingFreeze !== null && this.pendingFreeze.point === point) {
      this.process.freeze(this.pendingFreeze.ms)
      this.pendingFreeze = null
    }
    this.process.runWhenAwake(send)
  }
  private call(call: HttpRequest): Effect.Effect<HttpResponse, NoResponseError> {
    const isCommand = call.path === COMMANDS_PATH
    return Effect.callback<HttpResponse, NoResponseError>((resume) => {
      const to = call.address.slice(0, call.address.lastIndexOf(":"))
      const request = { method: call.method, path: call.path, body: call.body }
      if (isCommand) this.environment.commandsInFlightChanged(++this.commandsInFlight)
      const done = (answer: Answer | null) =>
        this.process.runWhenAwake(() => resume(responseOf(answer)), ANSWER_COST_MS)
      this.sendUnlessFrozen(freezePointOf(request), () =>
        this.environment.network.request(this.identity.name, to, request, done),
      )
    }).pipe(
      Effect.ensuring(
        Effect.sync(() => {
          if (isCommand) this.commandsInFlight--
        }),
      ),
    )
  }

  private links(): Links {
    const { network, simulation } = this.environment
    const { name } = this.identity
    return {
      send: (to, frame) => {
        const bytes = Uint8Array.from(frame)
        this.environment.frameSent(bytes)
        this.process.runWhenAwake(() => {
          network.trace?.frame(simulation.now, name, to, bytes)
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
const isHeartbeat = ({ path }: Request): boolean => path === "/v1/report"

const responseOf = (answer: Answer | null): Effect.Effect<HttpResponse, NoResponseError> =>
  answer === null ? Effect.fail(new NoResponseError({ reason: "reset" })) : Effect.succeed(answer)

const freezePointOf = ({ path, body }: Request): FreezePoint | null => {
  if (path === COMMANDS_PATH) return "command"
  if (path.endsWith("/touch")) return "touch"
  if (path !== "/multi") return null
  const { apply } = body as { apply: ReadonlyArray<{ readonly set?: string }> }
  return apply.some(({ set }) => set?.startsWith("s/part/") === true) ? "take-over" : "transaction"
}
