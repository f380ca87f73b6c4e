/**
 * Routes each heartbeat to the shard that owns the worker's machine: on this node, by a redirect to another
 * node, or by forwarding. The router itself never answers 200: only the shard's owner accepts a heartbeat,
 * each one individually, and only while that owner holds its lease.
 */
import type { HeartbeatBalancer, HeartbeatForwarder, NodeLoads } from "@sorreltally/forwarding"
import { DEADLINE_SHARD, type Membership } from "@sorreltally/membership"
import type { ForwardedHeartbeats, PeerChannel } from "@sorreltally/peers"
import {
  encodeRedirect,
  HEARTBEAT_UNAVAILABLE,
  type Heartbeat,
  type MachineId,
  type NodeName,
  type Respond,
  type ShardName,
} from "@sorreltally/protocol"
import type { MachineIndex } from "@sorreltally/provisioning"
import type { ShardController } from "@sorreltally/shard"
import type { RepeatedHeartbeat } from "@sorreltally/workers"
import type { RunningShards } from "./running-shards.ts"

/** Dependencies of the heartbeat router. */
export interface HeartbeatRouterOptions {
  readonly self: NodeName
  readonly shards: RunningShards
  readonly membership: Membership
  readonly machineIndex: MachineIndex
  readonly peers: PeerChannel
  readonly loads: NodeLoads
  readonly balancer: HeartbeatBalancer
  readonly forwarder: HeartbeatForwarder
}

/** Routes each heartbeat to the shard that may answer it. */
export class HeartbeatRouter {
  constructor(private readonly options: HeartbeatRouterOptions) {}

  /** Answers a worker's heartbeat to this node, immediately or as soon as there are commands. */
  receive(heartbeat: Heartbeat, respond: Respond): void {
    const { self, shards, membership, balancer, loads, peers, forwarder } = this.options
    balancer.recordHeartbeat()
    const shard = this.shardOfMachine(heartbeat.machineId)
    const ownController = shards.get(shard)
    const owner = ownController === undefined ? membership.ownerOf(shard) : self
    if (owner === null || (owner === self && (ownController === undefined || !membership.holdsLease())))
      return respond(HEARTBEAT_UNAVAILABLE)
    const target = this.redirectTarget(heartbeat.machineId, owner)
    if (target !== null) return respond({ status: 421, body: encodeRedirect(target) })
    if (ownController !== undefined) return ownController.receiveHeartbeat(heartbeat, null, respond)
    // Workers may still reach an owner that this node can't reach.
    if (!loads.sharesHeartbeats(owner) || !peers.isReachable(owner))
      return forwarder.redirect(heartbeat, owner, respond)
    forwarder.forward(heartbeat, owner, respond)
  }
  /** Answers heartbeats that another node forwarded, for machines whose shards this node owns. */
  receiveForwarded(from: NodeName, message: ForwardedHeartbeats): void {
    const deliver = (heartbeat: Heartbeat, respond: Respond) => {
      const controller = this.shardControllerOf(heartbeat.machineId)
      if (controller === undefined) respond(HEARTBEAT_UNAVAILABLE)
      else controller.receiveHeartbeat(heartbeat, from, respond)
    }
    const expandRepeated = (repeat: RepeatedHeartbeat) =>
      this.shardControllerOf(repeat.machineId)?.expandRepeat(repeat) ?? null
    this.options.forwarder.receiveHeartbeats(from, message, deliver, expandRepeated)
  }

  /**
   * The node to which this worker should send its heartbeats instead, so that nodes share an owner's
   * heartbeat load; null: this one.
   */
  private redirectTarget(machineId: MachineId, owner: NodeName): NodeName | null {
    const { self, balancer, loads } = this.options
    if (owner === self) return balancer.redirectTarget(machineId)
    return loads.sharesHeartbeats(owner) ? balancer.rebalanceTarget(machineId) : null
  }
  private shardControllerOf(machine: MachineId): ShardController | undefined {
    return this.options.shards.get(this.shardOfMachine(machine))
  }
  /** The shard of a machine; one that isn't on record belongs to the leader's shard, which may adopt it. */
  private shardOfMachine(machine: MachineId): ShardName {
    return this.options.machineIndex.get(machine)?.shard ?? DEADLINE_SHARD
  }
}
