/**
 * Assembles one controller node. Its network links and HTTP client are injected, so that tests can simulate
 * them.
 */
import { Api, type ApiBackend, HEARTBEAT_PATH } from "@sorreltally/api"
import { makeCloudClient } from "@sorreltally/cloud"
import { type Controller, makeController } from "@sorreltally/controller"
import { type Links, makePeerChannel } from "@sorreltally/peers"
import {
  type HttpClient,
  type IncomingRequest,
  type Log,
  processClocks,
  type Respond,
} from "@sorreltally/protocol"
import type { Operators, Platform } from "@sorreltally/settings"
import { makeStoreClient } from "@sorreltally/store"
import { Effect, Exit } from "effect"
import { makeReadiness } from "./readiness.ts"

/** One controller node of the deployment. */
export interface Node {
  /** Answers a request of a worker, a user or a health check by calling `respond` once. Doesn't throw. */
  readonly serve: (request: IncomingRequest, respond: Respond) => void
  /** Runs the node until interrupted. Interrupting its fiber ends everything that the node started. */
  readonly run: Effect.Effect<void>
}

const buildController = (platform: Platform, operators: Operators, links: Links, log: Log) =>
  Effect.gen(function* () {
    const { deployment, services, peers, nodeName } = platform
    const peerNames = peers.map((peer) => peer.nodeName)
    const nodes = [nodeName, ...peerNames].sort()
    const store = yield* makeStoreClient({
      address: services.store,
      limits: deployment.store,
      announcedLimits: deployment.store.announced,
      nodeCount: nodes.length,
      log,
    })
    const cloud = yield* makeCloudClient(services.cloud, deployment.cloud, nodes.length)
    const channel = yield* makePeerChannel(nodeName, peerNames, links, log)
    return yield* makeController({ platform, operators, nodes, store, cloud, peers: channel, log })
  })

/** Adapts the controller to the interface that the HTTP API uses. */
const backendOf = (controller: Controller, isReady: () => boolean): ApiBackend => ({
  isReady,
  machineTypes: () => controller.catalog(),
  jobs: controller.jobStore,
  taskCounts: controller.counts.bind(controller),
  receiveHeartbeat: controller.receiveHeartbeat.bind(controller),
})

/** Creates a node; it starts no work before `run`. */
export const makeNode = (
  platform: Platform,
  operators: Operators,
  links: Links,
  log: Log,
): Effect.Effect<Node, never, HttpClient> =>
  Effect.gen(function* () {
    const clocks = yield* processClocks
    const controller = yield* buildController(platform, operators, links, log)
    const health = {
      isHealthy: () => controller.isHealthy(),
      hasHealthyPeer: () => controller.othersHealthy(),
    }
    const backend = backendOf(controller, makeReadiness(health, clocks))
    const api = new Api(platform, operators, backend, clocks)
    const context = yield* Effect.context<never>()
    const respondWithError = (request: IncomingRequest, cause: unknown, respond: Respond) => {
      log.error("request failed", { path: request.path, cause: String(cause) })
      respond({ status: 503, body: { error: "internal error" } })
    }
    const serve = (request: IncomingRequest, respond: Respond): void => {
      if (request.path !== HEARTBEAT_PATH || request.method !== "POST") {
        Effect.runCallbackWith(context)(api.handle(request), {
          onExit: (exit) =>
            Exit.isSuccess(exit) ? respond(exit.value) : respondWithError(request, exit.cause, respond),
        })
        return
      }
      // Heartbeats are by far the most frequent requests: they are served without creating a fiber.
      try {
        api.receiveHeartbeat(request.body, respond)
      } catch (cause) {
        respondWithError(request, cause, respond)
      }
    }
    return { serve, run: controller.run }
  })
