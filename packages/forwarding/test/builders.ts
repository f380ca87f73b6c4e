/** Clocks that a test advances, and heartbeats as workers and other nodes send them. */
import type { ForwardedHeartbeats, ForwardedReply } from "@sorreltally/peers"
import type { Clocks, Heartbeat, MonotonicTime, WallTime } from "@sorreltally/protocol"

/** Clocks that stand still until they are advanced. */
export const manualClocks = (startMs = 0) => {
  let now = startMs
  const clocks: Clocks = { monotonicNow: () => now as MonotonicTime, wallNow: () => now as WallTime }
  const advance = (ms: number): void => {
    now += ms
  }
  return { clocks, advance }
}

/** A worker's heartbeat with one task. */
export const heartbeat = (sequence: number, phase = "running"): Heartbeat =>
  ({
    machineId: "i-1",
    address: "10.1.0.1:9000",
    machineType: "g8",
    zone: "a",
    spot: true,
    agentEpoch: 1,
    sequence,
    fencingToken: 7,
    preemptionNoticeS: null,
    tasks: [{ taskId: "run-000001/0", attempt: 9, phase, exitReason: null, checkpointed: null }],
  }) as unknown as Heartbeat

/** Body of an owner's reply in its wire form. */
export const acceptedReply = (fencingToken: number) =>
  ({ baton: fencingToken, orders: [] }) as unknown as ForwardedReply["body"]

/** A message with one forwarded heartbeat that repeats another one, which its owner may lack. */
export const repeatedHeartbeat = (id: number): ForwardedHeartbeats =>
  ({
    kind: "heartbeats",
    senderStartedAt: 5,
    sentAt: 1_000_000,
    heartbeats: [],
    repeats: [{ id, repeat: { machineId: "i-1", agentEpoch: 1, sequence: 9, fencingToken: 7, since: 8 } }],
  }) as unknown as ForwardedHeartbeats
