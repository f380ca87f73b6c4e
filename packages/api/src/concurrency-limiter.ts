/**
 * Adaptive limit on users' concurrent requests: if the store is slow, a node rejects requests instead of
 * queueing them.
 */
import type { MonotonicTime } from "@sorreltally/protocol"

/** Bounds of the limit, in requests. */
export interface ConcurrencyLimits {
  readonly minLimit: number
  readonly maxLimit: number
}
/** Releases an admitted request's slot when it is answered at `endedAt`; must be called once. */
export type Release = (endedAt: MonotonicTime) => void

/** Multiple of the usual duration that requests may take before the limit is reduced. */
const LATENCY_TOLERANCE = 2
/** Weight of one request in the long-term average: it covers about the last 50 requests. */
const LONG_TERM_WEIGHT = 0.02
/** Weight of one request in the short-term average: it covers about the last 5 requests. */
const SHORT_TERM_WEIGHT = 0.2
/** Lower bound of the gradient: one measurement at most halves the limit, before smoothing. */
const MIN_GRADIENT = 0.5
/** Weight of a newly computed limit relative to the previous one. */
const LIMIT_WEIGHT = 0.2

const clamp = (value: number, min: number, max: number): number => Math.max(min, Math.min(max, value))

/** Exponentially weighted moving average. */
const movingAverage = (average: number, sample: number, weight: number): number =>
  average + weight * (sample - average)

/**
 * A gradient concurrency limit (as Gradient2 of Netflix's concurrency-limits), computed from a long-term and
 * a short-term moving average of request durations:
 *
 *     gradient = clamp(LATENCY_TOLERANCE × long-term ÷ short-term, 0.5, 1)
 *     target   = limit × gradient + √limit
 *     limit    = clamp(0.8 × limit + 0.2 × target, minLimit, maxLimit)
 *
 * While requests take at most twice their usual duration, each one raises the limit by a fifth of its square
 * root; when they take longer, the limit shrinks in proportion. The square root allows for probing: without
 * it the limit could never grow again. If durations stay long, the long-term average follows and the limit
 * recovers.
 */
export class ConcurrencyLimiter {
  private limit: number
  private inProgress = 0
  /** Long-term average; null until the first request is answered. */
  private longTermMs: number | null = null
  private shortTermMs = 0

  constructor(private readonly limits: ConcurrencyLimits) {
    this.limit = clamp(4 * limits.minLimit, limits.minLimit, limits.maxLimit)
  }

  /** Admits a request that starts at `startedAt`; null: the number in progress has reached the limit. */
  tryAcquire(startedAt: MonotonicTime): Release | null {
    if (this.inProgress >= this.limit) return null
    this.inProgress++
    return (endedAt) => {
      this.inProgress--
      this.recordDuration(endedAt - startedAt)
    }
  }

  /** The current limit, rounded down to whole requests. */
  get currentLimit(): number {
    return Math.floor(this.limit)
  }

  private recordDuration(durationMs: number): void {
    // A clock with millisecond resolution may measure 0 ms.
    const sampleMs = Math.max(1, durationMs)
    this.longTermMs =
      this.longTermMs === null ? sampleMs : movingAverage(this.longTermMs, sampleMs, LONG_TERM_WEIGHT)
    this.shortTermMs =
      this.shortTermMs === 0 ? sampleMs : movingAverage(this.shortTermMs, sampleMs, SHORT_TERM_WEIGHT)
    const gradient = clamp((LATENCY_TOLERANCE * this.longTermMs) / this.shortTermMs, MIN_GRADIENT, 1)
    const target = this.limit * gradient + Math.sqrt(this.limit)
    const smoothed = (1 - LIMIT_WEIGHT) * this.limit + LIMIT_WEIGHT * target
    this.limit = clamp(smoothed, this.limits.minLimit, this.limits.maxLimit)
  }
}
