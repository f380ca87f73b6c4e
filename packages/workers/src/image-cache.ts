import type { ImageName } from "@sorreltally/protocol"

/** The images that a machine probably has: the most recently used ones that fit its cache. */
export class ImageCache {
  /** With their sizes, least recently used first. */
  private readonly images = new Map<ImageName, number>()
  private usedGb = 0

  constructor(private readonly capacityGb: number) {}

  get sizes(): ReadonlyMap<ImageName, number> {
    return this.images
  }
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
  clear(): void {
    this.images.clear()
    this.usedGb = 0
  }
}
