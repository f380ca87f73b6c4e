import type { MonotonicTime } from "@sorreltally/protocol"

export interface LimiterSettings {
  readonly least: number
  readonly most: number
}

/** How much slower than usual answers may get before the limit shrinks. */
const TOLERANCE = 2
const LONG_WEIGHT = 0.02
const SHORT_WEIGHT = 0.2

/**
 * A limit on requests in progress that follows measured times: while answers
 * take about as long as they usually do it grows, and as they take longer, it
 * shrinks in proportion.
 */
export class Limiter {
  private limit: number
  private inProgress = 0
  private longMs: number | null = null
  private shortMs = 0

  constructor(private readonly settings: LimiterSettings) {
    this.limit = Math.max(settings.least, Math.min(settings.most, 4 * settings.least))
  }

  /** Null: too much in progress. Otherwise call what it returns when the answer is ready. */
  enter(now: MonotonicTime): ((end: MonotonicTime) => void) | null {
    if (this.inProgress >= this.limit) return null
    this.inProgress++
    return (end) => {
      this.inProgress--
      this.measure(end - now)
    }
  }
  get current(): number {
    return Math.floor(this.limit)
  }

  private measure(ms: number): void {
    const took = Math.max(1, ms)
    this.longMs = this.longMs === null ? took : this.longMs + LONG_WEIGHT * (took - this.longMs)
    this.shortMs = this.shortMs === 0 ? took : this.shortMs + SHORT_WEIGHT * (took - this.shortMs)
    const gradient = Math.max(0.5, Math.min(1, (TOLERANCE * this.longMs) / this.shortMs))
    // Room to probe: without the second term the limit could never grow again.
    const next = this.limit * gradient + Math.sqrt(this.limit)
    this.limit = Math.max(this.settings.least, Math.min(this.settings.most, 0.8 * this.limit + 0.2 * next))
  }
}
