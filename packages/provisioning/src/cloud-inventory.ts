/**
 * What this node knows of the cloud: machine types and prices, refusals, and the last list of machines. All of
 * it may lag: no machine is taken for gone because a list lacks it.
 */
import { type CloudClient, LIST_PAGE } from "@sorreltally/cloud"
import type { Replica } from "@sorreltally/membership"
import type { ListedMachineState } from "@sorreltally/peers"
import type { Offer } from "@sorreltally/planner"
import {
  addMs,
  EARLIEST_TIME,
  type ListedMachine,
  type MachineId,
  type MachineType,
  type MachineTypeName,
  type MonotonicTime,
  type ZoneName,
} from "@sorreltally/protocol"
import { type CatalogRecord, keys, put, type StoreClient } from "@sorreltally/store"
import { Effect, Result } from "effect"
import { remember } from "./machine-index.ts"

/** Share of the cloud's calls that requests to refused pools may use. */
const RETRY_RATE_SHARE = 0.25
/** A pool that refuses again and again is left alone for at most this many times as long as at first. */
const MAX_REFUSAL_BACKOFF = 2

/** A capacity pool as a key: machine type, zone, and whether it is spot. */
type PoolKey = `${MachineTypeName}|${ZoneName}|${boolean}`
const poolKey = (type: MachineTypeName, zone: ZoneName, spot: boolean): PoolKey => `${type}|${zone}|${spot}`

const CATALOG_INTERVAL_MS = 30_000
/** Whoever lists checks this often whether a list is due, the others whether it is for them to list. */
const LISTING_CHECK_MS = 300
const IDLE_CHECK_MS = 1_000
/** Share of the cloud's calls that lists may use. */
const LIST_RATE_SHARE = 0.25

/** What a node's knowledge of the cloud is drawn from. */
export interface CloudInventoryOptions {
  readonly cloud: CloudClient
  readonly store: StoreClient
  readonly replica: Replica
  readonly now: () => MonotonicTime
  /** For how many seconds the operators let a refusal be remembered. */
  readonly refusalMemoryS: number
  /** The cloud's rate limit, shared by all nodes. */
  readonly requestsPerSecond: number
  /** Whether this node lists machines; otherwise it receives what another one listed. */
  readonly shouldList: () => boolean
  /** Hands on a list that this node asked for. */
  readonly publishList: (list: ReadonlyArray<ListedMachine>) => void
}

/**
 * What this node knows of the cloud: the types, what was refused lately, and
 * the last list of machines. The list lags; see `listedAt`.
 */
export class CloudInventory {
  private types = new Map<MachineTypeName, MachineType>()
  private catalogAt: MonotonicTime = EARLIEST_TIME
  private readonly refusals = new Map<PoolKey, { readonly until: MonotonicTime; readonly times: number }>()
  /** Rental requests under way. */
  private readonly requested = new Map<PoolKey, number>()
  /** The last list, whichever node asked for it. */
  listed: ReadonlyMap<MachineId, ListedMachineState> = new Map()
  /** The last list that this node asked for itself. */
  listedHere: ReadonlyArray<ListedMachine> = []
  private readonly countByZone = new Map<ZoneName, number>()
  /** Machines that any list has shown; bounded, the oldest are forgotten. */
  readonly everListed = new Set<MachineId>()
  /** When the last list was asked for. */
  listedAt: MonotonicTime = EARLIEST_TIME
  private catalogStored = false

  constructor(private readonly options: CloudInventoryOptions) {}

  /** Pause between two lists, each of as many calls as it has pages. */
  get pollMs(): number {
    const pages = Math.ceil((this.listed.size + 1) / LIST_PAGE)
    return Math.max(1_000, (1000 * pages) / (LIST_RATE_SHARE * this.options.requestsPerSecond))
  }
  /** A list, asked for at that moment, by this node or by the one that published it. */
  take(list: ReadonlyArray<ListedMachineState>, asked: MonotonicTime): void {
    this.listed = new Map(list.map((machine) => [machine.id, machine]))
    this.countByZone.clear()
    for (const machine of list) {
      if (!this.everListed.has(machine.id)) remember(this.everListed, machine.id)
      this.countByZone.set(machine.zone, (this.countByZone.get(machine.zone) ?? 0) + 1)
    }
    this.listedAt = asked
  }

  /** Null while the machine types aren't known. */
  catalog(): ReadonlyMap<MachineTypeName, MachineType> | null {
    if (this.types.size > 0) return this.types
    const stored = this.options.replica.get(keys.catalog)
    if (stored === null) return null
    this.setTypes(stored.value.machineTypes)
    return this.types
  }
  private setTypes(machineTypes: ReadonlyArray<MachineType>): void {
    this.types = new Map(machineTypes.map((type) => [type.name, type]))
  }

