import type { CloudClient } from "@sorreltally/cloud"
import type { Mirror } from "@sorreltally/membership"
import type { Hireable } from "@sorreltally/planner"
import { type CatalogRecord, keys, type StateClient } from "@sorreltally/state"
import {
  type ListedMachine,
  later,
  type MachineId,
  type MachineType,
  type Moment,
  NEVER,
  type TypeName,
  type ZoneName,
} from "@sorreltally/wire"
import { Effect, Result } from "effect"

const CATALOG_EVERY_MS = 30_000

/**
 * What this node knows of the cloud: the types, what was refused lately, and
 * the last list of machines. The list lags; see `listedAsOf`.
 */
export class Fleet {
  private types = new Map<TypeName, MachineType>()
  private catalogAt: Moment = NEVER
  private readonly refused = new Map<string, Moment>()
  listed = new Map<MachineId, ListedMachine>()
  readonly everListed = new Set<MachineId>()
  /** When the last list was asked for. */
  listedAt: Moment = NEVER
  private catalogStored = false

  constructor(
    private readonly cloud: CloudClient,
    private readonly state: StateClient,
    private readonly mirror: Mirror,
    private readonly now: () => Moment,
    private readonly refusalMemoryS: number,
    private readonly pollMs: number,
    private readonly owns: () => boolean,
  ) {}

  /** Null while the machine types aren't known. */
  catalog(): ReadonlyMap<TypeName, MachineType> | null {
    if (this.types.size > 0) return this.types
    const stored = this.mirror.get<CatalogRecord>(keys.catalog)
    if (stored === null) return null
    this.setTypes(stored.v.builds)
    return this.types
  }
  private setTypes(builds: ReadonlyArray<MachineType>): void {
    this.types = new Map(builds.map((t) => [t.name, t]))
  }

  refuse(type: TypeName, zone: ZoneName, spot: boolean): void {
    this.refused.set(`${type}|${zone}|${spot}`, later(this.now(), this.refusalMemoryS * 1000))
  }
  /**
   * Spot while it is cheaper than ordinary machines; those only where spot of
   * the same type and zone was refused.
   */
  market(): ReadonlyArray<Hireable> {
    const now = this.now()
    const open = (type: MachineType, zone: ZoneName, spot: boolean) =>
      now >= (this.refused.get(`${type.name}|${zone}|${spot}`) ?? NEVER)
    const out: Array<Hireable> = []
    for (const type of this.types.values()) {
      for (const zone of type.sites) {
        const cheaper = type.spot_price < type.hourly
        if (cheaper && open(type, zone, true)) out.push({ type, zone, spot: true, price: type.spot_price })
        if (open(type, zone, false)) out.push({ type, zone, spot: false, price: type.hourly })
      }
    }
    return out
  }

  readonly run: Effect.Effect<never> = Effect.suspend(() =>
    Effect.forever(
      Effect.gen({ self: this }, function* () {
        if (this.now() >= later(this.catalogAt, CATALOG_EVERY_MS)) yield* this.readCatalog()
        if (this.owns()) {
          const asked = this.now()
          const list = yield* Effect.result(this.cloud.list)
          if (Result.isSuccess(list)) {
            this.listed = new Map(list.success.map((m) => [m.id, m]))
            for (const m of list.success) this.everListed.add(m.id)
            this.listedAt = asked
          }
        }
        yield* Effect.sleep(this.types.size === 0 ? 300 : this.pollMs)
      }),
    ),
  )

  private readCatalog() {
    return Effect.gen({ self: this }, function* () {
      const read = yield* Effect.result(this.cloud.catalog)
      if (Result.isFailure(read)) return
      this.setTypes(read.success)
      this.catalogAt = this.now()
      // Kept so that a node that starts while the cloud is away knows the types.
      if (!this.catalogStored && this.owns() && this.mirror.get(keys.catalog) === null) {
        const record: CatalogRecord = { builds: read.success }
        const when = [{ path: keys.catalog, stamp: this.mirror.stamp(keys.catalog) }]
        const stored = yield* Effect.result(this.state.multi(when, [{ set: keys.catalog, v: record }], 3))
        this.catalogStored = Result.isSuccess(stored)
      }
    })
  }
}
