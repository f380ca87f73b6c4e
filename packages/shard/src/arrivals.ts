import { type ImageName, type MonotonicTime, NEVER } from "@sorreltally/protocol"

/** Weight of the newest arrival; about the last twenty count. */
const NEWEST = 0.1
const FIRST_WEIGHT = 3
const RECENT = 20
/** Usual gaps between arrivals after which no more are expected. */
const OVERDUE = 4

/**
 * How much room jobs that have to start sooner than a machine boots ask for as
 * they arrive: that much is kept free, so that the next one finds it.
 */
export class Arrivals {
  private mean = 0
  private variance = 0
  private seen = 0
  private gapMs = 0
  private lastAt = NEVER

  private readonly recent: Array<ImageName> = []

  learn(cores: number, image: ImageName, now: MonotonicTime): void {
    if (this.seen > 0) this.gapMs += Math.max(NEWEST, 1 / (this.seen + 1)) * (now - this.lastAt - this.gapMs)
    this.lastAt = now
    this.recent.push(image)
    if (this.recent.length > RECENT) this.recent.shift()
    const weight = Math.max(NEWEST, 1 / (this.seen + FIRST_WEIGHT))
    const off = cores - this.mean
    this.mean += weight * off
    this.variance = (1 - weight) * (this.variance + weight * off * off)
    this.seen++
  }
  images(): ReadonlySet<ImageName> {
    return new Set(this.recent)
  }
  /** One arrival of more than usual size. */
  reserveCores(now: MonotonicTime): number {
    // Once they stop coming, there is nothing to keep room for.
    const overdue = (now - this.lastAt) / Math.max(1, this.gapMs)
    return overdue > OVERDUE ? 0 : this.mean + Math.sqrt(this.variance)
  }
}
