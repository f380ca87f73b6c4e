import type { ImageName } from "@sorreltally/wire"

/** Weight of the newest arrival; about the last twenty count. */
const NEWEST = 0.1
const FIRST_WEIGHT = 3
const RECENT = 20

/**
 * How much room jobs that have to start sooner than a machine boots ask for as
 * they arrive: that much is kept free, so that the next one finds it.
 */
export class Arrivals {
  private mean = 0
  private variance = 0
  private seen = 0

  private readonly recent: Array<ImageName> = []

  learn(cores: number, image: ImageName): void {
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
  reserveCores(): number {
    return this.mean + Math.sqrt(this.variance)
  }
}
