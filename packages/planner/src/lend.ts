import type { MachineId, ShardName, TeamName } from "@sorreltally/protocol"
import {
  allowed,
  type Capacity,
  fits,
  type JobView,
  type MachineView,
  type Reserve,
  slotsIn,
  spareCores,
  type TaskShape,
} from "./model.ts"
import { isStarved, STARVED_RANK } from "./starvation.ts"

/** Queued tasks that a part has no room for, as it tells the other parts. */
export interface MachineDemand {
  readonly shard: ShardName
  readonly shape: TaskShape
  readonly rank: number
  readonly tasks: number
  /** Those of them for which room is to be made by stopping work of lower rank. */
  readonly pressing: number
  /** When the oldest of its jobs was submitted, by the time of day in ms; between starved jobs it decides. */
  readonly since: number
}

/** More of a team's limit than its share, as a part tells the other parts. */
export interface QuotaDemand {
  readonly shard: ShardName
  readonly team: TeamName
  readonly rank: number
  /** When the oldest job that lacks it was submitted, by the time of day. */
  readonly since: number
}

/** What a part counts on of a team's limit: what its tasks use, and what it has or rents machines for. */
export interface TeamClaim {
  readonly shard: ShardName
  readonly team: TeamName
  readonly cpus: number
  readonly gpus: number
}

/** Every two parts agree which of them goes first. */
export const goesFirst = (a: QuotaDemand, b: QuotaDemand): boolean =>
  a.rank !== b.rank ? a.rank > b.rank : a.since !== b.since ? a.since < b.since : a.shard < b.shard
/** All that a part tells the others. */
export interface ShardDemand {
  readonly machines: ReadonlyArray<MachineDemand>
  readonly quotas: ReadonlyArray<QuotaDemand>
  readonly claims: ReadonlyArray<TeamClaim>
}

export interface MachineLoan {
  readonly machine: MachineId
  readonly to: ShardName
}

/** How urgent work is, compared across parts. */
type WorkUrgency = Pick<MachineDemand, "rank" | "since">

/**
 * Does the need go before our own work? Guards against machines that go from
 * part to part without ever being used, each of which has starved jobs: of
 * those the oldest goes first, whichever part it belongs to.
 */
const outranks = (need: WorkUrgency, own: WorkUrgency): boolean =>
  need.rank > own.rank || (need.rank === STARVED_RANK && own.rank === STARVED_RANK && need.since < own.since)

type KindOfMachine = Pick<MachineView, "type" | "zone" | "spot">
const kindName = ({ type, zone, spot }: KindOfMachine): string => `${type.name}|${zone}|${spot}`

/** The most urgent of our own queued work that this kind of machine could serve. */
const mostUrgentOwnWork = (jobs: ReadonlyArray<JobView>, machine: KindOfMachine): WorkUrgency => {
  let most: WorkUrgency = { rank: Number.NEGATIVE_INFINITY, since: Number.POSITIVE_INFINITY }
  for (const job of jobs) {
    if (job.queued === 0 || !job.mayStart || !allowed(job.spec, machine)) continue
    const rank = isStarved(job) ? STARVED_RANK : job.rank
    const standing = { rank, since: job.submitted }
    if (rank > most.rank || outranks(standing, most)) most = standing
  }
  return most
}

/** The same for many machines: of a few kinds, each of which is looked at once. */
const urgencyByMachineKind = (jobs: ReadonlyArray<JobView>): ((machine: KindOfMachine) => WorkUrgency) => {
  const byKind = new Map<string, WorkUrgency>()
  return (machine) => {
    const kind = kindName(machine)
    const known = byKind.get(kind)
    if (known !== undefined) return known
    const standing = mostUrgentOwnWork(jobs, machine)
    byKind.set(kind, standing)
    return standing
  }
}

/** Those needs to which some machine of ours would be lent once it is empty. */
export const servableDemands = (
  needs: ReadonlyArray<MachineDemand>,
  jobs: ReadonlyArray<JobView>,
  machines: ReadonlyArray<MachineView>,
): ReadonlyArray<MachineDemand> => {
  if (needs.length === 0) return needs
  const kinds = new Map<string, KindOfMachine>()
  for (const machine of machines) kinds.set(kindName(machine), machine)
  const urgencyOn = urgencyByMachineKind(jobs)
  const serves = (need: MachineDemand, kind: KindOfMachine) =>
    allowed(need.shape, kind) && outranks(need, urgencyOn(kind))
  return needs.filter((need) => [...kinds.values()].some((kind) => serves(need, kind)))
}

