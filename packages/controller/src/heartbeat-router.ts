/**
 * Routes workers' heartbeats to the shard that owns their machine: on this node, by a redirect, or forwarded.
 * It never answers 200 by itself: acceptance comes from the shard's owner alone, for this very heartbeat, and
 * only while that owner holds its lease.
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

/** What the routing of heartbeats needs of its node. */
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

/** Hands each heartbeat to the shard that may answer it. */
export class HeartbeatRouter {
  constructor(private readonly options: HeartbeatRouterOptions) {}

  /** Answers a worker's heartbeat to this node, at once or as soon as there are commands. */
  receive(heartbeat: Heartbeat, respond: Respond): void {
    const { self, shards, membership, balancer, loads, peers, forwarder } = this.options
    balancer.recordHeartbeat()
    const name = this.shardOfMachine(heartbeat.machineId)
    const own = shards.get(name)
    const owner = own === undefined ? membership.owner(name) : self
    if (owner === null || (owner === self && (own === undefined || !membership.holdsLease())))
      return respond(HEARTBEAT_UNAVAILABLE)
    const target = this.redirectTarget(heartbeat.machineId, owner)
    if (target !== null) return respond({ status: 421, body: encodeRedirect(target) })
    if (own !== undefined) return own.receiveHeartbeat(heartbeat, null, respond)
    // An owner that no node reaches may still be reached by its workers.
    if (!loads.sharesHeartbeats(owner) || !peers.isReachable(owner))
      return forwarder.redirect(heartbeat, owner, respond)
    forwarder.forward(heartbeat, owner, respond)
  }
  /** Another node's message with heartbeats of machines whose shards this node owns. */
  receiveForwarded(from: NodeName, message: ForwardedHeartbeats): void {
    const take = (heartbeat: Heartbeat, respond: Respond) => {
      const shard = this.shardControllerOf(heartbeat.machineId)
      if (shard === undefined) respond(HEARTBEAT_UNAVAILABLE)
      else shard.receiveHeartbeat(heartbeat, from, respond)
    }
    const whole = (repeat: RepeatedHeartbeat) =>
      this.shardControllerOf(repeat.machineId)?.repeated(repeat) ?? null
    this.options.forwarder.receiveHeartbeats(from, message, take, whole)
  }

  /** The node that this worker should send its heartbeats to instead, where an owner shares them; null: this one. */
  private redirectTarget(machineId: MachineId, owner: NodeName): NodeName | null {
    const { self, balancer, loads } = this.options
    if (owner === self) return balancer.redirectTarget(machineId)
    return loads.sharesHeartbeats(owner) ? balancer.rebalanceTarget(machineId) : null
  }
  private shardControllerOf(machine: MachineId): ShardController | undefined {
    return this.options.shards.get(this.shardOfMachine(machine))
  }
  /** A machine that nobody has on record is the leader's to adopt. */
  private shardOfMachine(machine: MachineId): ShardName {
    return this.options.machineIndex.get(machine)?.shard ?? DEADLINE_SHARD
  }
}
