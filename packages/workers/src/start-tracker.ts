/**
 * Tracks the starts that were sent to one worker, and whether they may still take effect. Starts are sent in
 * replies to heartbeats only. A worker drops a reply that is late, and those to heartbeats from before its
 * restart. Direct commands, in contrast, may be executed minutes later, or again after the worker restarted
 * and forgot both the command and its highest token: no token that the owner raises could prevent that.
 */
import {
  type Attempt,
  addMs,
  type MonotonicTime,
  type SequenceNumber,
  type TaskId,
} from "@sorreltally/protocol"

/** A worker drops a reply that arrives later than this after its heartbeat (protocol, "Delayed messages"). */
const REPLY_LIFETIME_MS = 4_000

/** Evidence from the worker's latest message about the starts that were sent before it. */
export interface StartEvidence {
  /** Whether the worker has shown the current token: it refuses the starts of former owners. */
  readonly isTokenConfirmed: boolean
  /** Sequence number of the worker's latest message. */
  readonly sequence: SequenceNumber
  /** Whether that message is a heartbeat, not the response to a direct request. */
  readonly isHeartbeat: boolean
  readonly now: MonotonicTime
}
interface SentStart {
  /** Sequence number of the heartbeat that was replied to. */
  readonly sequence: SequenceNumber
  readonly sentAt: MonotonicTime
}

/** One attempt of one task. */
type AttemptKey = string & { readonly AttemptKey: unique symbol }
const keyOf = (task: TaskId, attempt: Attempt): AttemptKey => `${task}#${attempt}` as AttemptKey

/**
 * Starts sent to one worker. A task's absence from the worker's messages proves that it won't run only if
 * none of its starts may still take effect.
 */
export class StartTracker {
  private readonly sentStarts = new Map<AttemptKey, SentStart>()

  /** Called when the worker began a session or restarted: it drops the replies to its former heartbeats. */
  reset(): void {
    this.sentStarts.clear()
  }
  /** Called before a start is sent in the reply to the heartbeat with this sequence number. */
  recordStart(task: TaskId, attempt: Attempt, sequence: SequenceNumber, now: MonotonicTime): void {
    this.sentStarts.set(keyOf(task, attempt), { sequence, sentAt: now })
  }
  /** Drops starts whose replies the worker has by now either executed or dropped. */
  dropExpired(now: MonotonicTime): void {
    for (const [key, { sentAt }] of this.sentStarts)
      if (now > addMs(sentAt, 2 * REPLY_LIFETIME_MS)) this.sentStarts.delete(key)
  }

  /** Whether the evidence proves that no start of this attempt can take effect any more. */
  cannotTakeEffect(
    task: TaskId,
    attempt: Attempt,
    { isTokenConfirmed, sequence, isHeartbeat, now }: StartEvidence,
  ): boolean {
    if (!isTokenConfirmed) return false
    const start = this.sentStarts.get(keyOf(task, attempt))
    if (start === undefined) return true
    // A worker has one heartbeat in flight at a time: it composed a later heartbeat after the reply to the
    // earlier one arrived or was dropped.
    return (isHeartbeat && sequence > start.sequence) || now > addMs(start.sentAt, 2 * REPLY_LIFETIME_MS)
  }
}
