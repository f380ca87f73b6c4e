/**
 * Which other controllers this one can reach, by the pings that arrive. Hints only: a link may break at any
 * moment, so no decision that safety rests on may be taken from them.
 */
import { addMs, type Clocks, EARLIEST_TIME, type MonotonicTime, type NodeName } from "@sorreltally/protocol"
import type { PingFrame } from "./codec-frames.ts"

/** A ping older than this no longer counts: three in a row were lost. */
const PING_VALID_MS = 3_200

/** What the pings of the other nodes say of the links between them and this one. */
export class Reachability {
  private readonly pingedAt = new Map<NodeName, MonotonicTime>()
  /** When a node last said that our pings arrive. */
  private readonly confirmedAt = new Map<NodeName, MonotonicTime>()
  private readonly connectionsOf = new Map<NodeName, ReadonlyArray<NodeName>>()

  constructor(
    private readonly self: NodeName,
    private readonly others: ReadonlyArray<NodeName>,
    private readonly clocks: Clocks,
  ) {}

  private isRecent(at: MonotonicTime | undefined): boolean {
    return this.clocks.monotonicNow() < addMs(at ?? EARLIEST_TIME, PING_VALID_MS)
  }
  /** True when pings of that node arrive. */
  receivesFrom(node: NodeName): boolean {
    return this.isRecent(this.pingedAt.get(node))
  }
  /** True when pings arrive in both directions, directly. */
  isConnected(node: NodeName): boolean {
    return this.isRecent(this.confirmedAt.get(node))
  }
  /** A connected node that says it is connected to that one. */
  relayTo(node: NodeName): NodeName | undefined {
    return this.others.find(
      (other) =>
        other !== node && this.isConnected(other) && this.connectionsOf.get(other)?.includes(node) === true,
    )
  }
  /** What this node's own pings say. */
  status(): Pick<PingFrame, "receivesFrom" | "connectedTo"> {
    return {
      receivesFrom: this.others.filter((node) => this.receivesFrom(node)),
      connectedTo: this.others.filter((node) => this.isConnected(node)),
    }
  }
  /** Takes in a ping; true when its sender's pings did not arrive before. */
  recordPing({ from, receivesFrom, connectedTo }: PingFrame): boolean {
    this.connectionsOf.set(from, connectedTo)
    if (receivesFrom.includes(this.self)) this.confirmedAt.set(from, this.clocks.monotonicNow())
    const isNew = !this.receivesFrom(from)
    this.pingedAt.set(from, this.clocks.monotonicNow())
    return isNew
  }
}
