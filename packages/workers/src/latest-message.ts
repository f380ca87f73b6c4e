/**
 * Position of a worker's latest accepted message. It decides which messages are outdated and have to be
 * ignored; what a newer message proves is decided elsewhere.
 */
import type { AgentEpoch, FencingToken, Heartbeat, SequenceNumber } from "@sorreltally/protocol"
import type { MachineHandoff, MessageCounters, MessageSource } from "./model.ts"

const BEFORE_FIRST_SEQUENCE = -1 as SequenceNumber

/** Agent epoch, sequence number and fencing token of a worker's latest message. */
export class LatestMessage {
  /** Null: no session of the worker is known, or the last one has provably ended. */
  agentEpoch: AgentEpoch | null = null
  sequence = BEFORE_FIRST_SEQUENCE
  /** The highest fencing token that the worker has shown. */
  seenToken = 0 as FencingToken
  /** Agent epochs below this one have provably ended. */
  private minAgentEpoch = 0 as AgentEpoch

  /** Whether this message is older than the latest accepted one, or a duplicate of it. */
  isOutdated(heartbeat: Heartbeat, source: MessageSource): boolean {
    if (heartbeat.agentEpoch < this.minAgentEpoch) return true
    if (this.agentEpoch !== null) {
      if (heartbeat.agentEpoch < this.agentEpoch) return true
      if (heartbeat.agentEpoch === this.agentEpoch && heartbeat.sequence <= this.sequence) return true
    }
    // A worker keeps the highest token over all its sessions. A restarted worker's counters begin again: by
    // the counters alone, messages from before its restart, under a lower token, would look newer.
    return source === "heartbeat" && heartbeat.fencingToken < this.seenToken
  }
  /** Whether this is the first message of a session. */
  beginsSession(heartbeat: Heartbeat): boolean {
    return this.agentEpoch === null || heartbeat.agentEpoch > this.agentEpoch
  }
  accept({ agentEpoch, sequence, fencingToken }: Heartbeat): void {
    this.agentEpoch = agentEpoch
    this.sequence = sequence
    this.seenToken = fencingToken
  }
  /**
   * Accepts the message if its counters are lower than `countersBefore`, those of a message that was sent
   * before it: its worker restarted. Returns false, and changes nothing, if they aren't lower.
   */
  acceptRestart(heartbeat: Heartbeat, countersBefore: MessageCounters): boolean {
    const { agentEpoch, sequence } = heartbeat
    const isLower =
      agentEpoch < countersBefore.agentEpoch ||
      (agentEpoch === countersBefore.agentEpoch && sequence < countersBefore.sequence)
    if (!isLower) return false
    this.accept(heartbeat)
    this.minAgentEpoch = agentEpoch
    return true
  }
  acceptHandoff({ agentEpoch, sequence }: MachineHandoff): void {
    this.agentEpoch = agentEpoch
    this.sequence = sequence
  }
  /** Marks all agent epochs up to this one as ended: their messages are outdated from now on. */
  endSessionsUpTo(lastEpoch: number): void {
    this.minAgentEpoch = (lastEpoch + 1) as AgentEpoch
    this.agentEpoch = null
  }
  /** A message with lower counters is outdated, or from a worker that restarted. */
  counters(): MessageCounters {
    return this.agentEpoch === null
      ? { agentEpoch: this.minAgentEpoch, sequence: BEFORE_FIRST_SEQUENCE }
      : { agentEpoch: this.agentEpoch, sequence: this.sequence }
  }
}
