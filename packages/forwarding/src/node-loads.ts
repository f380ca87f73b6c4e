/**
 * Exchanges the loads of the controllers: whether each can act, and its rates of writes and heartbeats.
 * Published loads are hints for balancing, rate limits and readiness; no decision that affects safety may
 * depend on them.
 */
import type { NodeLoad, PeerChannel } from "@sorreltally/peers"
import { addMs, type Clocks, type MonotonicTime, type NodeName } from "@sorreltally/protocol"
import type { StoreClient } from "@sorreltally/store"
import { Effect } from "effect"

const PUBLISH_INTERVAL_MS = 1_000
/** An unchanged load is published only once in this many rounds. */
const REPUBLISH_EVERY_ROUNDS = 3
/** Smallest change in writes to the store per second that is published. */
const MIN_WRITES_CHANGE_PER_S = 0.3
/** The same for heartbeats, as a ratio of the rate that was published last. */
const MIN_HEARTBEATS_CHANGE_RATIO = 0.2
/** A load that was received longer ago is ignored: its node may have failed. */
const LOAD_VALID_MS = 5_000

interface ReceivedLoad extends NodeLoad {
  readonly receivedAt: MonotonicTime
}

/** Options of the exchange of loads. */
export interface NodeLoadsOptions {
  readonly peers: PeerChannel
  readonly clocks: Clocks
  /** Receives the part of the shared rate limit that the other nodes use. */
  readonly store: Pick<StoreClient, "setPeerWriteRate">
  readonly ownLoad: () => NodeLoad
}

/** Publishes this node's load, and keeps the loads received from the other nodes. */
export class NodeLoads {
  private readonly loads = new Map<NodeName, ReceivedLoad>()
  private lastPublished: NodeLoad | null = null
  private skippedRounds = 0

  constructor(private readonly options: NodeLoadsOptions) {}

  /** Publishes this node's load when it changed, and every `REPUBLISH_EVERY_ROUNDS` rounds otherwise. */
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
    if (!this.isChanged(load) && ++this.skippedRounds < REPUBLISH_EVERY_ROUNDS) return
    this.lastPublished = load
    this.skippedRounds = 0
    this.options.peers.send({ kind: "nodeLoad", load })
  }
  private isChanged(load: NodeLoad): boolean {
    const lastPublished = this.lastPublished
    return (
      lastPublished === null ||
      lastPublished.healthy !== load.healthy ||
      lastPublished.sharesHeartbeats !== load.sharesHeartbeats ||
      Math.abs(lastPublished.writesPerSecond - load.writesPerSecond) > MIN_WRITES_CHANGE_PER_S ||
      Math.abs(lastPublished.heartbeatsPerSecond - load.heartbeatsPerSecond) >
        1 + MIN_HEARTBEATS_CHANGE_RATIO * lastPublished.heartbeatsPerSecond
    )
  }
  /** Records the load that another node published. */
  receiveLoad(node: NodeName, load: NodeLoad): void {
    const { clocks, store } = this.options
    this.loads.set(node, { ...load, receivedAt: clocks.monotonicNow() })
    let writesPerSecond = 0
    for (const [, otherLoad] of this.freshLoads()) writesPerSecond += otherLoad.writesPerSecond
    store.setPeerWriteRate(writesPerSecond)
  }
  private *freshLoads(): Iterable<readonly [NodeName, NodeLoad]> {
    const cutoff = addMs(this.options.clocks.monotonicNow(), -LOAD_VALID_MS)
    for (const [node, load] of this.loads) if (load.receivedAt > cutoff) yield [node, load]
  }

  /** Whether that node, as an owner, shares its workers' heartbeats with the other nodes. */
  sharesHeartbeats(node: NodeName): boolean {
    return this.loads.get(node)?.sharesHeartbeats === true
  }
  /** Whether any other connected node can act; null: no other node is connected. */
  isAnyOtherHealthy(): boolean | null {
    let connected = false
    for (const [node, { healthy }] of this.freshLoads()) {
      if (!this.options.peers.isConnected(node)) continue
      if (healthy) return true
      connected = true
    }
    return connected ? false : null
  }
  /** Nodes that can receive heartbeats for other owners, with the heartbeats that they receive per second. */
  recipients(): ReadonlyMap<NodeName, number> {
    const recipients = new Map<NodeName, number>()
    for (const [node, { healthy, heartbeatsPerSecond, sharesHeartbeats }] of this.freshLoads())
      if (healthy && !sharesHeartbeats && this.options.peers.isConnected(node))
        recipients.set(node, heartbeatsPerSecond)
    return recipients
  }
}
