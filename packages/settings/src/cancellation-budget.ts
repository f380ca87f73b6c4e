import type { WorkerSettings } from "./platform.ts"

/**
 * The time budget of a cancellation.
 *
 * A confirmed cancellation is durable in the state service. From then on its
 * tasks have to be gone within `cancel_s`, even when the owner of the job hears
 * nothing of it, because the state service refuses the owner alone, or because
 * it is out for everybody right after. Nothing but time ends such tasks then:
 *
 *     entitlement × (1 + drift)  +  lease_s × (1 + drift)  +  worker's reaction  ≤  cancel_s
 *
 * - *Entitlement*: for how long the owner may go on answering reports. It needs
 *   both its grant and a fresh watch, and both are reckoned from the moment at
 *   which the request was *sent*: an answer that lacks the cancellation was
 *   asked for before the cancellation was durable. The two bounds run side by
 *   side, so the larger one counts, not their sum. An outage that gives every
 *   grant its full time again doesn't extend the entitlement: only the owner's
 *   own successful touch does.
 * - *Lease*: a worker counts its lease from the *sending* of the last report
 *   that was answered. The owner checks its entitlement when it makes the
 *   answer, by which time it has received the report; so the report was sent
 *   before the entitlement ended. An answer that is held back, relayed, or under way
 *   for up to 4 s renews no more than one that arrives at once. It adds nothing.
 * - *Drift*: the owner's clock and the worker's may both run slow.
 * - A grant that ends late delays the next owner, not the end of the former
 *   one's entitlement: it adds nothing either.
 */

/** Steady clocks of two machines drift apart by at most this share. */
export const CLOCK_DRIFT = 0.0005
/** A worker may take this long to end its tasks once its lease is over; timers fire late by some ms. */
const WORKER_REACTION_MS = 250

/** Used where `cancel_s` leaves room for it: long enough for hiccups, short enough for a quick take-over. */
const USUAL_ENTITLEMENT_MS = 6_000
/**
 * Below this a controller loses its grant in ordinary operation: touches take
 * up to some 100 ms, and a busy process is late by as much.
 */
const LEAST_ENTITLEMENT_MS = 1_500

/** The grant's margin as a share of its ttl, and its least: a process may be that late with what it checked. */
const MARGIN_SHARE = 1 / 15
const LEAST_MARGIN_MS = 150
const MOST_MARGIN_MS = 400

/** What the platform's settings say of workers. */
export type WorkerTimes = Pick<WorkerSettings, "leaseS" | "cancellationLimitS">

/** What operators set themselves; null: derived. */
export interface NodeLeaseSettings {
  readonly "grant-ttl-ms": number | null
  readonly "grant-margin-ms": number | null
}

export interface CancellationBudget {
  readonly leaseTtlMs: number
  /** An owner's entitlement ends this long before its grant may. */
  readonly leaseMarginMs: number
  /** An owner whose last answered watch was sent longer ago than this stops acting. */
  readonly watchFreshMs: number
  /** By when a cancelled task is surely gone, after the cancellation was durable. */
  readonly worstCaseMs: number
  readonly cancelMs: number
}

const longestOnAnyClock = (ms: number): number => ms * (1 + CLOCK_DRIFT)

const worstCaseMs = ({ leaseS }: WorkerTimes, entitlementMs: number): number =>
  longestOnAnyClock(entitlementMs) + longestOnAnyClock(leaseS * 1000) + WORKER_REACTION_MS

/** The longest entitlement that `cancel_s` allows; may be negative. */
const longestEntitlementMs = ({ leaseS, cancellationLimitS: cancelS }: WorkerTimes): number => {
  const leftMs = cancelS * 1000 - longestOnAnyClock(leaseS * 1000) - WORKER_REACTION_MS
  return Math.floor(leftMs / (1 + CLOCK_DRIFT))
}

/**
 * The shortest workable entitlement stands in for settings of the platform that
 * none can serve: the service runs then too, since a broken rule in a rare meeting
 * of troubles is better than no service at all.
 */
const derivedEntitlementMs = (times: WorkerTimes): number =>
  Math.max(LEAST_ENTITLEMENT_MS, Math.min(USUAL_ENTITLEMENT_MS, longestEntitlementMs(times)))

const derivedMarginMs = (leaseTtlMs: number): number =>
  Math.round(Math.max(LEAST_MARGIN_MS, Math.min(MOST_MARGIN_MS, leaseTtlMs * MARGIN_SHARE)))

/** The grant's times and the watch's, as derived from the platform's settings and those of operators. */
export const cancellationBudget = (times: WorkerTimes, operators: NodeLeaseSettings): CancellationBudget => {
  const watchFreshMs = derivedEntitlementMs(times)
  const leaseTtlMs = operators["grant-ttl-ms"] ?? watchFreshMs
  const leaseMarginMs = operators["grant-margin-ms"] ?? derivedMarginMs(leaseTtlMs)
  const entitlementMs = Math.max(watchFreshMs, leaseTtlMs - leaseMarginMs)
  return {
    leaseTtlMs,
    leaseMarginMs,
    watchFreshMs,
    worstCaseMs: worstCaseMs(times, entitlementMs),
    cancelMs: times.cancellationLimitS * 1000,
  }
}

/** Does the sum hold, or are the platform's settings beyond any grant's reach? */
export const budgetHolds = (budget: CancellationBudget): boolean => budget.worstCaseMs <= budget.cancelMs

const seconds = (ms: number): string => `${(ms / 1000).toFixed(2)} s`

/** The sum in words, for the log and for complaints. */
export const budgetInWords = (times: WorkerTimes, budget: CancellationBudget): string => {
  const entitlementMs = Math.max(budget.watchFreshMs, budget.leaseTtlMs - budget.leaseMarginMs)
  const relation = budgetHolds(budget) ? "within" : "beyond"
  return (
    `entitlement ${seconds(entitlementMs)} + lease ${seconds(times.leaseS * 1000)}` +
    ` + drift and reaction of workers = ${seconds(budget.worstCaseMs)},` +
    ` ${relation} cancel_s ${seconds(budget.cancelMs)}`
  )
}

/** Why the operators' settings can't be used with the platform's; null: they can. */
export const leaseSettingsError = (times: WorkerTimes, operators: NodeLeaseSettings): string | null => {
  const budget = cancellationBudget(times, operators)
  if (2 * budget.leaseMarginMs > budget.leaseTtlMs)
    return (
      `membership grant-margin-ms: a margin of ${budget.leaseMarginMs} ms leaves too little` +
      ` of a grant of ${budget.leaseTtlMs} ms; it has to be at most half of it`
    )
  const entitlementMs = budget.leaseTtlMs - budget.leaseMarginMs
  const mostMs = Math.max(LEAST_ENTITLEMENT_MS, longestEntitlementMs(times))
  if (operators["grant-ttl-ms"] === null || entitlementMs <= mostMs) return null
  return (
    `membership grant-ttl-ms: ${budget.leaseTtlMs} ms are too long for facts.workers.cancel_s:` +
    ` ${budgetInWords(times, budget)}; at most ${mostMs + budget.leaseMarginMs} ms, or leave it out`
  )
}
