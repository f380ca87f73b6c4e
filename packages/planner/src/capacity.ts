/** Arithmetic of capacities: what fits where, and how often. */
import type { Capacity, TaskShape } from "./input.ts"

/** Fractions of a core add up inexactly: differences below this are none. */
export const EPSILON = 1e-6

/** What one task takes of a machine. */
type TaskSize = Pick<TaskShape, keyof Capacity>

/** Does one task of that size fit? */
export const fits = (size: TaskSize, capacity: Capacity): boolean =>
  size.cores <= capacity.cores + EPSILON &&
  size.accelerators <= capacity.accelerators + EPSILON &&
  size.memGb <= capacity.memGb + EPSILON

/** What a number of tasks leaves; a negative number gives their capacity back. */
export const subtractTasks = (capacity: Capacity, size: TaskSize, tasks = 1): Capacity => ({
  cores: capacity.cores - size.cores * tasks,
  accelerators: capacity.accelerators - size.accelerators * tasks,
  memGb: capacity.memGb - size.memGb * tasks,
})

/** The paper's resources: how many tasks of that size a capacity holds, never below 0. */
export const slotsIn = (size: TaskSize, capacity: Capacity): number => {
  const slotsFor = (demand: number, available: number) =>
    demand <= 0 ? Number.POSITIVE_INFINITY : (available + EPSILON) / demand
  const slots = Math.min(
    slotsFor(size.cores, capacity.cores),
    slotsFor(size.accelerators, capacity.accelerators),
    slotsFor(size.memGb, capacity.memGb),
  )
  return Math.max(0, Math.floor(slots))
}
