/**
 * Exchange of the demand that shards publish to one another, on this node and between nodes. Demand is only a
 * hint: the owner of a shard decides by itself whether to lend a machine or how to divide a quota. Each
 * message may be lost, late or repeated, since demand is published again before it expires.
 */
import { Signal } from "@sorreltally/concurrency"
import type { PeerChannel, PublishedDemand } from "@sorreltally/peers"
import type { ShardDemand } from "@sorreltally/planner"
import type { ShardName } from "@sorreltally/protocol"
import type { MachineIndex } from "@sorreltally/provisioning"
import { Effect } from "effect"
import type { DemandRegistry } from "./demand-registry.ts"
import type { RunningShards } from "./running-shards.ts"

const PUBLISH_INTERVAL_MS = 200
/** Interval at which unchanged demand is published again; shorter than its validity on the other nodes. */
const REPUBLISH_INTERVAL_MS = 1_600

/** Dependencies of the exchange of demand. */
export interface DemandExchangeOptions {
  readonly registry: DemandRegistry
  readonly shards: RunningShards
  readonly machineIndex: MachineIndex
  readonly peers: PeerChannel
}

/** Publishes the demand of this node's shards, and receives that of the other nodes' shards. */
export class DemandExchange {
  private readonly changed = new Signal()

  constructor(private readonly options: DemandExchangeOptions) {}

  /**
   * Records the demand of a shard of this node. If its demand for machines or quota changed, requests
   * plans of this node's other shards.
   */
  publish(shard: ShardName, demand: ShardDemand): void {
    const change = this.options.registry.update(shard, demand)
    if (change === "none") return
    this.changed.notify()
    if (change === "claims") return
    this.options.shards.requestPlans(shard)
  }
  /** Records demand that another node published; ignores that of shards that this node owns. */
  receive(demands: ReadonlyArray<PublishedDemand>): void {
    const { shards, registry } = this.options
    for (const { shard, demand } of demands) if (!shards.has(shard)) registry.set(shard, demand)
    shards.requestPlans(null)
  }

  /** Sends the demand of this node's shards to the other nodes when it changes, and before it expires. */
  readonly run: Effect.Effect<never> = Effect.suspend(() => this.publishLoop())
  // A loop instead of a Schedule: a change ends the second wait early, but never the first.
  private publishLoop() {
    return Effect.gen({ self: this }, function* () {
      for (;;) {
        yield* Effect.sleep(PUBLISH_INTERVAL_MS)
        yield* this.changed.wait(REPUBLISH_INTERVAL_MS - PUBLISH_INTERVAL_MS)
        this.send()
      }
    })
  }
  private send(): void {
    const { shards, registry, peers } = this.options
    const demands = [...shards.names()].map(
      (shard): PublishedDemand => ({ shard, demand: registry.demandOf(shard) }),
    )
    if (demands.length === 0 || !this.concernsOthers(demands)) return
    peers.send({ kind: "demand", demands })
  }
  /**
   * Whether other nodes can act on the demand: some machines belong to other nodes' shards, which could lend
   * them, or quota is demanded. A node without machines can lend none.
   */
  private concernsOthers(demands: ReadonlyArray<PublishedDemand>): boolean {
    const { machineIndex } = this.options
    const ownMachines = demands.reduce((sum, { shard }) => sum + machineIndex.size(shard), 0)
    return ownMachines !== machineIndex.total || demands.some(({ demand }) => demand.quotas.length > 0)
  }
}
