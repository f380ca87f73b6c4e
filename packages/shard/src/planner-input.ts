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
import type { PartView } from "./shard-context.ts"

/** Times `startup_s` after which a boot no longer counts as coming: the design's weak spot, see docs/design.md. */
const OVERDUE_BOOT = 1.6
/** After a take-over, time in which the machines' first reports come in. */
const FIRST_REPORTS_MS = 8_000

export const teamUse = (part: PartView): Map<TeamName, TeamRoom> => {
  const used = new Map<TeamName, TeamRoom>()
  for (const team of part.ctx.platform.facts.teams) used.set(team.name, { cores: 0, accelerators: 0 })
  for (const job of part.jobs.values()) {
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
export const loadOf = (part: PartView, now: MonotonicTime): Load => {
  let cores = 0
  for (const { id, type } of part.machines.values())
    if (!part.tenancies.get(id)!.returning) cores += type.cores
  const ending = new Array<number>(HORIZON_S).fill(0)
  for (const job of part.jobs.values()) {
    if (job.placements.size === 0) continue
    const executionS = part.ctx.estimates.executionS(job.request)
    for (const { runningSince } of job.placements.values()) {
      const ranS = runningSince === null ? 0 : (now - runningSince) / 1000
      // One that overran its estimate may end at any time, or much later.
      const remainingS = ranS < executionS ? executionS - ranS : executionS / 3
      if (remainingS < HORIZON_S) ending[Math.floor(remainingS)]! += job.request.cores
    }
  }
  return { cores, ending }
}

export const jobViews = (part: PartView, now: MonotonicTime): ReadonlyArray<JobView> => {
  const wall = part.ctx.time.wallNow()
  const ahead = new Map<TeamName, number>()
  const views: Array<JobView> = []
  const bySubmission = [...part.jobs.values()].sort((a, b) => a.submitted - b.submitted)
  for (const job of bySubmission) {
    if (job.cancelled || job.complete) continue
    const { request } = job
    const team = part.ctx.platform.facts.teams.find((t) => t.name === request.team)
    const suspect = part.failures.isSuspect(job.id)
    const demand = (ahead.get(request.team) ?? 0) + (job.taskCount - job.done) * request.cores
    // A job that seems to have a mistake holds no guarantee against its team's others.
    if (!suspect) ahead.set(request.team, demand)
    const ageS = Math.max(0, (wall - job.submitted) / 1000)
    const executionS = part.ctx.estimates.executionS(request)
    const zones = new Map<ZoneName, number>()
    if (request.singleZone || request.spreadZones) {
      for (const placement of job.placements.values()) {
        const zone = part.machines.get(placement.machine)?.entry.zone
        if (zone !== undefined) zones.set(zone, (zones.get(zone) ?? 0) + 1)
      }
    }
    views.push({
      id: job.id,
      request,
      rank: suspect ? SUSPECT_RANK : priorityRank[request.priority],
      queued: part.failures.startable(job, now),
      running: job.placements.size - job.leaving,
      zones,
      timeLeftS: timeLeft(part, request, ageS, executionS),
      ageS,
      submitted: job.submitted,
      executionS,
      startWithinS: nextTarget(startTargets(part, request.jobClass, executionS), ageS, 0),
      unbegun: job.unbegun && !suspect,
      withinGuarantee: !suspect && team !== undefined && demand <= team.cpus,
      mayStart: job.notBefore === null || now >= job.notBefore,
      avoids: part.failures.avoidedBy(job.id, now),
    })
  }
  return views
}

/** Seconds after submission within which the aims want tasks of a lane started, soonest first. */
export const startTargets = (part: PartView, lane: string, executionS: number): ReadonlyArray<number> => {
  const targets: Array<number> = []
  for (const { kind, within_s, class: of } of part.ctx.platform.facts.objectives) {
    if (of !== lane || within_s == null) continue
    if (kind === "wait") targets.push(within_s)
    else if (kind === "finished") targets.push(within_s - executionS)
  }
  return targets.sort((a, b) => a - b)
}

/** A deadline that is missed may still have aims at a multiple of it. */
const timeLeft = (part: PartView, request: JobSpec, ageS: number, executionS: number): number | null => {
  if (request.deadlineS == null) return null
  const due = request.deadlineS
  const targets = [due]
  for (const { kind, class: of, times } of part.ctx.platform.facts.objectives)
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
  part: PartView,
  now: MonotonicTime,
  reserve: Reserve,
  /** Also those in the pool without any room: nothing can be placed there, or given back. */
  full: boolean,
): ReadonlyArray<MachineView> => {
  const views: Array<MachineView> = []
  for (const session of part.machines.values()) {
    const tenancy = part.tenancies.get(session.id)!
    if (!full && tenancy.holder === null && session.free.cores <= EPSILON) continue
    const { type, entry } = session
    const bootingS = (now - tenancy.rentedAt) / 1000
    const state =
      tenancy.returning || tenancy.moving || session.warningUntil !== null
        ? "away"
        : session.usable(now)
          ? tenancy.closing
            ? "closing"
            : "up"
          : session.lastHeard === NEVER &&
              (bootingS < type.bootS * OVERDUE_BOOT || now < addMs(tenancy.knownSince, FIRST_REPORTS_MS))
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
      holder: tenancy.holder,
    })
  }
  for (const [name, hire] of part.hiring) {
    for (let i = 0; i < hire.count; i++) {
      const { type, zone, spot } = hire.hireable
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
        holder: hire.holder,
      })
    }
  }
  return views
}
