/**
 * This node's view of the cloud: machine types and prices, refused rental requests, and the last list of
 * machines. All of it may be out of date: that a machine is missing from a list does not prove it deleted.
 */
import { type CloudClient, LIST_PAGE_MACHINES } from "@sorreltally/cloud"
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
import { addBounded } from "./machine-index.ts"

/** Share of the cloud's request rate that repeated requests to refused pools may use. */
const RETRY_RATE_SHARE = 0.25
/** Limit of the factor by which consecutive refusals lengthen a pool's first back-off. */
const MAX_REFUSAL_BACKOFF_FACTOR = 2

/** Map key of a capacity pool: machine type, zone, and whether it is spot. */
type PoolKey = `${MachineTypeName}|${ZoneName}|${boolean}`
const poolKey = (type: MachineTypeName, zone: ZoneName, spot: boolean): PoolKey => `${type}|${zone}|${spot}`

const CATALOG_INTERVAL_MS = 30_000
/** Interval at which a node that lists machines checks whether the next list is due. */
const LISTING_CHECK_MS = 300
/** Interval at which a node that doesn't list machines checks whether it should. */
const IDLE_CHECK_MS = 1_000
/** Share of the cloud's request rate that lists may use. */
const LIST_RATE_SHARE = 0.25

/** Dependencies and settings of a node's cloud inventory. */
export interface CloudInventoryOptions {
  readonly cloud: CloudClient
  readonly store: StoreClient
  readonly replica: Replica
  readonly now: () => MonotonicTime
  /** Operators' limit, in seconds, of the first back-off after a refusal. */
  readonly refusalMemoryS: number
  /** The cloud's rate limit, shared by all nodes. */
  readonly requestsPerSecond: number
  /** Whether this node lists machines; otherwise it receives the lists that another node requested. */
  readonly shouldList: () => boolean
  /** Sends a list that this node requested to the other nodes. */
  readonly publishList: (list: ReadonlyArray<ListedMachine>) => void
}

/**
 * This node's view of the cloud: the machine types, recently refused rental requests, and the last list of
 * machines. The list lags; see `listedAt`.
 */
export class CloudInventory {
  private machineTypes = new Map<MachineTypeName, MachineType>()
  private catalogReadAt: MonotonicTime = EARLIEST_TIME
  /** Consecutive refusals of each pool, and the end of its back-off. */
  private readonly refusals = new Map<PoolKey, { readonly until: MonotonicTime; readonly count: number }>()
  /** Number of rental requests in flight, by pool. */
  private readonly requestsInFlight = new Map<PoolKey, number>()
  /** The last list, whichever node requested it. */
  listedMachines: ReadonlyMap<MachineId, ListedMachineState> = new Map()
  /** The last list that this node requested itself. */
  lastOwnList: ReadonlyArray<ListedMachine> = []
  private readonly countByZone = new Map<ZoneName, number>()
  /** Machines that appeared in any list; bounded, the oldest entries are evicted. */
  readonly everListed = new Set<MachineId>()
  /** Time at which the last list was requested. */
  listedAt: MonotonicTime = EARLIEST_TIME
  private isCatalogStored = false

  constructor(private readonly options: CloudInventoryOptions) {}

  /** Interval between two lists; each list takes one request per page. */
  get listIntervalMs(): number {
    const pages = Math.ceil((this.listedMachines.size + 1) / LIST_PAGE_MACHINES)
    return Math.max(1_000, (1000 * pages) / (LIST_RATE_SHARE * this.options.requestsPerSecond))
  }
  /** Replaces the last list; the new one was requested at `requestedAt`, by this node or by its publisher. */
  applyList(machines: ReadonlyArray<ListedMachineState>, requestedAt: MonotonicTime): void {
    this.listedMachines = new Map(machines.map((machine) => [machine.id, machine]))
    this.countByZone.clear()
    for (const machine of machines) {
      if (!this.everListed.has(machine.id)) addBounded(this.everListed, machine.id)
      this.countByZone.set(machine.zone, (this.countByZone.get(machine.zone) ?? 0) + 1)
    }
    this.listedAt = requestedAt
  }

