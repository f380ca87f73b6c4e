/** Chooses running tasks to preempt for work of higher rank. The caller stops them. */
import type { MachineId } from "@sorreltally/protocol"
import { fits, slotsIn, subtractTasks } from "./capacity.ts"
import { isEligible } from "./eligibility.ts"
import type { Capacity, MachineView, TaskShape } from "./input.ts"

/** Typical duration of an image fetch in seconds. */
const IMAGE_FETCH_S = 8

/** A running task that could be preempted; `T` is the caller's record of the task. */
export interface Victim<T> {
  readonly placement: T
  readonly machine: MachineId
  readonly shape: TaskShape
  readonly rank: number
  /** Core-seconds lost by stopping it: its work since the last checkpoint. */
  readonly lossCoreS: number
  /** Seconds to save its checkpoint before its capacity is free; 0: no checkpoint, free at once. */
  readonly checkpointSaveS: number
}

/** Work for which tasks are to be preempted, and the candidates. */
export interface PreemptionRequest<T> {
  readonly shape: TaskShape
  /** Only tasks of lower rank are chosen. */
  readonly rank: number
  /** Number of further tasks of that shape that are to fit. */
  readonly tasks: number
  readonly machines: ReadonlyArray<MachineView>
  /** Possible victims on a machine, in ascending order of loss per core. */
  readonly victimsOn: (machine: MachineId) => ReadonlyArray<Victim<T>>
  /** Whether only machines that become empty count, since only empty machines can be lent. */
  readonly wholeMachines: boolean
}

/** Victims on one machine that are preempted together or not at all. */
interface PreemptionOption<T> {
  readonly victims: ReadonlyArray<Victim<T>>
  /** Number of slots of the requested shape that they free. */
  readonly slots: number
  /** Loss in core-seconds. */
  readonly loss: number
}

const totalLoss = <T>(victims: ReadonlyArray<Victim<T>>): number =>
  victims.reduce((sum, { lossCoreS }) => sum + lossCoreS, 0)

/**
 * Adds one victim at a time. Whenever this adds slots, the victims since the previous option form an option.
 */
const incrementalOptions = <T>(
  shape: TaskShape,
  free: Capacity,
  victims: ReadonlyArray<Victim<T>>,
): ReadonlyArray<PreemptionOption<T>> => {
  const options: Array<PreemptionOption<T>> = []
  let capacity = free
  let pending: Array<Victim<T>> = []
  for (const victim of victims) {
    const slotsBefore = slotsIn(shape, capacity)
    capacity = subtractTasks(capacity, victim.shape, -1)
    pending.push(victim)
    const slots = slotsIn(shape, capacity) - slotsBefore
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
  // If the image isn't cached, the capacity is unused while it is fetched, which counts like lost work.
  return options.map((option) => ({
    ...option,
    loss: option.loss + IMAGE_FETCH_S * shape.cores * option.slots,
  }))
}

/**
 * Chooses tasks to preempt so that the requested number of tasks fits. Goes through the machines' options in
 * ascending order of work lost per slot, and may return fewer victims than needed.
 */
export const choosePreemptions = <T>(request: PreemptionRequest<T>): ReadonlyArray<Victim<T>> => {
  const { tasks, machines } = request
  const options = machines.flatMap((machine) => optionsOn(machine, request))
  options.sort((a, b) => a.loss / Math.min(tasks, a.slots) - b.loss / Math.min(tasks, b.slots))
  const chosen: Array<Victim<T>> = []
  let tasksLeft = tasks
  for (const { victims, slots } of options) {
    if (tasksLeft <= 0) break
    chosen.push(...victims)
    tasksLeft -= slots
  }
  return chosen
}
