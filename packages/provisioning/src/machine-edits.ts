/**
 * Changes of machine records: whether a change is still open, and the transaction that carries changes out.
 * Only builds the transaction, from the replica; `MachineRecordWriter` sends it.
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
  type Operation,
  put,
  remove,
  type StoreKey,
} from "@sorreltally/store"
import type { MachineEntry } from "@sorreltally/workers"
import { divideBlock } from "./block-layout.ts"
import { ADOPTED_SERIES_PREFIX, blockSeries } from "./codec-block-series.ts"
import type { MachineIndex } from "./machine-index.ts"

/** A change of one machine's record. */
export type MachineEdit =
  /** Moves the machine to another shard, with a higher fencing token. */
  | { readonly kind: "move"; readonly to: ShardName }
  /** Raises only the machine's fencing token. */
  | { readonly kind: "fence" }
  /** Removes the record of a machine that the cloud deleted. */
  | { readonly kind: "remove" }

/** A change that the replica does not yet show. */
export interface PendingEdit {
  readonly edit: MachineEdit
  /** The machine's fencing token when the change was requested: every move and fence raises it. */
  readonly token: FencingToken
  /** Called with whether the change was carried out; false: it is no longer possible. */
  readonly onSettled: (done: boolean) => void
}

/** Outcome of a change: `open` is not yet carried out, `superseded` is no longer possible. */
export type EditOutcome = "open" | "done" | "superseded"

/**
 * Outcome of a change, judged by the machine's current entry. A move whose reply was lost may have been
 * carried out, and the machine lent back to this shard since. A repeated move would then take the machine
 * away from tasks that were placed on it in between, so that they run twice (`ran_twice`); a token that
 * differs from the one at the request shows this.
 */
export const editOutcome = (
  { edit, token }: PendingEdit,
  entry: MachineEntry | undefined,
  shard: ShardName,
): EditOutcome => {
  const isOwned = entry !== undefined && entry.shard === shard
  if (edit.kind === "remove") return isOwned ? "open" : "done"
  if (!isOwned) return "superseded"
  if (entry.token === token) return "open"
  return edit.kind === "fence" ? "done" : "superseded"
}

/** Inputs of a transaction of changes: the shard whose ownership it requires, and the known records. */
export interface BlockEditsOptions {
  readonly shard: ShardName
  readonly epoch: ModRevision
  readonly machineIndex: MachineIndex
  readonly replica: Replica
  /** Maximum number of operations of the transaction: the write capacity awaited before covers no more. */
  readonly maxOperations: number
  /** The store's limit on a value's size, in KiB. */
  readonly valueKb: number
}

interface EditedBlock {
  readonly key: StoreKey<MachineBlock>
  readonly block: MachineBlock
  readonly modRevision: ModRevision
  readonly machines: Map<MachineId, BlockMachine>
}
/** Conditions and operations of a transaction. */
interface BlockTransaction {
  readonly conditions: ReadonlyArray<Condition>
  readonly operations: ReadonlyArray<Operation>
}

/** Number of operations that rewrite a block: more than one if it is larger than a value may be. */
export const countBlockOperations = (
  key: StoreKey<MachineBlock>,
  block: MachineBlock,
  valueKb: number,
): number => divideBlock(key, block, valueKb).length

/** Collects changes of machine records, grouped by block, for one transaction. */
export class BlockEdits {
  private readonly blocks = new Map<StoreKey<MachineBlock>, EditedBlock>()
  private operationCount = 0

  constructor(private readonly options: BlockEditsOptions) {}

  get isEmpty(): boolean {
    return this.blocks.size === 0
  }
  /** Adds a change of a machine; false: the transaction is full, or the replica lacks the machine's block. */
  add(entry: MachineEntry, edit: MachineEdit): boolean {
    const block = this.blockOf(entry)
    if (block === null) return false
    const { machines } = block
    if (edit.kind === "remove") {
      machines.delete(entry.id)
      return true
    }
    // Higher than every token used for this machine so far, and lower than every later epoch.
    const token = (Math.max(this.options.epoch, entry.token) + 1) as FencingToken
    const shard = edit.kind === "move" ? edit.to : this.options.shard
    const rentedAfterS = machines.get(entry.id)?.rentedAfterS ?? 0
    machines.set(entry.id, { machineId: entry.id, shard, token, rentedAfterS })
    return true
  }
  private blockOf({ block: key }: MachineEntry): EditedBlock | null {
    const collected = this.blocks.get(key)
    if (collected !== undefined) return collected
    const { replica, maxOperations, valueKb } = this.options
    const entry = replica.get(key)
    if (entry === null) return null
    const { value: block, modRevision } = entry
    const operations = countBlockOperations(key, block, valueKb)
    if (this.operationCount + operations > maxOperations) return null
    this.operationCount += operations
    const machines = new Map(block.machines.map((machine) => [machine.machineId, machine]))
    const edited = { key, block, modRevision, machines }
    this.blocks.set(key, edited)
    return edited
  }

  /**
   * The transaction requires that this node owns the shard under its epoch, and that each block is at the
   * revision that was read. So a late copy of it, or a transaction of an earlier owner, changes nothing.
   * Machines of a block that is larger than a value may be move to new blocks of the series of adopted
   * machines, which any shard may write: each rental is conditioned on that series. The new blocks come first,
   * so that a replica which applies the operations in order always has each machine on record.
   */
  transaction(): BlockTransaction {
    const { shard, epoch, machineIndex, valueKb } = this.options
    const conditions: Array<Condition> = [{ key: keys.shard(shard), modRevision: epoch }]
    const operations: Array<Operation> = []
    const newBlocks = new Map<string, number>()
    for (const { key, block, modRevision, machines } of this.blocks.values()) {
      conditions.push({ key, modRevision })
      if (machines.size === 0 && !machineIndex.isLatest(key)) {
        operations.push(remove(key))
        continue
      }
      const edited = { ...block, machines: groupByShard(machines.values()) }
      const [kept, ...moved] = divideBlock(key, edited, valueKb)
      for (const part of moved) {
        const newKey = this.newBlock(part, newBlocks)
        conditions.push({ key: newKey, modRevision: ABSENT_KEY_REVISION })
        operations.push(put(newKey, part))
      }
      operations.push(put(key, kept!))
    }
    return { conditions, operations }
  }
  /** Key of a new block; `newBlocks` counts those of this transaction by series. */
  private newBlock(block: MachineBlock, newBlocks: Map<string, number>): StoreKey<MachineBlock> {
    const series = blockSeries(ADOPTED_SERIES_PREFIX, block)
    const count = newBlocks.get(series) ?? 0
    newBlocks.set(series, count + 1)
    return this.options.machineIndex.nextBlock(series, count)
  }
}
