/**
 * Builds the planner's views of a shard: jobs, machines, load and quota usage at one moment. Changes nothing.
 */
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

/** A machine counts as booting for this multiple of its type's boot time: a weak spot, see docs/design.md. */
const MAX_BOOTING_FACTOR = 1.6
/** Time after a failover within which the machines' first heartbeats are expected. */
const FIRST_HEARTBEAT_TIMEOUT_MS = 8_000
/** The planner treats running tasks that end later than this as if they never ended. */
const LOAD_HORIZON_S = 600

/**
 * Quota that each team uses in this shard. Every placement counts until it is cleared, whether or not its
 * machine can be reached: a placement subtracted too early would let the team start tasks beyond its limit.
 */
export const teamUsage = (shard: ShardView): Map<TeamName, QuotaHeadroom> => {
  const usageByTeam = new Map<TeamName, QuotaHeadroom>()
  for (const team of shard.node.platform.deployment.teams)
    usageByTeam.set(team.name, { cores: 0, accelerators: 0 })
  for (const job of shard.jobs.values()) {
    const usage = usageByTeam.get(job.spec.team)
    if (usage === undefined) continue
    usage.cores += job.spec.cores * job.placements.size
    usage.accelerators += job.spec.accelerators * job.placements.size
  }
  return usageByTeam
}

/** Cores of the machines, and cores of running tasks by the second from now in which they should end. */
export const clusterLoad = (shard: ShardView, now: MonotonicTime): ShardLoad => {
  let cores = 0
  for (const { id, type } of shard.machines.values())
    if (!shard.assignments.get(id)!.isReleasing) cores += type.cores
  const endingCoresBySecond = new Array<number>(LOAD_HORIZON_S).fill(0)
  for (const job of shard.jobs.values()) {
    if (job.placements.size === 0) continue
    const executionS = shard.node.estimates.executionS(job.spec)
    for (const placement of job.placements.values()) {
      const endsInS = remainingS(placement, executionS, now)
      if (endsInS < LOAD_HORIZON_S) endingCoresBySecond[Math.floor(endsInS)]! += job.spec.cores
    }
  }
  return { cores, endingCoresBySecond }
}

const remainingS = ({ runningSince }: Placement, executionS: number, now: MonotonicTime): number => {
  const elapsedS = runningSince === null ? 0 : (now - runningSince) / 1000
  // A task that has overrun its estimate may end now or much later: a third of the estimate is assumed.
  return elapsedS < executionS ? executionS - elapsedS : executionS / 3
}

/** Views of the jobs with unfinished tasks that aren't cancelled, oldest first. */
export const jobViews = (shard: ShardView, now: MonotonicTime): ReadonlyArray<JobView> => {
  const wallNow = shard.node.clocks.wallNow()
  /** Cores requested by each team's jobs, up to and including the current one. */
  const demandedCores = new Map<TeamName, number>()
  const views: Array<JobView> = []
  const bySubmission = [...shard.jobs.values()].sort((a, b) => a.submitted - b.submitted)
  for (const job of bySubmission) {
    if (job.cancelled || job.allFinished) continue
    const { team, cores } = job.spec
    const demanded = (demandedCores.get(team) ?? 0) + (job.taskCount - job.finishedTaskCount) * cores
    // A suspect job, which probably fails everywhere, takes no guaranteed cores from its team's other jobs.
    if (!shard.failures.isSuspect(job.id)) demandedCores.set(team, demanded)
    views.push(jobView(shard, job, demanded, wallNow, now))
  }
  return views
}

/** `demandedCores`: cores requested by its team's jobs, up to and including this one. */
const jobView = (
  shard: ShardView,
  job: JobState,
  demandedCores: number,
  wallNow: WallTime,
  now: MonotonicTime,
): JobView => {
  const { id, spec, submitted } = job
  const team = shard.node.platform.deployment.teams.find(({ name }) => name === spec.team)
  const isSuspect = shard.failures.isSuspect(id)
  const ageS = Math.max(0, (wallNow - submitted) / 1000)
  const executionS = shard.node.estimates.executionS(spec)
  return {
    id,
    spec,
    rank: isSuspect ? SUSPECT_RANK : priorityRank[spec.priority],
    queued: shard.failures.startableCount(job, now),
    running: job.placements.size - job.stoppingCount,
    tasksByZone: tasksByZone(shard, job),
    timeLeftS: timeLeftS(shard, spec, ageS, executionS),
    ageS,
    submitted,
    executionS,
    startWithinS: nextTarget(startTargets(shard, spec.jobClass, executionS), ageS, 0),
    notStarted: job.notStarted && !isSuspect,
    withinGuarantee: !isSuspect && team !== undefined && demandedCores <= team.cpus,
    mayStart: job.retryAfter === null || now >= job.retryAfter,
    avoidedMachines: shard.failures.machinesToAvoid(id, now),
  }
}

/** Uncleared tasks by zone; counted only for jobs whose placement depends on zones. */
const tasksByZone = (shard: ShardView, { spec, placements }: JobState): ReadonlyMap<ZoneName, number> => {
  const zones = new Map<ZoneName, number>()
  if (!spec.singleZone && !spec.spreadZones) return zones
  for (const placement of placements.values()) {
    const zone = shard.machines.get(placement.machine)?.entry.zone
    if (zone !== undefined) zones.set(zone, (zones.get(zone) ?? 0) + 1)
  }
  return zones
}

/** Seconds after submission within which the objectives want tasks of a class to start, shortest first. */
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

/** Seconds until the next reachable target: the deadline or, after it, an objective at a multiple of it. */
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

/** Views of the shard's machines, and of those in pending rentals. */
export const machineViews = (
  shard: ShardView,
  now: MonotonicTime,
  reserve: Reserve,
  /** Also machines in the pool without free capacity: they can take no task and can't be released. */
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

/**
 * A machine without any heartbeat counts as booting until its boot is overdue; under a new owner at least
 * until the time-out of its first heartbeat.
 */
const machineState = (
  session: WorkerSession,
  assignment: MachineAssignment,
  now: MonotonicTime,
): MachineView["state"] => {
  if (assignment.isReleasing || assignment.isMoving || session.preemptionAt !== null) return "unavailable"
  if (session.isSchedulable(now)) return assignment.isDrainingForRelease ? "draining" : "ready"
  if (session.lastMessageAt !== EARLIEST_TIME) return "unavailable"
  const bootingS = (now - assignment.rentedAt) / 1000
  const isBooting =
    bootingS < session.type.bootS * MAX_BOOTING_FACTOR ||
    now < addMs(assignment.ownedSince, FIRST_HEARTBEAT_TIMEOUT_MS)
  return isBooting ? "booting" : "unavailable"
}

/** Machines of pending rentals have no ids yet: the rental request id and a number stand in for them. */
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
