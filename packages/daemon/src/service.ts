/**
 * The service of one node: the node with its HTTP listener, HTTP client and sockets to other controllers. The
 * HTTP listener and the client's connections are closed with the service's scope; the sockets between
 * controllers stay open for the lifetime of the process.
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

/** Serves until interrupted or until a bug ends it; in both cases the listener and connections are closed. */
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
    logCancellationBudget(platform, operators, log)
    log.info("node started", { node: platform.nodeName, listen: platform.listenAddress })
    yield* node.run
  })

/**
 * Logs the cancellation budget, and an error if it exceeds `cancel_s` because the platform's settings leave
 * no time for a usable node lease.
 */
const logCancellationBudget = ({ deployment }: Platform, operators: Operators, log: Log): void => {
  const budget = cancellationBudget(deployment.workers, operators.membership)
  const { leaseTtlMs, leaseMarginMs, watchFreshMs } = budget
  const summary = describeBudget(deployment.workers, budget)
  log.info("cancellation budget", { leaseTtlMs, leaseMarginMs, watchFreshMs, summary })
  if (!budgetHolds(budget))
    log.error("cancelled tasks may run longer than cancel_s during a store outage", { summary })
}
