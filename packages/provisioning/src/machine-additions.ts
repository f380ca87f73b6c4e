/**
 * Machines that come on record: which of them go into one block, and the conditions under which that block
 * may be written. It only builds the transaction, from the replica; the writer sends it.
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
import { ADOPTED, blockSeries, type CapacityPool } from "./codec-block-series.ts"
import type { MachineIndex } from "./machine-index.ts"

/** Bytes of one machine in a block, and of a block without machines; generous. */
const MACHINE_BYTES = 42
const BLOCK_BYTES = 300

/** Machines that fit into one block, where the store's values may have so many KiB. */
export const maxBlockMachines = (valueKb: number): number =>
  Math.max(1, Math.floor((valueKb * 1024 - BLOCK_BYTES) / MACHINE_BYTES))

/** Machines rented by one call, or found in the cloud's list. */
export interface NewMachines extends CapacityPool {
  /** Time of day, in milliseconds. */
  readonly rentedAt: number
  readonly ids: ReadonlyArray<MachineId>
}
/** Machines about to come on record, no more than fit into one block. */
export interface PendingAddition extends NewMachines {
  /** Found in the cloud's list, not rented by this shard. */
  readonly adopted: boolean
  readonly settled: () => void
}

/** Divides machines into additions of at most one block each; the last one says that all are settled. */
export const divideAddition = (
  machines: NewMachines,
  adopted: boolean,
  settled: () => void,
  maxMachines: number,
): ReadonlyArray<PendingAddition> => {
  const additions: Array<PendingAddition> = []
  for (let i = 0; i < machines.ids.length; i += maxMachines) {
    const isLast = i + maxMachines >= machines.ids.length
    const ids = machines.ids.slice(i, i + maxMachines)
    additions.push({ ...machines, ids, adopted, settled: isLast ? settled : () => {} })
  }
  return additions
}

/** What additions are conditioned on, and drawn from. */
export interface AdditionOptions {
  readonly shard: ShardName
  readonly epoch: ModRevision
  /** All shards, this one included. */
  readonly shards: ReadonlyArray<ShardName>
  readonly machineIndex: MachineIndex
  readonly replica: Replica
  readonly maxMachines: number
}

/** A machine that is not yet on record, and the time of day at which it was rented. */
interface NewMachine {
  readonly id: MachineId
  readonly rentedAt: number
}
/** A block to be written, and what must hold for it. */
export interface BlockWrite {
  readonly conditions: ReadonlyArray<Condition>
  readonly key: StoreKey<MachineBlock>
  readonly block: MachineBlock
}
/** The additions that one write settles; without a write, all of them are on record, or gone, already. */
export interface AdditionPlan {
  readonly batch: ReadonlyArray<PendingAddition>
  readonly write: BlockWrite | null
}

/** Plans the first addition, with those after it that can go into its block. */
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
    const alike = addition.adopted === first.adopted && blockSeries(shard, addition) === series
    if (!alike || machines.length + addition.ids.length > maxMachines) continue
    batch.push(addition)
    for (const id of addition.ids)
      if (machineIndex.get(id) === undefined && !machineIndex.gone.has(id))
        machines.push({ id, rentedAt: addition.rentedAt })
  }
  return { batch, machines }
}

/**
 * Machines of one pool come on record: rented ones in the latest block of
 * their shard and pool while it has room, adopted ones always in a new block.
 */
const blockWrite = (
  pool: PendingAddition,
  added: ReadonlyArray<NewMachine>,
  options: AdditionOptions,
): BlockWrite => {
  const { shard, machineIndex, replica, maxMachines } = options
  const conditions = [...seriesConditions(pool, options)]
  const series = blockSeries(pool.adopted ? ADOPTED : shard, pool)
  const latest = pool.adopted ? null : machineIndex.latestBlock(series)
  const hasRoom = latest !== null && latest.machines + added.length <= maxMachines
  const key = hasRoom ? latest.key : machineIndex.nextBlock(series)
  const before = replica.get(key)
  conditions.push({ key, modRevision: before?.modRevision ?? ABSENT_KEY_REVISION })
  const rentedAt = before?.value.rentedAt ?? Math.min(...added.map((machine) => machine.rentedAt))
  const machines: Array<BlockMachine> = [...(before?.value.machines ?? [])]
  for (const machine of added) {
    const rentedAfterS = Math.round((machine.rentedAt - rentedAt) / 1000)
    machines.push({ machineId: machine.id, shard, token: 0 as FencingToken, rentedAfterS })
  }
  const { machineType, zone, spot } = pool
  return { conditions, key, block: { machineType, zone, spot, rentedAt, machines: groupByShard(machines) } }
}

/**
 * An addition is conditioned on our ownership of the shard. An adoption is, besides, conditioned on the latest
 * blocks of every shard being as we know them, a rental on no adoption that we haven't seen: so no machine
 * comes to stand in two blocks.
 */
const seriesConditions = (
  pool: PendingAddition,
  { shard, epoch, shards, machineIndex, replica }: AdditionOptions,
): ReadonlyArray<Condition> => {
  const conditions: Array<Condition> = [{ key: keys.shard(shard), modRevision: epoch }]
  for (const other of pool.adopted ? shards : ([ADOPTED] as const)) {
    const series = blockSeries(other, pool)
    const latest = pool.adopted ? machineIndex.latestBlock(series) : null
    if (latest !== null) conditions.push({ key: latest.key, modRevision: replica.modRevision(latest.key) })
    conditions.push({ key: machineIndex.nextBlock(series), modRevision: ABSENT_KEY_REVISION })
  }
  return conditions
}
