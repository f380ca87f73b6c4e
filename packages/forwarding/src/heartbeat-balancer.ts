/**
 * Decides which node a worker should send its heartbeats to if one owner has too many workers to receive all
 * heartbeats itself. It only selects a node: it never answers a worker, and doesn't affect machine ownership.
 */
import {
  addMs,
  type Clocks,
  EARLIEST_TIME,
  type MachineId,
  type MonotonicTime,
  type NodeName,
} from "@sorreltally/protocol"

/**
 * Heartbeats per second and core up to which an owner receives all of them itself. At about 0.25 ms of
 * processor time each, a higher rate would take more than a quarter of the node's processor share. At a lower
 * rate, sharing costs all nodes together more than it saves: a third more if all heartbeats are shared
 * (docs/resources.md).
 */
const MAX_HEARTBEATS_PER_S_PER_CORE = 1_000
/** An owner stops sharing at this fraction of that rate: close to it, redirects cost more than they save. */
const STOP_SHARING_FRACTION = 0.7
/** Time constant of the exponentially weighted heartbeat rate. */
const RATE_WINDOW_MS = 4_000
/** A worker that returns within this time after a redirect could not be served by the other node. */
const EARLY_RETURN_MS = 20_000
/** Time for which a worker that returned early isn't redirected again. */
const REDIRECT_PAUSE_MS = 60_000
/**
 * A node redirects workers to another one if its heartbeat rate is at least this many times the other's rate,
 * plus `MIN_IMBALANCE_PER_S`.
 */
const IMBALANCE_RATIO = 1.3
const MIN_IMBALANCE_PER_S = 4
/** Fraction of the difference in rates that is redirected: measured rates lag, so more would overshoot. */
const REDIRECTED_FRACTION = 0.15

/** Exponentially weighted rate of events per second, which lags behind the actual rate. */
class DecayingRate {
  private perSecond = 0
  private updatedAt: MonotonicTime = EARLIEST_TIME
  constructor(private readonly windowMs: number) {}

  add(events: number, now: MonotonicTime): void {
    this.perSecond = this.read(now) + (1000 * events) / this.windowMs
    this.updatedAt = now
  }
  read(now: MonotonicTime): number {
    return this.updatedAt === EARLIEST_TIME
      ? 0
      : this.perSecond * Math.exp(-(now - this.updatedAt) / this.windowMs)
  }
}

/** Options of the heartbeat balancer. */
export interface HeartbeatBalancerOptions {
  readonly clocks: Clocks
  /** Processor cores available to this node; usually a fraction of one. */
  readonly cores: number
  /** Interval between two heartbeats of a worker, in seconds. */
  readonly heartbeatIntervalS: number
  /** Nodes that can receive heartbeats for other owners, with the heartbeats that they receive per second. */
  readonly recipients: () => ReadonlyMap<NodeName, number>
}

/**
 * Lets an owner of many machines share its workers' heartbeats with the other nodes: they receive them and
 * forward them in batches. Decisions and replies still come only from the owner.
 */
export class HeartbeatBalancer {
  private readonly receivedRate: DecayingRate
  private isSharing = false
  /** When workers were redirected, and until when those that returned early aren't redirected. */
  private readonly redirectedAt = new Map<MachineId, MonotonicTime>()
  private readonly redirectsPausedUntil = new Map<MachineId, MonotonicTime>()
  /** Heartbeats per second that were redirected to a node since the rate that it published changed. */
  private readonly redirectedRates = new Map<NodeName, { publishedRate: number; addedRate: number }>()
  /** Redirects due for rebalancing, accumulated in fractions of one. */
  private redirectsDue = 0

  constructor(private readonly options: HeartbeatBalancerOptions) {
    this.receivedRate = new DecayingRate(RATE_WINDOW_MS)
  }

  /** Counts a heartbeat that a worker sent to this node. */
  recordHeartbeat(): void {
    this.receivedRate.add(1, this.options.clocks.monotonicNow())
  }
  /** Heartbeats per second that workers send to this node, measured over the last seconds. */
  get heartbeatsPerSecond(): number {
    return this.receivedRate.read(this.options.clocks.monotonicNow())
  }
  /** Decides whether this node, as the owner of this many machines, shares their heartbeats with others. */
  updateSharing(ownedMachines: number): boolean {
    const { cores, heartbeatIntervalS } = this.options
    const load = ownedMachines / heartbeatIntervalS / (cores * MAX_HEARTBEATS_PER_S_PER_CORE)
    this.isSharing = load > (this.isSharing ? STOP_SHARING_FRACTION : 1)
    return this.isSharing
  }

  /** Returns the node that a machine of this owner should send its heartbeats to; null: this one. */
  redirectTarget(machine: MachineId): NodeName | null {
    if (!this.isSharing) return null
    return this.selectTarget(machine)
  }
  /**
   * Returns the node that another owner's machine should send its heartbeats to; null: this one. A node other
   * than this one is returned only if this one receives far more heartbeats.
   */
  rebalanceTarget(machine: MachineId): NodeName | null {
    const recipients = this.options.recipients()
    if (recipients.size === 0) return null
    let lowestRate = Number.POSITIVE_INFINITY
    for (const [node, publishedRate] of recipients)
      lowestRate = Math.min(lowestRate, this.estimateRate(node, publishedRate))
    const ownRate = this.heartbeatsPerSecond
    if (ownRate < IMBALANCE_RATIO * lowestRate + MIN_IMBALANCE_PER_S) return null
    this.redirectsDue += (REDIRECTED_FRACTION * (ownRate - lowestRate)) / ownRate
    if (this.redirectsDue < 1) return null
    this.redirectsDue -= 1
    return this.selectTarget(machine)
  }
  private selectTarget(machine: MachineId): NodeName | null {
    const now = this.options.clocks.monotonicNow()
    if (now < (this.redirectsPausedUntil.get(machine) ?? EARLIEST_TIME)) return null
    const redirectedAt = this.redirectedAt.get(machine)
    this.redirectedAt.delete(machine)
    this.redirectsPausedUntil.delete(machine)
    if (redirectedAt !== undefined && now < addMs(redirectedAt, EARLY_RETURN_MS)) {
      this.redirectsPausedUntil.set(machine, addMs(now, REDIRECT_PAUSE_MS))
      return null
    }
    const target = this.selectLeastLoaded()
    if (target !== null) this.redirectedAt.set(machine, now)
    return target
  }
  private selectLeastLoaded(): NodeName | null {
    let leastLoaded: NodeName | null = null
    let lowestRate = Number.POSITIVE_INFINITY
    for (const [node, publishedRate] of this.options.recipients()) {
      const rate = this.estimateRate(node, publishedRate)
      if (rate >= lowestRate) continue
      lowestRate = rate
      leastLoaded = node
    }
    const redirected = leastLoaded === null ? undefined : this.redirectedRates.get(leastLoaded)
    if (redirected !== undefined) redirected.addedRate += 1 / this.options.heartbeatIntervalS
    return leastLoaded
  }
  /** Returns the rate that a node published plus what was redirected to it since. */
  private estimateRate(node: NodeName, publishedRate: number): number {
    const redirected = this.redirectedRates.get(node)
    if (redirected !== undefined && redirected.publishedRate === publishedRate)
      return publishedRate + redirected.addedRate
    this.redirectedRates.set(node, { publishedRate, addedRate: 0 })
    return publishedRate
  }
  /** Drops the state of a machine that no longer exists. */
  removeMachine(machine: MachineId): void {
    this.redirectedAt.delete(machine)
    this.redirectsPausedUntil.delete(machine)
  }
}
