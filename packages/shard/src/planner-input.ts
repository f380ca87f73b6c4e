import { SUSPECT_RANK } from "@sorreltally/jobs"
import {
  EPSILON,
  isReserved,
  type JobView,
  type Load,
  type MachineView,
  nextTarget,
  REACH,
  type Reserve,
  type TeamRoom,
} from "@sorreltally/planner"
import {
  addMs,
  type JobSpec,
  type MachineId,
  type MonotonicTime,
  NEVER,
  priorityRank,
  type TeamName,
  type ZoneName,
} from "@sorreltally/protocol"
import type { ShardView } from "./shard-context.ts"

/** Times `startup_s` after which a boot no longer counts as coming: the design's weak spot, see docs/design.md. */
const OVERDUE_BOOT = 1.6
/** After a take-over, time in which the machines' first reports come in. */
const FIRST_REPORTS_MS = 8_000

export const teamUse = (shard: ShardView): Map<TeamName, TeamRoom> => {
  const used = new Map<TeamName, TeamRoom>()
  for (const team of shard.node.platform.deployment.teams) used.set(team.name, { cores: 0, accelerators: 0 })
  for (const job of shard.jobs.values()) {
    const u = used.get(job.request.team)
    if (u === undefined) continue
    u.cores += job.request.cores * job.placements.size
    u.accelerators += job.request.accelerators * job.placements.size
  }
  return used
}

/** Running tasks that end later than this are as good as never ending to the planner. */
const HORIZON_S = 600

/** Cores of the machines, and those of running tasks by the second from now in which they probably end. */
export const loadOf = (shard: ShardView, now: MonotonicTime): Load => {
  let cores = 0
  for (const { id, type } of shard.machines.values())
    if (!shard.assignments.get(id)!.returning) cores += type.cores
  const ending = new Array<number>(HORIZON_S).fill(0)
  for (const job of shard.jobs.values()) {
    if (job.placements.size === 0) continue
    const executionS = shard.node.estimates.executionS(job.request)
    for (const { runningSince } of job.placements.values()) {
      const ranS = runningSince === null ? 0 : (now - runningSince) / 1000
      // One that overran its estimate may end at any time, or much later.
      const remainingS = ranS < executionS ? executionS - ranS : executionS / 3
      if (remainingS < HORIZON_S) ending[Math.floor(remainingS)]! += job.request.cores
    }
  }
  return { cores, ending }
}

export const jobViews = (shard: ShardView, now: MonotonicTime): ReadonlyArray<JobView> => {
  const wall = shard.node.clocks.wallNow()
  const ahead = new Map<TeamName, number>()
  const views: Array<JobView> = []
  const bySubmission = [...shard.jobs.values()].sort((a, b) => a.submitted - b.submitted)
  for (const job of bySubmission) {
    if (job.cancelled || job.allFinished) continue
    const { request } = job
    const team = shard.node.platform.deployment.teams.find((t) => t.name === request.team)
    const suspect = shard.failures.isSuspect(job.id)
    const demand = (ahead.get(request.team) ?? 0) + (job.taskCount - job.done) * request.cores
    // A job that seems to have a mistake holds no guarantee against its team's others.
    if (!suspect) ahead.set(request.team, demand)
    const ageS = Math.max(0, (wall - job.submitted) / 1000)
    const executionS = shard.node.estimates.executionS(request)
    const zones = new Map<ZoneName, number>()
    if (request.singleZone || request.spreadZones) {
      for (const placement of job.placements.values()) {
        const zone = shard.machines.get(placement.machine)?.entry.zone
        if (zone !== undefined) zones.set(zone, (zones.get(zone) ?? 0) + 1)
      }
    }
    views.push({
      id: job.id,
      request,
      rank: suspect ? SUSPECT_RANK : priorityRank[request.priority],
      queued: shard.failures.startable(job, now),
      running: job.placements.size - job.stopping,
      zones,
      timeLeftS: timeLeft(shard, request, ageS, executionS),
      ageS,
      submitted: job.submitted,
      executionS,
      startWithinS: nextTarget(startTargets(shard, request.jobClass, executionS), ageS, 0),
      unbegun: job.notStarted && !suspect,
      withinGuarantee: !suspect && team !== undefined && demand <= team.cpus,
      mayStart: job.retryAfter === null || now >= job.retryAfter,
      avoids: shard.failures.avoidedBy(job.id, now),
    })
  }
  return views
}

/** Seconds after submission within which the aims want tasks of a lane started, soonest first. */
export const startTargets = (
  shard: ShardView,
  jobClass: string,
  executionS: number,
): ReadonlyArray<number> => {
  const targets: Array<number> = []
  for (const { kind, withinS, jobClass: of } of shard.node.platform.deployment.objectives) {
    if (of !== jobClass || withinS == null) continue
    if (kind === "wait") targets.push(withinS)
    else if (kind === "finished") targets.push(withinS - executionS)
  }
  return targets.sort((a, b) => a - b)
}

/** A deadline that is missed may still have aims at a multiple of it. */
const timeLeft = (shard: ShardView, request: JobSpec, ageS: number, executionS: number): number | null => {
  if (request.deadlineS == null) return null
  const due = request.deadlineS
  const targets = [due]
  for (const { kind, jobClass: of, deadlineMultiple: times } of shard.node.platform.deployment.objectives)
    if (kind === "deadline" && of === request.jobClass && times != null && times > 1)
      targets.push(due * times)
  const target = nextTarget(
    targets.sort((a, b) => a - b),
    ageS,
    executionS * REACH,
  )
  return (target ?? due) - ageS
}

export const machineViews = (
  shard: ShardView,
  now: MonotonicTime,
  reserve: Reserve,
  /** Also those in the pool without any room: nothing can be placed there, or given back. */
  full: boolean,
): ReadonlyArray<MachineView> => {
  const views: Array<MachineView> = []
  for (const session of shard.machines.values()) {
    const assignment = shard.assignments.get(session.id)!
    if (!full && assignment.assignedJob === null && session.free.cores <= EPSILON) continue
    const { type, entry } = session
    const bootingS = (now - assignment.rentedAt) / 1000
    const state =
      assignment.returning || assignment.moving || session.warningUntil !== null
        ? "away"
        : session.usable(now)
          ? assignment.closing
            ? "closing"
            : "up"
          : session.lastHeard === NEVER &&
              (bootingS < type.bootS * OVERDUE_BOOT || now < addMs(assignment.knownSince, FIRST_REPORTS_MS))
            ? "coming"
            : "away"
    views.push({
      id: session.id,
      type,
      zone: entry.zone,
      spot: entry.spot,
      free: session.free,
      busyTasks: session.placements.size,
      images: session.images,
      reserved: isReserved(session.free, session.images, reserve),
      state,
      assignedJob: assignment.assignedJob,
    })
  }
  for (const [name, rental] of shard.pendingRentals) {
    for (let i = 0; i < rental.count; i++) {
      const { type, zone, spot } = rental.offer
      views.push({
        id: `${name}/${i}` as MachineId,
        type,
        zone,
        spot,
        free: type,
        busyTasks: 0,
        images: new Set(),
        reserved: false,
        state: "coming",
        assignedJob: rental.assignedJob,
      })
    }
  }
  return views
}
