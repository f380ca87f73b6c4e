import { Agent, type AgentOptions, type ClientRequest } from "node:http"
import type { Socket } from "node:net"
import type { Duplex } from "node:stream"

/**
 * Connections that were accepted, idlest first. Workers and users that are gone
 * say so to nobody: behind a cut, or with their power off, their connections
 * stay. At the limit the idlest one makes room, so that whoever comes next
 * isn't refused, the health checks among them.
 */
export class Accepted<S extends { readonly destroy: () => unknown } = Socket> {
  private readonly idle = new Set<S>()
  private readonly busy = new Set<S>()

  constructor(private readonly most: number) {}

  get size(): number {
    return this.idle.size + this.busy.size
  }
  opened(socket: S): void {
    this.idle.add(socket)
    if (this.size <= this.most) return
    for (const idlest of this.idle) {
      // With all others at work, the newcomer itself is the idlest: it is refused.
      this.closed(idlest)
      idlest.destroy()
      return
    }
  }
  /** A request came. */
  works(socket: S): void {
    if (this.idle.delete(socket)) this.busy.add(socket)
  }
  /** It was answered. */
  rests(socket: S): void {
    if (this.busy.delete(socket)) this.idle.add(socket)
  }
  closed(socket: S): void {
    this.idle.delete(socket)
    this.busy.delete(socket)
  }
}

const IDLE_MS = 20_000

/**
 * Connections to many hosts, each spoken to now and then: kept for the next
 * word while there are few, the longest unused closed as there are more. Node's
 * own limit on an agent's sockets would have new hosts wait for idle ones.
 */
export class ManyHosts extends Agent {
  private open = 0
  private readonly unused = new Set<Duplex>()

  constructor(private readonly most: number) {
    // One machine is never told two things at a time.
    super({ keepAlive: true, maxFreeSockets: 1, timeout: IDLE_MS })
  }
  override createConnection(
    options: AgentOptions,
    callback?: (error: Error | null, stream: Duplex) => void,
  ): Duplex | null | undefined {
    if (this.open >= this.most) {
      for (const oldest of this.unused) {
        oldest.destroy()
        break
      }
    }
    const socket = super.createConnection(options, callback)
    this.open++
    socket?.once("close", () => {
      this.open--
      this.unused.delete(socket)
    })
    return socket
  }
  override keepSocketAlive(socket: Duplex): boolean {
    // Node's types don't know that it answers.
    const kept: unknown = super.keepSocketAlive(socket)
    if (this.open > this.most || kept !== true) return false
    this.unused.add(socket)
    return true
  }
  override reuseSocket(socket: Duplex, request: ClientRequest): void {
    this.unused.delete(socket)
    super.reuseSocket(socket, request)
  }
}

/** Connections to a service that answers many requests at a time; what it has no connection for waits. */
export const oneService = (most: number): Agent =>
  new Agent({ keepAlive: true, maxSockets: most, maxFreeSockets: Math.min(4, most), timeout: IDLE_MS })
