import { DEADLINE, partOf } from "@sorreltally/membership"
import type { JobId, NodeName, PartName } from "@sorreltally/wire"
import type { World } from "./world.ts"

/** A cancelled job still has this much of its estimate to go, so that only a stop ends its tasks. */
const LONG_TO_GO_S = 20
/** Cancellations are spread over this time around the change of hands. */
const CANCEL_WITHIN_MS = 900
/** A cancellation confirmed this soon after its job's part changed hands met the change. */
const HAND_OVER_MS = 3_000

interface PartOnRecord {
  readonly owner: NodeName | null
  readonly incarnation: string | null
}

/**
 * Troubles around grants and parts: leaders that end one after another, jobs
 * cancelled while their part changes hands, and counts of what really met.
 */
export class MembershipTroubles {
  readonly count = {
    /** Parts released for another node, and parts taken by one. */
    handBacks: 0,
    takeOvers: 0,
    /** Of the take-overs, those of the leader's part; and those by a process that owned the part before. */
    leaderChanges: 0,
    retaken: 0,
    /** Cancellations confirmed in the moments after their job's part changed hands. */
    cancelledAtHandOver: 0,
    /** Reports answered 200 by a controller without state service to machines with tasks cancelled by then. */
    answersWithoutState: 0,
    /** Times that a controller obtained a grant and told so. */
    joins: 0,
  }
  private cancelAtHandOvers = { perChange: 0, until: 0 }
  private readonly changedAt = new Map<PartName, number>()
  private readonly formerOwners = new Map<PartName, string | null>()

  constructor(private readonly world: World) {
    world.state.listeners.push((path, value) => this.changed(path, value))
    world.users.on.push((event, job) => {
      if (event === "cancelled") this.cancelled(job)
    })
  }

  /** Are jobs cancelled at hand-overs? */
  areOn(): boolean {
    return this.world.sim.now < this.cancelAtHandOvers.until
  }
  /** The controller that owns the leader's part by the record; the first one if none does. */
  leader(): NodeName {
    const record = this.world.state.keys.get(`s/part/${DEADLINE}`)?.v as PartOnRecord | undefined
    return record?.owner ?? this.world.names[0]!
  }
  /** The leader of the moment ends, again and again. */
  endLeaders(times: number, everyMs: number, backAfterMs: number): void {
    for (let i = 0; i < times; i++)
      this.world.sim.after(i * everyMs, () => this.world.crash(this.leader(), backAfterMs))
  }
  /** Some running jobs of each part that changes hands are cancelled in that moment. */
  cancelAtEachHandOver(perChange: number, forMs: number): void {
    this.cancelAtHandOvers = { perChange, until: this.world.sim.now + forMs }
  }
  /** A report from this machine was answered 200. */
  answered(node: string, machine: string): void {
    if (!this.world.state.isOutFor(node)) return
    if (this.world.rules.hasCancelledTask(machine)) this.count.answersWithoutState++
  }

  private changed(path: string, value: unknown): void {
    if (path.startsWith("s/live/") && value !== null) this.count.joins++
    if (path.startsWith("s/part/") && value !== null)
      this.partChanged(path.slice("s/part/".length) as PartName, value as PartOnRecord)
  }
  private partChanged(part: PartName, { owner, incarnation }: PartOnRecord): void {
    const { sim } = this.world
    this.changedAt.set(part, sim.now)
    if (owner === null) {
      this.count.handBacks++
    } else {
      this.count.takeOvers++
      if (part === DEADLINE) this.count.leaderChanges++
      if (this.formerOwners.get(part) === incarnation) this.count.retaken++
      this.formerOwners.set(part, incarnation)
    }
    const { perChange, until } = this.cancelAtHandOvers
    if (sim.now >= until) return
    const jobs = this.world.rules.jobsWithLongToGo(LONG_TO_GO_S).filter((job) => this.partOf(job) === part)
    for (const job of jobs.slice(0, perChange))
      sim.after(sim.luck.between(0, CANCEL_WITHIN_MS), () => this.world.users.cancel(job as JobId))
  }
  private partOf(job: string): PartName {
    const hasDeadline = this.world.rules.submitted.get(job)?.due_s != null
    return partOf(job as JobId, hasDeadline, this.world.names.length)
  }
  private cancelled(job: string): void {
    const at = this.changedAt.get(this.partOf(job))
    if (at !== undefined && this.world.sim.now <= at + HAND_OVER_MS) this.count.cancelledAtHandOver++
  }
}
