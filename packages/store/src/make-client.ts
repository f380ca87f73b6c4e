/** Construction of the store client: requests over HTTP, within limits that all controllers share. */
import { type Address, HttpClient, type Log, processClocks } from "@sorreltally/protocol"
import { SharedRateLimit } from "@sorreltally/rate-limit"
import { Context, Effect } from "effect"
import type { StoreClient } from "./client.ts"
import { LimitTracker } from "./limit-tracker.ts"
import { lowerOf, type StatedStoreLimits, type StoreLimits, storeLimits } from "./limits.ts"
import { recordLimitChange, registerLimitGauges } from "./metrics.ts"
import { createLease, get, keepAlive, list, revokeLease, sendTo, watch } from "./requests.ts"
import { compareAndSwap } from "./transactions.ts"

/** Options of the store client. */
export interface StoreClientOptions {
  readonly address: Address
  /** Limits in force when the process starts. */
  readonly limits: StatedStoreLimits
  /** Limits that the store will have from some moment on, without further notice; null: none announced. */
  readonly announcedLimits: StatedStoreLimits | null
  /** Number of controllers that share the limits, this one included. */
  readonly nodeCount: number
  readonly log: Log
}

/** Capacity of the token bucket for writes. */
const burstOf = ({ maxWrites, writesPerSecond }: StoreLimits): number =>
  Math.max(maxWrites, writesPerSecond / 2)

/** Creates a client of the store. */
export const makeStoreClient = (options: StoreClientOptions): Effect.Effect<StoreClient, never, HttpClient> =>
  Effect.gen(function* () {
    const { address, nodeCount, log } = options
    const send = sendTo(yield* HttpClient, address)
    const clocks = yield* processClocks
    const metricContext = Context.empty()
    const configured = storeLimits(options.limits)
    const announced = options.announcedLimits === null ? null : storeLimits(options.announcedLimits)
    const rateLimit = new SharedRateLimit({
      limit: configured.writesPerSecond,
      nodeCount,
      burst: burstOf(configured),
      now: clocks.monotonicNow,
    })
    const limits = new LimitTracker({
      configured,
      announced,
      now: clocks.monotonicNow,
      onChanged: (changed, cause) => {
        rateLimit.setLimit(changed.writesPerSecond, burstOf(changed))
        recordLimitChange(metricContext)
        log.info("store limits changed", { cause, ...changed })
      },
    })
    registerLimitGauges(metricContext, () => limits.current)
    return {
      get: get(send),
      list: list(send),
      compareAndSwap: compareAndSwap({ send, rateLimit, limits, log }),
      awaitWriteCapacity: (operations, priority) => rateLimit.acquire(operations, priority),
      createLease: createLease(send),
      keepAlive: keepAlive(send),
      revokeLease: revokeLease(send),
      watch: watch(send),
      get limits() {
        return limits.current
      },
      limitsWereLowered: () => limits.current !== configured,
      lowestStatedLimits: announced === null ? configured : lowerOf(configured, announced),
      writeRate: () => rateLimit.usage,
      setPeerWriteRate: (perSecond) => rateLimit.setPeerUsage(perSecond),
      writeLoad: () => rateLimit.load,
    }
  })
