/**
 * Length-prefixed frames on a byte stream. Received bytes may be truncated or malformed: a connection may end
 * within a frame, or a prefix may state a length that no controller sends.
 */
import type { Socket } from "node:net"
import type { Log } from "@sorreltally/protocol"

/** Each frame is preceded by its length as a big-endian 32-bit integer. */
const LENGTH_PREFIX_BYTES = 4
/** A longer frame ends the connection: it is malformed, or would exhaust this node's memory. */
export const MAX_FRAME_BYTES = 1 << 20

/** Encodes the length prefix of a frame. */
export const encodeLengthPrefix = (frame: Uint8Array): Buffer => {
  const prefix = Buffer.allocUnsafe(LENGTH_PREFIX_BYTES)
  prefix.writeUInt32BE(frame.length)
  return prefix
}

/**
 * Delivers each frame that arrives on a connection once it is complete; a truncated frame is dropped with its
 * connection. Closes the connection on a frame longer than `MAX_FRAME_BYTES`, as its end, where the next
 * frame starts, can't be trusted.
 */
export const receiveFrames = (socket: Socket, deliver: (frame: Uint8Array) => void, log: Log): void => {
  let buffered: Buffer = Buffer.alloc(0)
  socket.on("data", (data: Buffer) => {
    buffered = buffered.length === 0 ? data : Buffer.concat([buffered, data])
    while (buffered.length >= LENGTH_PREFIX_BYTES) {
      const length = buffered.readUInt32BE(0)
      if (length > MAX_FRAME_BYTES) {
        socket.destroy()
        return
      }
      const frameEnd = LENGTH_PREFIX_BYTES + length
      if (buffered.length < frameEnd) break
      const frame = buffered.subarray(LENGTH_PREFIX_BYTES, frameEnd)
      buffered = buffered.subarray(frameEnd)
      try {
        deliver(frame)
      } catch (cause) {
        log.error("peer frame malformed", { cause: String(cause) })
      }
    }
  })
  socket.on("error", () => socket.destroy())
}
