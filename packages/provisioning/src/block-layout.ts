/**
 * Pure functions that divide a machine block into the records that store it. A block is one record, unless it
 * has become larger than a value may be, which happens when the store lowers its limits.
 */
import type { ShardName } from "@sorreltally/protocol"
import { type BlockMachine, encodeRecord, type MachineBlock, type StoreKey } from "@sorreltally/store"

/** Digits of the largest fencing token: edits raise tokens, and must not make a record too large. */
const MAX_TOKEN_DIGITS = 16
/** Punctuation in JSON of one machine, and of the list of one shard's machines. */
const MACHINE_PUNCTUATION_BYTES = 8
const SHARD_PUNCTUATION_BYTES = 6
/** Room for machines that an edit moves to a shard that the block doesn't list yet. */
const RESERVED_BYTES = 64

const machineBytes = ({ machineId, rentedAfterS }: BlockMachine): number =>
  machineId.length + MAX_TOKEN_DIGITS + String(rentedAfterS).length + MACHINE_PUNCTUATION_BYTES
const shardBytes = (shard: ShardName): number => shard.length + SHARD_PUNCTUATION_BYTES

/** Divides the machines of a block, in order, among as few blocks as fit in values of `valueKb` KiB. */
export const divideBlock = (
  key: StoreKey<MachineBlock>,
  block: MachineBlock,
  valueKb: number,
): ReadonlyArray<MachineBlock> => {
  const emptyBytes = JSON.stringify(encodeRecord(key, { ...block, machines: [] })).length + RESERVED_BYTES
  const parts: Array<Array<BlockMachine>> = [[]]
  let shards = new Set<ShardName>()
  let bytes = emptyBytes
  for (const machine of block.machines) {
    const added = () => machineBytes(machine) + (shards.has(machine.shard) ? 0 : shardBytes(machine.shard))
    if (bytes + added() > valueKb * 1024 && parts.at(-1)!.length > 0) {
      parts.push([])
      shards = new Set()
      bytes = emptyBytes
    }
    bytes += added()
    shards.add(machine.shard)
    parts.at(-1)!.push(machine)
  }
  return parts.map((machines) => ({ ...block, machines }))
}
