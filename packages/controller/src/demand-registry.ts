/** What parts lack of machines and quota, as their owners tell one another. */
import type { MachineDemand, QuotaDemand, ShardDemand, TeamClaim } from "@sorreltally/planner"
import { addMs, type Clocks, type MonotonicTime, type ShardName } from "@sorreltally/protocol"

/** What was told longer ago no longer counts: its owner may have gone. */
const DEMAND_VALID_MS = 3_500
const NO_DEMAND: ShardDemand = { machines: [], quotas: [], claims: [] }

/** What a change of a part's wants is news of. */
export type DemandChange = "none" | "claims" | "needs"

export class DemandRegistry {
  private readonly byShard = new Map<
    ShardName,
    { readonly demand: ShardDemand; readonly at: MonotonicTime }
  >()

  constructor(private readonly clocks: Clocks) {}

  of(shard: ShardName): ShardDemand {
    return this.byShard.get(shard)?.demand ?? NO_DEMAND
  }
  /** All that the other parts told lately. */
  ofOthers(except: ShardName): ShardDemand {
    const oldest = addMs(this.clocks.monotonicNow(), -DEMAND_VALID_MS)
    const needs: Array<MachineDemand> = []
    const quotas: Array<QuotaDemand> = []
    const claims: Array<TeamClaim> = []
    for (const [shard, { demand, at }] of this.byShard) {
      if (shard === except || at <= oldest) continue
      needs.push(...demand.machines)
      quotas.push(...demand.quotas)
      claims.push(...demand.claims)
    }
    return { machines: needs, quotas, claims }
  }
  set(shard: ShardName, demand: ShardDemand): void {
    this.byShard.set(shard, { demand, at: this.clocks.monotonicNow() })
  }
  /** The same, and what is new about it. */
  change(shard: ShardName, demand: ShardDemand): DemandChange {
    const before = this.of(shard)
    this.set(shard, demand)
    const lacks = ({ machines: needs, quotas }: ShardDemand) => JSON.stringify({ needs, quotas })
    if (lacks(before) !== lacks(demand)) return "needs"
    return JSON.stringify(before.claims) === JSON.stringify(demand.claims) ? "none" : "claims"
  }
}
