/**
 * Tracks which start commands sent to one worker may still take effect. It records the starts that were sent
 * and the responses to them, and never drops a start before the protocol rules out that the worker executes
 * it.
 */
import {
  type Attempt,
  addMs,
  type FencingToken,
  type MonotonicTime,
  type SequenceNumber,
  type TaskId,
} from "@sorreltally/protocol"

/** A worker drops a reply that arrives later than this after its heartbeat (protocol, "Delayed messages"). */
const REPLY_LIFETIME_MS = 4_000
/** Duplicates of a direct command batch are assumed to arrive within this time after it was sent. */
const MAX_DUPLICATE_DELAY_MS = 180_000

/** Evidence from the worker's latest message about the starts that were sent before it. */
export interface StartEvidence {
  /** The current fencing token of commands to the worker. */
  readonly token: FencingToken
  /** Whether the worker has shown that token. */
  readonly isTokenConfirmed: boolean
  /** Sequence number of the worker's latest message. */
  readonly sequence: SequenceNumber
  /** Whether that message is a heartbeat, not the response to a direct request. */
  readonly isHeartbeat: boolean
  readonly now: MonotonicTime
}
interface StartInReply {
  /** Sequence number of the heartbeat that was replied to. */
  readonly sequence: SequenceNumber
  readonly sentAt: MonotonicTime
}
interface DirectStart {
  readonly token: FencingToken
  /** When the latest one was sent. */
  readonly sentAt: MonotonicTime
}

/** One attempt of one task. */
type AttemptKey = string & { readonly AttemptKey: unique symbol }
const keyOf = (task: TaskId, attempt: Attempt): AttemptKey => `${task}#${attempt}` as AttemptKey
const taskOf = (key: AttemptKey): TaskId => key.slice(0, key.indexOf("#")) as TaskId

/**
 * Starts sent to one worker, and whether they may still take effect. A task's absence from the worker's
 * messages proves that it won't run only if none of its starts may still take effect.
 */
export class StartTracker {
  /** Attempts with direct starts that wait for a response, with the number of these requests. */
  private readonly inFlight = new Map<AttemptKey, number>()
  /**
   * Highest token under which a direct start got no response. The worker may execute the start minutes later,
   * unless it has seen a higher token before.
   */
  private unansweredToken: FencingToken | null = null
  /** Attempts whose direct start got no response and that the worker hasn't reported since. */
  private readonly unansweredAttempts = new Set<AttemptKey>()
  /** Starts sent in the reply to a heartbeat. */
  private readonly startsInReplies = new Map<AttemptKey, StartInReply>()
  /** Direct starts by attempt: the token and the time of the latest one. */
  private readonly directStarts = new Map<AttemptKey, DirectStart>()

  /** Called when the agent epoch rose: the worker refuses starts sent in the former session. */
  resetForNewSession(): void {
    this.unansweredAttempts.clear()
    this.startsInReplies.clear()
    this.directStarts.clear()
  }
  /** Called when the worker restarted: earlier direct commands may still arrive duplicated, replies can't. */
  resetForRestart(): void {
    this.startsInReplies.clear()
  }
  /** Records that the worker has shown this token: it refuses commands with a lower one. */
  recordTokenSeen(token: FencingToken): void {
    if (this.unansweredToken === null || token <= this.unansweredToken) return
    this.unansweredToken = null
    this.unansweredAttempts.clear()
  }
  /** Drops the direct starts of tasks that are neither on the machine nor placed there. */
  pruneDirectStarts(isKnown: (task: TaskId) => boolean): void {
    for (const key of this.directStarts.keys()) if (!isKnown(taskOf(key))) this.directStarts.delete(key)
  }