  /** Machine types by name; null while they aren't known. */
  catalog(): ReadonlyMap<MachineTypeName, MachineType> | null {
    if (this.machineTypes.size > 0) return this.machineTypes
    const stored = this.options.replica.get(keys.catalog)
    if (stored === null) return null
    this.setTypes(stored.value.machineTypes)
    return this.machineTypes
  }
  private setTypes(machineTypes: ReadonlyArray<MachineType>): void {
    this.machineTypes = new Map(machineTypes.map((type) => [type.name, type]))
  }

  /**
   * Records that a pool refused a rental request, and starts its back-off, which grows with consecutive
   * refusals. The first back-off is the operators' limit, or less if the cloud's request rate allows requests
   * to all pools sooner, since other customers take capacity that becomes available.
   */
  recordRefusal(type: MachineTypeName, zone: ZoneName, spot: boolean): void {
    const pool = poolKey(type, zone, spot)
    const count = (this.refusals.get(pool)?.count ?? 0) + 1
    let poolCount = 0
    for (const { zones } of this.machineTypes.values()) poolCount += 2 * zones.length
    const retryIntervalS = Math.min(
      this.options.refusalMemoryS,
      poolCount / (RETRY_RATE_SHARE * this.options.requestsPerSecond),
    )
    const pauseS = retryIntervalS * Math.min(MAX_REFUSAL_BACKOFF_FACTOR, 1.5 ** (count - 1))
    this.refusals.set(pool, { until: addMs(this.options.now(), pauseS * 1000), count })
  }
  /** Ends a pool's back-off: it granted a request, or one of its machines was released. */
  clearRefusal(type: MachineTypeName, zone: ZoneName, spot: boolean): void {
    this.refusals.delete(poolKey(type, zone, spot))
  }
  /** Counts a request to a pool as in flight; returns an idempotent function that ends this. */
  trackRequest(type: MachineTypeName, zone: ZoneName, spot: boolean): () => void {
    const pool = poolKey(type, zone, spot)
    this.requestsInFlight.set(pool, (this.requestsInFlight.get(pool) ?? 0) + 1)
    let isInFlight = true
    return () => {
      if (isInFlight) this.requestsInFlight.set(pool, (this.requestsInFlight.get(pool) ?? 1) - 1)
      isInFlight = false
    }
  }
  /** Whether a pool is in its back-off after a refusal, so that no request should be sent to it. */
  isRefused(type: MachineTypeName, zone: ZoneName, spot: boolean): boolean {
    return this.options.now() < (this.refusals.get(poolKey(type, zone, spot))?.until ?? EARLIEST_TIME)
  }

  /** Offers that can be rented now: spot only while cheaper than on-demand; no pools in their back-off. */
  currentOffers(): ReadonlyArray<Offer> {
    const offers: Array<Offer> = []
    for (const type of this.machineTypes.values())
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
      hasPendingRequest: (this.requestsInFlight.get(poolKey(type.name, zone, spot)) ?? 0) > 0,
      machinesInZone: this.countByZone.get(zone) ?? 0,
    }
  }

  /** Reads the catalog periodically, and lists machines while this node should. */
  readonly run: Effect.Effect<never> = Effect.suspend(() =>
    Effect.forever(
      Effect.gen({ self: this }, function* () {
        if (this.options.now() >= addMs(this.catalogReadAt, CATALOG_INTERVAL_MS)) yield* this.readCatalog()
        if (this.options.shouldList() && this.options.now() >= addMs(this.listedAt, this.listIntervalMs)) {
          const requestedAt = this.options.now()
          const list = yield* Effect.result(this.options.cloud.list)
          if (Result.isSuccess(list)) {
            this.lastOwnList = list.success
            this.applyList(list.success, requestedAt)
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
      this.catalogReadAt = this.options.now()
      // Stored so that a node that starts while the cloud is unreachable has the machine types.
      if (
        !this.isCatalogStored &&
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
        // A catalog that the store rejects would be rejected again: nodes then need the cloud to start.
        this.isCatalogStored = Result.isSuccess(stored) || stored.failure.outcome === "rejected"
      }
    })
  }
}
