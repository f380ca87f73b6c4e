/** Free room on machines, as a plan fills it. */
import type { MachineType, ZoneName } from "@sorreltally/wire"
import type { MachineView, Room } from "./model.ts"

export interface Slot {
  readonly machine: MachineView
  readonly reserved: boolean
  free: Room
}

/** Machines alike in all that decides whether a job may run there. */
export interface Kind {
  readonly type: MachineType
  readonly zone: ZoneName
  readonly spot: boolean
  /** Those that still have room. */
  slots: Array<Slot>
}

export const byKind = (slots: Iterable<Slot>): Array<Kind> => {
  const kinds = new Map<string, Kind>()
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
export const unusedCores = (up: ReadonlyArray<Slot>): number => {
  let cores = 0
  for (const { free, reserved } of up) if (!reserved) cores += free.cores
  return cores
}

/** Nothing runs there, and no queued task is placed or expected there: each of those replaces `free`. */
export const isIdle = ({ machine, free }: Slot): boolean =>
  machine.state === "up" && machine.busyTasks === 0 && free === machine.free
