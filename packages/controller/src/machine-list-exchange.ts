/**
 * Which node lists the cloud's machines, and how the others get the list: the cloud's call rate is shared by
 * all nodes, so the leader lists for all. The list lags and may be lost on its way; nothing is decided by it alone.
 */
import { DEADLINE_SHARD } from "@sorreltally/membership"
import type { PeerChannel } from "@sorreltally/peers"
import { addMs, type ListedMachine, type MonotonicTime } from "@sorreltally/protocol"
import type { RunningShards } from "./running-shards.ts"

/** Without the leader's list for this long, a node that has machines lists them itself. */
const LEADER_LIST_TIMEOUT_MS = 12_000

/** What sharing the cloud's list needs of its node. */
export interface MachineListExchangeOptions {
  readonly shards: RunningShards
  readonly peers: PeerChannel
  readonly now: () => MonotonicTime
}

/** Decides whether this node lists machines, and sends its list to the others. */
export class MachineListExchange {
  constructor(private readonly options: MachineListExchangeOptions) {}

  /** Whether this node should list, where the last list that it knows was asked for at `listedAt`. */
  shouldList(listedAt: MonotonicTime): boolean {
    const { shards, now } = this.options
    if (shards.has(DEADLINE_SHARD)) return true
    return now() > addMs(listedAt, LEADER_LIST_TIMEOUT_MS) && shards.machineCount > 0
  }
  /** Sends a list to the other nodes, if this node leads. */
  publish(list: ReadonlyArray<ListedMachine>): void {
    const { shards, peers } = this.options
    if (!shards.has(DEADLINE_SHARD)) return
    peers.send({
      kind: "machineList",
      machines: list.map(({ id, status, zone }) => ({ id, status, zone })),
    })
  }
}
