/** Which running tasks are preempted for work of higher rank. It chooses; stopping them is the caller's. */
import type { MachineId } from "@sorreltally/protocol"
import { fits, slotsIn, subtractTasks } from "./capacity.ts"
import { isEligible } from "./eligibility.ts"
import type { Capacity, MachineView, TaskShape } from "./input.ts"

/** About what an image fetch takes, in seconds. */
const IMAGE_FETCH_S = 8

/** A running task that could be preempted; `T` is the caller's record of it. */
export interface Victim<T> {
  readonly placement: T
  readonly machine: MachineId
  readonly shape: TaskShape
  readonly rank: number
  /** Core-seconds lost by stopping it: what it ran since its last checkpoint. */
  readonly lossCoreS: number
  /** Seconds that its checkpoint takes before its capacity is free; 0: it can't save, and frees it at once. */
  readonly checkpointSaveS: number
}

/** What victims are chosen for, and among which. */
export interface PreemptionRequest<T> {
  readonly shape: TaskShape
  /** Only tasks of lower rank are chosen. */
  readonly rank: number
  /** So many tasks of that shape are to fit. */
  readonly tasks: number
  readonly machines: ReadonlyArray<MachineView>
  /** Those on a machine, least loss a core first. */
  readonly victimsOn: (machine: MachineId) => ReadonlyArray<Victim<T>>
  /** Only machines that end up empty count, since only those can be lent. */
  readonly wholeMachines: boolean
}

/** Victims on one machine that are chosen together, or not at all. */
interface PreemptionOption<T> {
  readonly victims: ReadonlyArray<Victim<T>>
  /** Slots for the shape that they free. */
  readonly slots: number
  /** Core-seconds. */
  readonly loss: number
}

const totalLoss = <T>(victims: ReadonlyArray<Victim<T>>): number =>
  victims.reduce((sum, { lossCoreS }) => sum + lossCoreS, 0)

/** One more victim at a time, as an option of its own for each time that slots are added. */
const incrementalOptions = <T>(
  shape: TaskShape,
  free: Capacity,
  victims: ReadonlyArray<Victim<T>>,
): ReadonlyArray<PreemptionOption<T>> => {
  const options: Array<PreemptionOption<T>> = []
  let capacity = free
  let pending: Array<Victim<T>> = []
  for (const victim of victims) {
    const before = slotsIn(shape, capacity)
    capacity = subtractTasks(capacity, victim.shape, -1)
    pending.push(victim)
    const slots = slotsIn(shape, capacity) - before
    if (slots > 0 && fits(shape, capacity)) {
      options.push({ victims: pending, slots, loss: totalLoss(pending) })
      pending = []
    }
  }
  return options
}

const optionsOn = <T>(
  machine: MachineView,
  request: PreemptionRequest<T>,
): ReadonlyArray<PreemptionOption<T>> => {
  const { shape, rank, victimsOn, wholeMachines } = request
  if (machine.state !== "ready" || !isEligible(shape, machine)) return []
  const victims = victimsOn(machine.id).filter((victim) => victim.rank < rank)
  if (victims.length === 0 || (wholeMachines && victims.length < machine.busyTasks)) return []
  const options = wholeMachines
    ? [{ victims, slots: slotsIn(shape, machine.type), loss: totalLoss(victims) }]
    : incrementalOptions(shape, machine.free, victims)
  if (machine.images.has(shape.image)) return options
  // Where the image is missing, its fetch keeps the capacity from use as long as lost work would.
  return options.map((option) => ({
    ...option,
    loss: option.loss + IMAGE_FETCH_S * shape.cores * option.slots,
  }))
}

/**
 * Which tasks to preempt so that so many more of a higher-ranked job fit: machine
 * by machine, where the least work is lost for each slot.
 */
export const choosePreemptions = <T>(request: PreemptionRequest<T>): ReadonlyArray<Victim<T>> => {
  const { tasks, machines } = request
  const options = machines.flatMap((machine) => optionsOn(machine, request))
  options.sort((a, b) => a.loss / Math.min(tasks, a.slots) - b.loss / Math.min(tasks, b.slots))
  const chosen: Array<Victim<T>> = []
  let left = tasks
  for (const { victims, slots } of options) {
    if (left <= 0) break
    chosen.push(...victims)
    left -= slots
  }
  return chosen
}
