/** Which node a worker should report to where one owner has too many workers to answer alone. */
import {
  addMs,
  type Clocks,
  type MachineId,
  type MonotonicTime,
  NEVER,
  type NodeName,
} from "@sorreltally/protocol"

/**
 * Reports a second that an owner answers itself, for each core that it has. At some 0.25 ms of processor
 * time each, they would take more than a quarter of the node's share beyond this rate. Below it sharing them costs
 * all nodes together more than it saves: a third more where all are shared (docs/resources.md).
 */
const REPORTS_PER_CORE = 1_000
/** It answers all itself again at this share of that rate: hand-overs cost more than they save near the limit. */
const ENOUGH_LESS = 0.7
/** Reports are counted over about this time. */
const RATE_MS = 4_000
/** A worker that we sent elsewhere and that is back this soon could not be served there. */
const BACK_SOON_MS = 20_000
const KEEP_FOR_MS = 60_000
/** A node with this many times the others' reports sends some of its workers to them. */
const UNEVEN = 1.3
const LEAST_UNEVEN = 4
/** Workers are sent on so much more slowly than the difference would ask for, as rates are known late. */
const SENT_SHARE = 0.15

/** A rate of events a second that follows them with some delay. */
class Rate {
  private perSecond = 0
  private at: MonotonicTime = NEVER
  constructor(private readonly overMs: number) {}

  add(events: number, now: MonotonicTime): void {
    this.perSecond = this.read(now) + (1000 * events) / this.overMs
    this.at = now
  }
  read(now: MonotonicTime): number {
    return this.at === NEVER ? 0 : this.perSecond * Math.exp(-(now - this.at) / this.overMs)
  }
}

/**
 * An owner of many machines has the other nodes receive its workers' reports, and each of them hands
 * them on many at a time. Only the owner decides and answers, as ever.
 */
export class HeartbeatBalancer {
  private readonly received: Rate
  private shares = false
  /** Workers that we sent elsewhere, and those that came back and stay for a while. */
  private readonly sentAway = new Map<MachineId, MonotonicTime>()
  private readonly keptUntil = new Map<MachineId, MonotonicTime>()
  /** Reports that we sent to a node since it last told its own. */
  private readonly sentTo = new Map<NodeName, { published: number; more: number }>()
  private due = 0

  constructor(
    private readonly clocks: Clocks,
    private readonly cores: number,
    private readonly reportS: number,
    /** Nodes that can take others' workers, and their reports a second. */
    private readonly takers: () => ReadonlyMap<NodeName, number>,
  ) {
    this.received = new Rate(RATE_MS)
  }

  /** A worker's report came to this node. */
  came(): void {
    this.received.add(1, this.clocks.monotonicNow())
  }
  get reportsPerSecond(): number {
    return this.received.read(this.clocks.monotonicNow())
  }
  /** This node owns so many machines; does it share their reports? */
  owns(machines: number): boolean {
    const share = machines / this.reportS / (this.cores * REPORTS_PER_CORE)
    this.shares = share > (this.shares ? ENOUGH_LESS : 1)
    return this.shares
  }

  /** Where one of our own machines, whose report came here, should report from now on; null: here. */
  elsewhere(machine: MachineId): NodeName | null {
    if (!this.shares) return null
    return this.sendAway(machine)
  }
  /** The same of a machine of another owner whose reports we hand on: where we have far more than others. */
  evener(machine: MachineId): NodeName | null {
    const takers = this.takers()
    if (takers.size === 0) return null
    let least = Number.POSITIVE_INFINITY
    for (const [node, reports] of takers) least = Math.min(least, this.estimate(node, reports))
    const own = this.reportsPerSecond
    if (own < UNEVEN * least + LEAST_UNEVEN) return null
    this.due += (SENT_SHARE * (own - least)) / own
    if (this.due < 1) return null
    this.due -= 1
    return this.sendAway(machine)
  }
  private sendAway(machine: MachineId): NodeName | null {
    const now = this.clocks.monotonicNow()
    if (now < (this.keptUntil.get(machine) ?? NEVER)) return null
    const sent = this.sentAway.get(machine)
    this.sentAway.delete(machine)
    this.keptUntil.delete(machine)
    if (sent !== undefined && now < addMs(sent, BACK_SOON_MS)) {
      this.keptUntil.set(machine, addMs(now, KEEP_FOR_MS))
      return null
    }
    const to = this.leastLoaded()
    if (to !== null) this.sentAway.set(machine, now)
    return to
  }
  private leastLoaded(): NodeName | null {
    let best: NodeName | null = null
    let least = Number.POSITIVE_INFINITY
    for (const [node, reports] of this.takers()) {
      const estimate = this.estimate(node, reports)
      if (estimate >= least) continue
      least = estimate
      best = node
    }
    const sent = best === null ? undefined : this.sentTo.get(best)
    if (sent !== undefined) sent.more += 1 / this.reportS
    return best
  }
  /** What a node told, and what we sent it since. */
  private estimate(node: NodeName, published: number): number {
    const sent = this.sentTo.get(node)
    if (sent !== undefined && sent.published === published) return published + sent.more
    this.sentTo.set(node, { published, more: 0 })
    return published
  }
  /** Forgets machines that are gone. */
  forget(machine: MachineId): void {
    this.sentAway.delete(machine)
    this.keptUntil.delete(machine)
  }
}
