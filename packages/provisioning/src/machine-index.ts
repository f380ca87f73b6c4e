/**
 * Index of all machines on record by their id: a read-only view of this node's replica, which may lag behind
 * the store.
 */
import type { Replica } from "@sorreltally/membership"
import type { MachineId, ShardName, WallTime } from "@sorreltally/protocol"
import { type Entry, keys, MACHINE_BLOCKS, type MachineBlock, type StoreKey } from "@sorreltally/store"
import type { MachineEntry } from "@sorreltally/workers"

/** Called with a machine's entry when it is new or changed; null: the machine's record was removed. */
export type MachineListener = (id: MachineId, entry: MachineEntry | null) => void

/** Limit of an id set. Evicting the oldest ids is safe: no list lags so far that it still shows them. */
const MAX_REMEMBERED_IDS = 20_000
/** Adds an id to a bounded set; evicts the oldest id of a full one. */
export const addBounded = (ids: Set<MachineId>, id: MachineId): void => {
  ids.add(id)
  if (ids.size <= MAX_REMEMBERED_IDS) return
  const oldest = ids.values().next()
  if (oldest.done !== true) ids.delete(oldest.value)
}

/** Parses a block's series, and its number in the series, from its key. */
const parseBlockKey = (key: string): { readonly series: string; readonly number: number } => {
  const dot = key.lastIndexOf(".")
  return { series: key.slice(MACHINE_BLOCKS.length, dot), number: Number(key.slice(dot + 1)) }
}

/** Index of the machines in the blocks that this node's replica holds. */
export class MachineIndex {
  private readonly machines = new Map<MachineId, MachineEntry>()
  private readonly machinesOfBlock = new Map<string, ReadonlyArray<MachineId>>()
  private readonly countByShard = new Map<ShardName, number>()
  /** The highest block number of each series. */
  private readonly latestNumbers = new Map<string, number>()
  private readonly listeners = new Set<MachineListener>()
  /** Machines whose records were removed; a lagging list may still show them. */
  readonly removedMachines = new Set<MachineId>()

  constructor(replica: Replica) {
    replica.listen(MACHINE_BLOCKS, (key, entry) => this.blockChanged(key, entry))
  }

  /** A machine's entry; undefined while this node's replica has no record of it. */
  get(id: MachineId): MachineEntry | undefined {
    return this.machines.get(id)
  }
  /** Every machine on record. */
  all(): Iterable<MachineEntry> {
    return this.machines.values()
  }
  /** Records that a machine without a record was deleted. */
  markRemoved(id: MachineId): void {
    addBounded(this.removedMachines, id)
  }
  /** Number of a shard's machines. */
  size(shard: ShardName): number {
    return this.countByShard.get(shard) ?? 0
  }
  /** Number of machines of all shards. */
  get total(): number {
    return this.machines.size
  }
  /** Calls the listener on every later change; returns a function that removes the listener. */
  listen(listener: MachineListener): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }
  /**
   * The key of the next block of a series, or of a later one: `skipped` blocks after the next. It is absent in
   * the store unless another node wrote it first.
   */
  nextBlock(series: string, skipped = 0): StoreKey<MachineBlock> {
    return keys.machineBlock(series, (this.latestNumbers.get(series) ?? 0) + 1 + skipped)
  }
  /** The latest block of a series, and its number of machines; null: the series has no block yet. */
  latestBlock(
    series: string,
  ): { readonly key: StoreKey<MachineBlock>; readonly machineCount: number } | null {
    const number = this.latestNumbers.get(series)
    if (number === undefined) return null
    const key = keys.machineBlock(series, number)
    return { key, machineCount: this.machinesOfBlock.get(key)?.length ?? 0 }
  }
  /**
   * Whether a block is the latest of its series. The latest block is kept even when it is empty, since the
   * number of the next block is derived from it.
   */
  isLatest(key: string): boolean {
    const { series, number } = parseBlockKey(key)
    return number >= (this.latestNumbers.get(series) ?? 0)
  }
  /**
   * Whether a later state of a block still lists all machines that this index has in it. Otherwise they may
   * have moved to a block that only the watch delivers, and must not appear to be removed until then.
   */
  keepsMachines({ key, value }: Entry<MachineBlock>): boolean {
    const listed = new Set(value.machines.map(({ machineId }) => machineId))
    const indexed = this.machinesOfBlock.get(key) ?? []
    return indexed.every((id) => listed.has(id) || this.machines.get(id)?.block !== key)
  }
  private blockChanged(key: StoreKey<MachineBlock>, entry: Entry<MachineBlock> | null): void {
    const { series, number } = parseBlockKey(key)
    this.latestNumbers.set(series, Math.max(number, this.latestNumbers.get(series) ?? 0))
    const previousIds = this.machinesOfBlock.get(key) ?? []
    const currentIds: Array<MachineId> = []
    if (entry === null) this.machinesOfBlock.delete(key)
    else {
      this.putBlock(key, entry.value, currentIds)
      this.machinesOfBlock.set(key, currentIds)
    }
    if (previousIds.length > 0) this.removeAbsent(key, previousIds, currentIds)
  }
  private putBlock(key: StoreKey<MachineBlock>, block: MachineBlock, currentIds: Array<MachineId>): void {
    const { machines, machineType, zone, spot, rentedAt } = block
    for (const { machineId: id, shard, token, rentedAfterS } of machines) {
      currentIds.push(id)
      const previous = this.machines.get(id)
      if (previous?.shard === shard && previous.token === token) {
        // Moved from another block without a change of the machine: nothing to report.
        if (previous.block !== key) this.machines.set(id, { ...previous, block: key })
        continue
      }
      const rented = (rentedAt + 1000 * rentedAfterS) as WallTime
      this.put({ id, block: key, shard, token, machineType, zone, spot, rentedAt: rented }, previous)
    }
  }
  private removeAbsent(
    key: string,
    previousIds: ReadonlyArray<MachineId>,
    currentIds: ReadonlyArray<MachineId>,
  ): void {
    const stillPresent = new Set(currentIds)
    for (const id of previousIds) {
      const known = this.machines.get(id)
      if (stillPresent.has(id) || known?.block !== key) continue
      this.machines.delete(id)
      addBounded(this.removedMachines, id)
      this.adjustCount(known.shard, -1)
      for (const listener of this.listeners) listener(id, null)
    }
  }
  private put(entry: MachineEntry, previous: MachineEntry | undefined): void {
    if (previous !== undefined) this.adjustCount(previous.shard, -1)
    this.adjustCount(entry.shard, 1)
    this.machines.set(entry.id, entry)
    for (const listener of this.listeners) listener(entry.id, entry)
  }
  private adjustCount(shard: ShardName, delta: number): void {
    this.countByShard.set(shard, (this.countByShard.get(shard) ?? 0) + delta)
  }
}
