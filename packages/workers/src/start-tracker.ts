/**
 * Which start commands sent to one worker may still take effect. It owns the record of what was sent and
 * what was answered, and never forgets a start before the protocol rules out that it is carried out.
 */
import {
  type Attempt,
  addMs,
  type FencingToken,
  type MonotonicTime,
  type SequenceNumber,
  type TaskId,
} from "@sorreltally/protocol"

/** A worker drops the reply to a heartbeat this long after sending the heartbeat (protocol, "Delayed messages"). */
const REPLY_LIFETIME_MS = 4_000
/** Duplicates of a direct command batch later than this are not expected. */
const MAX_DUPLICATE_DELAY_MS = 180_000

/** What the worker's latest message proves about the starts that were sent before it. */
export interface StartEvidence {
  /** The fencing token of our commands. */
  readonly token: FencingToken
  /** Whether the worker has shown that token. */
  readonly tokenConfirmed: boolean
  /** Sequence number of the worker's latest message. */
  readonly sequence: SequenceNumber
  /** Whether that message is a heartbeat, not the response to a direct request. */
  readonly isHeartbeat: boolean
  readonly now: MonotonicTime
}
interface StartInReply {
  /** Sequence number of the heartbeat that was replied to. */
  readonly sequence: SequenceNumber
  readonly at: MonotonicTime
}
interface DirectStart {
  readonly token: FencingToken
  /** When the latest one was sent. */
  readonly at: MonotonicTime
}

/** One attempt of one task. */
type AttemptKey = string & { readonly AttemptKey: unique symbol }
const keyOf = (task: TaskId, attempt: Attempt): AttemptKey => `${task}#${attempt}` as AttemptKey
const taskOf = (key: AttemptKey): TaskId => key.slice(0, key.indexOf("#")) as TaskId

/**
 * The starts sent to one worker, and which of them may still take effect: only
 * when none may does the absence of a task prove that it won't run.
 */
export class StartTracker {
  /** Direct starts without a response yet, with the number of requests. */
  private readonly inFlight = new Map<AttemptKey, number>()
  /**
   * Highest token under which a direct start got no response. The worker may execute it
   * minutes later, until it has seen a higher token.
   */
  private unansweredToken: FencingToken | null = null
  /** Direct starts without a response, of attempts that the worker hasn't reported since. */
  private readonly unanswered = new Set<AttemptKey>()
  /** Starts sent in the reply to a heartbeat. */
  private readonly startsInReplies = new Map<AttemptKey, StartInReply>()
  /** Attempts whose start was sent directly, under which token and when last. */
  private readonly directStarts = new Map<AttemptKey, DirectStart>()

  /** The agent epoch rose: starts sent in the former session are refused. */
  resetForNewSession(): void {
    this.unanswered.clear()
    this.startsInReplies.clear()
    this.directStarts.clear()
  }
  /** The worker restarted: duplicates of direct commands sent before may still arrive, replies may not. */
  resetForRestart(): void {
    this.startsInReplies.clear()
  }
  /** The worker has shown this token: it refuses commands with a lower one. */
  tokenSeen(token: FencingToken): void {
    if (this.unansweredToken === null || token <= this.unansweredToken) return
    this.unansweredToken = null
    this.unanswered.clear()
  }
  /** Drops the direct starts of tasks that are neither on the machine nor placed there. */
  pruneDirectStarts(isKnown: (task: TaskId) => boolean): void {
    for (const key of this.directStarts.keys()) if (!isKnown(taskOf(key))) this.directStarts.delete(key)
  }

