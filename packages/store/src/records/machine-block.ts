/** Records of the rented machines and of the shard that each belongs to. */
import type { FencingToken, MachineId, MachineTypeName, ShardName, ZoneName } from "@sorreltally/protocol"
import type { RecordCodec } from "./record-codec.ts"

/** One machine of a block. */
export interface BlockMachine {
  readonly machineId: MachineId
  readonly shard: ShardName
  /**
   * Fencing token, raised at every move to another shard and at every fence. Commands carry at least this
   * token, so that each command after a move or fence carries a higher one than all commands before.
   */
  readonly token: FencingToken
  /** Seconds from the first rental of the block to the rental of this machine. */
  readonly rentedAfterS: number
}
/** Machines of one type and zone, all spot or all on-demand, that one shard rented or that were adopted. */
export interface MachineBlock {
  readonly machineType: MachineTypeName
  readonly zone: ZoneName
  readonly spot: boolean
  /** Time of day of the first rental in milliseconds, by the clock of the node that rented. */
  readonly rentedAt: number
  /** Grouped by shard as in the stored form; see `groupByShard`. */
  readonly machines: ReadonlyArray<BlockMachine>
}
/** Returns the machines in the order in which a block stores them. */
export const groupByShard = (machines: Iterable<BlockMachine>): ReadonlyArray<BlockMachine> => {
  const groups = new Map<ShardName, Array<BlockMachine>>()
  for (const machine of machines) {
    const group = groups.get(machine.shard)
    if (group === undefined) groups.set(machine.shard, [machine])
    else group.push(machine)
  }
  return [...groups.values()].flat()
}

type StoredBlockMachine = readonly [MachineId, FencingToken, rentedAfterS: number]
interface StoredBlock {
  readonly build: MachineTypeName
  readonly site: ZoneName
  readonly loaners: boolean
  readonly rented: number
  /** Machines by shard. */
  readonly at: Readonly<Record<string, ReadonlyArray<StoredBlockMachine>>>
}

/** Codec of machine blocks. */
export const blockCodec: RecordCodec<MachineBlock, StoredBlock> = {
  decode: ({ build, site, loaners, rented, at }) => {
    const machines: Array<BlockMachine> = []
    for (const [shard, stored] of Object.entries(at))
      for (const [machineId, token, rentedAfterS] of stored)
        machines.push({ machineId, shard: shard as ShardName, token, rentedAfterS })
    return { machineType: build, zone: site, spot: loaners, rentedAt: rented, machines }
  },
  encode: ({ machineType, zone, spot, rentedAt, machines }) => {
    const at: Record<string, Array<StoredBlockMachine>> = {}
    for (const { machineId, shard, token, rentedAfterS } of machines) {
      at[shard] ??= []
      at[shard].push([machineId, token, rentedAfterS])
    }
    return { build: machineType, site: zone, loaners: spot, rented: rentedAt, at }
  },
}