/**
 * Empty machines that other parts need more than we do: those needed by work
 * of higher rank than what we have queued, or that we have no work for at all.
 * `share` is our fair part of what is asked for, so that not every part sends
 * its machines to the same need.
 */
export const lend = (
  machines: ReadonlyArray<MachineView>,
  jobs: ReadonlyArray<JobView>,
  needs: ReadonlyArray<MachineDemand>,
  share: number,
  /** Slots lent to a part so lately that its need can't show them yet. */
  lentLately: ReadonlyMap<ShardName, number>,
  reserve: Reserve,
): ReadonlyArray<MachineLoan> => {
  const empty = new Set(machines.filter((m) => m.state === "ready" && m.busyTasks === 0))
  const out: Array<MachineLoan> = []
  if (needs.length === 0 || empty.size === 0) return out
  let spare = spareCores(machines, reserve)
  const urgencyOn = urgencyByMachineKind(jobs)
  for (const need of [...needs].sort((a, b) => b.rank - a.rank || a.since - b.since)) {
    let left = Math.ceil(need.tasks * share) - (lentLately.get(need.shard) ?? 0)
    const cached = (m: MachineView) => Number(m.images.has(need.shape.image))
    for (const machine of [...empty].sort((a, b) => cached(b) - cached(a))) {
      if (left <= 0) break
      if (!allowed(need.shape, machine) || !outranks(need, urgencyOn(machine))) continue
      if (need.rank < reserve.rank && machine.reserved) {
        if (spare < machine.free.cores) continue
        spare -= machine.free.cores
      }
      empty.delete(machine)
      out.push({ machine: machine.id, to: need.shard })
      left -= slotsIn(need.shape, machine.type)
    }
  }
  return out
}

/** About what an image fetch takes. */
const FETCH_LOSS_S = 8

/** A running task that could be stopped for work of higher rank. */
export interface Victim<T> {
  readonly placement: T
  readonly machine: MachineId
  readonly shape: TaskShape
  readonly rank: number
  /** Core-seconds lost by stopping it: what it ran since it last saved. */
  readonly lossCoreS: number
  /** Room that it frees at once, or only after it has saved. */
  readonly savesS: number
}

/**
 * Which tasks to stop so that `tasks` more of a higher-ranked job fit: machine
 * by machine, where the least work is lost a slot. With `wholly`, only
 * machines that end up empty count, since only those can be lent.
 */
export const choosePreemptions = <T>(
  shape: TaskShape,
  rank: number,
  tasks: number,
  machines: ReadonlyArray<MachineView>,
  /** Those on a machine, least loss a core first. */
  victimsOn: (machine: MachineId) => ReadonlyArray<Victim<T>>,
  wholly: boolean,
): ReadonlyArray<Victim<T>> => {
  const options: Array<{
    readonly stop: ReadonlyArray<Victim<T>>
    readonly slots: number
    readonly cached: boolean
    loss: number
  }> = []
  for (const machine of machines) {
    if (machine.state !== "ready" || !allowed(shape, machine)) continue
    const here = victimsOn(machine.id).filter((v) => v.rank < rank)
    const cached = machine.images.has(shape.image)
    if (here.length === 0 || (wholly && here.length < machine.busyTasks)) continue
    if (wholly) {
      const loss = here.reduce((sum, v) => sum + v.lossCoreS, 0)
      options.push({ stop: here, slots: slotsIn(shape, machine.type), loss, cached })
      continue
    }
    // One more victim at a time, as an option of its own for each slot gained.
    let room: Capacity = machine.free
    let stop: Array<Victim<T>> = []
    for (const victim of here) {
      const before = slotsIn(shape, room)
      room = {
        cores: room.cores + victim.shape.cores,
        accelerators: room.accelerators + victim.shape.accelerators,
        memGb: room.memGb + victim.shape.memGb,
      }
      stop.push(victim)
      const added = slotsIn(shape, room) - before
      if (added > 0 && fits(shape, room)) {
        options.push({ stop, slots: added, loss: stop.reduce((sum, v) => sum + v.lossCoreS, 0), cached })
        stop = []
      }
    }
  }
  // Where the image is missing, its fetch keeps the room from use as long as lost work would.
  const fetchCost = (o: (typeof options)[number]) => (o.cached ? 0 : FETCH_LOSS_S * shape.cores * o.slots)
  for (const option of options) option.loss += fetchCost(option)
  options.sort((a, b) => a.loss / Math.min(tasks, a.slots) - b.loss / Math.min(tasks, b.slots))
  const chosen: Array<Victim<T>> = []
  let left = tasks
  for (const option of options) {
    if (left <= 0) break
    chosen.push(...option.stop)
    left -= option.slots
  }
  return chosen
}
