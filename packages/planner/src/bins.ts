/** Free room on machines, as a plan fills it. */
import { type JobSpec, MAX_TASKS_ON_MACHINE, type MachineType, type ZoneName } from "@sorreltally/protocol"
import { type Capacity, EPSILON, type MachineView, slotsIn } from "./model.ts"

export interface Bin {
  readonly machine: MachineView
  readonly reserved: boolean
  free: Capacity
  /** Tasks that may still be placed there, however small they are. */
  tasksLeft: number
}

/**
 * Guards against machines with so many tiny tasks that their reports exceed what a
 * body may hold: such reports are refused, and the lease is lost.
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

/** Machines alike in all that decides whether a job may run there. */
export interface MachineGroup {
  readonly type: MachineType
  readonly zone: ZoneName
  readonly spot: boolean
  /** Those that still have room. */
  slots: Array<Bin>
}

export const byKind = (slots: Iterable<Bin>): Array<MachineGroup> => {
  const kinds = new Map<string, MachineGroup>()
  for (const slot of slots) {
    const { type, zone, spot } = slot.machine
    const name = `${type.name}|${zone}|${spot}`
    const kind = kinds.get(name)
    if (kind === undefined) kinds.set(name, { type, zone, spot, slots: [slot] })
    else kind.slots.push(slot)
  }
  return [...kinds.values()]
}

/** Room that is kept in reserve is of use. */
export const unusedCores = (up: ReadonlyArray<Bin>): number => {
  let cores = 0
  for (const { free, reserved } of up) if (!reserved) cores += free.cores
  return cores
}

/** Nothing runs there, and no queued task is placed or expected there: each of those replaces `free`. */
export const isIdle = ({ machine, free }: Bin): boolean =>
  machine.state === "ready" && machine.busyTasks === 0 && free === machine.free
