/** The shard's machines as bins of one plan: ready, booting, and by assigned job. */
import type { JobId } from "@sorreltally/protocol"
import { type Bin, binOf, groupByKind, hasCapacity, type MachineGroup } from "./bins.ts"
import type { Snapshot } from "./input.ts"
import { spareCores } from "./reserve.ts"

/** Free capacity of the ready machines. */
export interface ReadyCapacity {
  readonly bins: ReadonlyArray<Bin>
  readonly groups: ReadonlyArray<MachineGroup>
  /** Cores on reserved machines that tasks below the reserve's rank may still take. */
  spareCores: number
}

/** The machines that a plan may use. */
export interface Fleet {
  readonly ready: ReadyCapacity
  /**
   * Rented machines that are still booting. Rentals of this plan add the capacity here that their
   * job doesn't need.
   */
  readonly booting: Array<MachineGroup>
  /** Ready and booting machines by the job that they are assigned to. */
  readonly binsByAssignedJob: ReadonlyMap<JobId, ReadonlyArray<Bin>>
}

/** Creates the fleet of a snapshot, before any decision of the plan. */
export const fleetOf = ({ machines, reserve }: Pick<Snapshot, "machines" | "reserve">): Fleet => {
  const ready: Array<Bin> = []
  const booting: Array<Bin> = []
  const binsByAssignedJob = new Map<JobId, Array<Bin>>()
  for (const machine of machines) {
    if (machine.state !== "ready" && machine.state !== "booting") continue
    const bin = binOf(machine)
    if (machine.state === "booting") booting.push(bin)
    else if (hasCapacity(bin)) ready.push(bin)
    if (machine.assignedJob === null) continue
    const assignedBins = binsByAssignedJob.get(machine.assignedJob)
    if (assignedBins === undefined) binsByAssignedJob.set(machine.assignedJob, [bin])
    else assignedBins.push(bin)
  }
  return {
    ready: { bins: ready, groups: groupByKind(ready), spareCores: spareCores(machines, reserve) },
    booting: groupByKind(booting),
    binsByAssignedJob,
  }
}
