/** Machines as bins of one plan: the capacity that the plan's decisions so far leave on each. */
import { type JobSpec, MAX_TASKS_ON_MACHINE } from "@sorreltally/protocol"
import { EPSILON, slotsIn, subtractTasks } from "./capacity.ts"
import { type MachineKindKey, machineKindKey } from "./eligibility.ts"
import type { Capacity, MachineKind, MachineView } from "./input.ts"

/** One machine and the capacity that the plan may still use on it. */
export interface Bin {
  readonly machine: MachineView
  readonly reserved: boolean
  free: Capacity
  /** Number of tasks that may still be placed there, regardless of their size. */
  tasksLeft: number
}

/**
 * Creates the bin of a machine. Its task limit guards against machines with so many small tasks that their
 * heartbeats exceed the maximum body size: such heartbeats are rejected, and the machine loses its agent
 * lease.
 */
export const binOf = (machine: MachineView): Bin => ({
  machine,
  reserved: machine.reserved,
  free: machine.free,
  tasksLeft: MAX_TASKS_ON_MACHINE - machine.busyTasks,
})

/** Whether another task can be placed on the bin, if it is small enough. */
export const hasCapacity = ({ free, tasksLeft }: Bin): boolean => free.cores > EPSILON && tasksLeft > 0

/** Number of tasks of a job that can still be placed on the bin. */
export const tasksFitting = (spec: JobSpec, { free, tasksLeft }: Bin): number =>
  Math.min(slotsIn(spec, free), Math.max(0, tasksLeft))

/** Subtracts the capacity of `tasks` tasks of a job from the bin. */
export const takeCapacity = (bin: Bin, spec: JobSpec, tasks: number): void => {
  bin.free = subtractTasks(bin.free, spec, tasks)
  bin.tasksLeft -= tasks
}

/** Machines of one type, zone and market (spot or on-demand), whose eligibility is checked once for all. */
export interface MachineGroup extends MachineKind {
  /** The machines that still have capacity. */
  bins: Array<Bin>
}

/** Groups bins by kind of machine, in the order of the first bin of each kind. */
export const groupByKind = (bins: Iterable<Bin>): Array<MachineGroup> => {
  const groups = new Map<MachineKindKey, MachineGroup>()
  for (const bin of bins) {
    const { type, zone, spot } = bin.machine
    const key = machineKindKey(bin.machine)
    const group = groups.get(key)
    if (group === undefined) groups.set(key, { type, zone, spot, bins: [bin] })
    else group.bins.push(bin)
  }
  return [...groups.values()]
}

/** Free cores that no decision of the plan uses. Reserved machines are left out: the reserve needs them. */
export const unusedCores = (ready: ReadonlyArray<Bin>): number => {
  let cores = 0
  for (const { free, reserved } of ready) if (!reserved) cores += free.cores
  return cores
}

/**
 * Whether the machine runs no task and the plan uses none of its capacity. A placed or expected task replaces
 * the object in `free`, so comparing identities is enough.
 */
export const isIdle = ({ machine, free }: Bin): boolean =>
  machine.state === "ready" && machine.busyTasks === 0 && free === machine.free
