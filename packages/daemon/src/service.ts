/**
 * The whole service of one node: the node, and the sockets that it is reached by and reaches others by. The
 * HTTP listener and the client's connections belong to the service's scope; the sockets between controllers
 * live as long as the process.
 */
import { openSockets } from "@sorreltally/peers"
import { HttpClient, type Log, MAX_BODY_BYTES } from "@sorreltally/protocol"
import {
  budgetHolds,
  cancellationBudget,
  describeBudget,
  type Operators,
  type Platform,
  socketBudget,
} from "@sorreltally/settings"
import { Effect, type Scope } from "effect"
import { makeHttpClient } from "./http-client.ts"
import { serveHttp } from "./http-server.ts"
import { makeNode } from "./node.ts"

/** Serves until it is interrupted, or fails by a bug; either way its listener and connections are closed. */
export const runService = (platform: Platform, operators: Operators, log: Log): Effect.Effect<void> =>
  Effect.scoped(
    Effect.gen(function* () {
      const { store, cloud } = platform.services
      const httpClient = yield* makeHttpClient([store, cloud], socketBudget(platform))
      yield* Effect.provideService(runNode(platform, operators, log), HttpClient, httpClient)
    }),
  )

const runNode = (
  platform: Platform,
  operators: Operators,
  log: Log,
): Effect.Effect<void, never, HttpClient | Scope.Scope> =>
  Effect.gen(function* () {
    const peers = platform.peers.map(({ nodeName, address }) => ({ node: nodeName, address }))
    const links = openSockets(platform.peerListenAddress, peers, log)
    const node = yield* makeNode(platform, operators, links, log)
    yield* serveHttp({
      listen: platform.listenAddress,
      maxBodyBytes: MAX_BODY_BYTES,
      maxConnections: socketBudget(platform).inbound,
      serve: node.serve,
      log,
    })
    logBudget(platform, operators, log)
    log.info("started", { node: platform.nodeName, listen: platform.listenAddress })
    yield* node.run
  })

/** Says how soon cancelled tasks are surely gone, and reports an error if the platform's settings allow none. */
const logBudget = ({ deployment }: Platform, operators: Operators, log: Log): void => {
  const budget = cancellationBudget(deployment.workers, operators.membership)
  const { leaseTtlMs, leaseMarginMs, watchFreshMs } = budget
  const sum = describeBudget(deployment.workers, budget)
  log.info("cancellation budget", { leaseTtlMs, leaseMarginMs, watchFreshMs, sum })
  if (!budgetHolds(budget)) log.error("cancelled tasks may outlive cancel_s during a store outage", { sum })
}
