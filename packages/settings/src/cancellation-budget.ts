/**
 * Time budget of a cancellation, from which the times of the node lease are derived.
 *
 * A confirmed cancellation is durable in the store. From then on, the job's tasks must be gone within
 * `cancel_s`, even if the job's owner isn't notified because the store refuses only the owner's requests, or
 * because the store fails for all controllers right afterwards. In these cases tasks end only by the expiry
 * of leases:
 *
 *     lease validity × (1 + drift)  +  lease_s × (1 + drift)  +  worker's reaction  ≤  cancel_s
 *
 * - *Lease validity*: how long the owner may continue to answer heartbeats. It requires both a valid node
 *   lease and a fresh watch. Both count from when the request was *sent*: a response that lacks the
 *   cancellation belongs to a request sent before the cancellation was durable. The two bounds run
 *   concurrently, so the larger one counts, not their sum. An outage after which the store gives every node
 *   lease its full TTL again doesn't extend the validity: only a successful keep-alive of the owner does.
 * - *Agent lease* (`lease_s`): a worker counts its lease from when it *sent* the last heartbeat that was
 *   answered. The owner checks that its own lease is valid when it creates the response, after it has
 *   received the heartbeat; so the heartbeat was sent before the validity ended. A response that is deferred,
 *   forwarded, or in transit for up to 4 s renews the lease no further than an immediate one: such delays add
 *   nothing.
 * - *Drift*: the owner's clock and the worker's clock may both run slow.
 * - A node lease that expires late in the store delays the next owner but doesn't extend the validity of the
 *   previous one: it adds nothing either.
 */
import type { NodeLeaseSettings } from "./operators.ts"
import type { WorkerSettings } from "./platform.ts"

/** Maximum relative drift between the monotonic clocks of two machines. */
export const CLOCK_DRIFT = 0.0005
/**
 * Maximum time for a worker to end its tasks after its lease expires, including timers that fire some ms
 * late.
 */
const WORKER_REACTION_MS = 250

/** Used if `cancel_s` allows it: long enough to tolerate short delays, short enough for a quick failover. */
const DEFAULT_LEASE_VALIDITY_MS = 6_000
/**
 * With a shorter validity a controller loses its node lease in normal operation: keep-alives take up to about
 * 100 ms, and a busy process may be late by as much.
 */
const MIN_LEASE_VALIDITY_MS = 1_500

/**
 * Margin of the node lease as a fraction of its TTL, and the bounds of the margin. It covers the delay
 * between a check of the lease and the action that follows.
 */
const MARGIN_FRACTION = 1 / 15
const MIN_MARGIN_MS = 150
const MAX_MARGIN_MS = 400

/** Worker times in the platform's settings from which the budget is calculated. */
export type WorkerTimes = Pick<WorkerSettings, "leaseS" | "cancellationLimitS">

/**
 * Times of the node lease, and the time within which they end the tasks of a cancelled job. In milliseconds.
 */
export interface CancellationBudget {
  /** Time to live of the node lease in the store. */
  readonly leaseTtlMs: number
  /** Time between the end of an owner's lease validity and the earliest expiry of its node lease. */
  readonly leaseMarginMs: number
  /**
   * Maximum age of the last answered watch request, from when it was sent; an older watch ends the validity.
   */
  readonly watchFreshMs: number
  /** Upper bound of the time from when a cancellation is durable until its tasks are gone. */
  readonly worstCaseMs: number
  /** `cancel_s` of the platform's settings. */
  readonly cancelMs: number
}

const withClockDrift = (ms: number): number => ms * (1 + CLOCK_DRIFT)

const worstCaseMs = ({ leaseS }: WorkerTimes, leaseValidityMs: number): number =>
  withClockDrift(leaseValidityMs) + withClockDrift(leaseS * 1000) + WORKER_REACTION_MS

/** Longest lease validity that `cancel_s` allows; may be negative. */
const allowedLeaseValidityMs = ({ leaseS, cancellationLimitS }: WorkerTimes): number => {
  const leftMs = cancellationLimitS * 1000 - withClockDrift(leaseS * 1000) - WORKER_REACTION_MS
  return Math.floor(leftMs / (1 + CLOCK_DRIFT))
}

/** Longest lease validity that operators may configure. */
export const maxLeaseValidityMs = (times: WorkerTimes): number =>
  Math.max(MIN_LEASE_VALIDITY_MS, allowedLeaseValidityMs(times))

/**
 * Lease validity derived from the platform's settings. If they allow none, the shortest usable one is taken
 * and the service still runs: exceeding `cancel_s` in a rare combination of faults is better than no service.
 */
const derivedLeaseValidityMs = (times: WorkerTimes): number =>
  Math.max(MIN_LEASE_VALIDITY_MS, Math.min(DEFAULT_LEASE_VALIDITY_MS, allowedLeaseValidityMs(times)))

const derivedMarginMs = (leaseTtlMs: number): number =>
  Math.round(Math.max(MIN_MARGIN_MS, Math.min(MAX_MARGIN_MS, leaseTtlMs * MARGIN_FRACTION)))

/** Calculates the times of the node lease and the watch from the platform's and the operators' settings. */
export const cancellationBudget = (times: WorkerTimes, operators: NodeLeaseSettings): CancellationBudget => {
  const watchFreshMs = derivedLeaseValidityMs(times)
  const leaseTtlMs = operators.nodeLeaseTtlMs ?? watchFreshMs
  const leaseMarginMs = operators.nodeLeaseMarginMs ?? derivedMarginMs(leaseTtlMs)
  const leaseValidityMs = Math.max(watchFreshMs, leaseTtlMs - leaseMarginMs)
  return {
    leaseTtlMs,
    leaseMarginMs,
    watchFreshMs,
    worstCaseMs: worstCaseMs(times, leaseValidityMs),
    cancelMs: times.cancellationLimitS * 1000,
  }
}

/**
 * Whether cancelled tasks end within `cancel_s` whatever the store does; false: no node lease is short
 * enough.
 */
export const budgetHolds = (budget: CancellationBudget): boolean => budget.worstCaseMs <= budget.cancelMs

const formatSeconds = (ms: number): string => `${(ms / 1000).toFixed(2)} s`

/** Describes the terms and the sum of the budget, for the log, the `check` command and error messages. */
export const describeBudget = (times: WorkerTimes, budget: CancellationBudget): string => {
  const leaseValidityMs = Math.max(budget.watchFreshMs, budget.leaseTtlMs - budget.leaseMarginMs)
  const relation = budgetHolds(budget) ? "within" : "beyond"
  return (
    `lease validity ${formatSeconds(leaseValidityMs)} + agent lease ${formatSeconds(times.leaseS * 1000)}` +
    ` + clock drift and worker reaction = ${formatSeconds(budget.worstCaseMs)},` +
    ` ${relation} cancel_s = ${formatSeconds(budget.cancelMs)}`
  )
}
