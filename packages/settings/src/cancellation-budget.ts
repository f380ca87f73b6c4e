/**
 * The time budget of a cancellation, from which the times of the node lease are derived.
 *
 * A confirmed cancellation is durable in the store. From then on its tasks have to be gone within `cancel_s`,
 * even when the owner of the job isn't notified, because the store refuses the owner alone, or because it is
 * out for everybody right after. Nothing but time ends such tasks then:
 *
 *     lease validity × (1 + drift)  +  lease_s × (1 + drift)  +  worker's reaction  ≤  cancel_s
 *
 * - *Lease validity*: for how long the owner may go on answering heartbeats. It needs both its node lease and
 *   a fresh watch, and both count from the moment at which the request was *sent*: a response that lacks the
 *   cancellation was asked for before the cancellation was durable. The two bounds run side by side, so the
 *   larger one counts, not their sum. An outage that gives every node lease its full time again doesn't extend
 *   the validity: only the owner's own successful keep-alive does.
 * - *Worker's lease*: a worker counts its lease from the *sending* of the last heartbeat that was answered. The
 *   owner checks that its lease is valid when it makes the response, by which time it has received the
 *   heartbeat; so the heartbeat was sent before the validity ended. A response that is deferred, forwarded, or
 *   in transit for up to 4 s renews no more than one that arrives at once. It adds nothing.
 * - *Drift*: the owner's clock and the worker's may both run slow.
 * - A node lease that expires late delays the next owner, not the end of the former one's validity: it adds
 *   nothing either.
 */
import type { NodeLeaseSettings } from "./operators.ts"
import type { WorkerSettings } from "./platform.ts"

/** Monotonic clocks of two machines drift apart by at most this fraction. */
export const CLOCK_DRIFT = 0.0005
/** A worker may take this long to end its tasks once its lease has expired; timers fire late by some ms. */
const WORKER_REACTION_MS = 250

/** Used where `cancel_s` leaves room for it: long enough for hiccups, short enough for a quick failover. */
const USUAL_LEASE_VALIDITY_MS = 6_000
/**
 * Below this a controller loses its node lease in ordinary operation: keep-alives take up to some 100 ms, and
 * a busy process is late by as much.
 */
const MIN_LEASE_VALIDITY_MS = 1_500

/** The node lease's margin as a fraction of its ttl, and its bounds: a process may act that late on a check. */
const MARGIN_FRACTION = 1 / 15
const MIN_MARGIN_MS = 150
const MAX_MARGIN_MS = 400

/** What the budget needs of the platform's settings for workers. */
export type WorkerTimes = Pick<WorkerSettings, "leaseS" | "cancellationLimitS">

/** The node lease's times, and how soon they end the tasks of a cancelled job. All in milliseconds. */
export interface CancellationBudget {
  /** Time to live of the node lease in the store. */
  readonly leaseTtlMs: number
  /** An owner's lease validity ends this long before its node lease may expire. */
  readonly leaseMarginMs: number
  /** An owner whose last answered watch request was sent longer ago than this stops acting. */
  readonly watchFreshMs: number
  /** By when a cancelled task is surely gone, counted from when the cancellation was durable. */
  readonly worstCaseMs: number
  /** The platform's `cancel_s`. */
  readonly cancelMs: number
}

const longestOnAnyClock = (ms: number): number => ms * (1 + CLOCK_DRIFT)

const worstCaseMs = ({ leaseS }: WorkerTimes, leaseValidityMs: number): number =>
  longestOnAnyClock(leaseValidityMs) + longestOnAnyClock(leaseS * 1000) + WORKER_REACTION_MS

/** The longest lease validity that `cancel_s` allows; may be negative. */
const longestLeaseValidityMs = ({ leaseS, cancellationLimitS }: WorkerTimes): number => {
  const leftMs = cancellationLimitS * 1000 - longestOnAnyClock(leaseS * 1000) - WORKER_REACTION_MS
  return Math.floor(leftMs / (1 + CLOCK_DRIFT))
}

/** The longest lease validity that operators may ask for. */
export const maxLeaseValidityMs = (times: WorkerTimes): number =>
  Math.max(MIN_LEASE_VALIDITY_MS, longestLeaseValidityMs(times))

/**
 * The shortest usable validity stands in where the platform's settings allow none: the service runs then too,
 * since a broken rule in a rare combination of faults is better than no service at all.
 */
const derivedLeaseValidityMs = (times: WorkerTimes): number =>
  Math.max(MIN_LEASE_VALIDITY_MS, Math.min(USUAL_LEASE_VALIDITY_MS, longestLeaseValidityMs(times)))

const derivedMarginMs = (leaseTtlMs: number): number =>
  Math.round(Math.max(MIN_MARGIN_MS, Math.min(MAX_MARGIN_MS, leaseTtlMs * MARGIN_FRACTION)))

/** The node lease's times and the watch's, from the platform's settings and those of the operators. */
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

/** Whether cancelled tasks are gone in time whatever the store does; false: `cancel_s` allows no node lease. */
export const budgetHolds = (budget: CancellationBudget): boolean => budget.worstCaseMs <= budget.cancelMs

const seconds = (ms: number): string => `${(ms / 1000).toFixed(2)} s`

/** The sum in words, for the log, for `check` and for errors. */
export const describeBudget = (times: WorkerTimes, budget: CancellationBudget): string => {
  const leaseValidityMs = Math.max(budget.watchFreshMs, budget.leaseTtlMs - budget.leaseMarginMs)
  const relation = budgetHolds(budget) ? "within" : "beyond"
  return (
    `entitlement ${seconds(leaseValidityMs)} + lease ${seconds(times.leaseS * 1000)}` +
    ` + drift and reaction of workers = ${seconds(budget.worstCaseMs)},` +
    ` ${relation} cancel_s ${seconds(budget.cancelMs)}`
  )
}
