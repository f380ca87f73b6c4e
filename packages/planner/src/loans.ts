/**
 * Which empty machines go to other shards. A machine changes its shard only while it is empty; who
 * may use it meanwhile is settled by its record and the shard epoch, not here.
 */
import type { MachineId, ShardName } from "@sorreltally/protocol"
import { slotsIn } from "./capacity.ts"
import type { MachineDemand } from "./demand.ts"
import { isEligible, type MachineKindKey, machineKindKey } from "./eligibility.ts"
import type { JobView, MachineKind, MachineView, Reserve } from "./input.ts"
import { spareCores } from "./reserve.ts"
import { isStarved, STARVED_RANK } from "./starvation.ts"

/** An empty machine that goes to another shard. */
export interface MachineLoan {
  readonly machine: MachineId
  readonly to: ShardName
}

/** How urgent work is, compared across shards. */
type WorkUrgency = Pick<MachineDemand, "rank" | "since">

/**
 * Does the demand go before our own work? Guards against machines that go from
 * shard to shard without ever being used, each of which has starved jobs: of
 * those the oldest goes first, whichever shard it belongs to.
 */
const outranks = (demand: WorkUrgency, own: WorkUrgency): boolean =>
  demand.rank > own.rank ||
  (demand.rank === STARVED_RANK && own.rank === STARVED_RANK && demand.since < own.since)

/** The most urgent of our own queued work that this kind of machine could serve. */
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

/** The same for many machines: of a few kinds, each of which is looked at once. */
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

/** Those demands to which some machine of ours would be lent once it is empty. */
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

/** What the loans of one plan are decided from. */
export interface LendingInput {
  readonly machines: ReadonlyArray<MachineView>
  /** Our own jobs, without those that their teams' limits hold back. */
  readonly jobs: ReadonlyArray<JobView>
  /** What other shards published. */
  readonly demands: ReadonlyArray<MachineDemand>
  /** Our fair share of each demand, 0 to 1, so that not every shard sends its machines to the same one. */
  readonly share: number
  /** Slots lent to a shard so lately that its demand can't show them yet. */
  readonly recentlyLentSlots: ReadonlyMap<ShardName, number>
  readonly reserve: Reserve
}

/**
 * Empty machines that other shards need more than we do: those demanded by work
 * of higher rank than what we have queued, or that we have no work for at all.
 */
export const lend = (input: LendingInput): ReadonlyArray<MachineLoan> => {
  const { machines, jobs, demands, share, recentlyLentSlots: lentLately, reserve } = input
  const emptyMachines = new Set(machines.filter((m) => m.state === "ready" && m.busyTasks === 0))
  const loans: Array<MachineLoan> = []
  if (demands.length === 0 || emptyMachines.size === 0) return loans
  let remainingSpareCores = spareCores(machines, reserve)
  /** Work below the reserve's rank gets only what the reserve can spare. */
  const takeSpareCores = (demand: MachineDemand, machine: MachineView): boolean => {
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
    let slotsLeft = Math.ceil(demand.tasks * share) - (lentLately.get(demand.shard) ?? 0)
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
