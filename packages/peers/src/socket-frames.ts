/**
 * Frames on a byte stream: each is preceded by its length. What arrives is not trusted to be whole or well
 * formed: a connection may end inside a frame, or name a length that no controller sends.
 */
import type { Socket } from "node:net"
import type { Log } from "@sorreltally/protocol"

/** A frame's length is sent before it, as four bytes, big-endian. */
const LENGTH_BYTES = 4
/** Longer frames end the connection: they are garbage, or would fill this node's memory. */
export const MAX_FRAME_BYTES = 1 << 20

/** The bytes that precede a frame. */
export const frameLength = (frame: Uint8Array): Buffer => {
  const length = Buffer.allocUnsafe(LENGTH_BYTES)
  length.writeUInt32BE(frame.length)
  return length
}

/**
 * Delivers the frames that arrive on a connection, each once it is whole; one that is cut off is dropped with
 * its connection. Closes the connection on a frame that is too long, as the start of the next isn't known then.
 */
export const receiveFrames = (socket: Socket, deliver: (frame: Uint8Array) => void, log: Log): void => {
  let buffered: Buffer = Buffer.alloc(0)
  socket.on("data", (data: Buffer) => {
    buffered = buffered.length === 0 ? data : Buffer.concat([buffered, data])
    while (buffered.length >= LENGTH_BYTES) {
      const length = buffered.readUInt32BE(0)
      if (length > MAX_FRAME_BYTES) {
        socket.destroy()
        return
      }
      const end = LENGTH_BYTES + length
      if (buffered.length < end) break
      const frame = buffered.subarray(LENGTH_BYTES, end)
      buffered = buffered.subarray(end)
      try {
        deliver(frame)
      } catch (cause) {
        log.error("peer frame malformed", { cause: String(cause) })
      }
    }
  })
  socket.on("error", () => socket.destroy())
}
