/**
 * Codec of the frames that carry messages and pings between controllers. Only the recipient of a frame
 * decodes its body; a node that relays the frame forwards the body unchanged.
 */
import type { NodeName } from "@sorreltally/protocol"
import { pack, unpack } from "msgpackr"
import type { EncodedMessage } from "./codec.ts"

/** Periodic sign of life of a controller, with the nodes that it is connected to. */
export interface PingFrame {
  readonly kind: "ping"
  readonly from: NodeName
  readonly to: NodeName
  /** Nodes whose pings reach the sender. */
  readonly receivesFrom: ReadonlyArray<NodeName>
  /** Those of `receivesFrom` that also report that the sender's pings reach them. */
  readonly connectedTo: ReadonlyArray<NodeName>
}
/** An encoded message with its sender and its recipient. */
export interface MessageFrame {
  readonly kind: "message"
  readonly from: NodeName
  readonly to: NodeName
  readonly message: EncodedMessage
}
/** Unit of transfer on a link between two controllers. */
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

/** Encodes a frame as MessagePack. */
export const encodeFrame = (frame: Frame): Uint8Array => pack(toWire(frame))

/**
 * Decodes a frame encoded by `encodeFrame`; throws if the bytes are not MessagePack. Fields are not
 * validated, as frames come only from controllers.
 */
export const decodeFrame = (bytes: Uint8Array): Frame => {
  const wire = unpack(bytes) as WireFrame
  const { from, to } = wire
  if (wire.t === "ping")
    return { kind: "ping", from, to, receivesFrom: wire.receives, connectedTo: wire.hears }
  return { kind: "message", from, to, message: { kind: wire.kind, body: wire.body } }
}
