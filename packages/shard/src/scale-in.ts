/**
 * Scale in: decides which healthy machines are released, or lent to another shard, at the end of their
 * billing window. Within the window a machine is paid for, so it is kept; at the end it is kept only if it is
 * needed.
 */
import { isEligible, type MachineDemand, type Reserve, slotsIn, spareCores } from "@sorreltally/planner"
import type { JobId, JobSpec, MachineId, MonotonicTime, ShardName } from "@sorreltally/protocol"
import type { WorkerSession } from "@sorreltally/workers"
import type { ReleaseReason } from "./machine-release.ts"
import { machineViews } from "./planner-input.ts"
import type { MachineAssignment, ShardView } from "./shard-context.ts"

/** Minimum time that the cloud bills for a machine: an earlier release saves nothing. */
const MIN_BILLED_MS = 60_000
/** Machines are due this long before their window ends: time for two checks and the request. */
const RELEASE_LEAD_MS = 2_500

/** Options of scale in: its shard, and what it uses of planning, lending and release. */
export interface ScaleInOptions {
  readonly shard: ShardView
  /** Releases a machine. */
  readonly release: (session: WorkerSession, reason: ReleaseReason) => void
  /** Lends an empty machine to the shard `to`. */
  readonly lend: (session: WorkerSession, to: ShardName, demands: ReadonlyArray<MachineDemand>) => void
  /** Whether some work recently needed machines that spot couldn't provide. */
  readonly onDemandNeeded: () => boolean
  /** Capacity to keep free for future jobs that have to start soon. */
  readonly reserve: () => Reserve
  /** Whether the machine is empty and the last plan found no use for it. */
  readonly isIdle: (id: MachineId) => boolean
  /** Jobs that the last plan found limited by their teams' quota. */
  readonly quotaLimitedJobs: () => ReadonlySet<JobId>
}

/** State of one round of checks: read once before the first machine, except for `dueForRelease`. */
export interface ScaleInRound {
  readonly now: MonotonicTime
  /** Length of a billing window in ms. */
  readonly windowMs: number
  /** Other shards' demand for machines. */
  readonly demands: ReadonlyArray<MachineDemand>
  readonly hasSpotMachineUp: boolean
  /** Queued jobs that aren't limited by their teams' quota: an idle machine could take their tasks. */
  readonly startableJobs: ReadonlyArray<JobSpec>
  /** Machines that the round found due for release so far. */
  readonly dueForRelease: Array<WorkerSession>
}

/** Scale in of one shard. */
export class ScaleIn {
  constructor(private readonly options: ScaleInOptions) {}

  /** Starts a round: call `checkMachine` for each healthy machine that is up, then `finishRound`. */
  beginRound(now: MonotonicTime): ScaleInRound {
    const { shard } = this.options
    const { machines: demands } = shard.node.demandOfOtherShards(shard.name)
    const windowMs = shard.node.operators.provisioning.windowS * 1000
    let hasSpotMachineUp = false
    for (const session of shard.machines.values()) hasSpotMachineUp ||= session.entry.spot && session.isUp
    return {
      now,
      windowMs,
      demands,
      hasSpotMachineUp,
      startableJobs: this.startableJobs(now),
      dueForRelease: [],
    }
  }

  /** Checks whether a machine is due for release; releases a closing machine as soon as it is empty. */
  checkMachine(round: ScaleInRound, session: WorkerSession, assignment: MachineAssignment): void {
    const { release, onDemandNeeded, quotaLimitedJobs, isIdle } = this.options
    const ageMs = round.now - assignment.rentedAt
    const isWithinWindow =
      ageMs < MIN_BILLED_MS - RELEASE_LEAD_MS || ageMs % round.windowMs <= round.windowMs - RELEASE_LEAD_MS
    if (isWithinWindow) {
      if (assignment.isDrainingForRelease && session.placements.size === 0) release(session, "drained")
      return
    }
    if (
      !session.entry.spot &&
      round.hasSpotMachineUp &&
      !onDemandNeeded() &&
      !isUrgentlyDemanded(round.demands, session)
    )
      assignment.isDrainingForRelease = true
    if (session.placements.size > 0 || assignment.assignedJob !== null) return
    if (round.startableJobs.some((spec) => slotsIn(spec, session.type) > 0)) return
    // Otherwise machines would be kept for queued work that can't start because of its team's limit.
    if (quotaLimitedJobs().size > 0 && !isIdle(session.id)) return
    round.dueForRelease.push(session)
  }

  /** Releases or lends the machines found due, except those that the reserve needs. */
  finishRound({ now, demands, dueForRelease }: ScaleInRound): void {
    if (dueForRelease.length === 0) return
    const { shard } = this.options
    const reserve = this.options.reserve()
    const views = new Map(machineViews(shard, now, reserve, false).map((view) => [view.id, view]))
    let spare = spareCores(views.values(), reserve)
    for (const session of dueForRelease) {
      const view = views.get(session.id)
      if (view?.reserved === true) {
        // Without it, machines with the reserve's images would have less free capacity than the reserve.
        if (spare < view.free.cores) continue
        spare -= view.free.cores
      }
      this.lendOrRelease(session, demands)
    }
  }

  /** Lends a machine that isn't needed here to a shard that demands one like it, or else releases it. */
  private lendOrRelease(session: WorkerSession, demands: ReadonlyArray<MachineDemand>): void {
    const { shard, release, lend } = this.options
    const { zone, spot } = session.entry
    const offer = { type: session.type, zone, spot }
    const isClosing = shard.assignments.get(session.id)!.isDrainingForRelease
    const borrower = isClosing ? undefined : demands.find((demand) => isEligible(demand.shape, offer))
    if (borrower === undefined) release(session, "window end")
    else lend(session, borrower.shard, demands)
  }

  private startableJobs(now: MonotonicTime): ReadonlyArray<JobSpec> {
    const { shard } = this.options
    const quotaLimitedJobs = this.options.quotaLimitedJobs()
    const specs: Array<JobSpec> = []
    for (const job of shard.jobs.values())
      if (shard.failures.startableCount(job, now) > 0 && !job.cancelled && !quotaLimitedJobs.has(job.id))
        specs.push(job.spec)
    return specs
  }
}

/** Whether another shard needs such a machine so soon that it would otherwise rent an on-demand one. */
const isUrgentlyDemanded = (
  demands: ReadonlyArray<MachineDemand>,
  { type, entry }: WorkerSession,
): boolean => {
  const offer = { type, zone: entry.zone, spot: entry.spot }
  return demands.some((demand) => demand.urgentTasks > 0 && isEligible(demand.shape, offer))
}