  /**
   * A pool that refuses again and again is asked ever less often. However long
   * the operators let refusals be remembered, it is asked as soon as the
   * cloud's rate allows it for all pools: room that opens is taken by others.
   */
  refuse(type: MachineTypeName, zone: ZoneName, spot: boolean): void {
    const pool = poolKey(type, zone, spot)
    const times = (this.refusals.get(pool)?.times ?? 0) + 1
    let pools = 0
    for (const { zones } of this.types.values()) pools += 2 * zones.length
    const roundS = Math.min(
      this.options.refusalMemoryS,
      pools / (RETRY_RATE_SHARE * this.options.requestsPerSecond),
    )
    const pauseS = roundS * Math.min(MAX_REFUSAL_BACKOFF, 1.5 ** (times - 1))
    this.refusals.set(pool, { until: addMs(this.options.now(), pauseS * 1000), times })
  }
  /** There was room a moment ago, or one of its machines went back: it is worth asking. */
  granted(type: MachineTypeName, zone: ZoneName, spot: boolean): void {
    this.refusals.delete(poolKey(type, zone, spot))
  }
  /** Counts the requests under way of each pool; returns how to end one, which may be called again. */
  asking(type: MachineTypeName, zone: ZoneName, spot: boolean): () => void {
    const pool = poolKey(type, zone, spot)
    this.requested.set(pool, (this.requested.get(pool) ?? 0) + 1)
    let open = true
    return () => {
      if (open) this.requested.set(pool, (this.requested.get(pool) ?? 1) - 1)
      open = false
    }
  }
  /** Whether a pool refused a request lately, and should be left alone. */
  isRefused(type: MachineTypeName, zone: ZoneName, spot: boolean): boolean {
    return this.options.now() < (this.refusals.get(poolKey(type, zone, spot))?.until ?? EARLIEST_TIME)
  }

  /** What may be rented at present. Spot counts while it is cheaper than on-demand; refusing pools are left out. */
  market(): ReadonlyArray<Offer> {
    const offers: Array<Offer> = []
    for (const type of this.types.values())
      for (const zone of type.zones)
        for (const spot of [true, false])
          if (this.isOffered(type, zone, spot)) offers.push(this.offer(type, zone, spot))
    return offers
  }
  private isOffered(type: MachineType, zone: ZoneName, spot: boolean): boolean {
    if (spot && type.spotPrice >= type.onDemandPrice) return false
    return !this.isRefused(type.name, zone, spot)
  }
  private offer(type: MachineType, zone: ZoneName, spot: boolean): Offer {
    return {
      type,
      zone,
      spot,
      price: spot ? type.spotPrice : type.onDemandPrice,
      hasPendingRequest: (this.requested.get(poolKey(type.name, zone, spot)) ?? 0) > 0,
      machinesInZone: this.countByZone.get(zone) ?? 0,
    }
  }

  /** Reads the catalog now and then, and the list where this node is the one to do so. */
  readonly run: Effect.Effect<never> = Effect.suspend(() =>
    Effect.forever(
      Effect.gen({ self: this }, function* () {
        if (this.options.now() >= addMs(this.catalogAt, CATALOG_INTERVAL_MS)) yield* this.readCatalog()
        if (this.options.shouldList() && this.options.now() >= addMs(this.listedAt, this.pollMs)) {
          const asked = this.options.now()
          const list = yield* Effect.result(this.options.cloud.list)
          if (Result.isSuccess(list)) {
            this.listedHere = list.success
            this.take(list.success, asked)
            this.options.publishList(list.success)
          }
        }
        yield* Effect.sleep(this.options.shouldList() ? LISTING_CHECK_MS : IDLE_CHECK_MS)
      }),
    ),
  )

  private readCatalog() {
    return Effect.gen({ self: this }, function* () {
      const read = yield* Effect.result(this.options.cloud.catalog)
      if (Result.isFailure(read)) return
      this.setTypes(read.success)
      this.catalogAt = this.options.now()
      // Kept so that a node that starts while the cloud is away knows the types.
      if (
        !this.catalogStored &&
        this.options.shouldList() &&
        this.options.replica.get(keys.catalog) === null
      ) {
        const record: CatalogRecord = { machineTypes: read.success }
        const conditions = [
          { key: keys.catalog, modRevision: this.options.replica.modRevision(keys.catalog) },
        ]
        const stored = yield* Effect.result(
          this.options.store.compareAndSwap(conditions, [put(keys.catalog, record)], 3),
        )
        this.catalogStored = Result.isSuccess(stored)
      }
    })
  }
}
