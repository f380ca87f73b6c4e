/** HTTP client for JSON requests to the store, the cloud and workers. */
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
    // The status is meaningful even when the body is not valid JSON.
    return null
  }
}

/**
 * Sends one request. Fails with `NoResponseError` if no complete response was received: the request may have
 * been carried out, or may still be. Interruption, including by the time-out, closes the request's
 * connection.
 */
const send = (request: HttpRequest, agent: Agent): Effect.Effect<HttpResponse, NoResponseError> =>
  Effect.callback<HttpResponse, NoResponseError>((resume) => {
    const { host, port } = splitAddress(request.address)
    const text = request.body === undefined ? undefined : JSON.stringify(request.body)
    const headers =
      text === undefined
        ? {}
        : { "content-type": "application/json", "content-length": String(Buffer.byteLength(text)) }
    const fail = (cause: Error) => resume(Effect.fail(new NoResponseError({ reason: cause.message })))
    const receiveResponse = (incoming: IncomingMessage) => {
      const chunks: Array<Buffer> = []
      incoming.on("data", (chunk: Buffer) => chunks.push(chunk))
      incoming.on("error", fail)
      incoming.on("end", () =>
        resume(Effect.succeed({ status: incoming.statusCode ?? 0, body: parseBody(chunks) })),
      )
    }
    const outgoing = httpRequest(
      { agent, host, port, method: request.method, path: request.path, headers },
      receiveResponse,
    )
    outgoing.setNoDelay(true)
    outgoing.on("error", fail)
    outgoing.end(text)
    return Effect.sync(() => outgoing.destroy())
  })

/**
 * Creates an HTTP client whose connections are closed with the scope.
 * @param services Addresses of services that get many concurrent requests; any other address is a worker's.
 */
export const makeHttpClient = (
  services: ReadonlyArray<Address>,
  sockets: SocketBudget,
): Effect.Effect<HttpClient["Service"], never, Scope.Scope> =>
  Effect.gen(function* () {
    const destroyedWithScope = <A extends Agent>(agent: A) =>
      Effect.acquireRelease(Effect.succeed(agent), () => Effect.sync(() => agent.destroy()))
    const workers = yield* destroyedWithScope(new LruAgent(sockets.commands))
    const agents = new Map<Address, Agent>()
    for (const address of services)
      agents.set(address, yield* destroyedWithScope(serviceAgent(sockets.services)))
    return withTimeout((call) => send(call, agents.get(call.address) ?? workers))
  })
