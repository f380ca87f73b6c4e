/** Real loopback connections whose frames are caught, and channels whose links are the test's. */
import { once } from "node:events"
import { type AddressInfo, createConnection, createServer, type Socket } from "node:net"
import type { Log, NodeName } from "@sorreltally/protocol"
import { Effect } from "effect"
import { makePeerChannel } from "../src/channel.ts"
import type { PeerMessage } from "../src/messages.ts"
import { receiveFrames } from "../src/socket-frames.ts"

const SILENT: Log = { error: () => {}, info: () => {}, debug: () => {} }

/** Resolves once it holds, or fails after two seconds. */
export const until = async (holds: () => boolean): Promise<void> => {
  for (let i = 0; i < 200 && !holds(); i++) await new Promise((resolve) => setTimeout(resolve, 10))
  if (!holds()) throw new Error("it doesn't hold within two seconds")
}

/** A listener on loopback that receives frames, and connections to it. */
export const listenOnLoopback = async () => {
  const frames: Array<Buffer> = []
  const accepted: Array<Socket> = []
  const server = createServer((socket) => {
    accepted.push(socket)
    receiveFrames(socket, (frame) => frames.push(Buffer.from(frame)), SILENT)
  }).listen(0, "127.0.0.1")
  await once(server, "listening")
  const { port } = server.address() as AddressInfo
  const connect = async (): Promise<Socket> => {
    const socket = createConnection({ host: "127.0.0.1", port, noDelay: true })
    socket.on("error", () => {})
    await once(socket, "connect")
    return socket
  }
  const end = () => {
    for (const socket of accepted) socket.destroy()
    server.close()
  }
  return { frames, accepted, connect, end }
}

/** A node's channel to one other; frames are handed to it, and the messages that it delivers are kept. */
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
  const log: Log = { ...SILENT, error: (message) => errors.push(message) }
  const channel = Effect.runSync(makePeerChannel(self, [other], links, log))
  const end = Effect.runCallback(channel.serve((message) => delivered.push(message)))
  await new Promise(setImmediate)
  return { delivered, errors, receive: (frame: Uint8Array) => receive(frame), end }
}
