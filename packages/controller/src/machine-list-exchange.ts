/**
 * Decides which node lists the cloud's machines, and sends the list to the others. All nodes share the
 * cloud's request rate, so the leader lists for all. The list lags and its message may be lost; no decision
 * relies on it alone.
 */
import { DEADLINE_SHARD } from "@sorreltally/membership"
import type { PeerChannel } from "@sorreltally/peers"
import { addMs, type ListedMachine, type MonotonicTime } from "@sorreltally/protocol"
import type { RunningShards } from "./running-shards.ts"

/** Time without a list from the leader after which a node that has machines lists them itself. */
const LEADER_LIST_TIMEOUT_MS = 12_000

/** Dependencies of the exchange of machine lists. */
export interface MachineListExchangeOptions {
  readonly shards: RunningShards
  readonly peers: PeerChannel
  readonly now: () => MonotonicTime
}

/** Decides whether this node lists machines, and sends its list to the others. */
export class MachineListExchange {
  constructor(private readonly options: MachineListExchangeOptions) {}

  /** Whether this node should list machines; the last list that it has was requested at `listedAt`. */
  shouldList(listedAt: MonotonicTime): boolean {
    const { shards, now } = this.options
    if (shards.has(DEADLINE_SHARD)) return true
    return now() > addMs(listedAt, LEADER_LIST_TIMEOUT_MS) && shards.machineCount > 0
  }
  /** Sends a list to the other nodes if this node is the leader. */
  publish(list: ReadonlyArray<ListedMachine>): void {
    const { shards, peers } = this.options
    if (!shards.has(DEADLINE_SHARD)) return
    peers.send({
      kind: "machineList",
      machines: list.map(({ id, status, zone }) => ({ id, status, zone })),
    })
  }
}
