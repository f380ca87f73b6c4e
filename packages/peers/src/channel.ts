/**
 * Messages between controllers: sent and not answered, directly or through a third node. The channel promises
 * neither arrival nor order: a message may be lost, late or repeated, and whoever takes one in must be safe
 * against all three.
 */
import { type Clocks, type Log, type NodeName, processClocks } from "@sorreltally/protocol"
import { Effect } from "effect"
import { decodeMessage, encodeMessage } from "./codec.ts"
import { decodeFrame, encodeFrame, type Frame, type MessageFrame } from "./codec-frames.ts"
import type { PeerMessage } from "./messages.ts"
import { Reachability } from "./reachability.ts"

/** Carries frames to other controllers; may lose them, or deliver them minutes late. */
export interface Links {
  readonly send: (to: NodeName, frame: Uint8Array) => void
  readonly receive: (handler: (frame: Uint8Array) => void) => void
}

/** Takes in a message from another controller. */
export type PeerHandler = (message: PeerMessage, from: NodeName) => void

/** The other controllers, as one controller sends messages to them. */
export interface PeerChannel {
  /** All other controllers. */
  readonly nodes: ReadonlyArray<NodeName>
  /** Sends without an answer, and without knowing whether it arrives; to all others if none is named. */
  readonly send: (message: PeerMessage, to?: NodeName) => void
  /** True when pings arrived in both directions within the last few seconds, directly. */
  readonly isConnected: (node: NodeName) => boolean
  /** The same, or some connected node says that it is connected to that one. */
  readonly isReachable: (node: NodeName) => boolean
  /** Hands every message to the handler, and says every second that this node is there. */
  readonly serve: (handler: PeerHandler) => Effect.Effect<never>
}

/** A ping says whose pings arrive, so that none needs an answer: each one is paid by both nodes, all day. */
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
    return this.isConnected(node) || this.reachability.relayTo(node) !== undefined
  }
  send(message: PeerMessage, to?: NodeName): void {
    const encoded = encodeMessage(message)
    for (const node of to === undefined ? this.nodes : [to]) {
      const via = this.isConnected(node) ? node : (this.reachability.relayTo(node) ?? node)
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
      // This node is the third one; a message is relayed once only.
      if (frame.kind === "message" && this.isConnected(frame.to)) this.emit(frame.to, frame)
      return
    }
    if (frame.kind === "message") return this.deliver(frame)
    // The next round would do, but a node that is back should be of use at once.
    if (this.reachability.recordPing(frame)) this.ping([frame.from])
  }
  private deliver({ from, message: encoded }: MessageFrame): void {
    try {
      const message = decodeMessage(encoded)
      if (message !== null) this.handler?.(message, from)
    } catch (cause) {
      const { kind } = encoded
      this.options.log.error("peer message failed", {
        kind,
        from,
        cause: String((cause as Error).stack ?? cause),
      })
    }
  }
}

/**
 * A channel to the other controllers. A node that can't be reached directly is sent messages
 * through a third one that says it is connected to it: two zones may be cut from each
 * other while both still reach the third.
 */
export const makePeerChannel = (
  self: NodeName,
  others: ReadonlyArray<NodeName>,
  links: Links,
  log: Log,
): Effect.Effect<PeerChannel> =>
  Effect.map(processClocks, (clocks) => new LinkedChannel({ self, nodes: others, links, log, clocks }))
