/**
 * Faults around node leases and the ownership of shards, and the check that a shard has
 * one owner at a time.
 */
import { DEADLINE_SHARD, shardOf } from "@sorreltally/membership"
import type { JobId, NodeName, ShardName } from "@sorreltally/protocol"
import type { Deployment } from "../simulation/deployment.ts"

/** A cancelled job still has this much of its estimate to go, so that only a stop ends its tasks. */
const LONG_TO_GO_S = 20
/** Cancellations are spread over this time around the change of hands. */
const CANCEL_WITHIN_MS = 900
/** A cancellation confirmed this soon after its job's shard changed hands met the change. */
const OWNER_CHANGE_MS = 3_000

interface ShardRecord {
  readonly owner: NodeName | null
  readonly incarnation: string | null
}

/**
 * Faults around leases and shards: leaders that end one after another, jobs
 * cancelled while their shard changes hands, and counts of what really met.
 */
export class MembershipFaults {
  readonly count = {
    /** Shards released for another node, and shards taken by one. */
    handBacks: 0,
    takeOvers: 0,
    /** Of the failovers, those of the leader's shard; and those by a process that owned the shard before. */
    leaderChanges: 0,
    retaken: 0,
    /** Cancellations confirmed in the moments after their job's shard changed hands. */
    cancelledAtHandOver: 0,
    /** Heartbeats answered 200 by a controller without state service to machines with tasks cancelled by then. */
    answersWithoutState: 0,
    /** Times that a controller obtained a lease and published it. */
    joins: 0,
    /** From the ends of leaders that a scenario brought about to the next failover of their shard. */
    secondsWithoutLeader: 0,
  }
  private cancelAtOwnerChange = { perChange: 0, until: 0 }
  private leaderEndedAt: number | null = null
  private readonly changedAt = new Map<ShardName, number>()
  private readonly records = new Map<ShardName, ShardRecord>()

  constructor(private readonly deployment: Deployment) {
    deployment.state.listeners.push((key, value) => this.changed(key, value))
    deployment.users.listeners.push((event, job) => {
      if (event === "cancelled") this.cancelled(job)
    })
  }
  /** The owner on record still has the live key under which it took the shard over. */
  private leaseIsHeld({ owner, incarnation }: ShardRecord): boolean {
    const live = this.deployment.state.entries.get(`s/live/${owner}`)?.value as
      | { incarnation: string }
      | undefined
    return live !== undefined && live.incarnation === incarnation
  }

  /** Are jobs cancelled at changes of owner? */
  areOn(): boolean {
    return this.deployment.simulation.now < this.cancelAtOwnerChange.until
  }
  /** The controller that owns the leader's shard by the record; the first one if none does. */
  leader(): NodeName {
    const record = this.deployment.state.entries.get(`s/part/${DEADLINE_SHARD}`)?.value as
      | ShardRecord
      | undefined
    return record?.owner ?? this.deployment.names[0]!
  }
  /** The leader of the moment ends, again and again. */
  endLeaders(times: number, everyMs: number, backAfterMs: number): void {
    for (let i = 0; i < times; i++)
      this.deployment.simulation.after(i * everyMs, () => this.endLeader(backAfterMs))
  }
  endLeader(backAfterMs: number): void {
    this.leaderEndedAt ??= this.deployment.simulation.now
    this.deployment.crash(this.leader(), backAfterMs)
  }
  /** Some running jobs of each shard that changes hands are cancelled in that moment. */
  cancelAtOwnerChanges(perChange: number, forMs: number): void {
    this.cancelAtOwnerChange = { perChange, until: this.deployment.simulation.now + forMs }
  }
  /** A heartbeat from this machine was answered 200. */
  answered(node: string, machine: string): void {
    if (!this.deployment.state.isOutFor(node)) return
    if (this.deployment.invariants.hasCancelledTask(machine)) this.count.answersWithoutState++
  }

  private changed(key: string, value: unknown): void {
    if (key.startsWith("s/live/") && value !== null) this.count.joins++
    if (key.startsWith("s/part/") && value !== null)
      this.shardChanged(key.slice("s/part/".length) as ShardName, value as ShardRecord)
  }
  private shardChanged(shard: ShardName, record: ShardRecord): void {
    const { simulation } = this.deployment
    const former = this.records.get(shard) ?? { owner: null, incarnation: null }
    this.records.set(shard, record)
    this.changedAt.set(shard, simulation.now)
    this.checkSingleOwner(shard, former, record)
    if (record.owner === null) {
      this.count.handBacks++
    } else {
      this.count.takeOvers++
      if (shard === DEADLINE_SHARD) this.leaderChanged()
      if (former.incarnation === record.incarnation) this.count.retaken++
    }
    const { perChange, until } = this.cancelAtOwnerChange
    if (simulation.now >= until) return
    const jobs = this.deployment.invariants
      .jobsWithLongToGo(LONG_TO_GO_S)
      .filter((job) => this.shardOfJob(job) === shard)
    for (const job of jobs.slice(0, perChange))
      simulation.after(simulation.random.between(0, CANCEL_WITHIN_MS), () =>
        this.deployment.users.cancel(job as JobId),
      )
  }
  private leaderChanged(): void {
    this.count.leaderChanges++
    if (this.leaderEndedAt === null) return
    this.count.secondsWithoutLeader += (this.deployment.simulation.now - this.leaderEndedAt) / 1000
    this.leaderEndedAt = null
  }
  /** A shard changes hands when its owner's lease has ended, or the owner has let it go: never before. */
  private checkSingleOwner(shard: ShardName, former: ShardRecord, record: ShardRecord): void {
    const { invariants, simulation } = this.deployment
    if (former.owner === null || former.incarnation === record.incarnation) return
    if (!this.leaseIsHeld(former)) return
    if (record.owner === null && !this.hasAcquired(former.owner, shard)) return
    const to = record.owner ?? "nobody"
    invariants.broken.push(
      `two_owners at ${(simulation.now / 1000).toFixed(1)} s: ${shard} of ${former.owner} given to ${to}`,
    )
  }
  /** The last that a controller logged of the shard is that it has taken it. */
  private hasAcquired(node: NodeName, shard: ShardName): boolean {
    const { logged } = this.deployment
    for (let i = logged.length - 1; i >= 0; i--) {
      const line = logged[i]!
      if (!line.includes(` ${node} info shard `) || !line.includes(`{"shard":"${shard}"`)) continue
      if (line.includes("shard acquired")) return true
      if (line.includes("shard lost")) return false
    }
    return false
  }
  private shardOfJob(job: string): ShardName {
    const hasDeadline = this.deployment.invariants.submitted.get(job)?.due_s != null
    return shardOf(job as JobId, hasDeadline, this.deployment.names.length)
  }
  private cancelled(job: string): void {
    const at = this.changedAt.get(this.shardOfJob(job))
    if (at !== undefined && this.deployment.simulation.now <= at + OWNER_CHANGE_MS)
      this.count.cancelledAtHandOver++
  }
}
