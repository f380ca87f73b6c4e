/** The placements on one machine and the room that they leave; a placement takes room until it is cleared. */
import type { Placement } from "@sorreltally/jobs"
import type { MachineType, TaskId } from "@sorreltally/protocol"
import type { FreeCapacity } from "./model.ts"

/** The tasks that may be on one machine. */
export class PlacedTasks {
  readonly byTask = new Map<TaskId, Placement>()
  readonly free: FreeCapacity

  constructor({ cores, accelerators, memGb }: MachineType) {
    this.free = { cores, accelerators, memGb }
  }

  add(placement: Placement): void {
    this.byTask.set(placement.task, placement)
    this.takeRoom(placement, 1)
  }
  /** Removes this very placement; does nothing once it was removed, or another one has replaced it. */
  remove(placement: Placement): void {
    if (this.byTask.get(placement.task) !== placement) return
    this.byTask.delete(placement.task)
    this.takeRoom(placement, -1)
  }
  private takeRoom({ job }: Placement, times: 1 | -1): void {
    this.free.cores -= times * job.spec.cores
    this.free.accelerators -= times * job.spec.accelerators
    this.free.memGb -= times * job.spec.memGb
  }
}
