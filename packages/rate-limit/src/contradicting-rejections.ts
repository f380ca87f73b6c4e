/**
 * Detects that a service enforces a lower rate limit than its clients assume. A single rejection proves
 * nothing: a short burst exceeds any limit, and what other nodes report lags behind.
 */
import { addMs, EARLIEST_TIME, type MonotonicTime } from "@sorreltally/protocol"

/** A rejection contradicts the assumed limit while all nodes use less than this fraction of it. */
const MAX_LOAD = 0.75
/** Rejections that contradict the limit prove that it is lower after this time, and this number of them. */
const MIN_DURATION_MS = 5_000
const MIN_REJECTIONS = 8
/** A series of rejections ends with a pause of this length. */
const MAX_PAUSE_MS = 3_000

/** A series of rejections, each of which contradicts the assumed limit. */
export class ContradictingRejections {
  private startedAt: MonotonicTime = EARLIEST_TIME
  private lastAt: MonotonicTime = EARLIEST_TIME
  private count = 0

  /**
   * Records a rejection and the load at that time, as a fraction of the assumed limit. Returns whether the
   * series proves that the limit is lower; another proof then takes another series.
   */
  record(now: MonotonicTime, load: number): boolean {
    if (load >= MAX_LOAD) {
      this.count = 0
      return false
    }
    if (this.count === 0 || now > addMs(this.lastAt, MAX_PAUSE_MS)) {
      this.startedAt = now
      this.count = 0
    }
    this.lastAt = now
    this.count++
    if (this.count < MIN_REJECTIONS || now < addMs(this.startedAt, MIN_DURATION_MS)) return false
    this.count = 0
    return true
  }
}
