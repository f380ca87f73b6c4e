/** What parts lack of machines and quota, as their owners tell one another. */
import type { MachineDemand, QuotaDemand, ShardDemand, TeamClaim } from "@sorreltally/planner"
import { addMs, type Clocks, type MonotonicTime, type ShardName } from "@sorreltally/protocol"

/** What was told longer ago no longer counts: its owner may have gone. */
const DEMAND_VALID_MS = 3_500
const NO_DEMAND: ShardDemand = { machines: [], quotas: [], claims: [] }

/** What a change of a part's wants is news of. */
export type DemandChange = "none" | "claims" | "needs"

export class DemandRegistry {
  private readonly byPart = new Map<ShardName, { readonly wants: ShardDemand; readonly at: MonotonicTime }>()

  constructor(private readonly time: Clocks) {}

  of(part: ShardName): ShardDemand {
    return this.byPart.get(part)?.wants ?? NO_DEMAND
  }
  /** All that the other parts told lately. */
  ofOthers(except: ShardName): ShardDemand {
    const oldest = addMs(this.time.monotonicNow(), -DEMAND_VALID_MS)
    const needs: Array<MachineDemand> = []
    const quotas: Array<QuotaDemand> = []
    const claims: Array<TeamClaim> = []
    for (const [part, { wants, at }] of this.byPart) {
      if (part === except || at <= oldest) continue
      needs.push(...wants.machines)
      quotas.push(...wants.quotas)
      claims.push(...wants.claims)
    }
    return { machines: needs, quotas, claims }
  }
  set(part: ShardName, wants: ShardDemand): void {
    this.byPart.set(part, { wants, at: this.time.monotonicNow() })
  }
  /** The same, and what is new about it. */
  change(part: ShardName, wants: ShardDemand): DemandChange {
    const before = this.of(part)
    this.set(part, wants)
    const lacks = ({ machines: needs, quotas }: ShardDemand) => JSON.stringify({ needs, quotas })
    if (lacks(before) !== lacks(wants)) return "needs"
    return JSON.stringify(before.claims) === JSON.stringify(wants.claims) ? "none" : "claims"
  }
}
