/**
 * Hand-off of machines that moved to another shard: its owner learns of them before the watch brings the
 * record. A hand-off is a hint: the machine's record alone says whose it is, and a lost, late or repeated
 * hand-off is made good by the machine's next heartbeat.
 */
import type { Membership } from "@sorreltally/membership"
import type { MachineHandoffMessage, PeerChannel } from "@sorreltally/peers"
import type { MachineId, ShardName } from "@sorreltally/protocol"
import type { MachineIndex } from "@sorreltally/provisioning"
import type { MachineHandoff } from "@sorreltally/workers"
import type { RunningShards } from "./running-shards.ts"

/** What the hand-off of machines needs of its node. */
export interface MachineHandoffsOptions {
  readonly shards: RunningShards
  readonly membership: Membership
  readonly machineIndex: MachineIndex
  readonly peers: PeerChannel
}

/** Hands machines off to the shards that they moved to, here or on another node. */
export class MachineHandoffs {
  constructor(private readonly options: MachineHandoffsOptions) {}

  /** Hands a machine off; null: its worker was not heard of, so there is nothing to hand on. */
  send(shard: ShardName, id: MachineId, handoff: MachineHandoff | null): void {
    if (handoff === null) return
    const { shards, membership, machineIndex, peers } = this.options
    const own = shards.get(shard)
    if (own !== undefined) return own.acceptHandoff(id, handoff)
    const owner = membership.ownerOf(shard)
    const block = machineIndex.get(id)?.block
    if (owner === null || block === undefined) return
    const entry = membership.replica.get(block)
    if (entry === null) return
    peers.send({ kind: "machineHandoff", shard, block: entry, machines: [{ machineId: id, handoff }] }, owner)
  }
  /** Takes in machines that another node hands off to a shard of this one. */
  received({ shard, block, machines }: MachineHandoffMessage): void {
    const { shards, membership } = this.options
    membership.replica.applyWrite(block)
    const own = shards.get(shard)
    for (const { machineId, handoff } of machines) own?.acceptHandoff(machineId, handoff)
  }
}
