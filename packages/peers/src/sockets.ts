import { createConnection, createServer, type Socket } from "node:net"
import { type Address, hostAndPort, type Log, type NodeName } from "@sorreltally/protocol"
import type { Links } from "./channel.ts"

/** The length of a frame goes before it. */
const HEAD_BYTES = 4
const LONGEST_FRAME = 1 << 20
const MOST_UNSENT = 1 << 20
const REDIAL_MS = 500
/** A dialled connection that stays silent this long is dropped: a cut gives no error. */
const CONNECT_MS = 2_000
const STALLED_MS = 6_000

/** Length-prefixed frames over TCP; each node dials every other and sends on what it dialled. */
export const openSockets = (
  listen: Address,
  peers: ReadonlyArray<{ readonly node: NodeName; readonly address: Address }>,
  log: Log,
): Links => {
  let deliver: (frame: Uint8Array) => void = () => {}

  const server = createServer((socket) => {
    socket.setNoDelay(true)
    let buffered: Buffer = Buffer.alloc(0)
    socket.on("data", (data: Buffer) => {
      buffered = buffered.length === 0 ? data : Buffer.concat([buffered, data])
      while (buffered.length >= 4) {
        const length = buffered.readUInt32BE(0)
        if (length > LONGEST_FRAME) {
          socket.destroy()
          return
        }
        if (buffered.length < 4 + length) break
        const frame = buffered.subarray(4, 4 + length)
        buffered = buffered.subarray(4 + length)
        try {
          deliver(frame)
        } catch (cause) {
          log.error("peer frame malformed", { cause: String(cause) })
        }
      }
    })
    socket.on("error", () => socket.destroy())
  })
  server.on("error", (cause) => log.error("peer listener failed", { cause: String(cause) }))
  const at = hostAndPort(listen)
  server.listen(at.port, at.host)

  const out = new Map<NodeName, Socket>()
  const dial = (node: NodeName, address: Address) => {
    const { host, port } = hostAndPort(address)
    const socket = createConnection({ host, port, noDelay: true })
    const giveUp = setTimeout(() => socket.destroy(), CONNECT_MS)
    let drainedAt = performance.now()
    socket.on("connect", () => {
      clearTimeout(giveUp)
      out.set(node, socket)
    })
    socket.on("drain", () => {
      drainedAt = performance.now()
    })
    // Unsent bytes that stay unsent mean a cut; a new connection then finds out when it heals.
    const stalled = setInterval(() => {
      if (socket.writableLength === 0) drainedAt = performance.now()
      else if (performance.now() - drainedAt > STALLED_MS) socket.destroy()
    }, 1_000)
    socket.on("error", () => {})
    socket.on("data", () => {})
    socket.on("close", () => {
      clearTimeout(giveUp)
      clearInterval(stalled)
      if (out.get(node) === socket) out.delete(node)
      setTimeout(() => dial(node, address), REDIAL_MS)
    })
  }
  for (const peer of peers) dial(peer.node, peer.address)

  /** Frames for each node, until the end of this turn of the event loop: one write and one packet for all. */
  const unsent = new Map<NodeName, Array<Uint8Array>>()
  const writePending = (to: NodeName): void => {
    const chunks = unsent.get(to) ?? []
    unsent.delete(to)
    const socket = out.get(to)
    if (socket !== undefined && socket.writableLength <= MOST_UNSENT) socket.write(Buffer.concat(chunks))
  }

  return {
    receive: (handler) => {
      deliver = handler
    },
    send: (to, frame) => {
      if (!out.has(to)) return
      const head = Buffer.allocUnsafe(HEAD_BYTES)
      head.writeUInt32BE(frame.length)
      const before = unsent.get(to)
      if (before !== undefined) {
        before.push(head, frame)
        return
      }
      unsent.set(to, [head, frame])
      setImmediate(writePending, to)
    },
  }
}
