/**
 * Reachability of the other controllers, judged by the pings that arrive. The result is only a hint: a link
 * may break at any moment, so safety must not depend on it.
 */
import { addMs, type Clocks, EARLIEST_TIME, type MonotonicTime, type NodeName } from "@sorreltally/protocol"
import type { PingFrame } from "./codec-frames.ts"

/** Age up to which a ping counts. An older one means that three in a row were lost. */
const PING_VALID_MS = 3_200

/** State of the links between this node and the others, judged by the pings of the other nodes. */
export class Reachability {
  private readonly pingedAt = new Map<NodeName, MonotonicTime>()
  /** Time at which a node last reported that this node's pings arrive. */
  private readonly confirmedAt = new Map<NodeName, MonotonicTime>()
  /** Connected nodes that each node reported in its latest ping. */
  private readonly connectionsOf = new Map<NodeName, ReadonlyArray<NodeName>>()

  constructor(
    private readonly self: NodeName,
    private readonly others: ReadonlyArray<NodeName>,
    private readonly clocks: Clocks,
  ) {}

  private isRecent(at: MonotonicTime | undefined): boolean {
    return this.clocks.monotonicNow() < addMs(at ?? EARLIEST_TIME, PING_VALID_MS)
  }
  /** True if pings from the node arrive. */
  receivesFrom(node: NodeName): boolean {
    return this.isRecent(this.pingedAt.get(node))
  }
  /** True if pings arrive directly in both directions. */
  isConnected(node: NodeName): boolean {
    return this.isRecent(this.confirmedAt.get(node))
  }
  /** Returns a connected node that reports a connection to `node`. */
  findRelayTo(node: NodeName): NodeName | undefined {
    return this.others.find(
      (other) =>
        other !== node && this.isConnected(other) && this.connectionsOf.get(other)?.includes(node) === true,
    )
  }
  /** Returns the status that this node's own pings report. */
  status(): Pick<PingFrame, "receivesFrom" | "connectedTo"> {
    return {
      receivesFrom: this.others.filter((node) => this.receivesFrom(node)),
      connectedTo: this.others.filter((node) => this.isConnected(node)),
    }
  }
  /** Records a received ping; returns true if no recent ping from its sender was on record. */
  recordPing({ from, receivesFrom, connectedTo }: PingFrame): boolean {
    this.connectionsOf.set(from, connectedTo)
    if (receivesFrom.includes(this.self)) this.confirmedAt.set(from, this.clocks.monotonicNow())
    const isNew = !this.receivesFrom(from)
    this.pingedAt.set(from, this.clocks.monotonicNow())
    return isNew
  }
}
