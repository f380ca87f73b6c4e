/** Arithmetic on capacities: whether a task fits, and how many do. */
import type { Capacity, TaskShape } from "./input.ts"

/** Tolerance in comparisons of capacities, as sums of fractional cores are inexact. */
export const EPSILON = 1e-6

/** Capacity that one task takes. */
type TaskSize = Pick<TaskShape, keyof Capacity>

/** Whether one task of that size fits. */
export const fits = (size: TaskSize, capacity: Capacity): boolean =>
  size.cores <= capacity.cores + EPSILON &&
  size.accelerators <= capacity.accelerators + EPSILON &&
  size.memGb <= capacity.memGb + EPSILON

/** Capacity left after subtracting `tasks` tasks; a negative number adds their capacity back. */
export const subtractTasks = (capacity: Capacity, size: TaskSize, tasks = 1): Capacity => ({
  cores: capacity.cores - size.cores * tasks,
  accelerators: capacity.accelerators - size.accelerators * tasks,
  memGb: capacity.memGb - size.memGb * tasks,
})

/** Number of tasks of that size that a capacity holds (the paper's `resources`), at least 0. */
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
