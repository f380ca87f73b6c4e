/**
 * Decides which node a worker should send its heartbeats to where one owner has too many workers to answer
 * alone. It only names a node: it never answers a worker, and never decides who owns a machine.
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
 * Heartbeats a second that an owner answers itself, for each core that it has. At some 0.25 ms of processor
 * time each, they would take more than a quarter of the node's share beyond this rate. Below it sharing them costs
 * all nodes together more than it saves: a third more where all are shared (docs/resources.md).
 */
const HEARTBEATS_PER_CORE = 1_000
/** It stops sharing at this share of that rate: redirects cost more than they save near the limit. */
const STOP_SHARING_RATIO = 0.7
/** Time constant of the measured rate of heartbeats. */
const RATE_WINDOW_MS = 4_000
/** A worker that is back this soon after a redirect could not be served at the other node. */
const BACK_SOON_MS = 20_000
/** How long a worker that came back is kept before it is redirected again. */
const KEEP_MS = 60_000
/** A node with this many times the heartbeats of another, and at least so many more, redirects some workers to it. */
const IMBALANCE_RATIO = 1.3
const MIN_IMBALANCE = 4
/** Share of the difference that is redirected: measured rates lag, so more of it would overshoot. */
const REDIRECTED_SHARE = 0.15

/** A rate of events a second that follows them with some delay (exponentially weighted). */
class Rate {
  private perSecond = 0
  private at: MonotonicTime = EARLIEST_TIME
  constructor(private readonly windowMs: number) {}

  add(events: number, now: MonotonicTime): void {
    this.perSecond = this.read(now) + (1000 * events) / this.windowMs
    this.at = now
  }
  read(now: MonotonicTime): number {
    return this.at === EARLIEST_TIME ? 0 : this.perSecond * Math.exp(-(now - this.at) / this.windowMs)
  }
}

/** What the balancing of heartbeats needs of its node. */
export interface HeartbeatBalancerOptions {
  readonly clocks: Clocks
  /** Processor cores that this node has; a share of one, as a rule. */
  readonly cores: number
  /** Seconds between two heartbeats of a worker. */
  readonly heartbeatIntervalS: number
  /** Nodes that can receive other owners' heartbeats, and how many heartbeats reach them a second. */
  readonly recipients: () => ReadonlyMap<NodeName, number>
}

/**
 * An owner of many machines has the other nodes receive its workers' heartbeats, and each of them forwards
 * them in batches. Only the owner decides and answers, as ever.
 */
export class HeartbeatBalancer {
  private readonly received: Rate
  private sharing = false
  /** When workers were redirected, and until when those that came back are kept. */
  private readonly redirectedAt = new Map<MachineId, MonotonicTime>()
  private readonly keptUntil = new Map<MachineId, MonotonicTime>()
  /** Heartbeats a second that we redirected to a node since it last published its own rate. */
  private readonly redirectedRates = new Map<NodeName, { published: number; added: number }>()
  /** Redirects that rebalancing still owes, as a fraction of one. */
  private redirectsDue = 0

  constructor(private readonly options: HeartbeatBalancerOptions) {
    this.received = new Rate(RATE_WINDOW_MS)
  }

  /** Counts a heartbeat that a worker sent to this node. */
  recordHeartbeat(): void {
    this.received.add(1, this.options.clocks.monotonicNow())
  }
  /** Heartbeats that workers send to this node a second, as measured over the last seconds. */
  get heartbeatsPerSecond(): number {
    return this.received.read(this.options.clocks.monotonicNow())
  }
  /** Decides whether this node, as the owner of so many machines, shares their heartbeats with the others. */
  updateSharing(ownedMachines: number): boolean {
    const { cores, heartbeatIntervalS } = this.options
    const load = ownedMachines / heartbeatIntervalS / (cores * HEARTBEATS_PER_CORE)
    this.sharing = load > (this.sharing ? STOP_SHARING_RATIO : 1)
    return this.sharing
  }

  /** The node that a machine of ours should send its heartbeats to from now on; null: this one. */
  redirectTarget(machine: MachineId): NodeName | null {
    if (!this.sharing) return null
    return this.redirect(machine)
  }
  /** The node that another owner's machine should send its heartbeats to; null: this one, unless we get far more. */
  rebalanceTarget(machine: MachineId): NodeName | null {
    const recipients = this.options.recipients()
    if (recipients.size === 0) return null
    let lowest = Number.POSITIVE_INFINITY
    for (const [node, published] of recipients) lowest = Math.min(lowest, this.estimate(node, published))
    const own = this.heartbeatsPerSecond
    if (own < IMBALANCE_RATIO * lowest + MIN_IMBALANCE) return null
    this.redirectsDue += (REDIRECTED_SHARE * (own - lowest)) / own
    if (this.redirectsDue < 1) return null
    this.redirectsDue -= 1
    return this.redirect(machine)
  }
  private redirect(machine: MachineId): NodeName | null {
    const now = this.options.clocks.monotonicNow()
    if (now < (this.keptUntil.get(machine) ?? EARLIEST_TIME)) return null
    const redirectedAt = this.redirectedAt.get(machine)
    this.redirectedAt.delete(machine)
    this.keptUntil.delete(machine)
    if (redirectedAt !== undefined && now < addMs(redirectedAt, BACK_SOON_MS)) {
      this.keptUntil.set(machine, addMs(now, KEEP_MS))
      return null
    }
    const target = this.leastLoaded()
    if (target !== null) this.redirectedAt.set(machine, now)
    return target
  }
  private leastLoaded(): NodeName | null {
    let best: NodeName | null = null
    let lowest = Number.POSITIVE_INFINITY
    for (const [node, published] of this.options.recipients()) {
      const estimate = this.estimate(node, published)
      if (estimate >= lowest) continue
      lowest = estimate
      best = node
    }
    const redirected = best === null ? undefined : this.redirectedRates.get(best)
    if (redirected !== undefined) redirected.added += 1 / this.options.heartbeatIntervalS
    return best
  }
  /** The rate that a node published, and what we redirected to it since. */
  private estimate(node: NodeName, published: number): number {
    const redirected = this.redirectedRates.get(node)
    if (redirected !== undefined && redirected.published === published) return published + redirected.added
    this.redirectedRates.set(node, { published, added: 0 })
    return published
  }
  /** Forgets a machine that is gone. */
  forget(machine: MachineId): void {
    this.redirectedAt.delete(machine)
    this.keptUntil.delete(machine)
  }
}
