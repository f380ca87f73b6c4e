/**
 * Metrics of the store client, in Effect's metric registry. They are exported with all other metrics of the
 * process; docs/operations.md lists them.
 */
import { type Context, Metric } from "effect"
import type { StoreLimits } from "./limits.ts"

/** Transactions that the store rejected for good (400): too large, or malformed. */
export const rejectedTransactions = Metric.counter("sorreltally_store_transactions_rejected_total", {
  description: "Transactions that the store rejected for good with status 400",
  incremental: true,
})

/** Transactions that the store refused because of its limit on writes or requests per second (429). */
export const rateLimitedTransactions = Metric.counter("sorreltally_store_transactions_rate_limited_total", {
  description: "Transactions that the store refused with status 429",
  incremental: true,
})

const limitChanges = Metric.counter("sorreltally_store_limit_changes_total", {
  description: "Changes of the limits that the store is assumed to enforce",
  incremental: true,
})
/** Counts a change of the assumed limits. */
export const recordLimitChange = (context: Context.Context<never>): void =>
  limitChanges.updateUnsafe(1, context)

const limitGauges: ReadonlyArray<readonly [Metric.Gauge<number>, (limits: StoreLimits) => number]> = [
  [Metric.gauge("sorreltally_store_limit_value_kib"), ({ valueKb }) => valueKb],
  [Metric.gauge("sorreltally_store_limit_operations"), ({ maxOperations }) => maxOperations],
  [Metric.gauge("sorreltally_store_limit_writes_per_second"), ({ writesPerSecond }) => writesPerSecond],
  [Metric.gauge("sorreltally_store_limit_requests_per_second"), ({ requestsPerSecond }) => requestsPerSecond],
]
/** Registers gauges of the assumed limits, which are read when metrics are exported. */
export const registerLimitGauges = (context: Context.Context<never>, limits: () => StoreLimits): void => {
  for (const [gauge, limitOf] of limitGauges)
    Metric.registerUnsafe(gauge, context, {
      get: () => ({ value: limitOf(limits()) }),
      update: () => {},
      modify: () => {},
    })
}
