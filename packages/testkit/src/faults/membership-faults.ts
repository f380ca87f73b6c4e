import { DEADLINE_SHARD, shardOf } from "@sorreltally/membership"
import type { JobId, NodeName, ShardName } from "@sorreltally/protocol"
import type { Deployment } from "../simulation/deployment.ts"

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
    /** From the ends of leaders that a scenario brought about to the next take-over of their part. */
    secondsWithoutLeader: 0,
  }
  private cancelAtHandOvers = { perChange: 0, until: 0 }
  private leaderEndedAt: number | null = null
  private readonly changedAt = new Map<ShardName, number>()
  private readonly onRecord = new Map<ShardName, PartOnRecord>()

  constructor(private readonly world: Deployment) {
    world.state.listeners.push((path, value) => this.changed(path, value))
    world.users.on.push((event, job) => {
      if (event === "cancelled") this.cancelled(job)
    })
  }
  /** The owner on record still has the live key under which it took the part over. */
  private stands({ owner, incarnation }: PartOnRecord): boolean {
    const live = this.world.state.keys.get(`s/live/${owner}`)?.v as { incarnation: string } | undefined
    return live !== undefined && live.incarnation === incarnation
  }

  /** Are jobs cancelled at hand-overs? */
  areOn(): boolean {
    return this.world.sim.now < this.cancelAtHandOvers.until
  }
  /** The controller that owns the leader's part by the record; the first one if none does. */
  leader(): NodeName {
    const record = this.world.state.keys.get(`s/part/${DEADLINE_SHARD}`)?.v as PartOnRecord | undefined
    return record?.owner ?? this.world.names[0]!
  }
  /** The leader of the moment ends, again and again. */
  endLeaders(times: number, everyMs: number, backAfterMs: number): void {
    for (let i = 0; i < times; i++) this.world.sim.after(i * everyMs, () => this.endLeader(backAfterMs))
  }
  endLeader(backAfterMs: number): void {
    this.leaderEndedAt ??= this.world.sim.now
    this.world.crash(this.leader(), backAfterMs)
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
      this.partChanged(path.slice("s/part/".length) as ShardName, value as PartOnRecord)
  }
  private partChanged(part: ShardName, record: PartOnRecord): void {
    const { sim } = this.world
    const former = this.onRecord.get(part) ?? { owner: null, incarnation: null }
    this.onRecord.set(part, record)
    this.changedAt.set(part, sim.now)
    this.checkOneOwner(part, former, record)
    if (record.owner === null) {
      this.count.handBacks++
    } else {
      this.count.takeOvers++
      if (part === DEADLINE_SHARD) this.leaderChanged()
      if (former.incarnation === record.incarnation) this.count.retaken++
    }
    const { perChange, until } = this.cancelAtHandOvers
    if (sim.now >= until) return
    const jobs = this.world.rules.jobsWithLongToGo(LONG_TO_GO_S).filter((job) => this.partOf(job) === part)
    for (const job of jobs.slice(0, perChange))
      sim.after(sim.luck.between(0, CANCEL_WITHIN_MS), () => this.world.users.cancel(job as JobId))
  }
  private leaderChanged(): void {
    this.count.leaderChanges++
    if (this.leaderEndedAt === null) return
    this.count.secondsWithoutLeader += (this.world.sim.now - this.leaderEndedAt) / 1000
    this.leaderEndedAt = null
  }
  /** A part changes hands when its owner's grant has ended, or the owner has let it go: never before. */
  private checkOneOwner(part: ShardName, former: PartOnRecord, record: PartOnRecord): void {
    const { rules, sim } = this.world
    if (former.owner === null || former.incarnation === record.incarnation) return
    if (!this.stands(former)) return
    if (record.owner === null && !this.hasTaken(former.owner, part)) return
    const to = record.owner ?? "nobody"
    rules.broken.push(
      `two_owners at ${(sim.now / 1000).toFixed(1)} s: ${part} of ${former.owner} given to ${to}`,
    )
  }
  /** The last that a controller logged of the part is that it has taken it. */
  private hasTaken(node: NodeName, part: ShardName): boolean {
    const { logged } = this.world
    for (let i = logged.length - 1; i >= 0; i--) {
      const line = logged[i]!
      if (!line.includes(` ${node} info shard `) || !line.includes(`{"shard":"${part}"`)) continue
      if (line.includes("shard acquired")) return true
      if (line.includes("shard lost")) return false
    }
    return false
  }
  private partOf(job: string): ShardName {
    const hasDeadline = this.world.rules.submitted.get(job)?.due_s != null
    return shardOf(job as JobId, hasDeadline, this.world.names.length)
  }
  private cancelled(job: string): void {
    const at = this.changedAt.get(this.partOf(job))
    if (at !== undefined && this.world.sim.now <= at + HAND_OVER_MS) this.count.cancelledAtHandOver++
  }
}
