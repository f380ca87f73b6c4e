/**
 * One-way messages between controllers, sent directly or relayed by a third node. The channel guarantees
 * neither delivery nor order: a message may be lost, late or repeated, and every handler must be safe against
 * all three.
 */
import { type Clocks, type Log, type NodeName, processClocks } from "@sorreltally/protocol"
import { Effect } from "effect"
import { decodeMessage, encodeMessage } from "./codec.ts"
import { decodeFrame, encodeFrame, type Frame, type MessageFrame } from "./codec-frames.ts"
import type { PeerMessage } from "./messages.ts"
import { Reachability } from "./reachability.ts"

/** Transport of frames to other controllers; may lose them, or deliver them minutes late. */
export interface Links {
  readonly send: (to: NodeName, frame: Uint8Array) => void
  readonly receive: (handler: (frame: Uint8Array) => void) => void
}

/** Handles a message from another controller. */
export type PeerHandler = (message: PeerMessage, from: NodeName) => void

/** One controller's channel to all other controllers. */
export interface PeerChannel {
  /** All other controllers. */
  readonly nodes: ReadonlyArray<NodeName>
  /** Sends a message to one node, or to all others if `to` is omitted; delivery is not confirmed. */
  readonly send: (message: PeerMessage, to?: NodeName) => void
  /** True if pings arrived directly in both directions within the last few seconds. */
  readonly isConnected: (node: NodeName) => boolean
  /** True if the node is connected, or if some connected node reports that it is connected to it. */
  readonly isReachable: (node: NodeName) => boolean
  /** Passes every received message to the handler, and pings all other nodes every second. */
  readonly serve: (handler: PeerHandler) => Effect.Effect<never>
}

/**
 * A ping lists the nodes whose pings arrive, so none needs a reply, which would cost both nodes every second.
 */
const PING_INTERVAL_MS = 1_000

interface ChannelOptions {
  readonly self: NodeName
  /** All other controllers. */
  readonly nodes: ReadonlyArray<NodeName>
  readonly links: Links
  readonly log: Log
  readonly clocks: Clocks
}

class LinkedChannel implements PeerChannel {
  readonly nodes: ReadonlyArray<NodeName>
  private readonly reachability: Reachability
  private handler: PeerHandler | null = null

  constructor(private readonly options: ChannelOptions) {
    const { self, nodes, links, clocks } = options
    this.nodes = nodes
    this.reachability = new Reachability(self, nodes, clocks)
    links.receive((bytes) => this.receive(decodeFrame(bytes)))
  }

  isConnected(node: NodeName): boolean {
    return this.reachability.isConnected(node)
  }
  isReachable(node: NodeName): boolean {
    return this.isConnected(node) || this.reachability.findRelayTo(node) !== undefined
  }
  send(message: PeerMessage, to?: NodeName): void {
    const encoded = encodeMessage(message)
    for (const node of to === undefined ? this.nodes : [to]) {
      const via = this.isConnected(node) ? node : (this.reachability.findRelayTo(node) ?? node)
      this.emit(via, { kind: "message", from: this.options.self, to: node, message: encoded })
    }
  }
  serve(handler: PeerHandler): Effect.Effect<never> {
    return Effect.suspend(() => {
      this.handler = handler
      const pingAll = Effect.sync(() => this.ping(this.nodes))
      return Effect.forever(Effect.andThen(pingAll, Effect.sleep(PING_INTERVAL_MS)))
    })
  }

  private emit(via: NodeName, frame: Frame): void {
    this.options.links.send(via, encodeFrame(frame))
  }
  private ping(nodes: ReadonlyArray<NodeName>): void {
    const status = this.reachability.status()
    for (const to of nodes) this.emit(to, { kind: "ping", from: this.options.self, to, ...status })
  }
  private receive(frame: Frame): void {
    if (frame.to !== this.options.self) {
      // This node is the relay. A message is relayed at most once.
      if (frame.kind === "message" && this.isConnected(frame.to)) this.emit(frame.to, frame)
      return
    }
    if (frame.kind === "message") return this.deliver(frame)
    // Pings at once instead of in the next round, so that a node that is back can be used without delay.
    if (this.reachability.recordPing(frame)) this.ping([frame.from])
  }
  private deliver({ from, message: encoded }: MessageFrame): void {
    try {
      const message = decodeMessage(encoded)
      if (message !== null) this.handler?.(message, from)
    } catch (cause) {
      const { kind } = encoded
      this.options.log.error("peer message could not be decoded or handled", {
        kind,
        from,
        cause: String((cause as Error).stack ?? cause),
      })
    }
  }
}

/**
 * Creates a channel to the other controllers. Messages to a node that can't be reached directly go through a
 * third node that reports a connection to it: two zones may be partitioned from each other while both still
 * reach the third.
 */
export const makePeerChannel = (
  self: NodeName,
  others: ReadonlyArray<NodeName>,
  links: Links,
  log: Log,
): Effect.Effect<PeerChannel> =>
  Effect.map(processClocks, (clocks) => new LinkedChannel({ self, nodes: others, links, log, clocks }))
