/** Faults around node leases and shard ownership, and the check that a shard has one owner at a time. */
import { DEADLINE_SHARD, shardOf } from "@sorreltally/membership"
import type { JobId, NodeName, ShardName } from "@sorreltally/protocol"
import type { Deployment } from "../simulation/deployment.ts"

/** Cancelled jobs have at least this much of their estimate left, so that only a stop ends their tasks. */
const MIN_TIME_LEFT_S = 20
/** Cancellations are spread over this time after a change of owner. */
const CANCEL_SPREAD_MS = 900
/** A cancellation confirmed this soon after the job's shard changed owner coincides with the change. */
const OWNER_CHANGE_EFFECT_MS = 3_000

interface ShardRecord {
  readonly owner: NodeName | null
  readonly incarnation: string | null
}

/**
 * Faults around leases and shards: leaders that crash one after another, jobs cancelled while their shard
 * changes owner, and counts of the events that actually coincided.
 */
export class MembershipFaults {
  readonly count = {
    /** Shards relinquished, and shards acquired. */
    handBacks: 0,
    takeOvers: 0,
    /** Of the shards acquired: those that were the leader's, and those acquired again by the same process. */
    leaderChanges: 0,
    retaken: 0,
    /** Cancellations confirmed within seconds after the job's shard changed owner. */
    cancelledAtHandOver: 0,
    /** Heartbeats of machines with cancelled tasks that a controller without state service answered 200. */
    answersWithoutState: 0,
    /** Node leases that controllers obtained and published. */
    joins: 0,
    /** Seconds from injected crashes of the leader to the next acquisition of its shard, in total. */
    secondsWithoutLeader: 0,
  }
  private ownerChangeCancellations = { perChange: 0, until: 0 }
  private leaderCrashedAt: number | null = null
  private readonly ownerChangedAt = new Map<ShardName, number>()
  private readonly shardRecords = new Map<ShardName, ShardRecord>()

  constructor(private readonly deployment: Deployment) {
    deployment.state.listeners.push((key, value) => this.recordChanged(key, value))
    deployment.users.listeners.push((event, job) => {
      if (event === "cancelled") this.cancellationConfirmed(job)
    })
  }
  /** The recorded owner still has the live key under which it acquired the shard. */
  private leaseIsHeld({ owner, incarnation }: ShardRecord): boolean {
    const liveRecord = this.deployment.state.entries.get(`s/live/${owner}`)?.value as
      | { incarnation: string }
      | undefined
    return liveRecord !== undefined && liveRecord.incarnation === incarnation
  }

  /** Whether jobs are cancelled at changes of owner now. */
  areActive(): boolean {
    return this.deployment.simulation.now < this.ownerChangeCancellations.until
  }
  /** The recorded owner of the leader's shard; the first controller if there is none. */
  currentLeader(): NodeName {
    const record = this.deployment.state.entries.get(`s/part/${DEADLINE_SHARD}`)?.value as
      | ShardRecord
      | undefined
    return record?.owner ?? this.deployment.names[0]!
  }
  /** Crashes the current leader `times` times, once every `intervalMs`. */
  crashLeaders(times: number, intervalMs: number, restartAfterMs: number): void {
    for (let i = 0; i < times; i++)
      this.deployment.simulation.after(i * intervalMs, () => this.crashLeader(restartAfterMs))
  }
  /** Crashes the current leader, which starts again after `restartAfterMs`. */
  crashLeader(restartAfterMs: number): void {
    this.leaderCrashedAt ??= this.deployment.simulation.now
    this.deployment.crash(this.currentLeader(), restartAfterMs)
  }
  /** Cancels up to `perChange` running jobs of each shard that changes owner within `durationMs`. */
  cancelAtOwnerChanges(perChange: number, durationMs: number): void {
    this.ownerChangeCancellations = { perChange, until: this.deployment.simulation.now + durationMs }
  }
  /** A controller answered a heartbeat of this machine with 200. */
  heartbeatAnswered(node: string, machine: string): void {
    if (!this.deployment.state.isOutFor(node)) return
    if (this.deployment.invariants.hasCancelledTask(machine)) this.count.answersWithoutState++
  }

  private recordChanged(key: string, value: unknown): void {
    if (key.startsWith("s/live/") && value !== null) this.count.joins++
    if (key.startsWith("s/part/") && value !== null)
      this.shardChanged(key.slice("s/part/".length) as ShardName, value as ShardRecord)
  }
  private shardChanged(shard: ShardName, record: ShardRecord): void {
    const { simulation } = this.deployment
    const previous = this.shardRecords.get(shard) ?? { owner: null, incarnation: null }
    this.shardRecords.set(shard, record)
    this.ownerChangedAt.set(shard, simulation.now)
    this.checkSingleOwner(shard, previous, record)
    if (record.owner === null) {
      this.count.handBacks++
    } else {
      this.count.takeOvers++
      if (shard === DEADLINE_SHARD) this.leaderChanged()
      if (previous.incarnation === record.incarnation) this.count.retaken++
    }
    const { perChange, until } = this.ownerChangeCancellations
    if (simulation.now >= until) return
    const jobs = this.deployment.invariants
      .jobsWithTimeLeft(MIN_TIME_LEFT_S)
      .filter((job) => this.shardOfJob(job) === shard)
    for (const job of jobs.slice(0, perChange))
      simulation.after(simulation.random.between(0, CANCEL_SPREAD_MS), () =>
        this.deployment.users.cancel(job as JobId),
      )
  }
  private leaderChanged(): void {
    this.count.leaderChanges++
    if (this.leaderCrashedAt === null) return
    this.count.secondsWithoutLeader += (this.deployment.simulation.now - this.leaderCrashedAt) / 1000
    this.leaderCrashedAt = null
  }
  /** A shard changes owner only after its owner's lease has ended, or the owner has relinquished it. */
  private checkSingleOwner(shard: ShardName, previous: ShardRecord, record: ShardRecord): void {
    const { invariants, simulation } = this.deployment
    if (previous.owner === null || previous.incarnation === record.incarnation) return
    if (!this.leaseIsHeld(previous)) return
    if (record.owner === null && !this.hasAcquired(previous.owner, shard)) return
    const newOwner = record.owner ?? "none"
    const change = `${shard} passed from ${previous.owner} to ${newOwner} while ${previous.owner} held it`
    invariants.violations.push(`two_owners at ${(simulation.now / 1000).toFixed(1)} s: ${change}`)
  }
  /** The last log line of a controller about the shard says that it acquired the shard. */
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
  private cancellationConfirmed(job: string): void {
    const changedAt = this.ownerChangedAt.get(this.shardOfJob(job))
    if (changedAt !== undefined && this.deployment.simulation.now <= changedAt + OWNER_CHANGE_EFFECT_MS)
      this.count.cancelledAtHandOver++
  }
}
