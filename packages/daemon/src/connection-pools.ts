/**
 * Connection pools, each limited to its part of the file descriptors (`socketBudget`): inbound connections
 * from workers and users, outbound connections to workers, and outbound connections to a service. The pools
 * own their sockets and are independent of the data sent on them.
 */
import { Agent, type AgentOptions, type ClientRequest } from "node:http"
import type { Socket } from "node:net"
import type { Duplex } from "node:stream"

/** A socket that the pool can close to make room for another one. */
interface Destroyable {
  readonly destroy: () => unknown
}

/**
 * Inbound connections, least recently used first. A worker or user that is cut off from the network or loses
 * power doesn't close its connection, so it stays open here. At the limit, the least recently used idle
 * connection is closed so that new connections, including health checks, are not refused.
 */
export class InboundConnections<S extends Destroyable = Socket> {
  private readonly idle = new Set<S>()
  private readonly busy = new Set<S>()

  constructor(private readonly maxConnections: number) {}

  /** Number of open connections. */
  get size(): number {
    return this.idle.size + this.busy.size
  }
  /** Adds an accepted connection. At the limit, closes an idle one, or this one if all others are busy. */
  add(socket: S): void {
    this.idle.add(socket)
    if (this.size <= this.maxConnections) return
    const [leastRecentlyUsed] = this.idle
    if (leastRecentlyUsed === undefined) return
    this.remove(leastRecentlyUsed)
    leastRecentlyUsed.destroy()
  }
  /** Marks a connection on which a request was received. */
  markBusy(socket: S): void {
    if (this.idle.delete(socket)) this.busy.add(socket)
  }
  /** Marks a connection whose request was answered. */
  markIdle(socket: S): void {
    if (this.busy.delete(socket)) this.idle.add(socket)
  }
  /** Removes a connection that was closed by either side. */
  remove(socket: S): void {
    this.idle.delete(socket)
    this.busy.delete(socket)
  }
}

/** Time after which an idle outbound connection is closed. */
const IDLE_TIMEOUT_MS = 20_000
const MAX_IDLE_CONNECTIONS_PER_SERVICE = 4

/**
 * HTTP agent for many hosts that each get occasional requests. Connections are kept alive for the next
 * request below the limit; at the limit, the least recently used idle connection is closed before a new one
 * is opened. The limit applies to kept connections only: if none is idle, a new connection is still opened,
 * and closed after its request. Node's own limit on the sockets of an agent is not used, since it would queue
 * requests to new hosts behind idle connections to other hosts.
 */
export class LruAgent extends Agent {
  private openConnections = 0
  private readonly idle = new Set<Duplex>()

  constructor(private readonly maxConnections: number) {
    // Requests to a worker are sent one at a time.
    super({ keepAlive: true, maxFreeSockets: 1, timeout: IDLE_TIMEOUT_MS })
  }
  override createConnection(
    options: AgentOptions,
    callback?: (error: Error | null, stream: Duplex) => void,
  ): Duplex | null | undefined {
    if (this.openConnections >= this.maxConnections) {
      const [leastRecentlyUsed] = this.idle
      leastRecentlyUsed?.destroy()
    }
    const socket = super.createConnection(options, callback)
    this.openConnections++
    socket?.once("close", () => {
      this.openConnections--
      this.idle.delete(socket)
    })
    return socket
  }
  override keepSocketAlive(socket: Duplex): boolean {
    // Node returns a boolean, but its type declaration says void.
    const isKept: unknown = super.keepSocketAlive(socket)
    if (this.openConnections > this.maxConnections || isKept !== true) return false
    this.idle.add(socket)
    return true
  }
  override reuseSocket(socket: Duplex, request: ClientRequest): void {
    this.idle.delete(socket)
    super.reuseSocket(socket, request)
  }
}

/**
 * HTTP agent for one service with many concurrent requests; requests beyond the connection limit are queued.
 */
export const serviceAgent = (maxConnections: number): Agent =>
  new Agent({
    keepAlive: true,
    maxSockets: maxConnections,
    maxFreeSockets: Math.min(MAX_IDLE_CONNECTIONS_PER_SERVICE, maxConnections),
    timeout: IDLE_TIMEOUT_MS,
  })
