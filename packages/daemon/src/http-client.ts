/** The HTTP client on Node's sockets: JSON requests to the store, the cloud and workers. */
import { type Agent, request as httpRequest, type IncomingMessage } from "node:http"
import {
  type Address,
  type HttpClient,
  type HttpRequest,
  type HttpResponse,
  NoResponseError,
  splitAddress,
  withTimeout,
} from "@sorreltally/protocol"
import type { SocketBudget } from "@sorreltally/settings"
import { Effect, type Scope } from "effect"
import { LruAgent, serviceAgent } from "./connection-pools.ts"

const parseBody = (chunks: ReadonlyArray<Buffer>): unknown => {
  try {
    return JSON.parse(Buffer.concat(chunks).toString("utf8"))
  } catch {
    // A response without JSON still has its status.
    return null
  }
}

/**
 * Sends one request. Fails with `NoResponseError` whenever no whole response came: the request may have been
 * carried out, or may be yet. Interruption, also by the time-out, closes the request's connection.
 */
const send = (call: HttpRequest, agent: Agent): Effect.Effect<HttpResponse, NoResponseError> =>
  Effect.callback<HttpResponse, NoResponseError>((resume) => {
    const { host, port } = splitAddress(call.address)
    const text = call.body === undefined ? undefined : JSON.stringify(call.body)
    const headers =
      text === undefined
        ? {}
        : { "content-type": "application/json", "content-length": String(Buffer.byteLength(text)) }
    const fail = (cause: Error) => resume(Effect.fail(new NoResponseError({ reason: cause.message })))
    const receive = (incoming: IncomingMessage) => {
      const chunks: Array<Buffer> = []
      incoming.on("data", (chunk: Buffer) => chunks.push(chunk))
      incoming.on("error", fail)
      incoming.on("end", () =>
        resume(Effect.succeed({ status: incoming.statusCode ?? 0, body: parseBody(chunks) })),
      )
    }
    const outgoing = httpRequest(
      { agent, host, port, method: call.method, path: call.path, headers },
      receive,
    )
    outgoing.setNoDelay(true)
    outgoing.on("error", fail)
    outgoing.end(text)
    return Effect.sync(() => outgoing.destroy())
  })

/**
 * An HTTP client whose connections are closed with the scope.
 * @param services Addresses that are sent many requests at a time; every other address is a worker's.
 */
export const makeHttpClient = (
  services: ReadonlyArray<Address>,
  sockets: SocketBudget,
): Effect.Effect<HttpClient["Service"], never, Scope.Scope> =>
  Effect.gen(function* () {
    const destroyed = <A extends Agent>(agent: A) =>
      Effect.acquireRelease(Effect.succeed(agent), () => Effect.sync(() => agent.destroy()))
    const workers = yield* destroyed(new LruAgent(sockets.commands))
    const agents = new Map<Address, Agent>()
    for (const address of services) agents.set(address, yield* destroyed(serviceAgent(sockets.services)))
    return withTimeout((call) => send(call, agents.get(call.address) ?? workers))
  })
