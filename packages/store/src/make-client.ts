/** Construction of the store client: requests over HTTP, with a write limit that all controllers share. */
import { type Address, HttpClient, type Log, processClocks } from "@sorreltally/protocol"
import { SharedRateLimit } from "@sorreltally/rate-limit"
import { Effect } from "effect"
import type { StoreClient, StoreLimits } from "./client.ts"
import { compareAndSwap, createLease, get, keepAlive, list, revokeLease, sendTo, watch } from "./requests.ts"

/** Creates a client of the store at `address`; `nodes` controllers, this one included, share its limits. */
export const makeStoreClient = (
  address: Address,
  limits: StoreLimits,
  nodes: number,
  log: Log,
): Effect.Effect<StoreClient, never, HttpClient> =>
  Effect.gen(function* () {
    const send = sendTo(yield* HttpClient, address)
    const clocks = yield* processClocks
    const rateLimit = new SharedRateLimit({
      limit: limits.writesPerSecond,
      nodeCount: nodes,
      burst: Math.max(limits.maxOperations, limits.writesPerSecond / 2),
      now: clocks.monotonicNow,
    })
    return {
      get: get(send),
      list: list(send),
      compareAndSwap: compareAndSwap(send, rateLimit, log),
      awaitWriteCapacity: (operations, priority) => rateLimit.acquire(operations, priority),
      createLease: createLease(send),
      keepAlive: keepAlive(send),
      revokeLease: revokeLease(send),
      watch: watch(send),
      limits,
      writeRate: () => rateLimit.usage,
      setPeerWriteRate: (perSecond) => rateLimit.setPeerUsage(perSecond),
      writeLoad: () => rateLimit.load,
    }
  })