  /** Called before a start is sent in the reply to the heartbeat with this sequence number. */
  recordStartInReply(task: TaskId, attempt: Attempt, sequence: SequenceNumber, now: MonotonicTime): void {
    this.startsInReplies.set(keyOf(task, attempt), { sequence, sentAt: now })
  }
  /** Drops starts whose replies the worker has by now either executed or dropped. */
  dropExpiredReplies(now: MonotonicTime): void {
    for (const [key, { sentAt }] of this.startsInReplies)
      if (now > addMs(sentAt, 2 * REPLY_LIFETIME_MS)) this.startsInReplies.delete(key)
  }
  /** Called before a direct start is sent. */
  recordDirectStart(task: TaskId, attempt: Attempt, token: FencingToken, now: MonotonicTime): void {
    const key = keyOf(task, attempt)
    this.inFlight.set(key, (this.inFlight.get(key) ?? 0) + 1)
    this.directStarts.set(key, { token, sentAt: now })
  }
  /**
   * Records the end of a request with a direct start. `isOutcomeKnown`: it was answered, or certainly not
   * sent; otherwise its outcome is unknown.
   */
  recordDirectResult(task: TaskId, attempt: Attempt, token: FencingToken, isOutcomeKnown: boolean): void {
    const key = keyOf(task, attempt)
    const remaining = (this.inFlight.get(key) ?? 1) - 1
    if (remaining === 0) this.inFlight.delete(key)
    else this.inFlight.set(key, remaining)
    if (isOutcomeKnown) return
    this.unansweredAttempts.add(key)
    // Guards against a start that is executed after the task's absence was taken as proof that it won't run.
    if (this.unansweredToken === null || this.unansweredToken < token) this.unansweredToken = token
  }
  /** Records that the worker reports this attempt: its start was executed. */
  recordReported(task: TaskId, attempt: Attempt): void {
    this.unansweredAttempts.delete(keyOf(task, attempt))
  }

  /** Whether a start under this token got no response: it may take effect until a higher token is shown. */
  hasUnansweredStart(token: FencingToken): boolean {
    return this.unansweredToken !== null && this.unansweredToken === token
  }
  /** Whether a direct start of this attempt has no response, and no message shows that it was executed. */
  isUnanswered(task: TaskId, attempt: Attempt): boolean {
    const key = keyOf(task, attempt)
    return this.inFlight.has(key) || this.unansweredAttempts.has(key)
  }
  /** Whether a direct start of this attempt may still be in transit. */
  mayBeInTransit(task: TaskId, attempt: Attempt, token: FencingToken): boolean {
    return this.unansweredToken === token || this.inFlight.has(keyOf(task, attempt))
  }
  /** Whether the evidence proves that no start of this attempt can take effect any more. */
  cannotTakeEffect(
    task: TaskId,
    attempt: Attempt,
    { token, isTokenConfirmed, sequence, isHeartbeat, now }: StartEvidence,
  ): boolean {
    const key = keyOf(task, attempt)
    if (!isTokenConfirmed || this.unansweredToken === token) return false
    // Guards against a start that is still in transit when a heartbeat without the task arrives.
    if ((this.inFlight.get(key) ?? 0) > 0) return false
    const startInReply = this.startsInReplies.get(key)
    if (startInReply === undefined) return true
    // A worker has one heartbeat in flight at a time: it composed a later heartbeat after the reply to the
    // earlier one arrived or was dropped.
    return (
      (isHeartbeat && sequence > startInReply.sequence) ||
      now > addMs(startInReply.sentAt, 2 * REPLY_LIFETIME_MS)
    )
  }
  /**
   * Whether an exited attempt may be purged. A duplicate of a direct start that was executed may still
   * arrive. As long as the worker lists the attempt, it ignores the duplicate; after the purge, the duplicate
   * would start the task again, completed or not. The worker refuses starts of former owners once it has seen
   * the current token, and starts in the reply to a heartbeat never take effect late.
   */
  mayPurge(task: TaskId, attempt: Attempt, { token, isTokenConfirmed, now }: StartEvidence): boolean {
    const directStart = this.directStarts.get(keyOf(task, attempt))
    if (directStart === undefined) return isTokenConfirmed
    return (
      (isTokenConfirmed && token > directStart.token) ||
      now > addMs(directStart.sentAt, MAX_DUPLICATE_DELAY_MS)
    )
  }
  /** Whether the attempt's direct start carried this token: a purge then has to wait for a higher token. */
  wasSentUnderToken(task: TaskId, attempt: Attempt, token: FencingToken): boolean {
    return this.directStarts.get(keyOf(task, attempt))?.token === token
  }
}
