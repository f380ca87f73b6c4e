/**
 * Changes of machines on record: which are still open, and the transaction that carries them out. It only
 * builds the transaction, from the replica; the writer sends it.
 */
import type { Replica } from "@sorreltally/membership"
import type { FencingToken, MachineId, ModRevision, ShardName } from "@sorreltally/protocol"
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
import type { MachineIndex } from "./machine-index.ts"

/** A change of one machine's record. */
export type MachineEdit =
  /** To another shard. */
  | { readonly kind: "move"; readonly to: ShardName }
  /** Only its token rises. */
  | { readonly kind: "fence" }
  /** The cloud deleted it. */
  | { readonly kind: "remove" }

/** A change that the replica does not yet show. */
export interface PendingEdit {
  readonly edit: MachineEdit
  /** The machine's token when this was asked for: every move and fence raises it. */
  readonly token: FencingToken
  /** False: the machine wasn't ours any more. */
  readonly settled: (done: boolean) => void
}

/** What became of a change: not yet carried out, carried out, or no longer possible. */
export type EditOutcome = "open" | "done" | "void"

/**
 * Has this happened, or can't it happen any more? A move whose answer was lost
 * may have been carried out, and the machine lent back to us since: repeated then, it would
 * take the machine from under the tasks that were placed meanwhile (`ran_twice`).
 */
export const editOutcome = (
  { edit, token }: PendingEdit,
  entry: MachineEntry | undefined,
  shard: ShardName,
): EditOutcome => {
  const ours = entry !== undefined && entry.shard === shard
  if (edit.kind === "remove") return ours ? "open" : "done"
  if (!ours) return "void"
  if (entry.token === token) return "open"
  return edit.kind === "fence" ? "done" : "void"
}

/** What a transaction of changes is conditioned on, and drawn from. */
export interface BlockEditsOptions {
  readonly shard: ShardName
  readonly epoch: ModRevision
  readonly machineIndex: MachineIndex
  readonly replica: Replica
  /** At most so many blocks go in one transaction: its capacity was awaited before. */
  readonly maxBlocks: number
}

interface EditedBlock {
  readonly key: StoreKey<MachineBlock>
  readonly block: MachineBlock
  readonly modRevision: ModRevision
  readonly machines: Map<MachineId, BlockMachine>
}

/** Collects changes of machines by their blocks, for one transaction. */
export class BlockEdits {
  private readonly blocks = new Map<StoreKey<MachineBlock>, EditedBlock>()

  constructor(private readonly options: BlockEditsOptions) {}

  get isEmpty(): boolean {
    return this.blocks.size === 0
  }
  /** Adds a change of a machine; false: its block has no room in this transaction, or isn't known. */
  add(entry: MachineEntry, edit: MachineEdit): boolean {
    const block = this.blockOf(entry)
    if (block === null) return false
    const { machines } = block
    if (edit.kind === "remove") {
      machines.delete(entry.id)
      return true
    }
    // Above every token used for this machine so far, and below every epoch to come.
    const token = (Math.max(this.options.epoch, entry.token) + 1) as FencingToken
    const shard = edit.kind === "move" ? edit.to : this.options.shard
    const rentedAfterS = machines.get(entry.id)?.rentedAfterS ?? 0
    machines.set(entry.id, { machineId: entry.id, shard, token, rentedAfterS })
    return true
  }
  private blockOf({ block: key }: MachineEntry): EditedBlock | null {
    const known = this.blocks.get(key)
    if (known !== undefined) return known
    const { replica, maxBlocks } = this.options
    if (this.blocks.size >= maxBlocks) return null
    const entry = replica.get(key)
    if (entry === null) return null
    const { value: block, modRevision } = entry
    const machines = new Map(block.machines.map((machine) => [machine.machineId, machine]))
    const edited = { key, block, modRevision, machines }
    this.blocks.set(key, edited)
    return edited
  }

  /**
   * Conditioned on our ownership of the shard, and on each block being as it was read: a late copy of this
   * transaction, or one of an earlier owner, changes nothing.
   */
  transaction(): {
    readonly conditions: ReadonlyArray<Condition>
    readonly operations: ReadonlyArray<Operation>
  } {
    const { shard, epoch, machineIndex } = this.options
    const conditions: Array<Condition> = [{ key: keys.shard(shard), modRevision: epoch }]
    const operations: Array<Operation> = []
    for (const { key, block, modRevision, machines } of this.blocks.values()) {
      conditions.push({ key, modRevision })
      if (machines.size === 0 && !machineIndex.isLatest(key)) operations.push(remove(key))
      else operations.push(put(key, { ...block, machines: groupByShard(machines.values()) }))
    }
    return { conditions, operations }
  }
}
