/**
 * How far a worker's messages have come. It decides which message is older than what is known, and so
 * never believed; what a newer one proves is decided elsewhere.
 */
import type { AgentEpoch, FencingToken, Heartbeat, SequenceNumber } from "@sorreltally/protocol"
import type { MachineHandoff, MessageCounters, MessageSource } from "./model.ts"

const BEFORE_ANY = -1 as SequenceNumber

/** Agent epoch, sequence number and fencing token of a worker's latest message. */
export class LatestMessage {
  /** Null: no session of the worker is known, or the last one has surely ended. */
  agentEpoch: AgentEpoch | null = null
  sequence = BEFORE_ANY
  /** The highest token that the worker has shown. */
  seenToken = 0 as FencingToken
  /** Agent epochs below this one have surely ended. */
  private minAgentEpoch = 0 as AgentEpoch

  /** Is this message older than what is known, or the same? */
  isOutdated(heartbeat: Heartbeat, source: MessageSource): boolean {
    if (heartbeat.agentEpoch < this.minAgentEpoch) return true
    if (this.agentEpoch !== null) {
      if (heartbeat.agentEpoch < this.agentEpoch) return true
      if (heartbeat.agentEpoch === this.agentEpoch && heartbeat.sequence <= this.sequence) return true
    }
    // A worker keeps the highest token over all its sessions. One that restarted counts from the
    // start: what it reported before, under an older token, looks newer by the counters alone.
    return source === "heartbeat" && heartbeat.fencingToken < this.seenToken
  }
  /** Is this the first message of a session? */
  beginsSession(heartbeat: Heartbeat): boolean {
    return this.agentEpoch === null || heartbeat.agentEpoch > this.agentEpoch
  }
  accept({ agentEpoch, sequence, fencingToken }: Heartbeat): void {
    this.agentEpoch = agentEpoch
    this.sequence = sequence
    this.seenToken = fencingToken
  }
  /** Accepts the lower counters of a worker that restarted. */
  acceptRestart(heartbeat: Heartbeat): void {
    this.accept(heartbeat)
    this.minAgentEpoch = heartbeat.agentEpoch
  }
  acceptHandoff({ agentEpoch, sequence }: MachineHandoff): void {
    this.agentEpoch = agentEpoch
    this.sequence = sequence
  }
  /** All agent epochs up to this one have surely ended: their messages are old from now on. */
  endSessions(last: number): void {
    this.minAgentEpoch = (last + 1) as AgentEpoch
    this.agentEpoch = null
  }
  /** A message below these is old, or from a worker that restarted. */
  counters(): MessageCounters {
    return this.agentEpoch === null
      ? { agentEpoch: this.minAgentEpoch, sequence: BEFORE_ANY }
      : { agentEpoch: this.agentEpoch, sequence: this.sequence }
  }
}
