/**
 * Metrics of the store client, in Effect's metric registry. They are exported with all other metrics of the
 * process; docs/operations.md lists them.
 */
import { Metric } from "effect"

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
