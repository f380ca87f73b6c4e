/** What the controllers tell each other of themselves: whether they can act, and how much they do. */
import type { NodeLoad, PeerChannel } from "@sorreltally/peers"
import { addMs, type Clocks, type MonotonicTime, type NodeName } from "@sorreltally/protocol"
import type { StoreClient } from "@sorreltally/store"
import { Effect } from "effect"

const PUBLISH_INTERVAL_MS = 1_000
/** As long as nothing changes, it is told only every so many times. */
const REPEAT_EVERY = 3
/** Changes a second that are worth telling. */
const MUCH_CHANGE = 0.3
/** The same of reports, as a share. */
const MUCH_REPORTS = 0.2
const LOAD_VALID_MS = 5_000

interface ReceivedLoad extends NodeLoad {
  readonly at: MonotonicTime
}

export class NodeLoads {
  private readonly loads = new Map<NodeName, ReceivedLoad>()
  private said: NodeLoad | null = null
  private skippedRounds = 0

  constructor(
    private readonly peers: PeerChannel,
    private readonly clocks: Clocks,
    private readonly store: Pick<StoreClient, "setPeerWriteRate">,
    private readonly own: () => NodeLoad,
  ) {}

  readonly run: Effect.Effect<never> = Effect.suspend(() =>
    Effect.forever(
      Effect.andThen(
        Effect.sleep(PUBLISH_INTERVAL_MS),
        Effect.sync(() => this.publish()),
      ),
    ),
  )
  private publish(): void {
    const load = this.own()
    if (!this.isNews(load) && ++this.skippedRounds < REPEAT_EVERY) return
    this.said = load
    this.skippedRounds = 0
    this.peers.send({ kind: "nodeLoad", load })
  }
  private isNews(load: NodeLoad): boolean {
    const { said } = this
    return (
      said === null ||
      said.healthy !== load.healthy ||
      said.sharesHeartbeats !== load.sharesHeartbeats ||
      Math.abs(said.writesPerSecond - load.writesPerSecond) > MUCH_CHANGE ||
      Math.abs(said.heartbeatsPerSecond - load.heartbeatsPerSecond) >
        1 + MUCH_REPORTS * said.heartbeatsPerSecond
    )
  }
  received(node: NodeName, load: NodeLoad): void {
    this.loads.set(node, { ...load, at: this.clocks.monotonicNow() })
    let changes = 0
    for (const [, other] of this.fresh()) changes += other.writesPerSecond
    this.store.setPeerWriteRate(changes)
  }
  private *fresh(): Iterable<readonly [NodeName, NodeLoad]> {
    const oldest = addMs(this.clocks.monotonicNow(), -LOAD_VALID_MS)
    for (const [node, load] of this.loads) if (load.at > oldest) yield [node, load]
  }

  sharesReports(node: NodeName): boolean {
    return this.loads.get(node)?.sharesHeartbeats === true
  }
  /** Can others act? Null: none of them is heard. */
  othersWell(): boolean | null {
    let heard = false
    for (const [node, { healthy: well }] of this.fresh()) {
      if (!this.peers.hears(node)) continue
      if (well) return true
      heard = true
    }
    return heard ? false : null
  }
  /** Nodes that can take reports of others' workers, and how many reports come to them a second. */
  takers(): ReadonlyMap<NodeName, number> {
    const takers = new Map<NodeName, number>()
    for (const [
      node,
      { healthy: well, heartbeatsPerSecond: reports, sharesHeartbeats: sharesReports },
    ] of this.fresh())
      if (well && !sharesReports && this.peers.hears(node)) takers.set(node, reports)
    return takers
  }
}
