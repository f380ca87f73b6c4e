/**
 * Detects that a worker restarted, although its counters have passed those from before. A restarted worker
 * has lost its tasks, and executes commands that were sent before its restart if they arrive again. The
 * detector only recognizes restarts; it clears no placement and sends nothing.
 */
import type { Attempt, FencingToken, Heartbeat, ReportedTask, TaskId, TaskPhase } from "@sorreltally/protocol"

/** Why a worker is known to have restarted. */
export type RestartSign =
  /** A response to a request has lower counters than the messages before the request. */
  | "lower counters"
  /** A worker never forgets the highest token it has seen, unless it restarts. */
  | "lower token"
  /** A worker reports a task until it is purged or its session ends. */
  | "task missing"
  /** An attempt's phases only advance. */
  | "earlier phase"

/** Position of each phase in the life of an attempt; other phases prove nothing. */
const PHASE_ORDER: ReadonlyMap<TaskPhase, number> = new Map([
  ["fetching", 0],
  ["running", 1],
  ["checkpointing", 2],
  ["exited", 3],
])
const isEarlier = (phase: TaskPhase, former: TaskPhase): boolean => {
  const position = PHASE_ORDER.get(phase)
  const formerPosition = PHASE_ORDER.get(former)
  return position !== undefined && formerPosition !== undefined && position < formerPosition
}

/** Recognizes restarts of one worker, and which fencing token settles the latest one. */
export class RestartDetector {
  /** The tasks that only this owner's purges can remove from the worker's messages; null: not known. */
  private listed: ReadonlyMap<TaskId, ReportedTask> | null = null
  /** The attempts of listed tasks for which a purge was sent. */
  private readonly purged = new Map<TaskId, Attempt>()
  /** The current token when the latest restart was recognized; null: none was. */
  private tokenAtRestart: FencingToken | null = null
  private latestSign: RestartSign | null = null

  /** How the latest restart was recognized; null: none was, or a higher token has settled it. */
  get sign(): RestartSign | null {
    return this.latestSign
  }

  /**
   * Returns the sign of a restart in a newer message of the same session, or null. `seenToken` is the highest
   * token that the worker had shown before, `reported` are the tasks of the message by id.
   */
  signIn(
    { fencingToken }: Heartbeat,
    seenToken: FencingToken,
    reported: ReadonlyMap<TaskId, ReportedTask>,
  ): RestartSign | null {
    if (fencingToken < seenToken) return "lower token"
    if (this.listed === null) return null
    for (const former of this.listed.values()) {
      const sign = this.signOf(former, reported.get(former.taskId))
      if (sign !== null) return sign
    }
    return null
  }
  /** A newer attempt of the same task may take the place of an exited one, and proves nothing. */
  private signOf(former: ReportedTask, task: ReportedTask | undefined): RestartSign | null {
    if (task === undefined) {
      if (this.purged.get(former.taskId) !== former.attempt) return "task missing"
      this.purged.delete(former.taskId)
      return null
    }
    return task.attempt === former.attempt && isEarlier(task.phase, former.phase) ? "earlier phase" : null
  }
  /**
   * Records the tasks in the latest message. `isExclusive`: no other owner can still purge any of them, since
   * the worker refuses the tokens of former owners.
   */
  recordTasks(tasks: ReadonlyMap<TaskId, ReportedTask>, isExclusive: boolean): void {
    this.listed = isExclusive ? tasks : null
  }
  /** Called before a purge is sent. */
  recordPurge(task: TaskId, attempt: Attempt): void {
    this.purged.set(task, attempt)
  }
  /** Called when the agent epoch rose or ended: the worker has dropped all its tasks. */
  resetForNewSession(): void {
    this.listed = null
    this.purged.clear()
  }

  /** Records a restart; commands up to the token `currentToken` may have been sent before it. */
  recordRestart(sign: RestartSign, currentToken: FencingToken): void {
    this.resetForNewSession()
    this.tokenAtRestart = currentToken
    this.latestSign = sign
  }
  /** Whether a worker that has shown this token refuses all commands that were sent before its restart. */
  isSettledBy(token: FencingToken): boolean {
    return this.tokenAtRestart === null || token > this.tokenAtRestart
  }
  /** Called when the worker has shown the current token, and that settles the restart. */
  recordSettled(): void {
    this.latestSign = null
  }
}
