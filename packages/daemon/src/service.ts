import { openSockets } from "@sorreltally/peers"
import { BODY_LIMIT, HttpClient, type Log } from "@sorreltally/protocol"
import {
  budgetHolds,
  budgetInWords,
  cancellationBudget,
  type Operators,
  type Platform,
  sizesOf,
} from "@sorreltally/settings"
import { Effect } from "effect"
import { httpExchange, serveHttp } from "./http.ts"
import { makeNode } from "./node.ts"

/** The whole service of one node; runs until its process ends. */
export const service = (platform: Platform, operators: Operators, log: Log): Effect.Effect<void> =>
  Effect.suspend(() => {
    const { state, cloud } = platform.outside
    const exchange = httpExchange([state, cloud], sizesOf(platform))
    return Effect.provideService(serving(platform, operators, log), HttpClient, exchange)
  })

const serving = (
  platform: Platform,
  operators: Operators,
  log: Log,
): Effect.Effect<void, never, HttpClient> =>
  Effect.gen(function* () {
    const links = openSockets(
      platform.back,
      platform.peers.map((p) => ({ node: p.node_name, address: p.peer_addr })),
      log,
    )
    const node = yield* makeNode(platform, operators, links, log)
    serveHttp(platform.listen, BODY_LIMIT, sizesOf(platform).inbound, node.serve, log)
    logBudget(platform, operators, log)
    log.info("started", { node: platform.node_name, listen: platform.listen })
    yield* node.run
  })

/** States how soon cancelled tasks are surely gone, and warns when the platform's settings allow no such time. */
const logBudget = ({ facts }: Platform, operators: Operators, log: Log): void => {
  const budget = cancellationBudget(facts.workers, operators.membership)
  const { leaseTtlMs, leaseMarginMs, watchFreshMs } = budget
  const sum = budgetInWords(facts.workers, budget)
  log.info("cancellation budget", { leaseTtlMs, leaseMarginMs, watchFreshMs, sum })
  if (!budgetHolds(budget))
    log.error("cancelled tasks may outlive cancel_s when the state service fails", { sum })
}
