/**
 * Whether a worker can be given work: it was heard of recently, by messages that are surely no late
 * copies, and receives what we send. It decides nothing about the tasks on the machine.
 */
import { addMs, EARLIEST_TIME, type MonotonicTime } from "@sorreltally/protocol"
import type { LeaseTimes, MessageSource } from "./model.ts"

/** What happened within so many heartbeat intervals is recent. */
const RECENT_INTERVALS = 2.5
/** What happened after this moment is recent. */
export const recentSince = ({ heartbeatIntervalS }: LeaseTimes, now: MonotonicTime): MonotonicTime =>
  addMs(now, -heartbeatIntervalS * 1_000 * RECENT_INTERVALS)

/** When a worker was last heard of, and since when it seems to receive nothing. */
export class Reachability {
  /** When its latest message arrived. */
  lastHeard: MonotonicTime = EARLIEST_TIME
  /** When its latest heartbeat arrived, not the response to a direct request. */
  private lastHeartbeatAt: MonotonicTime = EARLIEST_TIME
  /** When a message arrived that is surely no late copy. */
  private provenAt: MonotonicTime = EARLIEST_TIME
  /**
   * Since when the worker seems to receive nothing of ours: it gets no work until it has
   * shown a token that we raised after this.
   */
  unreachableSince: MonotonicTime | null = null
  /** Whether its token was raised since then. */
  private tokenRaised = false

  constructor(private readonly times: LeaseTimes) {}

  recordMessage(source: MessageSource, proven: boolean, now: MonotonicTime): void {
    this.lastHeard = now
    if (source === "heartbeat") this.lastHeartbeatAt = now
    if (proven) this.provenAt = now
  }
  /** What the machine's former owner heard, `silentMs` ago, counts as heard by us. */
  recordHandoff(silentMs: number, now: MonotonicTime): void {
    this.lastHeard = addMs(now, -silentMs)
    this.provenAt = this.lastHeard
    this.lastHeartbeatAt = this.lastHeard
  }
  markUnreachable(now: MonotonicTime): void {
    this.unreachableSince ??= now
  }
  /** The worker restarted, by a message that arrived now: it has to show a token raised from now on. */
  recordRestart(now: MonotonicTime): void {
    this.lastHeard = now
    this.unreachableSince = now
    this.tokenRaised = false
  }
  recordTokenRaised(): void {
    this.tokenRaised = this.unreachableSince !== null
  }
  /** The worker has shown our current token; if it was raised since, the worker does receive it. */
  recordTokenConfirmed(): void {
    if (this.unreachableSince === null || !this.tokenRaised) return
    this.unreachableSince = null
    this.tokenRaised = false
  }
  /** The worker has to show a higher token than it was sent so far, to prove that it receives commands. */
  needsHigherToken(): boolean {
    return this.unreachableSince !== null && !this.tokenRaised
  }
  /** Heard of recently enough, and surely receiving commands, to be given work. */
  isSchedulable(now: MonotonicTime): boolean {
    const recently = recentSince(this.times, now)
    // A worker that reaches no controller still answers commands, and loses all at its lease:
    // only its heartbeats show that it can keep what it is given.
    const sendsHeartbeats = this.lastHeartbeatAt > recently
    return this.unreachableSince === null && this.provenAt > recently && sendsHeartbeats
  }
}
