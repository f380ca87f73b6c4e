/**
 * Codec of the frames that carry messages and pings between controllers. A frame's body is decoded by its
 * recipient alone; a node that only relays a frame leaves it as it is.
 */
import type { NodeName } from "@sorreltally/protocol"
import { pack, unpack } from "msgpackr"
import type { EncodedMessage } from "./codec.ts"

/** Says that its sender is there, and which nodes it is connected to. */
export interface PingFrame {
  readonly kind: "ping"
  readonly from: NodeName
  readonly to: NodeName
  /** Nodes whose pings reach the sender. */
  readonly receivesFrom: ReadonlyArray<NodeName>
  /** Those of them that, besides, say that the sender's pings reach them. */
  readonly connectedTo: ReadonlyArray<NodeName>
}
/** A message on its way. */
export interface MessageFrame {
  readonly kind: "message"
  readonly from: NodeName
  readonly to: NodeName
  readonly message: EncodedMessage
}
/** What goes over a link between two controllers. */
export type Frame = PingFrame | MessageFrame

type WireFrame =
  | {
      readonly t: "ping"
      readonly from: NodeName
      readonly to: NodeName
      readonly receives: ReadonlyArray<NodeName>
      readonly hears: ReadonlyArray<NodeName>
    }
  | {
      readonly t: "tell"
      readonly from: NodeName
      readonly to: NodeName
      readonly kind: string
      readonly body: unknown
    }

const toWire = (frame: Frame): WireFrame => {
  const { from, to } = frame
  if (frame.kind === "ping")
    return { t: "ping", from, to, receives: frame.receivesFrom, hears: frame.connectedTo }
  return { t: "tell", from, to, kind: frame.message.kind, body: frame.message.body }
}

/** A frame's bytes. */
export const encodeFrame = (frame: Frame): Uint8Array => pack(toWire(frame))

/** Decodes what `encodeFrame` made; throws on bytes that are no MessagePack. Frames come from controllers alone. */
export const decodeFrame = (bytes: Uint8Array): Frame => {
  const wire = unpack(bytes) as WireFrame
  const { from, to } = wire
  if (wire.t === "ping")
    return { kind: "ping", from, to, receivesFrom: wire.receives, connectedTo: wire.hears }
  return { kind: "message", from, to, message: { kind: wire.kind, body: wire.body } }
}
