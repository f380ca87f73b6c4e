/**
 * Estimates how much capacity to keep free for jobs that have to start sooner than a machine boots, from
 * those that arrived before. Keeps running means only, and reads no clock itself.
 */
import { EARLIEST_TIME, type ImageName, type MonotonicTime } from "@sorreltally/protocol"

/** Minimum weight of the newest arrival in the running means, which cover about the last twenty. */
const MIN_SAMPLE_WEIGHT = 0.1
/** The first arrival has a weight of one in this many, as if earlier arrivals had requested no cores. */
const FIRST_WEIGHT_DIVISOR = 3
/** Number of latest arrivals whose images are kept. */
const MAX_RECENT_IMAGES = 20
/** Multiple of the mean gap between arrivals after which no more are expected. */
const MAX_MEAN_GAPS = 4

/** Arrivals of such jobs at one shard: mean and variance of their cores, mean gap, and latest images. */
export class Arrivals {
  private meanCores = 0
  private variance = 0
  private sampleCount = 0
  private meanGapMs = 0
  private lastArrivalAt = EARLIEST_TIME
  private readonly recentImages: Array<ImageName> = []

  /** Records the arrival of a job that requests `cores` cores in total. */
  record(cores: number, image: ImageName, now: MonotonicTime): void {
    if (this.sampleCount > 0)
      this.meanGapMs +=
        Math.max(MIN_SAMPLE_WEIGHT, 1 / (this.sampleCount + 1)) * (now - this.lastArrivalAt - this.meanGapMs)
    this.lastArrivalAt = now
    this.recentImages.push(image)
    if (this.recentImages.length > MAX_RECENT_IMAGES) this.recentImages.shift()
    const weight = Math.max(MIN_SAMPLE_WEIGHT, 1 / (this.sampleCount + FIRST_WEIGHT_DIVISOR))
    const deviation = cores - this.meanCores
    this.meanCores += weight * deviation
    this.variance = (1 - weight) * (this.variance + weight * deviation * deviation)
    this.sampleCount++
  }

  /** Images of the latest arrivals. */
  images(): ReadonlySet<ImageName> {
    return new Set(this.recentImages)
  }

  /** Cores to keep free: one arrival of a standard deviation above the mean; 0 once arrivals have stopped. */
  reserveCores(now: MonotonicTime): number {
    const elapsedGaps = (now - this.lastArrivalAt) / Math.max(1, this.meanGapMs)
    return elapsedGaps > MAX_MEAN_GAPS ? 0 : this.meanCores + Math.sqrt(this.variance)
  }
}
