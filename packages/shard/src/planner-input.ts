/** What the planner is shown of a shard: its jobs, machines, load and quota use at one moment. It changes none of them. */
import { type JobState, type Placement, SUSPECT_RANK } from "@sorreltally/jobs"
import {
  EPSILON,
  isReserved,
  type JobView,
  type MachineView,
  MIN_FEASIBLE_RUN_SHARE,
  nextTarget,
  type QuotaHeadroom,
  type Reserve,
  type ShardLoad,
} from "@sorreltally/planner"
import {
  addMs,
  EARLIEST_TIME,
  type JobClassName,
  type JobSpec,
  type MachineId,
  type MonotonicTime,
  priorityRank,
  type TeamName,
  type WallTime,
  type ZoneName,
} from "@sorreltally/protocol"
import type { WorkerSession } from "@sorreltally/workers"
import type { MachineAssignment, ShardView } from "./shard-context.ts"

/** Times a type's boot time after which a machine no longer counts as booting: the design's weak spot, see docs/design.md. */
const OVERDUE_BOOT = 1.6
/** After a failover, time in which the machines' first heartbeats come in. */
const FIRST_HEARTBEATS_MS = 8_000
/** Running tasks that end later than this are as good as never ending to the planner. */
const HORIZON_S = 600

/**
 * What each team uses of its limit here. Every placement counts until it is cleared, whether its
 * machine can be reached or not: what is counted off too early would let the team start beyond its limit.
 */
export const teamUse = (shard: ShardView): Map<TeamName, QuotaHeadroom> => {
  const used = new Map<TeamName, QuotaHeadroom>()
  for (const team of shard.node.platform.deployment.teams) used.set(team.name, { cores: 0, accelerators: 0 })
  for (const job of shard.jobs.values()) {
    const use = used.get(job.spec.team)
    if (use === undefined) continue
    use.cores += job.spec.cores * job.placements.size
    use.accelerators += job.spec.accelerators * job.placements.size
  }
  return used
}

/** Cores of the machines, and those of running tasks by the second from now in which they probably end. */
export const loadOf = (shard: ShardView, now: MonotonicTime): ShardLoad => {
  let cores = 0
  for (const { id, type } of shard.machines.values())
    if (!shard.assignments.get(id)!.releasing) cores += type.cores
  const endingCoresBySecond = new Array<number>(HORIZON_S).fill(0)
  for (const job of shard.jobs.values()) {
    if (job.placements.size === 0) continue
    const executionS = shard.node.estimates.executionS(job.spec)
    for (const placement of job.placements.values()) {
      const leftS = remainingS(placement, executionS, now)
      if (leftS < HORIZON_S) endingCoresBySecond[Math.floor(leftS)]! += job.spec.cores
    }
  }
  return { cores, endingCoresBySecond }
}

const remainingS = ({ runningSince }: Placement, executionS: number, now: MonotonicTime): number => {
  const ranS = runningSince === null ? 0 : (now - runningSince) / 1000
  // One that overran its estimate may end at any time, or much later.
  return ranS < executionS ? executionS - ranS : executionS / 3
}

/** The jobs that aren't over, oldest first. */
export const jobViews = (shard: ShardView, now: MonotonicTime): ReadonlyArray<JobView> => {
  const wall = shard.node.clocks.wallNow()
  /** Cores that each team's jobs ask for, up to the one at hand. */
  const demandedCores = new Map<TeamName, number>()
  const views: Array<JobView> = []
  const bySubmission = [...shard.jobs.values()].sort((a, b) => a.submitted - b.submitted)
  for (const job of bySubmission) {
    if (job.cancelled || job.allFinished) continue
    const { team, cores } = job.spec
    const demanded = (demandedCores.get(team) ?? 0) + (job.taskCount - job.done) * cores
    // A job that seems to have a mistake holds no guarantee against its team's others.
    if (!shard.failures.isSuspect(job.id)) demandedCores.set(team, demanded)
    views.push(jobView(shard, job, demanded, wall, now))
  }
  return views
}

/** `demandedCores`: what its team's jobs up to it ask for. */
const jobView = (
  shard: ShardView,
  job: JobState,
  demandedCores: number,
  wall: WallTime,
  now: MonotonicTime,
): JobView => {
  const { id, spec, submitted } = job
  const team = shard.node.platform.deployment.teams.find(({ name }) => name === spec.team)
  const suspect = shard.failures.isSuspect(id)
  const ageS = Math.max(0, (wall - submitted) / 1000)
  const executionS = shard.node.estimates.executionS(spec)
  return {
    id,
    spec,
    rank: suspect ? SUSPECT_RANK : priorityRank[spec.priority],
    queued: shard.failures.startable(job, now),
    running: job.placements.size - job.stopping,
    tasksByZone: tasksByZone(shard, job),
    timeLeftS: timeLeftS(shard, spec, ageS, executionS),
    ageS,
    submitted,
    executionS,
    startWithinS: nextTarget(startTargets(shard, spec.jobClass, executionS), ageS, 0),
    notStarted: job.notStarted && !suspect,
    withinGuarantee: !suspect && team !== undefined && demandedCores <= team.cpus,
    mayStart: job.retryAfter === null || now >= job.retryAfter,
    avoidedMachines: shard.failures.avoidedBy(id, now),
  }
}

