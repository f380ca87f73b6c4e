/** Model of a machine's image cache: an estimate for the planner, not a proof that an image is cached. */
import type { ImageName } from "@sorreltally/protocol"

/** The images that a machine probably has: the most recently used ones that fit its cache. */
export class ImageCache {
  /** Sizes in GB, least recently used first. */
  private readonly images = new Map<ImageName, number>()
  private usedGb = 0

  constructor(private readonly capacityGb: number) {}

  /** Sizes in GB by image, least recently used first. */
  get sizesGb(): ReadonlyMap<ImageName, number> {
    return this.images
  }
  /** Records that a task with this image runs; evicts the least recently used images beyond the capacity. */
  recordUse(image: ImageName, sizeGb: number): void {
    if (this.images.delete(image)) this.usedGb -= sizeGb
    this.images.set(image, sizeGb)
    this.usedGb += sizeGb
    for (const [oldest, oldestSizeGb] of this.images) {
      if (this.usedGb <= this.capacityGb) break
      this.images.delete(oldest)
      this.usedGb -= oldestSizeGb
    }
  }
  /** Empties the model: after the start of a worker's session the content of its cache is unknown. */
  clear(): void {
    this.images.clear()
    this.usedGb = 0
  }
}
