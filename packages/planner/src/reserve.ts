/** Capacity kept free beside cached images, for jobs that have to start sooner than a machine boots. */
import { EPSILON } from "./capacity.ts"
import type { Capacity, Images, MachineView, Reserve } from "./input.ts"

/** Whether a machine's free capacity counts towards the reserve. */
export const isReserved = (free: Capacity, images: Images, reserve: Reserve): boolean => {
  if (free.cores <= EPSILON) return false
  for (const image of reserve.images) if (images.has(image)) return true
  return false
}

/** Cores on reserved machines that tasks below the reserve's rank may take; negative: a shortfall. */
export const spareCores = (machines: Iterable<MachineView>, reserve: Reserve): number => {
  let spare = -reserve.cores
  for (const { state, reserved, free } of machines) if (state === "ready" && reserved) spare += free.cores
  return spare
}
