/** Machines as bins that one plan fills: what each still holds once earlier decisions of the plan are counted. */
import { type JobSpec, MAX_TASKS_ON_MACHINE } from "@sorreltally/protocol"
import { EPSILON, slotsIn, subtractTasks } from "./capacity.ts"
import { type MachineKindKey, machineKindKey } from "./eligibility.ts"
import type { Capacity, MachineKind, MachineView } from "./input.ts"

/** One machine, as the plan fills it. */
export interface Bin {
  readonly machine: MachineView
  readonly reserved: boolean
  free: Capacity
  /** Tasks that may still be placed there, however small they are. */
  tasksLeft: number
}

/**
 * Guards against machines with so many tiny tasks that their heartbeats exceed what a
 * body may hold: such heartbeats are refused, and the lease is lost.
 */
export const binOf = (machine: MachineView): Bin => ({
  machine,
  reserved: machine.reserved,
  free: machine.free,
  tasksLeft: MAX_TASKS_ON_MACHINE - machine.busyTasks,
})

/** Can anything more be placed there? */
export const hasCapacity = ({ free, tasksLeft }: Bin): boolean => free.cores > EPSILON && tasksLeft > 0

/** How many tasks of a job can still be placed there. */
export const tasksFitting = (spec: JobSpec, { free, tasksLeft }: Bin): number =>
  Math.min(slotsIn(spec, free), Math.max(0, tasksLeft))

/** Takes capacity for that many tasks of a job. */
export const takeCapacity = (bin: Bin, spec: JobSpec, tasks: number): void => {
  bin.free = subtractTasks(bin.free, spec, tasks)
  bin.tasksLeft -= tasks
}

/** Machines alike in all that decides whether a job may run there, so that this is judged once for all of them. */
export interface MachineGroup extends MachineKind {
  /** Those that still have capacity. */
  bins: Array<Bin>
}

/** Groups in the order of their first machines. */
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

/** Free cores that no decision of the plan counts on; those of the reserve are of use, and left out. */
export const unusedCores = (ready: ReadonlyArray<Bin>): number => {
  let cores = 0
  for (const { free, reserved } of ready) if (!reserved) cores += free.cores
  return cores
}

/** Nothing runs there, and no queued task is placed or expected there: each of those replaces `free`. */
export const isIdle = ({ machine, free }: Bin): boolean =>
  machine.state === "ready" && machine.busyTasks === 0 && free === machine.free
