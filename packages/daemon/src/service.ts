import { openSockets } from "@sorreltally/peers"
import { BODY_LIMIT, HttpClient, type Log } from "@sorreltally/protocol"
import {
  budgetHolds,
  cancellationBudget,
  describeBudget,
  type Operators,
  type Platform,
  socketBudget,
} from "@sorreltally/settings"
import { Effect } from "effect"
import { httpExchange } from "./http-client.ts"
import { serveHttp } from "./http-server.ts"
import { makeNode } from "./node.ts"

/** The whole service of one node; runs until its process ends. */
export const service = (platform: Platform, operators: Operators, log: Log): Effect.Effect<void> =>
  Effect.suspend(() => {
    const { store, cloud } = platform.services
    const httpClient = httpExchange([store, cloud], socketBudget(platform))
    return Effect.provideService(serving(platform, operators, log), HttpClient, httpClient)
  })

const serving = (
  platform: Platform,
  operators: Operators,
  log: Log,
): Effect.Effect<void, never, HttpClient> =>
  Effect.gen(function* () {
    const links = openSockets(
      platform.peerListenAddress,
      platform.peers.map((p) => ({ node: p.nodeName, address: p.address })),
      log,
    )
    const node = yield* makeNode(platform, operators, links, log)
    serveHttp(platform.listenAddress, BODY_LIMIT, socketBudget(platform).inbound, node.serve, log)
    logBudget(platform, operators, log)
    log.info("started", { node: platform.nodeName, listen: platform.listenAddress })
    yield* node.run
  })

/** States how soon cancelled tasks are surely gone, and warns when the platform's settings allow no such time. */
const logBudget = ({ deployment }: Platform, operators: Operators, log: Log): void => {
  const budget = cancellationBudget(deployment.workers, operators.membership)
  const { leaseTtlMs, leaseMarginMs, watchFreshMs } = budget
  const sum = describeBudget(deployment.workers, budget)
  log.info("cancellation budget", { leaseTtlMs, leaseMarginMs, watchFreshMs, sum })
  if (!budgetHolds(budget)) log.error("cancelled tasks may outlive cancel_s during a store outage", { sum })
}
