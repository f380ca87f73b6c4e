/**
 * Links between controllers over TCP. Each node dials every other node, sends only on the connections that it
 * dialled, and receives only on those that it accepted. Nothing here waits for a reply, and frames for a node
 * without a connection are dropped, as messages of the channel may be lost anyway.
 *
 * The code uses plain callbacks and timers instead of effects: it handles hundreds of frames per second, and
 * sockets are driven by events. A closed connection is redialled after a fixed delay: nothing signals the end
 * of a network partition, and an increasing delay would outlast it. The dialling node closes a connection
 * that times out while connecting or is stalled, and the accepting node closes one with an oversized frame.
 * All other connections, the listener and the timers live until the process ends, so there is nothing to
 * release.
 */
import { createConnection, createServer, type Socket } from "node:net"
import { type Address, type Log, type NodeName, splitAddress } from "@sorreltally/protocol"
import type { Links } from "./channel.ts"
import { encodeLengthPrefix, receiveFrames } from "./socket-frames.ts"

/**
 * With more unsent bytes than this, frames to a node are dropped: it is partitioned, or too slow to be
 * useful.
 */
const MAX_UNSENT_BYTES = 1 << 20
const REDIAL_DELAY_MS = 500
/** Time limit for connecting. A network partition causes no error, so the attempt would hang otherwise. */
const CONNECT_TIMEOUT_MS = 2_000
/** Bytes that stay unsent for longer than this indicate a network partition. */
const STALL_TIMEOUT_MS = 6_000
const STALL_CHECK_MS = 1_000

/** Another controller, and the address that it listens on. */
export interface PeerAddress {
  readonly node: NodeName
  readonly address: Address
}

/** Opens links over TCP to and from every other controller; frames are length-prefixed. */
export const openSockets = (listen: Address, peers: ReadonlyArray<PeerAddress>, log: Log): Links => {
  let deliver: (frame: Uint8Array) => void = () => {}
  listenForPeers(listen, (frame) => deliver(frame), log)
  const connections = new Map<NodeName, Socket>()
  for (const peer of peers) dial(peer, connections)
  const send = makeSender(connections)
  return {
    receive: (handler) => {
      deliver = handler
    },
    send,
  }
}

const listenForPeers = (listen: Address, deliver: (frame: Uint8Array) => void, log: Log): void => {
  const server = createServer((socket) => {
    socket.setNoDelay(true)
    receiveFrames(socket, deliver, log)
  })
  server.on("error", (cause) => log.error("peer listener failed", { cause: String(cause) }))
  const { host, port } = splitAddress(listen)
  server.listen(port, host)
}

/** Maintains a connection to a peer until the process ends. */
const dial = ({ node, address }: PeerAddress, connections: Map<NodeName, Socket>): void => {
  const { host, port } = splitAddress(address)
  const socket = createConnection({ host, port, noDelay: true })
  const connectTimer = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS)
  const stallTimer = destroyWhenStalled(socket)
  socket.on("connect", () => {
    clearTimeout(connectTimer)
    connections.set(node, socket)
  })
  // Every "error" event is followed by "close", which redials.
  socket.on("error", () => {})
  // The peer sends nothing on this connection, but its end is detected only while it is being read.
  socket.on("data", () => {})
  socket.on("close", () => {
    clearTimeout(connectTimer)
    clearInterval(stallTimer)
    if (connections.get(node) === socket) connections.delete(node)
    setTimeout(() => dial({ node, address }, connections), REDIAL_DELAY_MS)
  })
}
/**
 * Destroys a connection whose bytes stay unsent, so that redialling detects when the partition has healed.
 */
const destroyWhenStalled = (socket: Socket): NodeJS.Timeout => {
  let drainedAt = performance.now()
  socket.on("drain", () => {
    drainedAt = performance.now()
  })
  return setInterval(() => {
    if (socket.writableLength === 0) drainedAt = performance.now()
    else if (performance.now() - drainedAt > STALL_TIMEOUT_MS) socket.destroy()
  }, STALL_CHECK_MS)
}

/** Batches the frames to each node within one iteration of the event loop into a single write and packet. */
const makeSender = (connections: ReadonlyMap<NodeName, Socket>): Links["send"] => {
  const pending = new Map<NodeName, Array<Uint8Array>>()
  const writePending = (to: NodeName): void => {
    const chunks = pending.get(to) ?? []
    pending.delete(to)
    const socket = connections.get(to)
    if (socket !== undefined && socket.writableLength <= MAX_UNSENT_BYTES) socket.write(Buffer.concat(chunks))
  }
  return (to, frame) => {
    if (!connections.has(to)) return
    const chunks = pending.get(to)
    if (chunks !== undefined) {
      chunks.push(encodeLengthPrefix(frame), frame)
      return
    }
    pending.set(to, [encodeLengthPrefix(frame), frame])
    setImmediate(writePending, to)
  }
}
