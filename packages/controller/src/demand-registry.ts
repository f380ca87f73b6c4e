/**
 * The shards' demand for machines and quota, as their owners last published it. The registry holds hints
 * only, makes no decisions, and lets demand expire that was not published again in time.
 */
import type { MachineDemand, QuotaDemand, ShardDemand, TeamClaim } from "@sorreltally/planner"
import { addMs, type Clocks, type MonotonicTime, type ShardName } from "@sorreltally/protocol"

/** Validity of published demand: older demand is ignored, since its owner may have failed. */
const DEMAND_VALID_MS = 3_500
const NO_DEMAND: ShardDemand = { machines: [], quotas: [], claims: [] }

/** Change of a shard's demand; `demand`: for machines or quota, whether or not its claims changed too. */
export type DemandChange = "none" | "claims" | "demand"

/** Demand of all shards, by the shard whose owner published it. */
export class DemandRegistry {
  private readonly byShard = new Map<
    ShardName,
    { readonly demand: ShardDemand; readonly publishedAt: MonotonicTime }
  >()

  constructor(private readonly clocks: Clocks) {}

  /** A shard's last published demand, also when it has expired. */
  demandOf(shard: ShardName): ShardDemand {
    return this.byShard.get(shard)?.demand ?? NO_DEMAND
  }
  /** The unexpired demand of all shards but the excluded one. */
  demandOfOthers(excluded: ShardName): ShardDemand {
    const oldest = addMs(this.clocks.monotonicNow(), -DEMAND_VALID_MS)
    const machines: Array<MachineDemand> = []
    const quotas: Array<QuotaDemand> = []
    const claims: Array<TeamClaim> = []
    for (const [shard, { demand, publishedAt }] of this.byShard) {
      if (shard === excluded || publishedAt <= oldest) continue
      machines.push(...demand.machines)
      quotas.push(...demand.quotas)
      claims.push(...demand.claims)
    }
    return { machines, quotas, claims }
  }
  /** Records a shard's demand. */
  set(shard: ShardName, demand: ShardDemand): void {
    this.byShard.set(shard, { demand, publishedAt: this.clocks.monotonicNow() })
  }
  /** Records a shard's demand, and returns how it changed. */
  update(shard: ShardName, demand: ShardDemand): DemandChange {
    const before = this.demandOf(shard)
    this.set(shard, demand)
    const serialize = ({ machines, quotas }: ShardDemand) => JSON.stringify({ machines, quotas })
    if (serialize(before) !== serialize(demand)) return "demand"
    return JSON.stringify(before.claims) === JSON.stringify(demand.claims) ? "none" : "claims"
  }
}
