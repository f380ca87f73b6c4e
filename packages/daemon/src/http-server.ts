import { createServer, type Server } from "node:http"
import {
  type Address,
  hostAndPort,
  type IncomingRequest,
  type Log,
  type OutgoingResponse,
  type Respond,
} from "@sorreltally/protocol"
import { Accepted } from "./connection-pools.ts"

/** Serves one handler; the connection's housekeeping is all that happens here. */
export const serveHttp = (
  listen: Address,
  bodyLimit: number,
  mostConnections: number,
  serve: (request: IncomingRequest, answer: Respond) => void,
  log: Log,
): Server => {
  const accepted = new Accepted(mostConnections)
  const server = createServer((incoming, response) => {
    const { socket } = incoming
    accepted.works(socket)
    const chunks: Array<Buffer> = []
    let size = 0
    const answer = (outgoing: OutgoingResponse) => {
      const text = JSON.stringify(outgoing.body)
      response.writeHead(outgoing.status, {
        "content-type": "application/json",
        "content-length": String(Buffer.byteLength(text)),
        ...(outgoing.retryAfterS === undefined ? {} : { "retry-after": String(outgoing.retryAfterS) }),
      })
      response.end(text)
      accepted.rests(socket)
    }
    incoming.on("data", (chunk: Buffer) => {
      size += chunk.length
      if (size <= bodyLimit) chunks.push(chunk)
    })
    incoming.on("error", () => response.destroy())
    incoming.on("end", () => {
      if (size > bodyLimit)
        return answer({ status: 400, body: { error: `a body has at most ${bodyLimit} bytes` } })
      const request: IncomingRequest = {
        method: incoming.method ?? "GET",
        path: incoming.url ?? "/",
        body: Buffer.concat(chunks).toString("utf8"),
      }
      serve(request, answer)
    })
  })
  server.on("connection", (socket) => {
    accepted.opened(socket)
    socket.once("close", () => accepted.closed(socket))
  })
  // A connection stays open until one side says otherwise, or another needs its place.
  server.keepAliveTimeout = 0
  server.requestTimeout = 30_000
  server.on("error", (cause) => log.error("HTTP listener failed", { cause: String(cause) }))
  const { host, port } = hostAndPort(listen)
  server.listen(port, host)
  return server
}
