/** The HTTP listener: turns Node's requests into the service's and its responses back. Decides nothing. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http"
import type { Socket } from "node:net"
import {
  type Address,
  type IncomingRequest,
  type Log,
  type OutgoingResponse,
  type Respond,
  splitAddress,
} from "@sorreltally/protocol"
import { Effect, type Scope } from "effect"
import { InboundConnections } from "./connection-pools.ts"

/** A request whose headers and body aren't complete by then is answered 408 by Node. */
const REQUEST_TIMEOUT_MS = 30_000

/** What a listener serves, and within which bounds. */
export interface HttpServerOptions {
  readonly listen: Address
  /** Longer bodies are answered 400 and never kept in memory. */
  readonly maxBodyBytes: number
  /** At most this many connections are open; see `InboundConnections`. */
  readonly maxConnections: number
  /** Answers a request, once. */
  readonly serve: (request: IncomingRequest, respond: Respond) => void
  readonly log: Log
}

const write = (response: ServerResponse, outgoing: OutgoingResponse): void => {
  const text = JSON.stringify(outgoing.body)
  response.writeHead(outgoing.status, {
    "content-type": "application/json",
    "content-length": String(Buffer.byteLength(text)),
    ...(outgoing.retryAfterS === undefined ? {} : { "retry-after": String(outgoing.retryAfterS) }),
  })
  response.end(text)
}

/** Collects a request's body and hands it on, unless it is too long. */
const receive = (
  incoming: IncomingMessage,
  { maxBodyBytes, serve }: HttpServerOptions,
  respond: Respond,
): void => {
  const chunks: Array<Buffer> = []
  let size = 0
  incoming.on("data", (chunk: Buffer) => {
    size += chunk.length
    if (size <= maxBodyBytes) chunks.push(chunk)
  })
  incoming.on("end", () => {
    if (size > maxBodyBytes)
      return respond({ status: 400, body: { error: `a body has at most ${maxBodyBytes} bytes` } })
    const request: IncomingRequest = {
      method: incoming.method ?? "GET",
      path: incoming.url ?? "/",
      body: Buffer.concat(chunks).toString("utf8"),
    }
    serve(request, respond)
  })
}

const createListener = (options: HttpServerOptions): Server => {
  const connections = new InboundConnections<Socket>(options.maxConnections)
  const server = createServer((incoming, response) => {
    const { socket } = incoming
    connections.markBusy(socket)
    incoming.on("error", () => response.destroy())
    receive(incoming, options, (outgoing) => {
      write(response, outgoing)
      connections.markIdle(socket)
    })
  })
  server.on("connection", (socket) => {
    connections.add(socket)
    socket.once("close", () => connections.remove(socket))
  })
  // A connection stays open until one side closes it, or another one needs its place.
  server.keepAliveTimeout = 0
  server.requestTimeout = REQUEST_TIMEOUT_MS
  server.on("error", (cause) => options.log.error("HTTP listener failed", { cause: String(cause) }))
  return server
}

/** Listens until the scope ends, which closes the listener and its connections. Errors are logged, not thrown. */
export const serveHttp = (options: HttpServerOptions): Effect.Effect<void, never, Scope.Scope> =>
  Effect.acquireRelease(
    Effect.sync(() => {
      const server = createListener(options)
      const { host, port } = splitAddress(options.listen)
      return server.listen(port, host)
    }),
    (server) =>
      Effect.sync(() => {
        server.close()
        server.closeAllConnections()
      }),
  )
