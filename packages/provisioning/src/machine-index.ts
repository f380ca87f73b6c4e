import type { Replica } from "@sorreltally/membership"
import type { MachineId, MachineTypeName, ShardName, WallTime, ZoneName } from "@sorreltally/protocol"
import { type Entry, keys, MACHINE_BLOCKS, type MachineBlock, type StoreKey } from "@sorreltally/store"
import type { MachineEntry } from "@sorreltally/workers"

/** Blocks of adopted machines are counted apart from those of every part. */
export const ADOPTED = "adopted"

export interface Kind {
  readonly machineType: MachineTypeName
  readonly zone: ZoneName
  readonly spot: boolean
}
/** Blocks are numbered for each part and kind of machine. */
export const originFor = (by: ShardName | typeof ADOPTED, { machineType, zone, spot }: Kind): string =>
  `${by}~${machineType}~${zone}~${spot ? "spot" : "steady"}`

export type MachineListener = (id: MachineId, entry: MachineEntry | null) => void

/** Ids of machines long gone are forgotten: no list lags that far. */
const REMEMBERED = 20_000
export const remember = (ids: Set<MachineId>, id: MachineId): void => {
  ids.add(id)
  if (ids.size <= REMEMBERED) return
  const oldest = ids.values().next()
  if (oldest.done !== true) ids.delete(oldest.value)
}

const originOf = (path: string): { readonly origin: string; readonly n: number } => {
  const dot = path.lastIndexOf(".")
  return { origin: path.slice(MACHINE_BLOCKS.length, dot), n: Number(path.slice(dot + 1)) }
}

/** Every machine on record, machine by machine: the blocks as this node's mirror has them. */
export class MachineIndex {
  private readonly machines = new Map<MachineId, MachineEntry>()
  private readonly inBlock = new Map<string, ReadonlyArray<MachineId>>()
  private readonly sizes = new Map<ShardName, number>()
  private readonly latest = new Map<string, number>()
  private readonly listeners = new Set<MachineListener>()
  /** Machines that are off the record; a lagging list may still show them. */
  readonly gone = new Set<MachineId>()

  constructor(replica: Replica) {
    replica.listen(MACHINE_BLOCKS, (path, entry) => this.changed(path, entry))
  }

  get(id: MachineId): MachineEntry | undefined {
    return this.machines.get(id)
  }
  all(): Iterable<MachineEntry> {
    return this.machines.values()
  }
  /** How many machines a part has. */
  size(shard: ShardName): number {
    return this.sizes.get(shard) ?? 0
  }
  get total(): number {
    return this.machines.size
  }
  listen(listener: MachineListener): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }
  /** The key of the next block of an origin: absent unless somebody was faster. */
  next(origin: string): StoreKey<MachineBlock> {
    return keys.machineBlock(origin, (this.latest.get(origin) ?? 0) + 1)
  }
  /** The latest block of an origin, and how many machines it holds. */
  last(origin: string): { readonly path: StoreKey<MachineBlock>; readonly machines: number } | null {
    const n = this.latest.get(origin)
    if (n === undefined) return null
    const path = keys.machineBlock(origin, n)
    return { path, machines: this.inBlock.get(path)?.length ?? 0 }
  }
  /**
   * The latest block of its origin stays even when it is empty, since the
   * number of the next one is counted from it.
   */
  isLatest(path: string): boolean {
    const { origin, n } = originOf(path)
    return n >= (this.latest.get(origin) ?? 0)
  }
  private changed(path: string, entry: Entry | null): void {
    const { origin, n } = originOf(path)
    this.latest.set(origin, Math.max(n, this.latest.get(origin) ?? 0))
    const before = this.inBlock.get(path) ?? []
    const now: Array<MachineId> = []
    if (entry === null) this.inBlock.delete(path)
    else {
      const block = path as StoreKey<MachineBlock>
      const { machines, machineType, zone, spot, rentedAt } = entry.value as MachineBlock
      for (const { machineId: id, shard, token, rentedAfterS } of machines) {
        now.push(id)
        const known = this.machines.get(id)
        if (known !== undefined && known.shard === shard && known.token === token) continue
        const rented = (rentedAt + 1000 * rentedAfterS) as WallTime
        this.put({ id, block, shard, token, machineType, zone, spot, rentedAt: rented }, known)
      }
      this.inBlock.set(path, now)
    }
    if (before.length === 0) return
    const left = new Set(now)
    for (const id of before) {
      const known = this.machines.get(id)
      if (left.has(id) || known?.block !== path) continue
      this.machines.delete(id)
      remember(this.gone, id)
      this.count(known.shard, -1)
      for (const listener of this.listeners) listener(id, null)
    }
  }
  private put(entry: MachineEntry, known: MachineEntry | undefined): void {
    if (known !== undefined) this.count(known.shard, -1)
    this.count(entry.shard, 1)
    this.machines.set(entry.id, entry)
    for (const listener of this.listeners) listener(entry.id, entry)
  }
  private count(shard: ShardName, by: number): void {
    this.sizes.set(shard, (this.sizes.get(shard) ?? 0) + by)
  }
}
