import {
  type Attempt,
  addMs,
  type FencingToken,
  type MonotonicTime,
  type SequenceNumber,
  type TaskId,
} from "@sorreltally/protocol"

/** A worker drops an answer to a report this long after sending it. */
const ANSWER_LIFE_MS = 4_000
/** Copies of orders later than this are not expected. */
const COPIES_COME_MS = 180_000

/** What a body proves about the starts that were sent before it. */
export interface Evidence {
  /** The token of our commands, and whether the worker has shown it. */
  readonly token: FencingToken
  readonly confirmed: boolean
  /** Counter of the worker's last body, and whether that is a report. */
  readonly sequence: SequenceNumber
  readonly isReport: boolean
  readonly now: MonotonicTime
}
interface AnsweredStart {
  readonly sequence: SequenceNumber
  readonly at: MonotonicTime
}
interface DirectStart {
  readonly token: FencingToken
  readonly at: MonotonicTime
}

const keyOf = (task: TaskId, attempt: Attempt): string => `${task}#${attempt}`

/**
 * The starts sent to one worker, and which of them may still take effect: only
 * when none may does the absence of a task prove that it won't run.
 */
export class StartTracker {
  /** Starts that went out by `/orders` and have no answer yet. */
  private readonly inFlight = new Map<string, number>()
  /**
   * Token under which a start by `/orders` got no answer. It may be executed
   * minutes later, until the worker has seen a higher token.
   */
  private unansweredToken: FencingToken | null = null
  /** Starts by `/orders` without an answer, of tasks that the worker hasn't shown since. */
  private readonly unanswered = new Set<string>()
  /** Starts that went with the answer to a report. */
  private readonly inAnswers = new Map<string, AnsweredStart>()
  /** Attempts whose start went out by `/orders`, under which token and when last. */
  private readonly direct = new Map<string, DirectStart>()

  /** A new session of the worker: starts sent under the former one are refused. */
  sessionBegan(): void {
    this.unanswered.clear()
    this.inAnswers.clear()
    this.direct.clear()
  }
  /** The worker began anew; copies of direct commands to its former self may still come. */
  workerRestarted(): void {
    this.inAnswers.clear()
  }
  /** The worker has shown this token: commands with a lower one are refused. */
  tokenShown(token: FencingToken): void {
    if (this.unansweredToken === null || token <= this.unansweredToken) return
    this.unansweredToken = null
    this.unanswered.clear()
  }
  /** Tasks that are neither on the machine nor placed there need no memory of their direct starts. */
  keepDirect(isKnown: (task: TaskId) => boolean): void {
    for (const key of this.direct.keys())
      if (!isKnown(key.slice(0, key.indexOf("#")) as TaskId)) this.direct.delete(key)
  }

  inAnswer(task: TaskId, attempt: Attempt, sequence: SequenceNumber, now: MonotonicTime): void {
    this.inAnswers.set(keyOf(task, attempt), { sequence, at: now })
  }
  /** Answers that the worker has taken or dropped by now. */
  dropOldAnswers(now: MonotonicTime): void {
    for (const [key, { at }] of this.inAnswers)
      if (now > addMs(at, 2 * ANSWER_LIFE_MS)) this.inAnswers.delete(key)
  }
  sending(task: TaskId, attempt: Attempt, token: FencingToken, now: MonotonicTime): void {
    const key = keyOf(task, attempt)
    this.inFlight.set(key, (this.inFlight.get(key) ?? 0) + 1)
    this.direct.set(key, { token, at: now })
  }
  sent(task: TaskId, attempt: Attempt, token: FencingToken, answered: boolean): void {
    const key = keyOf(task, attempt)
    const left = (this.inFlight.get(key) ?? 1) - 1
    if (left === 0) this.inFlight.delete(key)
    else this.inFlight.set(key, left)
    if (answered) return
    this.unanswered.add(key)
    // Guards against a start that is carried out after its absence was taken for proof.
    if (this.unansweredToken === null || this.unansweredToken < token) this.unansweredToken = token
  }

  /** A start under the current token got no answer: nothing is sure until a higher one is shown. */
  hasUnanswered(token: FencingToken): boolean {
    return this.unansweredToken !== null && this.unansweredToken === token
  }
  /** The worker shows this attempt: its start was carried out. */
  shown(task: TaskId, attempt: Attempt): void {
    this.unanswered.delete(keyOf(task, attempt))
  }
  /** A direct start of this attempt got no answer, and nothing shows that it was carried out. */
  isUnanswered(task: TaskId, attempt: Attempt): boolean {
    const key = keyOf(task, attempt)
    return this.inFlight.has(key) || this.unanswered.has(key)
  }
  /** A direct start of this attempt may still be on its way. */
  mayBeUnderWay(task: TaskId, attempt: Attempt, token: FencingToken): boolean {
    return this.unansweredToken === token || this.inFlight.has(keyOf(task, attempt))
  }
  /** No start of this attempt can still take effect, as far as the evidence goes. */
  isSettled(
    task: TaskId,
    attempt: Attempt,
    { token, confirmed, sequence, isReport, now }: Evidence,
  ): boolean {
    const key = keyOf(task, attempt)
    if (!confirmed || this.unansweredToken === token) return false
    // Guards against a start that is still on its way when a report without the task arrives.
    if ((this.inFlight.get(key) ?? 0) > 0) return false
    const answered = this.inAnswers.get(key)
    if (answered === undefined) return true
    // A worker has one report under way at a time, so a later report was made
    // after our answer arrived or was dropped.
    return (isReport && sequence > answered.sequence) || now > addMs(answered.at, 2 * ANSWER_LIFE_MS)
  }
  /**
   * May an exited task be forgotten? A copy of `/orders` that was carried out
   * may still come. While the worker knows the attempt, its start does nothing;
   * after `forget` it would start the task again, done or not. Former owners'
   * are dead once the worker has seen our token, and starts in an answer to a
   * report never come late.
   */
  mayPurge(
    task: TaskId,
    attempt: Attempt,
    token: FencingToken,
    confirmed: boolean,
    now: MonotonicTime,
  ): boolean {
    const sent = this.direct.get(keyOf(task, attempt))
    if (sent === undefined) return confirmed
    return (confirmed && token > sent.token) || now > addMs(sent.at, COPIES_COME_MS)
  }
  /** Its direct start carried this token: it can't be forgotten before a higher one is shown. */
  wasSentUnder(task: TaskId, attempt: Attempt, token: FencingToken): boolean {
    return this.direct.get(keyOf(task, attempt))?.token === token
  }
}
