/**
 * How much capacity is kept free for jobs that have to start sooner than a machine boots, learned
 * from those that came. It keeps sums only, and reads no clock itself.
 */
import { EARLIEST_TIME, type ImageName, type MonotonicTime } from "@sorreltally/protocol"

/** Weight of the newest arrival in the running means; about the last twenty count. */
const NEWEST_WEIGHT = 0.1
/** The first arrival counts as if so many had come before it, of no size. */
const FIRST_WEIGHT = 3
/** Arrivals whose images are remembered. */
const MAX_RECENT_IMAGES = 20
/** Usual gaps between arrivals after which no more are expected. */
const MAX_USUAL_GAPS = 4

/** Arrivals of such jobs at one shard: size, spread of sizes, gaps and images. */
export class Arrivals {
  private meanCores = 0
  private variance = 0
  private seen = 0
  private gapMs = 0
  private lastAt = EARLIEST_TIME
  private readonly recentImages: Array<ImageName> = []

  /** A job came that asks for so many cores. */
  learn(cores: number, image: ImageName, now: MonotonicTime): void {
    if (this.seen > 0)
      this.gapMs += Math.max(NEWEST_WEIGHT, 1 / (this.seen + 1)) * (now - this.lastAt - this.gapMs)
    this.lastAt = now
    this.recentImages.push(image)
    if (this.recentImages.length > MAX_RECENT_IMAGES) this.recentImages.shift()
    const weight = Math.max(NEWEST_WEIGHT, 1 / (this.seen + FIRST_WEIGHT))
    const deviation = cores - this.meanCores
    this.meanCores += weight * deviation
    this.variance = (1 - weight) * (this.variance + weight * deviation * deviation)
    this.seen++
  }

  /** Images of the last arrivals. */
  images(): ReadonlySet<ImageName> {
    return new Set(this.recentImages)
  }

  /** Cores for one arrival of more than usual size; 0 once they stop coming. */
  reserveCores(now: MonotonicTime): number {
    const usualGaps = (now - this.lastAt) / Math.max(1, this.gapMs)
    return usualGaps > MAX_USUAL_GAPS ? 0 : this.meanCores + Math.sqrt(this.variance)
  }
}