/** Uncleared tasks by zone; counted only for jobs that zones matter to. */
const tasksByZone = (shard: ShardView, { spec, placements }: JobState): ReadonlyMap<ZoneName, number> => {
  const zones = new Map<ZoneName, number>()
  if (!spec.singleZone && !spec.spreadZones) return zones
  for (const placement of placements.values()) {
    const zone = shard.machines.get(placement.machine)?.entry.zone
    if (zone !== undefined) zones.set(zone, (zones.get(zone) ?? 0) + 1)
  }
  return zones
}

/** Seconds after submission within which the objectives want tasks of a class started, soonest first. */
export const startTargets = (
  shard: ShardView,
  jobClass: JobClassName,
  executionS: number,
): ReadonlyArray<number> => {
  const targets: Array<number> = []
  for (const objective of shard.node.platform.deployment.objectives) {
    const { kind, withinS } = objective
    if (objective.jobClass !== jobClass || withinS == null) continue
    if (kind === "wait") targets.push(withinS)
    else if (kind === "finished") targets.push(withinS - executionS)
  }
  return targets.sort((a, b) => a - b)
}

/** Seconds until the next target; a deadline that is missed may still have objectives at a multiple of it. */
const timeLeftS = (shard: ShardView, spec: JobSpec, ageS: number, executionS: number): number | null => {
  const { deadlineS, jobClass } = spec
  if (deadlineS == null) return null
  const targets = [deadlineS]
  for (const objective of shard.node.platform.deployment.objectives) {
    const { kind, deadlineMultiple } = objective
    if (kind !== "deadline" || objective.jobClass !== jobClass) continue
    if (deadlineMultiple != null && deadlineMultiple > 1) targets.push(deadlineS * deadlineMultiple)
  }
  targets.sort((a, b) => a - b)
  return (nextTarget(targets, ageS, executionS * MIN_FEASIBLE_RUN_SHARE) ?? deadlineS) - ageS
}

/** The shard's machines, and those of rentals that haven't been answered yet. */
export const machineViews = (
  shard: ShardView,
  now: MonotonicTime,
  reserve: Reserve,
  /** Also those in the pool without free capacity: nothing can be placed there, or released. */
  includeFull: boolean,
): ReadonlyArray<MachineView> => {
  const views: Array<MachineView> = []
  for (const session of shard.machines.values()) {
    const assignment = shard.assignments.get(session.id)!
    if (!includeFull && assignment.assignedJob === null && session.freeCapacity.cores <= EPSILON) continue
    views.push({
      id: session.id,
      type: session.type,
      zone: session.entry.zone,
      spot: session.entry.spot,
      free: session.freeCapacity,
      busyTasks: session.placements.size,
      images: session.images,
      reserved: isReserved(session.freeCapacity, session.images, reserve),
      state: machineState(session, assignment, now),
      assignedJob: assignment.assignedJob,
    })
  }
  for (const view of pendingRentalViews(shard)) views.push(view)
  return views
}

/** A machine that was never heard of is booting until that is overdue, or until a new owner has waited for its first heartbeat. */
const machineState = (
  session: WorkerSession,
  assignment: MachineAssignment,
  now: MonotonicTime,
): MachineView["state"] => {
  if (assignment.releasing || assignment.moving || session.preemptionAt !== null) return "unavailable"
  if (session.isSchedulable(now)) return assignment.closing ? "draining" : "ready"
  if (session.lastMessageAt !== EARLIEST_TIME) return "unavailable"
  const bootingS = (now - assignment.rentedAt) / 1000
  const booting =
    bootingS < session.type.bootS * OVERDUE_BOOT || now < addMs(assignment.knownSince, FIRST_HEARTBEATS_MS)
  return booting ? "booting" : "unavailable"
}

/** They have no ids yet: each stands under its request's id and a number. */
const pendingRentalViews = (shard: ShardView): ReadonlyArray<MachineView> => {
  const views: Array<MachineView> = []
  for (const [requestId, { offer, count, assignedJob }] of shard.pendingRentals) {
    const { type, zone, spot } = offer
    for (let i = 0; i < count; i++) {
      views.push({
        id: `${requestId}/${i}` as MachineId,
        type,
        zone,
        spot,
        free: type,
        busyTasks: 0,
        images: new Set(),
        reserved: false,
        state: "booting",
        assignedJob,
      })
    }
  }
  return views
}
