import { request as httpRequest } from "node:http"
import {
  type Address,
  type HttpClient,
  type HttpRequest,
  type HttpResponse,
  hostAndPort,
  NoResponseError,
  withTimeout,
} from "@sorreltally/protocol"
import type { SocketBudget } from "@sorreltally/settings"
import { Effect } from "effect"
import { ManyHosts, oneService } from "./connection-pools.ts"

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
