/**
 * The demand that shards publish for one another, on this node and between nodes. It only says what is
 * lacking: whoever lends a machine or divides a quota decides by itself, and each message may be lost, late or
 * repeated, since demand is published again before it expires.
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
/** Unchanged demand is published again this often, before the other nodes let it expire. */
const REPEAT_MS = 1_600

/** What the exchange of demand needs of its node. */
export interface DemandExchangeOptions {
  readonly registry: DemandRegistry
  readonly shards: RunningShards
  readonly machineIndex: MachineIndex
  readonly peers: PeerChannel
}

/** Publishes the demand of this node's shards, and takes in that of the others. */
export class DemandExchange {
  private readonly changed = new Signal()

  constructor(private readonly options: DemandExchangeOptions) {}

  /** A shard of this node published its demand: the shards beside it plan again where it is news to them. */
  publish(shard: ShardName, demand: ShardDemand): void {
    const change = this.options.registry.update(shard, demand)
    if (change === "none") return
    this.changed.notify()
    if (change === "claims") return
    this.options.shards.wakeAll(shard)
  }
  /** Demand that another node published. Of our own shards, we know better. */
  received(demands: ReadonlyArray<PublishedDemand>): void {
    const { shards, registry } = this.options
    for (const { shard, demand } of demands) if (!shards.has(shard)) registry.set(shard, demand)
    shards.wakeAll(null)
  }

  /** Sends this node's demand to the others, when it changed and before it expires. */
  readonly run: Effect.Effect<never> = Effect.suspend(() => this.publishForever())
  // A loop and no Schedule: a change ends the second wait early, never the first.
  private publishForever() {
    return Effect.gen({ self: this }, function* () {
      for (;;) {
        yield* Effect.sleep(PUBLISH_INTERVAL_MS)
        yield* this.changed.wait(REPEAT_MS - PUBLISH_INTERVAL_MS)
        this.send()
      }
    })
  }
  private send(): void {
    const { shards, registry, peers } = this.options
    const demands = [...shards.names()].map(
      (shard): PublishedDemand => ({ shard, demand: registry.of(shard) }),
    )
    if (demands.length === 0 || !this.concernsOthers(demands)) return
    peers.send({ kind: "demand", demands })
  }
  /** A node without machines can lend none, and quota is asked for only where it lacks. */
  private concernsOthers(demands: ReadonlyArray<PublishedDemand>): boolean {
    const { machineIndex } = this.options
    const owned = demands.reduce((sum, { shard }) => sum + machineIndex.size(shard), 0)
    return owned !== machineIndex.total || demands.some(({ demand }) => demand.quotas.length > 0)
  }
}
