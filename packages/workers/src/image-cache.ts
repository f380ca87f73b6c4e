/** A model of a machine's image cache: an estimate for the planner, never a proof that an image is there. */
import type { ImageName } from "@sorreltally/protocol"

/** The images that a machine probably has: the most recently used ones that fit its cache. */
export class ImageCache {
  /** Sizes in GB, least recently used first. */
  private readonly images = new Map<ImageName, number>()
  private usedGb = 0

  constructor(private readonly capacityGb: number) {}

  /** Sizes in GB by image, least recently used first. */
  get sizes(): ReadonlyMap<ImageName, number> {
    return this.images
  }
  /** A task that needs the image runs; the oldest images make room for it. */
  use(image: ImageName, gb: number): void {
    if (this.images.delete(image)) this.usedGb -= gb
    this.images.set(image, gb)
    this.usedGb += gb
    for (const [oldest, size] of this.images) {
      if (this.usedGb <= this.capacityGb) break
      this.images.delete(oldest)
      this.usedGb -= size
    }
  }
  /** The worker began a session: what its machine holds is unknown. */
  clear(): void {
    this.images.clear()
    this.usedGb = 0
  }
}
