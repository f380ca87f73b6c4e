/**
 * Pools of connections, each within its share of the file descriptors (`socketBudget`): those accepted from
 * workers and users, those kept to workers, and those to a service. They own their sockets; nothing here knows
 * what is sent on them.
 */
import { Agent, type AgentOptions, type ClientRequest } from "node:http"
import type { Socket } from "node:net"
import type { Duplex } from "node:stream"

/** What is needed of a socket to make room for another. */
interface Destroyable {
  readonly destroy: () => unknown
}

/**
 * Inbound connections, least recently used first. Workers and users that are gone notify nobody: behind a
 * network cut, or with their power off, their connections stay. At the limit the least recently used idle one
 * is closed, so that whoever connects next isn't refused, health checks among them.
 */
export class InboundConnections<S extends Destroyable = Socket> {
  private readonly idle = new Set<S>()
  private readonly busy = new Set<S>()

  constructor(private readonly maxConnections: number) {}

  /** How many are open. */
  get size(): number {
    return this.idle.size + this.busy.size
  }
  /** A connection was accepted; closes another, or this one where all others are busy, at the limit. */
  add(socket: S): void {
    this.idle.add(socket)
    if (this.size <= this.maxConnections) return
    const [leastRecentlyUsed] = this.idle
    if (leastRecentlyUsed === undefined) return
    this.remove(leastRecentlyUsed)
    leastRecentlyUsed.destroy()
  }
  /** A request came on it. */
  markBusy(socket: S): void {
    if (this.idle.delete(socket)) this.busy.add(socket)
  }
  /** Its request was answered. */
  markIdle(socket: S): void {
    if (this.busy.delete(socket)) this.idle.add(socket)
  }
  /** It was closed, by whichever side. */
  remove(socket: S): void {
    this.idle.delete(socket)
    this.busy.delete(socket)
  }
}

/** An idle outbound connection is closed after this. */
const IDLE_TIMEOUT_MS = 20_000
const MAX_IDLE_PER_SERVICE = 4

/**
 * An agent for many hosts, each sent a request now and then: connections are kept for the next request while
 * there are few; at the limit the least recently used idle one is closed for a new one. The limit is on what
 * is kept: with none idle a new connection is opened all the same, and closed after its request. Node's own
 * limit on an agent's sockets would queue requests to new hosts behind idle connections to others.
 */
export class LruAgent extends Agent {
  private open = 0
  private readonly idle = new Set<Duplex>()

  constructor(private readonly maxConnections: number) {
    // A worker is never sent two requests at a time.
    super({ keepAlive: true, maxFreeSockets: 1, timeout: IDLE_TIMEOUT_MS })
  }
  override createConnection(
    options: AgentOptions,
    callback?: (error: Error | null, stream: Duplex) => void,
  ): Duplex | null | undefined {
    if (this.open >= this.maxConnections) {
      const [leastRecentlyUsed] = this.idle
      leastRecentlyUsed?.destroy()
    }
    const socket = super.createConnection(options, callback)
    this.open++
    socket?.once("close", () => {
      this.open--
      this.idle.delete(socket)
    })
    return socket
  }
  override keepSocketAlive(socket: Duplex): boolean {
    // Node's types don't say that it returns a boolean.
    const isKept: unknown = super.keepSocketAlive(socket)
    if (this.open > this.maxConnections || isKept !== true) return false
    this.idle.add(socket)
    return true
  }
  override reuseSocket(socket: Duplex, request: ClientRequest): void {
    this.idle.delete(socket)
    super.reuseSocket(socket, request)
  }
}

/** An agent for one service that answers many requests at a time; requests beyond its connections queue. */
export const serviceAgent = (maxConnections: number): Agent =>
  new Agent({
    keepAlive: true,
    maxSockets: maxConnections,
    maxFreeSockets: Math.min(MAX_IDLE_PER_SERVICE, maxConnections),
    timeout: IDLE_TIMEOUT_MS,
  })
