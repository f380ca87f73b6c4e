import { Api, REPORT_PATH } from "@sorreltally/api"
import { makeCloudClient } from "@sorreltally/cloud"
import { makeController } from "@sorreltally/controller"
import { type Links, makePeerChannel } from "@sorreltally/peers"
import {
  addMs,
  type HttpClient,
  type IncomingRequest,
  type Log,
  type MonotonicTime,
  NEVER,
  processClocks,
  type Respond,
} from "@sorreltally/protocol"
import type { Operators, Platform } from "@sorreltally/settings"
import { makeStoreClient } from "@sorreltally/store"
import { Effect, Exit } from "effect"

/**
 * Trouble shorter than this doesn't make the node unready: the balancer
 * doubles its pause at each removal. Where others could serve the users
 * instead, they should soon; where nobody can, it makes no difference to them.
 */
const staysReadyMs = (othersWell: boolean | null): number =>
  othersWell === true ? 2_500 : othersWell === null ? 7_000 : 30_000

export interface Node {
  /** Answers a request of a worker, a user or a health check, once. */
  readonly serve: (request: IncomingRequest, answer: Respond) => void
  /** Runs until it is interrupted. */
  readonly run: Effect.Effect<void>
}

/** One controller, put together, without the sockets that it is reached by. */
export const makeNode = (
  platform: Platform,
  operators: Operators,
  links: Links,
  log: Log,
): Effect.Effect<Node, never, HttpClient> =>
  Effect.gen(function* () {
    const clocks = yield* processClocks
    const { deployment, services, peers, nodeName } = platform
    const nodes = [nodeName, ...peers.map((p) => p.nodeName)].sort()
    const storeLimits = {
      writesPerSecond: deployment.store.writesPerSecond,
      valueKb: deployment.store.valueKb,
      maxOperations: deployment.store.maxOperations,
    }
    const store = yield* makeStoreClient(services.store, storeLimits, nodes.length)
    const cloud = yield* makeCloudClient(services.cloud, deployment.cloud, nodes.length)
    const others = peers.map((p) => p.nodeName)
    const channel = yield* makePeerChannel(nodeName, others, links, log)
    const controller = yield* makeController({
      platform,
      operators,
      nodes,
      store,
      cloud,
      peers: channel,
      log,
    })
    let wellAt: MonotonicTime = NEVER
    const ready = () => {
      const now = clocks.monotonicNow()
      if (controller.isHealthy()) wellAt = now
      return now < addMs(wellAt, staysReadyMs(controller.othersHealthy()))
    }
    const backend = {
      ready,
      catalog: () => controller.catalog(),
      jobs: controller.jobStore,
      counts: controller.counts.bind(controller),
      report: controller.receiveHeartbeat.bind(controller),
    }
    const api = new Api(platform, operators, backend, clocks)
    const context = yield* Effect.context<never>()
    const failed = (request: IncomingRequest, cause: unknown, answer: Respond) => {
      log.error("request failed", { path: request.path, cause: String(cause) })
      answer({ status: 503, body: { error: "internal error" } })
    }
    const serve = (request: IncomingRequest, answer: Respond): void => {
      if (request.path !== REPORT_PATH || request.method !== "POST") {
        Effect.runCallbackWith(context)(api.handle(request), {
          onExit: (exit) => (Exit.isSuccess(exit) ? answer(exit.value) : failed(request, exit.cause, answer)),
        })
        return
      }
      try {
        api.report(request.body, answer)
      } catch (cause) {
        failed(request, cause, answer)
      }
    }
    return { serve, run: controller.run }
  })
