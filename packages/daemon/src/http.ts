import { createServer, request as httpRequest, type Server } from "node:http"
import {
  type Address,
  type HttpClient,
  type HttpRequest,
  type HttpResponse,
  hostAndPort,
  type IncomingRequest,
  type Log,
  NoResponseError,
  type OutgoingResponse,
  type Respond,
  withTimeout,
} from "@sorreltally/protocol"
import type { SocketBudget } from "@sorreltally/settings"
import { Effect } from "effect"
import { Accepted, ManyHosts, oneService } from "./connection-pools.ts"

/** `services` are asked much and often; all other addresses are machines. */
export const httpExchange = (
  services: ReadonlyArray<Address>,
  sockets: SocketBudget,
): HttpClient["Service"] => {
  const agents = new Map(services.map((address) => [address, oneService(sockets.services)]))
  const machines = new ManyHosts(sockets.commands)
  const once = (call: HttpRequest): Effect.Effect<HttpResponse, NoResponseError> =>
    Effect.callback<HttpResponse, NoResponseError>((resume) => {
      const { host, port } = hostAndPort(call.address)
      const agent = agents.get(call.address) ?? machines
      const text = call.body === undefined ? undefined : JSON.stringify(call.body)
      const headers =
        text === undefined
          ? {}
          : { "content-type": "application/json", "content-length": String(Buffer.byteLength(text)) }
      const fail = (cause: Error) => resume(Effect.fail(new NoResponseError({ reason: cause.message })))
      const outgoing = httpRequest(
        { agent, host, port, method: call.method, path: call.path, headers },
        (incoming) => {
          const chunks: Array<Buffer> = []
          incoming.on("data", (chunk: Buffer) => chunks.push(chunk))
          incoming.on("error", fail)
          incoming.on("end", () => {
            let body: unknown = null
            try {
              body = JSON.parse(Buffer.concat(chunks).toString("utf8"))
            } catch {
              // An answer without JSON has its status to say.
            }
            resume(Effect.succeed({ status: incoming.statusCode ?? 0, body }))
          })
        },
      )
      outgoing.setNoDelay(true)
      outgoing.on("error", fail)
      outgoing.end(text)
      return Effect.sync(() => outgoing.destroy())
    })
  return withTimeout(once)
}

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
