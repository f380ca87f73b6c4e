/**
 * What shards lack of machines and quota, as their owners published it last. A record of hints: it decides
 * nothing, and lets what was published too long ago expire.
 */
import type { MachineDemand, QuotaDemand, ShardDemand, TeamClaim } from "@sorreltally/planner"
import { addMs, type Clocks, type MonotonicTime, type ShardName } from "@sorreltally/protocol"

/** Demand published longer ago no longer counts: its owner may be gone. */
const DEMAND_VALID_MS = 3_500
const NO_DEMAND: ShardDemand = { machines: [], quotas: [], claims: [] }

/** What is new about a shard's demand; `lack`: its machines or quotas, whatever its claims. */
export type DemandChange = "none" | "claims" | "lack"

/** The demand of all shards, by the shard that published it. */
export class DemandRegistry {
  private readonly byShard = new Map<
    ShardName,
    { readonly demand: ShardDemand; readonly at: MonotonicTime }
  >()

  constructor(private readonly clocks: Clocks) {}

  /** What a shard published last, however long ago. */
  of(shard: ShardName): ShardDemand {
    return this.byShard.get(shard)?.demand ?? NO_DEMAND
  }
  /** All that the other shards published lately. */
  ofOthers(except: ShardName): ShardDemand {
    const oldest = addMs(this.clocks.monotonicNow(), -DEMAND_VALID_MS)
    const machines: Array<MachineDemand> = []
    const quotas: Array<QuotaDemand> = []
    const claims: Array<TeamClaim> = []
    for (const [shard, { demand, at }] of this.byShard) {
      if (shard === except || at <= oldest) continue
      machines.push(...demand.machines)
      quotas.push(...demand.quotas)
      claims.push(...demand.claims)
    }
    return { machines, quotas, claims }
  }
  /** Records a shard's demand. */
  set(shard: ShardName, demand: ShardDemand): void {
    this.byShard.set(shard, { demand, at: this.clocks.monotonicNow() })
  }
  /** Records a shard's demand, and says what is new about it. */
  update(shard: ShardName, demand: ShardDemand): DemandChange {
    const before = this.of(shard)
    this.set(shard, demand)
    const lack = ({ machines, quotas }: ShardDemand) => JSON.stringify({ machines, quotas })
    if (lack(before) !== lack(demand)) return "lack"
    return JSON.stringify(before.claims) === JSON.stringify(demand.claims) ? "none" : "claims"
  }
}
