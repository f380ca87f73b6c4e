/**
 * Every machine on record, looked up by machine. A view of this node's replica, which may lag behind the store:
 * it only follows the records and never changes one.
 */
import type { Replica } from "@sorreltally/membership"
import type { MachineId, ShardName, WallTime } from "@sorreltally/protocol"
import { type Entry, keys, MACHINE_BLOCKS, type MachineBlock, type StoreKey } from "@sorreltally/store"
import type { MachineEntry } from "@sorreltally/workers"

/** Learns of a machine's entry when it is new or changed; null: the machine is off the record. */
export type MachineListener = (id: MachineId, entry: MachineEntry | null) => void

/** Ids of machines long gone are forgotten: no list lags that far. */
const MAX_REMEMBERED = 20_000
/** Adds an id to a bounded set, which forgets its oldest. */
export const remember = (ids: Set<MachineId>, id: MachineId): void => {
  ids.add(id)
  if (ids.size <= MAX_REMEMBERED) return
  const oldest = ids.values().next()
  if (oldest.done !== true) ids.delete(oldest.value)
}

/** A block's series and its number in it, from its key. */
const positionOf = (key: string): { readonly series: string; readonly number: number } => {
  const dot = key.lastIndexOf(".")
  return { series: key.slice(MACHINE_BLOCKS.length, dot), number: Number(key.slice(dot + 1)) }
}

/** Every machine on record, machine by machine: the blocks as this node's replica has them. */
export class MachineIndex {
  private readonly machines = new Map<MachineId, MachineEntry>()
  private readonly machinesOfBlock = new Map<string, ReadonlyArray<MachineId>>()
  private readonly sizes = new Map<ShardName, number>()
  /** The highest block number of each series. */
  private readonly latestNumbers = new Map<string, number>()
  private readonly listeners = new Set<MachineListener>()
  /** Machines that are off the record; a lagging list may still show them. */
  readonly gone = new Set<MachineId>()

  constructor(replica: Replica) {
    replica.listen(MACHINE_BLOCKS, (key, entry) => this.changed(key, entry))
  }

  /** A machine's entry; undefined while it isn't on record here. */
  get(id: MachineId): MachineEntry | undefined {
    return this.machines.get(id)
  }
  /** Every machine on record. */
  all(): Iterable<MachineEntry> {
    return this.machines.values()
  }
  /** How many machines a shard has. */
  size(shard: ShardName): number {
    return this.sizes.get(shard) ?? 0
  }
  /** How many machines all shards have together. */
  get total(): number {
    return this.machines.size
  }
  /** Calls the listener on every change from now on; returns how to end that. */
  listen(listener: MachineListener): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }
  /** The key of the next block of a series: absent in the store unless another node was faster. */
  nextBlock(series: string): StoreKey<MachineBlock> {
    return keys.machineBlock(series, (this.latestNumbers.get(series) ?? 0) + 1)
  }
  /** The latest block of a series, and how many machines it holds; null: it has none yet. */
  latestBlock(series: string): { readonly key: StoreKey<MachineBlock>; readonly machines: number } | null {
    const number = this.latestNumbers.get(series)
    if (number === undefined) return null
    const key = keys.machineBlock(series, number)
    return { key, machines: this.machinesOfBlock.get(key)?.length ?? 0 }
  }
  /**
   * The latest block of its series stays even when it is empty, since the
   * number of the next one is counted from it.
   */
  isLatest(key: string): boolean {
    const { series, number } = positionOf(key)
    return number >= (this.latestNumbers.get(series) ?? 0)
  }
  private changed(key: StoreKey<MachineBlock>, entry: Entry<MachineBlock> | null): void {
    const { series, number } = positionOf(key)
    this.latestNumbers.set(series, Math.max(number, this.latestNumbers.get(series) ?? 0))
    const before = this.machinesOfBlock.get(key) ?? []
    const present: Array<MachineId> = []
    if (entry === null) this.machinesOfBlock.delete(key)
    else {
      this.putBlock(key, entry.value, present)
      this.machinesOfBlock.set(key, present)
    }
    if (before.length > 0) this.removeAbsent(key, before, present)
  }
  private putBlock(key: StoreKey<MachineBlock>, block: MachineBlock, present: Array<MachineId>): void {
    const { machines, machineType, zone, spot, rentedAt } = block
    for (const { machineId: id, shard, token, rentedAfterS } of machines) {
      present.push(id)
      const known = this.machines.get(id)
      if (known !== undefined && known.shard === shard && known.token === token) continue
      const rented = (rentedAt + 1000 * rentedAfterS) as WallTime
      this.put({ id, block: key, shard, token, machineType, zone, spot, rentedAt: rented }, known)
    }
  }
  private removeAbsent(
    key: string,
    before: ReadonlyArray<MachineId>,
    present: ReadonlyArray<MachineId>,
  ): void {
    const stillPresent = new Set(present)
    for (const id of before) {
      const known = this.machines.get(id)
      if (stillPresent.has(id) || known?.block !== key) continue
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
