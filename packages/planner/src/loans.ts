/**
 * Chooses the empty machines to lend to other shards. A machine changes shards only while it is empty.
 * Which shard may use it during the hand-off is decided by its record and the shard epoch, not here.
 */
import type { MachineId, ShardName } from "@sorreltally/protocol"
import { slotsIn } from "./capacity.ts"
import type { MachineDemand } from "./demand.ts"
import { isEligible, type MachineKindKey, machineKindKey } from "./eligibility.ts"
import type { JobView, MachineKind, MachineView, Reserve } from "./input.ts"
import { spareCores } from "./reserve.ts"
import { isStarved, STARVED_RANK } from "./starvation.ts"

/** An empty machine to be lent to another shard. */
export interface MachineLoan {
  readonly machine: MachineId
  readonly to: ShardName
}

/** Urgency of work, comparable across shards. */
type WorkUrgency = Pick<MachineDemand, "rank" | "since">

/**
 * Whether the demand goes before the shard's own work. Between starved jobs the oldest goes first, whichever
 * shard it belongs to. This guards against machines that move between shards without ever being used when
 * each shard has starved jobs.
 */
const outranks = (demand: WorkUrgency, own: WorkUrgency): boolean =>
  demand.rank > own.rank ||
  (demand.rank === STARVED_RANK && own.rank === STARVED_RANK && demand.since < own.since)

/** Urgency of the shard's most urgent queued work that may run on this kind of machine. */
const mostUrgentOwnWork = (jobs: ReadonlyArray<JobView>, machine: MachineKind): WorkUrgency => {
  let mostUrgent: WorkUrgency = { rank: Number.NEGATIVE_INFINITY, since: Number.POSITIVE_INFINITY }
  for (const job of jobs) {
    if (job.queued === 0 || !job.mayStart || !isEligible(job.spec, machine)) continue
    const rank = isStarved(job) ? STARVED_RANK : job.rank
    const urgency = { rank, since: job.submitted }
    if (rank > mostUrgent.rank || outranks(urgency, mostUrgent)) mostUrgent = urgency
  }
  return mostUrgent
}

/** `mostUrgentOwnWork` with a cache by kind, since many machines are of few kinds. */
const urgencyByMachineKind = (jobs: ReadonlyArray<JobView>): ((machine: MachineKind) => WorkUrgency) => {
  const byKind = new Map<MachineKindKey, WorkUrgency>()
  return (machine) => {
    const kind = machineKindKey(machine)
    const cached = byKind.get(kind)
    if (cached !== undefined) return cached
    const urgency = mostUrgentOwnWork(jobs, machine)
    byKind.set(kind, urgency)
    return urgency
  }
}

/** Demands to which one of the given machines would be lent once it is empty. */
export const servableDemands = (
  demands: ReadonlyArray<MachineDemand>,
  jobs: ReadonlyArray<JobView>,
  machines: ReadonlyArray<MachineView>,
): ReadonlyArray<MachineDemand> => {
  if (demands.length === 0) return demands
  const kinds = new Map<MachineKindKey, MachineKind>()
  for (const machine of machines) kinds.set(machineKindKey(machine), machine)
  const urgencyOn = urgencyByMachineKind(jobs)
  const isServable = (demand: MachineDemand, kind: MachineKind) =>
    isEligible(demand.shape, kind) && outranks(demand, urgencyOn(kind))
  return demands.filter((demand) => [...kinds.values()].some((kind) => isServable(demand, kind)))
}

/** Input of the lending decision. */
export interface LendingInput {
  readonly machines: ReadonlyArray<MachineView>
  /** The shard's own jobs, without those that their teams' limits keep from starting or renting. */
  readonly jobs: ReadonlyArray<JobView>
  /** Demands published by other shards. */
  readonly demands: ReadonlyArray<MachineDemand>
  /** Share of each demand that this shard serves, 0 to 1, so that not all shards lend to the same one. */
  readonly share: number
  /** Slots lent to each shard so recently that its published demand doesn't reflect them yet. */
  readonly recentlyLentSlots: ReadonlyMap<ShardName, number>
  readonly reserve: Reserve
}

/**
 * Chooses empty machines that other shards need more urgently: those demanded by work of higher rank than
 * this shard's queued work, and those for which this shard has no work.
 */
export const lend = (input: LendingInput): ReadonlyArray<MachineLoan> => {
  const { machines, jobs, demands, share, recentlyLentSlots, reserve } = input
  const emptyMachines = new Set(machines.filter((m) => m.state === "ready" && m.busyTasks === 0))
  const loans: Array<MachineLoan> = []
  if (demands.length === 0 || emptyMachines.size === 0) return loans
  let remainingSpareCores = spareCores(machines, reserve)
  /** Takes the machine's cores from those that the reserve can spare; false if it can't spare them. */
  const takeSpareCores = (demand: MachineDemand, machine: MachineView): boolean => {
    // Only demand below the reserve's rank is kept from the reserve.
    if (demand.rank >= reserve.rank || !machine.reserved) return true
    if (remainingSpareCores < machine.free.cores) return false
    remainingSpareCores -= machine.free.cores
    return true
  }
  const urgencyOn = urgencyByMachineKind(jobs)
  const mayLend = (demand: MachineDemand, machine: MachineView): boolean =>
    isEligible(demand.shape, machine) &&
    outranks(demand, urgencyOn(machine)) &&
    takeSpareCores(demand, machine)
  for (const demand of [...demands].sort((a, b) => b.rank - a.rank || a.since - b.since)) {
    let slotsLeft = Math.ceil(demand.tasks * share) - (recentlyLentSlots.get(demand.shard) ?? 0)
    const imageScore = (machine: MachineView) => Number(machine.images.has(demand.shape.image))
    for (const machine of [...emptyMachines].sort((a, b) => imageScore(b) - imageScore(a))) {
      if (slotsLeft <= 0) break
      if (!mayLend(demand, machine)) continue
      emptyMachines.delete(machine)
      loans.push({ machine: machine.id, to: demand.shard })
      slotsLeft -= slotsIn(demand.shape, machine.type)
    }
  }
  return loans
}
