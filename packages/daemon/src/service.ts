import { Api, BODY_LIMIT } from "@sorreltally/api"
import { makeCloudClient } from "@sorreltally/cloud"
import { makeController } from "@sorreltally/controller"
import { makePeerChannel, openSockets } from "@sorreltally/peers"
import type { Operators, Platform } from "@sorreltally/settings"
import { makeStateClient } from "@sorreltally/state"
import { Exchange, type Log, later, type Moment, NEVER, timekeeper } from "@sorreltally/wire"
import { Effect } from "effect"
import { httpExchange, serveHttp } from "./http.ts"

/** Trouble shorter than this doesn't make the node unready: the balancer doubles its pause at each removal. */
const STAYS_READY_MS = 30_000

/** The whole service of one node; runs until its process ends. */
export const service = (platform: Platform, operators: Operators, log: Log): Effect.Effect<void> =>
  Effect.gen(function* () {
    const time = yield* timekeeper
    const { facts, outside, peers, node_name } = platform
    const nodes = [node_name, ...peers.map((p) => p.node_name)].sort()
    const state = yield* makeStateClient(outside.state, facts.state, nodes.length)
    const cloud = yield* makeCloudClient(outside.cloud, facts.cloud, nodes.length)
    const links = openSockets(
      platform.back,
      peers.map((p) => ({ node: p.node_name, address: p.peer_addr })),
      log,
    )
    const life = Math.floor(time.wall())
    const channel = yield* makePeerChannel(
      node_name,
      peers.map((p) => p.node_name),
      links,
      life,
    )
    const controller = yield* makeController(platform, operators, nodes, state, cloud, channel, log)
    let wellAt: Moment = NEVER
    const ready = () => {
      const now = time.moment()
      if (controller.membership.entitled() && controller.catalog() !== null) wellAt = now
      return now < later(wellAt, STAYS_READY_MS)
    }
    const api = new Api(
      platform,
      operators,
      state,
      {
        ready,
        catalog: () => controller.catalog(),
        jobChanged: (path, record, stamp) => controller.jobChanged(path, record, stamp),
        counts: (request) => controller.counts(request),
        report: (body) => controller.report(body),
      },
      time,
    )
    const context = yield* Effect.context<never>()
    serveHttp(
      platform.listen,
      BODY_LIMIT,
      (request) => api.handle(request),
      (effect, onExit) => Effect.runCallbackWith(context)(effect, { onExit }),
      log,
    )
    log.info("started", { node: node_name, listen: platform.listen })
    yield* controller.run
  }).pipe(Effect.provideService(Exchange, httpExchange()))
