/** What parts lack of machines and quota, as their owners tell one another. */
import type { Need, QuotaNeed, TeamClaim, Wants } from "@sorreltally/planner"
import { later, type Moment, type PartName, type Timekeeper } from "@sorreltally/wire"

/** What was told longer ago no longer counts: its owner may have gone. */
const WANTS_LAST_MS = 3_500
const NO_WANTS: Wants = { needs: [], quotas: [], claims: [] }

export interface ToldWants {
  readonly part: PartName
  readonly wants: Wants
}

/** What a change of a part's wants is news of. */
export type WantsChange = "none" | "claims" | "needs"

export class PartWants {
  private readonly byPart = new Map<PartName, { readonly wants: Wants; readonly at: Moment }>()

  constructor(private readonly time: Timekeeper) {}

  of(part: PartName): Wants {
    return this.byPart.get(part)?.wants ?? NO_WANTS
  }
  /** All that the other parts told lately. */
  ofOthers(except: PartName): Wants {
    const oldest = later(this.time.moment(), -WANTS_LAST_MS)
    const needs: Array<Need> = []
    const quotas: Array<QuotaNeed> = []
    const claims: Array<TeamClaim> = []
    for (const [part, { wants, at }] of this.byPart) {
      if (part === except || at <= oldest) continue
      needs.push(...wants.needs)
      quotas.push(...wants.quotas)
      claims.push(...wants.claims)
    }
    return { needs, quotas, claims }
  }
  set(part: PartName, wants: Wants): void {
    this.byPart.set(part, { wants, at: this.time.moment() })
  }
  /** The same, and what is new about it. */
  change(part: PartName, wants: Wants): WantsChange {
    const before = this.of(part)
    this.set(part, wants)
    const lacks = ({ needs, quotas }: Wants) => JSON.stringify({ needs, quotas })
    if (lacks(before) !== lacks(wants)) return "needs"
    return JSON.stringify(before.claims) === JSON.stringify(wants.claims) ? "none" : "claims"
  }
}
