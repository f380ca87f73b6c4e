/**
 * What the controllers publish of themselves: whether they can act, and how much they do. Published loads are
 * hints for balancing, rate limits and readiness; no decision that safety rests on may be taken from them.
 */
import type { NodeLoad, PeerChannel } from "@sorreltally/peers"
import { addMs, type Clocks, type MonotonicTime, type NodeName } from "@sorreltally/protocol"
import type { StoreClient } from "@sorreltally/store"
import { Effect } from "effect"

const PUBLISH_INTERVAL_MS = 1_000
/** An unchanged load is published only in every so many rounds. */
const REPEAT_EVERY = 3
/** A difference in writes to the store a second that is worth publishing. */
const MIN_WRITES_CHANGE = 0.3
/** The same for heartbeats, as a share of the rate published last. */
const MIN_HEARTBEATS_CHANGE = 0.2
/** A load received longer ago no longer counts: its node may be gone. */
const LOAD_VALID_MS = 5_000

interface ReceivedLoad extends NodeLoad {
  readonly at: MonotonicTime
}

/** What the exchange of loads needs of its node. */
export interface NodeLoadsOptions {
  readonly peers: PeerChannel
  readonly clocks: Clocks
  /** Learns how much of the shared rate limit the other nodes use. */
  readonly store: Pick<StoreClient, "setPeerWriteRate">
  readonly ownLoad: () => NodeLoad
}

/** The loads of all nodes: publishes our own, and keeps those received from the others. */
export class NodeLoads {
  private readonly loads = new Map<NodeName, ReceivedLoad>()
  private lastPublished: NodeLoad | null = null
  private skippedRounds = 0

  constructor(private readonly options: NodeLoadsOptions) {}

  /** Publishes this node's load when it changed, and now and then when it didn't. */
  readonly run: Effect.Effect<never> = Effect.suspend(() =>
    Effect.forever(
      Effect.andThen(
        Effect.sleep(PUBLISH_INTERVAL_MS),
        Effect.sync(() => this.publish()),
      ),
    ),
  )
  private publish(): void {
    const load = this.options.ownLoad()
    if (!this.isChanged(load) && ++this.skippedRounds < REPEAT_EVERY) return
    this.lastPublished = load
    this.skippedRounds = 0
    this.options.peers.send({ kind: "nodeLoad", load })
  }
  private isChanged(load: NodeLoad): boolean {
    const last = this.lastPublished
    return (
      last === null ||
      last.healthy !== load.healthy ||
      last.sharesHeartbeats !== load.sharesHeartbeats ||
      Math.abs(last.writesPerSecond - load.writesPerSecond) > MIN_WRITES_CHANGE ||
      Math.abs(last.heartbeatsPerSecond - load.heartbeatsPerSecond) >
        1 + MIN_HEARTBEATS_CHANGE * last.heartbeatsPerSecond
    )
  }
  /** Takes in the load that another node published. */
  received(node: NodeName, load: NodeLoad): void {
    const { clocks, store } = this.options
    this.loads.set(node, { ...load, at: clocks.monotonicNow() })
    let writesPerSecond = 0
    for (const [, other] of this.fresh()) writesPerSecond += other.writesPerSecond
    store.setPeerWriteRate(writesPerSecond)
  }
  private *fresh(): Iterable<readonly [NodeName, NodeLoad]> {
    const oldest = addMs(this.options.clocks.monotonicNow(), -LOAD_VALID_MS)
    for (const [node, load] of this.loads) if (load.at > oldest) yield [node, load]
  }

  /** True when that node, as an owner, has other nodes receive its workers' heartbeats. */
  sharesHeartbeats(node: NodeName): boolean {
    return this.loads.get(node)?.sharesHeartbeats === true
  }
  /** Whether any other node can act; null: none of them is connected. */
  othersHealthy(): boolean | null {
    let connected = false
    for (const [node, { healthy }] of this.fresh()) {
      if (!this.options.peers.isConnected(node)) continue
      if (healthy) return true
      connected = true
    }
    return connected ? false : null
  }
  /** Nodes that can receive heartbeats of other owners' workers, and how many heartbeats reach them a second. */
  recipients(): ReadonlyMap<NodeName, number> {
    const recipients = new Map<NodeName, number>()
    for (const [node, { healthy, heartbeatsPerSecond, sharesHeartbeats }] of this.fresh())
      if (healthy && !sharesHeartbeats && this.options.peers.isConnected(node))
        recipients.set(node, heartbeatsPerSecond)
    return recipients
  }
}
