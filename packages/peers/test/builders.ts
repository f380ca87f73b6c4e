/** Loopback connections with recorded frames, and channels over links that the test controls. */
import { once } from "node:events"
import { type AddressInfo, createConnection, createServer, type Socket } from "node:net"
import type { Log, NodeName } from "@sorreltally/protocol"
import { Effect } from "effect"
import { makePeerChannel } from "../src/channel.ts"
import type { PeerMessage } from "../src/messages.ts"
import { receiveFrames } from "../src/socket-frames.ts"

const SILENT_LOG: Log = { error: () => {}, info: () => {}, debug: () => {} }

/** Resolves once the condition is met, or fails after two seconds. */
export const waitUntil = async (isMet: () => boolean): Promise<void> => {
  for (let i = 0; i < 200 && !isMet(); i++) await new Promise((resolve) => setTimeout(resolve, 10))
  if (!isMet()) throw new Error("condition not met within 2 s")
}

/** Listens on loopback, records the received frames, and opens connections to the listener. */
export const listenOnLoopback = async () => {
  const frames: Array<Buffer> = []
  const accepted: Array<Socket> = []
  const server = createServer((socket) => {
    accepted.push(socket)
    receiveFrames(socket, (frame) => frames.push(Buffer.from(frame)), SILENT_LOG)
  }).listen(0, "127.0.0.1")
  await once(server, "listening")
  const { port } = server.address() as AddressInfo
  const connect = async (): Promise<Socket> => {
    const socket = createConnection({ host: "127.0.0.1", port, noDelay: true })
    socket.on("error", () => {})
    await once(socket, "connect")
    return socket
  }
  const close = () => {
    for (const socket of accepted) socket.destroy()
    server.close()
  }
  return { frames, accepted, connect, close }
}

/**
 * Opens a node's channel to one other node; `receive` feeds it frames, and delivered messages are recorded.
 */
export const openChannel = async (self: NodeName, other: NodeName) => {
  const delivered: Array<PeerMessage> = []
  const errors: Array<string> = []
  let receive: (frame: Uint8Array) => void = () => {}
  const links = {
    send: () => {},
    receive: (handler: (frame: Uint8Array) => void) => {
      receive = handler
    },
  }
  const log: Log = { ...SILENT_LOG, error: (message) => errors.push(message) }
  const channel = Effect.runSync(makePeerChannel(self, [other], links, log))
  const stop = Effect.runCallback(channel.serve((message) => delivered.push(message)))
  await new Promise(setImmediate)
  return { delivered, errors, receive: (frame: Uint8Array) => receive(frame), stop }
}
