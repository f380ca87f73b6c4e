/**
 * Plans how machines are added to the records: which of them go into one block, and under which conditions
 * that block may be written. Only builds the transaction, from the replica; `MachineRecordWriter` sends it.
 */
import type { Replica } from "@sorreltally/membership"
import {
  ABSENT_KEY_REVISION,
  type FencingToken,
  type MachineId,
  type ModRevision,
  type ShardName,
} from "@sorreltally/protocol"
import {
  type BlockMachine,
  type Condition,
  groupByShard,
  keys,
  type MachineBlock,
  type StoreKey,
} from "@sorreltally/store"
import { ADOPTED_SERIES_PREFIX, blockSeries, type CapacityPool } from "./codec-block-series.ts"
import type { MachineIndex } from "./machine-index.ts"

/** Upper estimate of the encoded size of one machine in a block. */
const MACHINE_BYTES = 42
/** Upper estimate of the encoded size of a block without machines. */
const BLOCK_BYTES = 300

/** Number of machines that fit into one block, where the store's values are limited to `valueKb` KiB. */
export const maxBlockMachines = (valueKb: number): number =>
  Math.max(1, Math.floor((valueKb * 1024 - BLOCK_BYTES) / MACHINE_BYTES))

/** Machines of one pool, rented by one request or found in the cloud's list. */
export interface NewMachines extends CapacityPool {
  /** Wall-clock time in milliseconds. */
  readonly rentedAt: number
  readonly ids: ReadonlyArray<MachineId>
}
/** Machines to be added to the records, no more than fit into one block. */
export interface PendingAddition extends NewMachines {
  /** Whether the machines were found in the cloud's list, not rented by this shard. */
  readonly adopted: boolean
  /** Called once the machines are on record, or were removed. */
  readonly onSettled: () => void
}

/** Divides machines into additions of at most one block each; only the last one calls `onSettled`. */
export const divideAddition = (
  machines: NewMachines,
  adopted: boolean,
  onSettled: () => void,
  maxMachines: number,
): ReadonlyArray<PendingAddition> => {
  const additions: Array<PendingAddition> = []
  for (let i = 0; i < machines.ids.length; i += maxMachines) {
    const isLast = i + maxMachines >= machines.ids.length
    const ids = machines.ids.slice(i, i + maxMachines)
    additions.push({ ...machines, ids, adopted, onSettled: isLast ? onSettled : () => {} })
  }
  return additions
}

/** Inputs of an addition's plan: the shard whose ownership it requires, and the records as known here. */
export interface AdditionOptions {
  readonly shard: ShardName
  readonly epoch: ModRevision
  /** All shards, this one included. */
  readonly shards: ReadonlyArray<ShardName>
  readonly machineIndex: MachineIndex
  readonly replica: Replica
  readonly maxMachines: number
}

/** A machine that is not yet on record, and the wall-clock time in milliseconds at which it was rented. */
interface NewMachine {
  readonly id: MachineId
  readonly rentedAt: number
}
/** A block to be written, and the conditions of the write. */
export interface BlockWrite {
  readonly conditions: ReadonlyArray<Condition>
  readonly key: StoreKey<MachineBlock>
  readonly block: MachineBlock
}
/**
 * The additions that one write settles; null in place of the write: all their machines are on record, or were
 * removed, already.
 */
export interface AdditionPlan {
  readonly batch: ReadonlyArray<PendingAddition>
  readonly write: BlockWrite | null
}

/** Plans the write of the first addition, together with later ones that can go into the same block. */
export const planAddition = (
  first: PendingAddition,
  pending: ReadonlyArray<PendingAddition>,
  options: AdditionOptions,
): AdditionPlan => {
  const { batch, machines } = selectBatch(first, pending, options)
  return { batch, write: machines.length === 0 ? null : blockWrite(first, machines, options) }
}

const selectBatch = (
  first: PendingAddition,
  pending: ReadonlyArray<PendingAddition>,
  { shard, machineIndex, maxMachines }: AdditionOptions,
): { readonly batch: ReadonlyArray<PendingAddition>; readonly machines: ReadonlyArray<NewMachine> } => {
  const batch: Array<PendingAddition> = []
  const machines: Array<NewMachine> = []
  const series = blockSeries(shard, first)
  for (const addition of pending) {
    const sharesSeries = addition.adopted === first.adopted && blockSeries(shard, addition) === series
    if (!sharesSeries || machines.length + addition.ids.length > maxMachines) continue
    batch.push(addition)
    for (const id of addition.ids)
      if (machineIndex.get(id) === undefined && !machineIndex.removedMachines.has(id))
        machines.push({ id, rentedAt: addition.rentedAt })
  }
  return { batch, machines }
}

/**
 * Builds the write that adds machines of one pool: rented ones go into the latest block of their shard and
 * pool while it has room, adopted ones always into a new block.
 */
const blockWrite = (
  pool: PendingAddition,
  added: ReadonlyArray<NewMachine>,
  options: AdditionOptions,
): BlockWrite => {
  const { shard, machineIndex, replica, maxMachines } = options
  const conditions = [...seriesConditions(pool, options)]
  const series = blockSeries(pool.adopted ? ADOPTED_SERIES_PREFIX : shard, pool)
  const latest = pool.adopted ? null : machineIndex.latestBlock(series)
  const hasRoom = latest !== null && latest.machineCount + added.length <= maxMachines
  const key = hasRoom ? latest.key : machineIndex.nextBlock(series)
  const existing = replica.get(key)
  conditions.push({ key, modRevision: existing?.modRevision ?? ABSENT_KEY_REVISION })
  const rentedAt = existing?.value.rentedAt ?? Math.min(...added.map((machine) => machine.rentedAt))
  const machines: Array<BlockMachine> = [...(existing?.value.machines ?? [])]
  for (const machine of added) {
    const rentedAfterS = Math.round((machine.rentedAt - rentedAt) / 1000)
    machines.push({ machineId: machine.id, shard, token: 0 as FencingToken, rentedAfterS })
  }
  const { machineType, zone, spot } = pool
  return { conditions, key, block: { machineType, zone, spot, rentedAt, machines: groupByShard(machines) } }
}

/**
 * Number of conditions of an adoption into a pool: it grows with the number of shards, so that it may exceed
 * what one transaction may have.
 */
export const countAdoptionConditions = (
  pool: CapacityPool,
  options: Omit<AdditionOptions, "maxMachines">,
): number => seriesConditions({ ...pool, adopted: true }, options).length + 1

/**
 * Conditions that keep a machine from being recorded in two blocks. Every addition requires that this node
 * owns the shard under the given epoch. An adoption also requires that the latest block of every shard's
 * series is unchanged and that no newer block exists; a rental, that there is no block of adopted machines
 * that the replica doesn't show.
 */
const seriesConditions = (
  pool: CapacityPool & { readonly adopted: boolean },
  { shard, epoch, shards, machineIndex, replica }: Omit<AdditionOptions, "maxMachines">,
): ReadonlyArray<Condition> => {
  const conditions: Array<Condition> = [{ key: keys.shard(shard), modRevision: epoch }]
  for (const prefix of pool.adopted ? shards : ([ADOPTED_SERIES_PREFIX] as const)) {
    const series = blockSeries(prefix, pool)
    const latest = pool.adopted ? machineIndex.latestBlock(series) : null
    if (latest !== null) conditions.push({ key: latest.key, modRevision: replica.modRevision(latest.key) })
    conditions.push({ key: machineIndex.nextBlock(series), modRevision: ABSENT_KEY_REVISION })
  }
  return conditions
}
