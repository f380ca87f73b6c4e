import { type CloudClient, LIST_PAGE } from "@sorreltally/cloud"
import type { Replica } from "@sorreltally/membership"
import type { ListedMachineState } from "@sorreltally/peers"
import type { Offer } from "@sorreltally/planner"
import {
  addMs,
  type ListedMachine,
  type MachineId,
  type MachineType,
  type MachineTypeName,
  type MonotonicTime,
  NEVER,
  type ZoneName,
} from "@sorreltally/protocol"
import { type CatalogRecord, keys, put, type StoreClient } from "@sorreltally/store"
import { Effect, Result } from "effect"
import { remember } from "./machine-index.ts"

/** Share of the cloud's calls that asking refused kinds again may use. */
const ASK_AGAIN_RATE = 0.25
/** A kind refused again and again is left alone for at most this many times as long as at first. */
const MOST_PATIENCE = 2
const kindOf = (type: MachineTypeName, zone: ZoneName, spot: boolean) => `${type}|${zone}|${spot}`
const CATALOG_EVERY_MS = 30_000
/** Whoever lists looks this often whether a list is due, the others whether it is for them to list. */
const LOOK_MS = 300
const IDLE_MS = 1_000
/** Share of the cloud's calls that lists may use. */
const LIST_RATE = 0.25

/**
 * What this node knows of the cloud: the types, what was refused lately, and
 * the last list of machines. The list lags; see `listedAt`.
 */
export class CloudInventory {
  private types = new Map<MachineTypeName, MachineType>()
  private catalogAt: MonotonicTime = NEVER
  private readonly refused = new Map<string, { readonly until: MonotonicTime; readonly times: number }>()
  private readonly asked = new Map<string, number>()
  listed: ReadonlyMap<MachineId, ListedMachineState> = new Map()
  /** The last list that this node asked for itself. */
  listedHere: ReadonlyArray<ListedMachine> = []
  private readonly inZone = new Map<ZoneName, number>()
  readonly everListed = new Set<MachineId>()
  /** When the last list was asked for. */
  listedAt: MonotonicTime = NEVER
  private catalogStored = false

  constructor(
    private readonly cloud: CloudClient,
    private readonly store: StoreClient,
    private readonly replica: Replica,
    private readonly now: () => MonotonicTime,
    private readonly refusalMemoryS: number,
    private readonly rps: number,
    /** Does this node list machines, or is it told what another one listed? */
    private readonly lists: () => boolean,
    private readonly share: (list: ReadonlyArray<ListedMachine>) => void,
  ) {}

  /** Pause between two lists, each of as many calls as it has pages. */
  get pollMs(): number {
    const pages = Math.ceil((this.listed.size + 1) / LIST_PAGE)
    return Math.max(1_000, (1000 * pages) / (LIST_RATE * this.rps))
  }
  /** A list, asked for at that moment, by us or by the node that told us. */
  take(list: ReadonlyArray<ListedMachineState>, asked: MonotonicTime): void {
    this.listed = new Map(list.map((m) => [m.id, m]))
    this.inZone.clear()
    for (const m of list) {
      if (!this.everListed.has(m.id)) remember(this.everListed, m.id)
      this.inZone.set(m.zone, (this.inZone.get(m.zone) ?? 0) + 1)
    }
    this.listedAt = asked
  }

  /** Null while the machine types aren't known. */
  catalog(): ReadonlyMap<MachineTypeName, MachineType> | null {
    if (this.types.size > 0) return this.types
    const stored = this.replica.get(keys.catalog)
    if (stored === null) return null
    this.setTypes(stored.value.machineTypes)
    return this.types
  }
  private setTypes(machineTypes: ReadonlyArray<MachineType>): void {
    this.types = new Map(machineTypes.map((t) => [t.name, t]))
  }

  /**
   * A kind refused again and again is asked for ever less often. However long
   * the operators let refusals be remembered, it is asked as soon as the
   * cloud's rate allows it for all kinds: room that opens is taken by others.
   */
  refuse(type: MachineTypeName, zone: ZoneName, spot: boolean): void {
    const kind = kindOf(type, zone, spot)
    const times = (this.refused.get(kind)?.times ?? 0) + 1
    let kinds = 0
    for (const { zones: sites } of this.types.values()) kinds += 2 * sites.length
    const roundS = Math.min(this.refusalMemoryS, kinds / (ASK_AGAIN_RATE * this.rps))
    const pauseS = roundS * Math.min(MOST_PATIENCE, 1.5 ** (times - 1))
    this.refused.set(kind, { until: addMs(this.now(), pauseS * 1000), times })
  }
  /** There was room a moment ago, or one of its machines went back: it is worth asking. */
  granted(type: MachineTypeName, zone: ZoneName, spot: boolean): void {
    this.refused.delete(kindOf(type, zone, spot))
  }
  /** Counts the requests under way of each kind; returns how to end one, which may be called again. */
  asking(type: MachineTypeName, zone: ZoneName, spot: boolean): () => void {
    const kind = kindOf(type, zone, spot)
    this.asked.set(kind, (this.asked.get(kind) ?? 0) + 1)
    let open = true
    return () => {
      if (open) this.asked.set(kind, (this.asked.get(kind) ?? 1) - 1)
      open = false
    }
  }
  isRefused(type: MachineTypeName, zone: ZoneName, spot: boolean): boolean {
    return this.now() < (this.refused.get(kindOf(type, zone, spot))?.until ?? NEVER)
  }

  /** Spot counts while it is cheaper than ordinary machines. Kinds refused lately are left out. */
  market(): ReadonlyArray<Offer> {
    const out: Array<Offer> = []
    for (const type of this.types.values()) {
      for (const zone of type.zones) {
        for (const spot of [true, false]) {
          const kind = kindOf(type.name, zone, spot)
          if (spot && type.spotPrice >= type.onDemandPrice) continue
          if (this.isRefused(type.name, zone, spot)) continue
          const price = spot ? type.spotPrice : type.onDemandPrice
          out.push({
            type,
            zone,
            spot,
            price,
            asked: (this.asked.get(kind) ?? 0) > 0,
            ours: this.inZone.get(zone) ?? 0,
          })
        }
      }
    }
    return out
  }

  readonly run: Effect.Effect<never> = Effect.suspend(() =>
    Effect.forever(
      Effect.gen({ self: this }, function* () {
        if (this.now() >= addMs(this.catalogAt, CATALOG_EVERY_MS)) yield* this.readCatalog()
        if (this.lists() && this.now() >= addMs(this.listedAt, this.pollMs)) {
          const asked = this.now()
          const list = yield* Effect.result(this.cloud.list)
          if (Result.isSuccess(list)) {
            this.listedHere = list.success
            this.take(list.success, asked)
            this.share(list.success)
          }
        }
        yield* Effect.sleep(this.lists() ? LOOK_MS : IDLE_MS)
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
      if (!this.catalogStored && this.lists() && this.replica.get(keys.catalog) === null) {
        const record: CatalogRecord = { machineTypes: read.success }
        const when = [{ key: keys.catalog, modRevision: this.replica.modRevision(keys.catalog) }]
        const stored = yield* Effect.result(this.store.compareAndSwap(when, [put(keys.catalog, record)], 3))
        this.catalogStored = Result.isSuccess(stored)
      }
    })
  }
}
