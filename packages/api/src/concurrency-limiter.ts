/** An adaptive limit on users' requests in progress, so that a slow store makes a node refuse, not queue. */
import type { MonotonicTime } from "@sorreltally/protocol"

/** Bounds of the limit, in requests. */
export interface ConcurrencyLimits {
  readonly minLimit: number
  readonly maxLimit: number
}
/** Gives an admitted request's place back, with the time at which it was answered; to be called once. */
export type Release = (end: MonotonicTime) => void

/** How many times their usual duration requests may take before the limit shrinks. */
const TOLERANCE = 2
/** Weight of one request in the usual duration: the last fifty or so count. */
const LONG_TERM_WEIGHT = 0.02
/** Weight of one request in the current duration: the last five or so count. */
const SHORT_TERM_WEIGHT = 0.2
/** The limit is at most halved by one measurement, before smoothing. */
const MIN_GRADIENT = 0.5
/** Weight of a newly computed limit against the former one. */
const LIMIT_WEIGHT = 0.2

const clamp = (value: number, min: number, max: number): number => Math.max(min, Math.min(max, value))

/** Exponentially weighted moving average. */
const movingAverage = (average: number, sample: number, weight: number): number =>
  average + weight * (sample - average)

/**
 * A gradient concurrency limit (as Gradient2 of Netflix's concurrency-limits): two moving averages of how long
 * requests take, one over many and one over few of them, give
 *
 *     gradient = clamp(TOLERANCE × long-term ÷ short-term, 0.5, 1)
 *     target   = limit × gradient + √limit
 *     limit    = clamp(0.8 × limit + 0.2 × target, minLimit, maxLimit)
 *
 * While requests take at most twice their usual time the limit grows by its square root's fifth with each of
 * them; as they take longer it shrinks in proportion. The square root is room to probe: without it the limit
 * could never grow again. Durations that stay long become the usual ones, and the limit recovers.
 */
export class ConcurrencyLimiter {
  private limit: number
  private inProgress = 0
  /** Null until the first request was answered. */
  private longTermMs: number | null = null
  private shortTermMs = 0

  constructor(private readonly limits: ConcurrencyLimits) {
    this.limit = clamp(4 * limits.minLimit, limits.minLimit, limits.maxLimit)
  }

  /** Takes a place for a request that begins now; null: as many as the limit are in progress. */
  tryAcquire(begin: MonotonicTime): Release | null {
    if (this.inProgress >= this.limit) return null
    this.inProgress++
    return (end) => {
      this.inProgress--
      this.record(end - begin)
    }
  }

  /** The limit, in whole requests. */
  get currentLimit(): number {
    return Math.floor(this.limit)
  }

  private record(durationMs: number): void {
    // A clock of ms resolution may measure nothing at all.
    const sampleMs = Math.max(1, durationMs)
    this.longTermMs =
      this.longTermMs === null ? sampleMs : movingAverage(this.longTermMs, sampleMs, LONG_TERM_WEIGHT)
    this.shortTermMs =
      this.shortTermMs === 0 ? sampleMs : movingAverage(this.shortTermMs, sampleMs, SHORT_TERM_WEIGHT)
    const gradient = clamp((TOLERANCE * this.longTermMs) / this.shortTermMs, MIN_GRADIENT, 1)
    const target = this.limit * gradient + Math.sqrt(this.limit)
    const smoothed = (1 - LIMIT_WEIGHT) * this.limit + LIMIT_WEIGHT * target
    this.limit = clamp(smoothed, this.limits.minLimit, this.limits.maxLimit)
  }
}
