/** What the controllers tell each other of themselves: whether they can act, and how much they do. */
import type { PeerChannel } from "@sorreltally/peers"
import type { StateClient } from "@sorreltally/state"
import { later, type Moment, type NodeName, type Timekeeper } from "@sorreltally/wire"
import { Effect } from "effect"

const TELL_EVERY_MS = 1_000
/** As long as nothing changes, it is told only every so many times. */
const TELL_AGAIN = 3
/** Changes a second that are worth telling. */
const MUCH_CHANGE = 0.3
/** The same of reports, as a share. */
const MUCH_REPORTS = 0.2
const TOLD_LAST_MS = 5_000

/** One node, as it says itself. */
export interface NodeLoad {
  /** It can act for its parts and answer users. */
  readonly well: boolean
  /** Changes of the state service that it makes a second. */
  readonly changes: number
  /** Reports of workers that come to it a second. */
  readonly reports: number
  /** It has more workers than it should answer alone: their reports are handed on to it by the others. */
  readonly sharesReports: boolean
}
interface ToldLoad extends NodeLoad {
  readonly at: Moment
}

export class NodeLoads {
  private readonly loads = new Map<NodeName, ToldLoad>()
  private said: NodeLoad | null = null
  private untold = 0

  constructor(
    private readonly peers: PeerChannel,
    private readonly time: Timekeeper,
    private readonly state: Pick<StateClient, "othersUse">,
    private readonly own: () => NodeLoad,
  ) {}

  readonly run: Effect.Effect<never> = Effect.suspend(() =>
    Effect.forever(
      Effect.andThen(
        Effect.sleep(TELL_EVERY_MS),
        Effect.sync(() => this.tellOthers()),
      ),
    ),
  )
  private tellOthers(): void {
    const load = this.own()
    if (!this.isNews(load) && ++this.untold < TELL_AGAIN) return
    this.said = load
    this.untold = 0
    this.peers.tell("load", load)
  }
  private isNews(load: NodeLoad): boolean {
    const { said } = this
    return (
      said === null ||
      said.well !== load.well ||
      said.sharesReports !== load.sharesReports ||
      Math.abs(said.changes - load.changes) > MUCH_CHANGE ||
      Math.abs(said.reports - load.reports) > 1 + MUCH_REPORTS * said.reports
    )
  }
  received(node: NodeName, load: NodeLoad): void {
    this.loads.set(node, { ...load, at: this.time.moment() })
    let changes = 0
    for (const [, other] of this.fresh()) changes += other.changes
    this.state.othersUse(changes)
  }
  private *fresh(): Iterable<readonly [NodeName, NodeLoad]> {
    const oldest = later(this.time.moment(), -TOLD_LAST_MS)
    for (const [node, load] of this.loads) if (load.at > oldest) yield [node, load]
  }

  sharesReports(node: NodeName): boolean {
    return this.loads.get(node)?.sharesReports === true
  }
  /** Can others act? Null: none of them is heard. */
  othersWell(): boolean | null {
    let heard = false
    for (const [node, { well }] of this.fresh()) {
      if (!this.peers.hears(node)) continue
      if (well) return true
      heard = true
    }
    return heard ? false : null
  }
  /** Nodes that can take reports of others' workers, and how many reports come to them a second. */
  takers(): ReadonlyMap<NodeName, number> {
    const takers = new Map<NodeName, number>()
    for (const [node, { well, reports, sharesReports }] of this.fresh())
      if (well && !sharesReports && this.peers.hears(node)) takers.set(node, reports)
    return takers
  }
}
