/** Messages between controllers: told and not answered, directly or through a third node. */
import {
  addMs,
  type Log,
  type MonotonicTime,
  NEVER,
  type NodeName,
  processClocks,
} from "@sorreltally/protocol"
import { Effect } from "effect"
import { pack, unpack } from "msgpackr"
import { decodeMessage, type EncodedMessage, encodeMessage } from "./codec.ts"
import type { PeerMessage } from "./messages.ts"

/** Carries frames to other controllers; may lose them, or deliver them minutes late. */
export interface Links {
  readonly send: (to: NodeName, frame: Uint8Array) => void
  readonly receive: (handler: (frame: Uint8Array) => void) => void
}

type Frame =
  | {
      readonly t: "ping"
      readonly from: NodeName
      readonly to: NodeName
      /** Whose pings reach it, and who, besides, says that its own arrive. */
      readonly receives: ReadonlyArray<NodeName>
      readonly hears: ReadonlyArray<NodeName>
    }
  | MessageFrame
/** A message on its way; the recipient decodes its body, a node that only passes it on does not. */
interface MessageFrame extends EncodedMessage {
  readonly t: "tell"
  readonly from: NodeName
  readonly to: NodeName
}

/** Takes in a message from another controller. */
export type PeerHandler = (message: PeerMessage, from: NodeName) => void

export interface PeerChannel {
  readonly nodes: ReadonlyArray<NodeName>
  /** Sends without an answer, and without knowing whether it arrives; to all others if none is named. */
  readonly send: (message: PeerMessage, to?: NodeName) => void
  /** True when the node was heard within the last few seconds, directly. */
  readonly isConnected: (node: NodeName) => boolean
  /** The same, or some node that is heard says that it hears it. */
  readonly isReachable: (node: NodeName) => boolean
  /** Hands every message to the handler, and says every second that this node is there. */
  readonly serve: (handler: PeerHandler) => Effect.Effect<never>
}

/** A ping says whose pings arrive, so that none needs an answer: each word between nodes is paid by both, all day. */
const PING_MS = 1_000
const HEARD_MS = 3_200

/**
 * Messages between controllers. A node that can't be reached directly is told
 * through a third one that says it hears it: two zones may be cut from each
 * other while both still reach the third.
 */
export const makePeerChannel = (
  self: NodeName,
  others: ReadonlyArray<NodeName>,
  links: Links,
  log: Log,
): Effect.Effect<PeerChannel> =>
  Effect.gen(function* () {
    const clocks = yield* processClocks
    const received = new Map<NodeName, MonotonicTime>()
    const heard = new Map<NodeName, MonotonicTime>()
    const theyHear = new Map<NodeName, ReadonlyArray<NodeName>>()
    let handler: PeerHandler | null = null

    const lately = (at: MonotonicTime | undefined) => clocks.monotonicNow() < addMs(at ?? NEVER, HEARD_MS)
    const isConnected = (node: NodeName) => lately(heard.get(node))
    const receives = (node: NodeName) => lately(received.get(node))
    const relayTo = (node: NodeName): NodeName | undefined =>
      others.find((n) => n !== node && isConnected(n) && theyHear.get(n)?.includes(node) === true)
    const emit = (via: NodeName, frame: Frame) => links.send(via, pack(frame))
    const ping = (nodes: ReadonlyArray<NodeName>) => {
      const status = { receives: others.filter(receives), hears: others.filter(isConnected) }
      for (const to of nodes) emit(to, { t: "ping", from: self, to, ...status })
    }
    const post = (frame: MessageFrame) =>
      emit(isConnected(frame.to) ? frame.to : (relayTo(frame.to) ?? frame.to), frame)
    const deliver = ({ kind, body, from }: MessageFrame) => {
      try {
        const message = decodeMessage({ kind, body })
        if (message !== null) handler?.(message, from)
      } catch (cause) {
        log.error("peer message failed", { kind, from, cause: String((cause as Error).stack ?? cause) })
      }
    }

    links.receive((bytes) => {
      const frame = unpack(bytes) as Frame
      if (frame.to !== self) {
        // We are the third node; a letter is passed on once only.
        if (frame.t !== "ping" && isConnected(frame.to)) emit(frame.to, frame)
        return
      }
      if (frame.t !== "ping") return deliver(frame)
      theyHear.set(frame.from, frame.hears)
      if (frame.receives.includes(self)) heard.set(frame.from, clocks.monotonicNow())
      const news = !receives(frame.from)
      received.set(frame.from, clocks.monotonicNow())
      // The next round would do, but a node that is back should be of use at once.
      if (news) ping([frame.from])
    })

    return {
      nodes: others,
      isConnected,
      isReachable: (node) => isConnected(node) || relayTo(node) !== undefined,
      send: (message, to) => {
        const { kind, body } = encodeMessage(message)
        for (const node of to === undefined ? others : [to])
          post({ t: "tell", from: self, to: node, kind, body })
      },
      serve: (h) =>
        Effect.suspend(() => {
          handler = h
          const pingAll = Effect.sync(() => ping(others))
          return Effect.forever(Effect.andThen(pingAll, Effect.sleep(PING_MS)))
        }),
    }
  })
