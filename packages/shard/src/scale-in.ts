/**
 * Scale in: which healthy machines are released, or lent to another shard, at the end of their billing window.
 * Within the window a machine is paid for, so it is kept; at its end it is kept only when it is of use.
 */
import { isEligible, type MachineDemand, type Reserve, slotsIn, spareCores } from "@sorreltally/planner"
import type { JobId, JobSpec, MachineId, MonotonicTime, ShardName } from "@sorreltally/protocol"
import type { WorkerSession } from "@sorreltally/workers"
import type { ReleaseReason } from "./machine-release.ts"
import { machineViews } from "./planner-input.ts"
import type { MachineAssignment, ShardView } from "./shard-context.ts"

/** Time that the cloud bills at least for a machine: an earlier release saves nothing. */
const MIN_BILLED_MS = 60_000
/** So long before a window's end its machines are due: two checks and the request's time. */
const RELEASE_LEAD_MS = 2_500

/** What scale in uses of its shard's planning, lending and release. */
export interface ScaleInOptions {
  readonly shard: ShardView
  /** Releases a machine. */
  readonly release: (session: WorkerSession, reason: ReleaseReason) => void
  /** Lends an empty machine to the shard `to`. */
  readonly lend: (session: WorkerSession, to: ShardName, demands: ReadonlyArray<MachineDemand>) => void
  /** Was there lately work that spot machines couldn't take? */
  readonly onDemandNeeded: () => boolean
  /** Room to be kept for jobs to come. */
  readonly reserve: () => Reserve
  /** Did the last plan find no use for this empty machine? */
  readonly isIdle: (id: MachineId) => boolean
  /** Jobs that the last plan found held back by their teams' limits. */
  readonly quotaLimitedJobs: () => ReadonlySet<JobId>
}

/** What one round of checks knows, read once before its first machine. */
export interface ScaleInRound {
  readonly now: MonotonicTime
  /** Length of a billing window in ms. */
  readonly windowMs: number
  /** Other shards' demand for machines. */
  readonly demands: ReadonlyArray<MachineDemand>
  readonly hasSpotUp: boolean
  /** Requests of the queued jobs that no limit holds back: an idle machine could take their tasks. */
  readonly startable: ReadonlyArray<JobSpec>
  /** Machines that the round found due for release. */
  readonly due: Array<WorkerSession>
}

/** Decides which of one shard's machines are released at the end of their billing windows. */
export class ScaleIn {
  constructor(private readonly options: ScaleInOptions) {}

  /** Opens a round; `consider` takes each healthy machine that is up, `finish` releases those found due. */
  begin(now: MonotonicTime): ScaleInRound {
    const { shard } = this.options
    const { machines: demands } = shard.node.demandOfOthers(shard.name)
    const windowMs = shard.node.operators.provisioning.windowS * 1000
    let hasSpotUp = false
    for (const session of shard.machines.values()) hasSpotUp ||= session.entry.spot && session.isUp
    return { now, windowMs, demands, hasSpotUp, startable: this.startableRequests(now), due: [] }
  }

  /** Takes up a machine that is up; releases it at once if it is closing and has become empty. */
  consider(round: ScaleInRound, session: WorkerSession, assignment: MachineAssignment): void {
    const { release, onDemandNeeded, quotaLimitedJobs, isIdle } = this.options
    const ageMs = round.now - assignment.rentedAt
    const isWithinWindow =
      ageMs < MIN_BILLED_MS - RELEASE_LEAD_MS || ageMs % round.windowMs <= round.windowMs - RELEASE_LEAD_MS
    if (isWithinWindow) {
      if (assignment.closing && session.placements.size === 0) release(session, "drained")
      return
    }
    if (!session.entry.spot && round.hasSpotUp && !onDemandNeeded() && !isPressing(round.demands, session))
      assignment.closing = true
    if (session.placements.size > 0 || assignment.assignedJob !== null) return
    if (round.startable.some((request) => slotsIn(request, session.type) > 0)) return
    // Guards against holding machines for queued work of which a team's limit lets nothing start.
    if (quotaLimitedJobs().size > 0 && !isIdle(session.id)) return
    round.due.push(session)
  }

  /** Releases or lends the machines found due, except those that the reserve needs. */
  finish({ now, demands, due }: ScaleInRound): void {
    if (due.length === 0) return
    const { shard } = this.options
    const reserve = this.options.reserve()
    const views = new Map(machineViews(shard, now, reserve, false).map((view) => [view.id, view]))
    let spare = spareCores(views.values(), reserve)
    for (const session of due) {
      const view = views.get(session.id)
      if (view?.reserved === true) {
        // Without it, less room than the reserve would be left beside the reserve's images.
        if (spare < view.free.cores) continue
        spare -= view.free.cores
      }
      this.lendOrRelease(session, demands)
    }
  }

  /** Of no use here: another shard may have demand for it before it is released. */
  private lendOrRelease(session: WorkerSession, demands: ReadonlyArray<MachineDemand>): void {
    const { shard, release, lend } = this.options
    const { zone, spot } = session.entry
    const offer = { type: session.type, zone, spot }
    const isClosing = shard.assignments.get(session.id)!.closing
    const borrower = isClosing ? undefined : demands.find((demand) => isEligible(demand.shape, offer))
    if (borrower === undefined) release(session, "window end")
    else lend(session, borrower.shard, demands)
  }

  private startableRequests(now: MonotonicTime): ReadonlyArray<JobSpec> {
    const { shard } = this.options
    const quotaLimitedJobs = this.options.quotaLimitedJobs()
    const requests: Array<JobSpec> = []
    for (const job of shard.jobs.values())
      if (shard.failures.startable(job, now) > 0 && !job.cancelled && !quotaLimitedJobs.has(job.id))
        requests.push(job.spec)
    return requests
  }
}

/** Does another shard need such a machine so soon that it would otherwise rent an on-demand one of its own? */
const isPressing = (demands: ReadonlyArray<MachineDemand>, { type, entry }: WorkerSession): boolean => {
  const offer = { type, zone: entry.zone, spot: entry.spot }
  return demands.some((demand) => demand.urgentTasks > 0 && isEligible(demand.shape, offer))
}
