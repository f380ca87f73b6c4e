/**
 * Tracks whether a worker can be given tasks: it has recently sent messages that are proven not to be delayed
 * duplicates, and it receives commands. Nothing is decided here about the tasks on the machine.
 */
import { addMs, EARLIEST_TIME, type MonotonicTime } from "@sorreltally/protocol"
import type { LeaseTimes, MessageSource } from "./model.ts"

/** Number of heartbeat intervals for which an event counts as recent. */
const RECENT_HEARTBEAT_INTERVALS = 2.5
/** Returns the time after which an event counts as recent. */
export const recencyCutoff = ({ heartbeatIntervalS }: LeaseTimes, now: MonotonicTime): MonotonicTime =>
  addMs(now, -heartbeatIntervalS * 1_000 * RECENT_HEARTBEAT_INTERVALS)

/** Times of a worker's latest messages, and the time since which it seems to receive no commands. */
export class Reachability {
  /** When the latest message arrived, of either source. */
  lastMessageAt: MonotonicTime = EARLIEST_TIME
  /** When the latest heartbeat arrived; responses to direct requests don't count. */
  private lastHeartbeatAt: MonotonicTime = EARLIEST_TIME
  /** When the latest message arrived that is proven not to be a delayed duplicate. */
  private lastFreshMessageAt: MonotonicTime = EARLIEST_TIME
  /**
   * Since when the worker seems to receive no commands or replies; null: it does receive them. It gets no
   * tasks until it has shown a fencing token that was raised after this time.
   */
  unreachableSince: MonotonicTime | null = null
  /** Whether the token was raised since then. */
  private isTokenRaised = false

  constructor(private readonly times: LeaseTimes) {}

  recordMessage(source: MessageSource, isProvenFresh: boolean, now: MonotonicTime): void {
    this.lastMessageAt = now
    if (source === "heartbeat") this.lastHeartbeatAt = now
    if (isProvenFresh) this.lastFreshMessageAt = now
  }
  /** The latest message to the machine's former owner, `silentMs` ago, counts as received by this owner. */
  recordHandoff(silentMs: number, now: MonotonicTime): void {
    this.lastMessageAt = addMs(now, -silentMs)
    this.lastFreshMessageAt = this.lastMessageAt
    this.lastHeartbeatAt = this.lastMessageAt
  }
  markUnreachable(now: MonotonicTime): void {
    this.unreachableSince ??= now
  }
  /** A message that arrived now showed a restart: the worker has to show a token that is raised after it. */
  recordRestart(now: MonotonicTime): void {
    this.lastMessageAt = now
    this.unreachableSince = now
    this.isTokenRaised = false
  }
  recordTokenRaised(): void {
    this.isTokenRaised = this.unreachableSince !== null
  }
  /** The worker has shown the current token; if it was raised since, the worker does receive commands. */
  recordTokenConfirmed(): void {
    if (this.unreachableSince === null || !this.isTokenRaised) return
    this.unreachableSince = null
    this.isTokenRaised = false
  }
  /** Whether the token has to be raised, so that the worker can prove by it that it receives commands. */
  needsHigherToken(): boolean {
    return this.unreachableSince !== null && !this.isTokenRaised
  }
  /** Whether the worker can be given tasks: its messages are recent, and it isn't marked unreachable. */
  isSchedulable(now: MonotonicTime): boolean {
    const cutoff = recencyCutoff(this.times, now)
    // A worker that reaches no controller still answers commands, but loses all its tasks when its lease
    // expires: only its heartbeats show that it can keep its lease.
    const sendsHeartbeats = this.lastHeartbeatAt > cutoff
    return this.unreachableSince === null && this.lastFreshMessageAt > cutoff && sendsHeartbeats
  }
}
