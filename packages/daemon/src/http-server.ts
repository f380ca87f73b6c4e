/** HTTP listener: converts Node's requests and responses to and from the types of the protocol package. */
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

/** Node answers 408 to a request whose headers and body are not complete within this time. */
const REQUEST_TIMEOUT_MS = 30_000

/** Options of the HTTP listener. */
export interface HttpServerOptions {
  readonly listen: Address
  /** Requests with longer bodies get 400, and their bodies are not kept in memory. */
  readonly maxBodyBytes: number
  /** Maximum number of open connections; see `InboundConnections`. */
  readonly maxConnections: number
  /** Answers a request by calling `respond` once. */
  readonly serve: (request: IncomingRequest, respond: Respond) => void
  readonly log: Log
}

const writeResponse = (response: ServerResponse, outgoing: OutgoingResponse): void => {
  const { body, contentType } = outgoing
  const text = contentType === undefined ? JSON.stringify(body) : String(body)
  response.writeHead(outgoing.status, {
    "content-type": contentType ?? "application/json",
    "content-length": String(Buffer.byteLength(text)),
    ...(outgoing.retryAfterS === undefined ? {} : { "retry-after": String(outgoing.retryAfterS) }),
  })
  response.end(text)
}

/** Reads a request's body and serves the request, or responds 400 if the body is too long. */
const receiveRequest = (
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
    receiveRequest(incoming, options, (outgoing) => {
      writeResponse(response, outgoing)
      connections.markIdle(socket)
    })
  })
  server.on("connection", (socket) => {
    connections.add(socket)
    socket.once("close", () => connections.remove(socket))
  })
  // Idle connections don't time out: they stay open until the client or `InboundConnections` closes them.
  server.keepAliveTimeout = 0
  server.requestTimeout = REQUEST_TIMEOUT_MS
  server.on("error", (cause) => options.log.error("HTTP listener failed", { cause: String(cause) }))
  return server
}

/**
 * Listens until the scope ends, which closes the listener and its connections. Errors of the listener are
 * logged, not thrown.
 */
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
