/** The shard's machines as one plan fills them: the ready, the booting, and those assigned to each job. */
import type { JobId } from "@sorreltally/protocol"
import { type Bin, binOf, groupByKind, hasCapacity, type MachineGroup } from "./bins.ts"
import type { Snapshot } from "./input.ts"
import { spareCores } from "./reserve.ts"

/** Capacity on ready machines. */
export interface ReadyCapacity {
  readonly bins: ReadonlyArray<Bin>
  readonly groups: ReadonlyArray<MachineGroup>
  /** Cores on machines with the reserve's images that work of lower rank may still take. */
  spareCores: number
}

/** The machines that a plan may use. */
export interface Fleet {
  readonly ready: ReadyCapacity
  /** Rented machines that still boot; rentals of this plan leave there what their job doesn't need. */
  readonly booting: Array<MachineGroup>
  /** Machines, ready or booting, by the job that they are assigned to. */
  readonly assigned: ReadonlyMap<JobId, ReadonlyArray<Bin>>
}

/** The fleet before any decision. */
export const fleetOf = ({ machines, reserve }: Pick<Snapshot, "machines" | "reserve">): Fleet => {
  const ready: Array<Bin> = []
  const booting: Array<Bin> = []
  const assigned = new Map<JobId, Array<Bin>>()
  for (const machine of machines) {
    if (machine.state !== "ready" && machine.state !== "booting") continue
    const bin = binOf(machine)
    if (machine.state === "booting") booting.push(bin)
    else if (hasCapacity(bin)) ready.push(bin)
    if (machine.assignedJob === null) continue
    const others = assigned.get(machine.assignedJob)
    if (others === undefined) assigned.set(machine.assignedJob, [bin])
    else others.push(bin)
  }
  return {
    ready: { bins: ready, groups: groupByKind(ready), spareCores: spareCores(machines, reserve) },
    booting: groupByKind(booting),
    assigned,
  }
}
