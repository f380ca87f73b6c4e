/** Placements on one machine and its free capacity; a placement uses capacity until it is removed. */
import type { Placement } from "@sorreltally/jobs"
import type { MachineType, TaskId } from "@sorreltally/protocol"
import type { FreeCapacity } from "./model.ts"

/** The tasks that may be on one machine. */
export class PlacedTasks {
  readonly byTask = new Map<TaskId, Placement>()
  readonly freeCapacity: FreeCapacity

  constructor({ cores, accelerators, memGb }: MachineType) {
    this.freeCapacity = { cores, accelerators, memGb }
  }

  add(placement: Placement): void {
    this.byTask.set(placement.task, placement)
    this.useCapacity(placement, 1)
  }
  /** Removes exactly this placement; does nothing if it was removed already or replaced by another one. */
  remove(placement: Placement): void {
    if (this.byTask.get(placement.task) !== placement) return
    this.byTask.delete(placement.task)
    this.useCapacity(placement, -1)
  }
  private useCapacity({ job }: Placement, sign: 1 | -1): void {
    this.freeCapacity.cores -= sign * job.spec.cores
    this.freeCapacity.accelerators -= sign * job.spec.accelerators
    this.freeCapacity.memGb -= sign * job.spec.memGb
  }
}
