/**
 * Links between controllers over TCP: each node dials every other and sends on what it dialled; what it
 * accepts, it only receives on. Nothing here waits for an answer, and frames for a node without a connection
 * are dropped: the channel's messages may be lost anyway.
 *
 * Sockets are plain callbacks with timers and no effects: hundreds of frames a second pass here, and a
 * connection's life is one of events. A closed connection is dialled again by a timer of a fixed pause, as a cut
 * ends without a sign and a growing pause would outlive it. The dialling node closes a connection that does not
 * connect or is stalled, the accepting node one whose frames are malformed; all the others, the listener and the
 * timers last as long as the process and end with it, so there is nothing to release.
 */
import { createConnection, createServer, type Socket } from "node:net"
import { type Address, type Log, type NodeName, splitAddress } from "@sorreltally/protocol"
import type { Links } from "./channel.ts"
import { frameLength, receiveFrames } from "./socket-frames.ts"

/** With more bytes than this unsent, a node's frames are dropped: it is cut off, or too slow to be of use. */
const MAX_UNSENT_BYTES = 1 << 20
const REDIAL_DELAY_MS = 500
/** A dialled connection that stays silent this long is dropped: a cut gives no error. */
const CONNECT_TIMEOUT_MS = 2_000
/** Bytes that stay unsent for longer than this mean a cut. */
const STALL_TIMEOUT_MS = 6_000
const STALL_CHECK_MS = 1_000

/** Another controller, and where it listens. */
export interface PeerAddress {
  readonly node: NodeName
  readonly address: Address
}

/** Length-prefixed frames over TCP, from and to every other controller. */
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

/** Keeps a connection to a peer, for as long as the process lives. */
const dial = ({ node, address }: PeerAddress, connections: Map<NodeName, Socket>): void => {
  const { host, port } = splitAddress(address)
  const socket = createConnection({ host, port, noDelay: true })
  const connectTimer = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS)
  const stallTimer = destroyWhenStalled(socket)
  socket.on("connect", () => {
    clearTimeout(connectTimer)
    connections.set(node, socket)
  })
  // "close" follows every error.
  socket.on("error", () => {})
  // Nothing is sent back on it, but its end is only seen while it is read.
  socket.on("data", () => {})
  socket.on("close", () => {
    clearTimeout(connectTimer)
    clearInterval(stallTimer)
    if (connections.get(node) === socket) connections.delete(node)
    setTimeout(() => dial({ node, address }, connections), REDIAL_DELAY_MS)
  })
}
/** Unsent bytes that stay unsent mean a cut; a new connection then finds out when it heals. */
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

/** Gathers the frames for each node until the end of this turn of the event loop: one write and one packet for all. */
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
      chunks.push(frameLength(frame), frame)
      return
    }
    pending.set(to, [frameLength(frame), frame])
    setImmediate(writePending, to)
  }
}
