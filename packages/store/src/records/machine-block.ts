/** Which machines there are, and which shard each belongs to. */
import type { FencingToken, MachineId, MachineTypeName, ShardName, ZoneName } from "@sorreltally/protocol"
import type { RecordCodec } from "./record-codec.ts"

/** One machine of a block. */
export interface BlockMachine {
  readonly machineId: MachineId
  readonly shard: ShardName
  /** Every command to the machine carries a higher token than it had before its last move or fence. */
  readonly token: FencingToken
  /** Seconds from the block's first rental to this machine's. */
  readonly rentedAfterS: number
}
/** Machines of one type, zone and kind that one shard rented, or that were adopted. */
export interface MachineBlock {
  readonly machineType: MachineTypeName
  readonly zone: ZoneName
  readonly spot: boolean
  /** Time of day of the first rental in milliseconds, by the renter's clock. */
  readonly rentedAt: number
  /** Grouped by shard, as they are stored; see `groupByShard`. */
  readonly machines: ReadonlyArray<BlockMachine>
}
/** The machines in the order in which a block stores them. */
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
  /** By shard. */
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