  /** A start is about to be sent in the reply to the heartbeat with this sequence number. */
  recordStartInReply(task: TaskId, attempt: Attempt, sequence: SequenceNumber, now: MonotonicTime): void {
    this.startsInReplies.set(keyOf(task, attempt), { sequence, at: now })
  }
  /** Drops the starts in replies that the worker has taken or dropped by now. */
  dropExpiredReplies(now: MonotonicTime): void {
    for (const [key, { at }] of this.startsInReplies)
      if (now > addMs(at, 2 * REPLY_LIFETIME_MS)) this.startsInReplies.delete(key)
  }
  /** A direct start is about to be sent. */
  recordDirectStart(task: TaskId, attempt: Attempt, token: FencingToken, now: MonotonicTime): void {
    const key = keyOf(task, attempt)
    this.inFlight.set(key, (this.inFlight.get(key) ?? 0) + 1)
    this.directStarts.set(key, { token, at: now })
  }
  /** A direct start was answered, or surely never sent (`answered`), or its outcome is unknown. */
  recordDirectResult(task: TaskId, attempt: Attempt, token: FencingToken, answered: boolean): void {
    const key = keyOf(task, attempt)
    const remaining = (this.inFlight.get(key) ?? 1) - 1
    if (remaining === 0) this.inFlight.delete(key)
    else this.inFlight.set(key, remaining)
    if (answered) return
    this.unanswered.add(key)
    // Guards against a start that is carried out after its absence was taken for proof.
    if (this.unansweredToken === null || this.unansweredToken < token) this.unansweredToken = token
  }
  /** The worker reports this attempt: its start was carried out. */
  recordReported(task: TaskId, attempt: Attempt): void {
    this.unanswered.delete(keyOf(task, attempt))
  }

  /** A start under this token got no response: nothing is certain until the worker shows a higher one. */
  hasUnansweredStart(token: FencingToken): boolean {
    return this.unansweredToken !== null && this.unansweredToken === token
  }
  /** A direct start of this attempt got no response, and nothing shows that it was carried out. */
  isUnanswered(task: TaskId, attempt: Attempt): boolean {
    const key = keyOf(task, attempt)
    return this.inFlight.has(key) || this.unanswered.has(key)
  }
  /** A direct start of this attempt may still be in transit. */
  mayBeInTransit(task: TaskId, attempt: Attempt, token: FencingToken): boolean {
    return this.unansweredToken === token || this.inFlight.has(keyOf(task, attempt))
  }
  /** No start of this attempt can take effect any more, as far as the evidence goes. */
  cannotTakeEffect(
    task: TaskId,
    attempt: Attempt,
    { token, tokenConfirmed, sequence, isHeartbeat, now }: StartEvidence,
  ): boolean {
    const key = keyOf(task, attempt)
    if (!tokenConfirmed || this.unansweredToken === token) return false
    // Guards against a start that is still in transit when a heartbeat without the task arrives.
    if ((this.inFlight.get(key) ?? 0) > 0) return false
    const inReply = this.startsInReplies.get(key)
    if (inReply === undefined) return true
    // A worker has one heartbeat in flight at a time, so a later heartbeat was made
    // after our reply arrived or was dropped.
    return (isHeartbeat && sequence > inReply.sequence) || now > addMs(inReply.at, 2 * REPLY_LIFETIME_MS)
  }
  /**
   * May an exited attempt be purged? A duplicate of a direct start that was carried out
   * may still arrive. While the worker knows the attempt, its start does nothing;
   * after the purge it would start the task again, done or not. Starts of former owners
   * are refused once the worker has seen our token, and starts in the reply to a
   * heartbeat never take effect late.
   */
  mayPurge(task: TaskId, attempt: Attempt, { token, tokenConfirmed, now }: StartEvidence): boolean {
    const directStart = this.directStarts.get(keyOf(task, attempt))
    if (directStart === undefined) return tokenConfirmed
    return (
      (tokenConfirmed && token > directStart.token) || now > addMs(directStart.at, MAX_DUPLICATE_DELAY_MS)
    )
  }
  /** Its direct start carried this token: it can't be purged before the worker shows a higher one. */
  wasSentUnderToken(task: TaskId, attempt: Attempt, token: FencingToken): boolean {
    return this.directStarts.get(keyOf(task, attempt))?.token === token
  }
}
