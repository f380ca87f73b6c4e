/**
 * Hand-off of machines that moved to another shard: the new owner receives them before the watch delivers
 * their records. A hand-off is only a hint: the machine's record alone determines its shard, and the
 * machine's next heartbeat makes up for a hand-off that was lost, late or repeated.
 */
import type { Membership } from "@sorreltally/membership"
import type { MachineHandoffMessage, PeerChannel } from "@sorreltally/peers"
import type { MachineId, ShardName } from "@sorreltally/protocol"
import type { MachineIndex } from "@sorreltally/provisioning"
import type { MachineHandoff } from "@sorreltally/workers"
import type { RunningShards } from "./running-shards.ts"

/** Dependencies of the hand-off of machines. */
export interface MachineHandoffsOptions {
  readonly shards: RunningShards
  readonly membership: Membership
  readonly machineIndex: MachineIndex
  readonly peers: PeerChannel
}

/** Hands machines off to the shards to which they moved, on this node or on another one. */
export class MachineHandoffs {
  constructor(private readonly options: MachineHandoffsOptions) {}

  /** Hands a machine off to a shard; null: no state of its worker is known, so nothing is sent. */
  send(shard: ShardName, id: MachineId, handoff: MachineHandoff | null): void {
    if (handoff === null) return
    const { shards, membership, machineIndex, peers } = this.options
    const ownController = shards.get(shard)
    if (ownController !== undefined) return ownController.acceptHandoff(id, handoff)
    const owner = membership.ownerOf(shard)
    const block = machineIndex.get(id)?.block
    if (owner === null || block === undefined) return
    const entry = membership.replica.get(block)
    if (entry === null) return
    peers.send({ kind: "machineHandoff", shard, block: entry, machines: [{ machineId: id, handoff }] }, owner)
  }
  /** Accepts machines that another node hands off to a shard of this node. */
  receive({ shard, block, machines }: MachineHandoffMessage): void {
    const { shards, membership, machineIndex } = this.options
    if (machineIndex.keepsMachines(block)) membership.replica.applyWrite(block)
    const ownController = shards.get(shard)
    for (const { machineId, handoff } of machines) ownController?.acceptHandoff(machineId, handoff)
  }
}
