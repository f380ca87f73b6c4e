/**
 * Selects the commands to one worker and records those that are sent. It must never purge an attempt that a
 * delayed start, or a duplicate of one, could start again.
 */
import type { Placement } from "@sorreltally/jobs"
import type {
  AgentEpoch,
  Command,
  FencingToken,
  MonotonicTime,
  ReportedTask,
  SequenceNumber,
  TaskId,
} from "@sorreltally/protocol"
import { commandsFor } from "./commands.ts"
import type { RestartDetector } from "./restart-detection.ts"
import type { StartEvidence, StartTracker } from "./start-tracker.ts"

/** With more exited tasks than this that wait for a higher token to be purged, the token is raised. */
const MAX_UNPURGEABLE_TASKS = 24

type TasksById = ReadonlyMap<TaskId, ReportedTask>

/** Selects a worker's commands, and records those that are sent. */
export class WorkerCommands {
  /** Whether commands sent to the worker's own address wait for a response or a time-out. */
  inFlight = false
  /** Number of exited tasks that can't be purged until the worker has shown a higher token. */
  private unpurgeableCount = 0

  constructor(
    private readonly starts: StartTracker,
    private readonly restarts: RestartDetector,
    private readonly placements: ReadonlyMap<TaskId, Placement>,
  ) {}

  /** Returns the commands to send now. */
  select(
    agentEpoch: AgentEpoch,
    tasks: TasksById,
    evidence: StartEvidence,
    finishIsDurable: (task: TaskId) => boolean,
  ): ReadonlyArray<Command> {
    this.unpurgeableCount = 0
    const mayPurge = (task: ReportedTask) =>
      (task.exitReason !== "done" || finishIsDurable(task.taskId)) && this.mayPurge(task, evidence)
    return commandsFor({ agentEpoch, tasks, placements: this.placements, mayPurge, now: evidence.now })
  }
  /** After a purge that comes too early, a delayed start or a duplicate of one would run the task again. */
  private mayPurge({ taskId, attempt }: ReportedTask, evidence: StartEvidence): boolean {
    if (!this.starts.mayPurge(taskId, attempt, evidence)) {
      if (this.starts.wasSentUnderToken(taskId, attempt, evidence.token)) this.unpurgeableCount++
      return false
    }
    return this.starts.cannotTakeEffect(taskId, attempt, evidence)
  }

  /**
   * Whether the token has to be raised: a start under the current token got no response, so that a task to be
   * stopped or purged may still be started until the worker has seen a higher token; or too many tasks wait
   * for a higher token to be purged.
   */
  needsHigherToken(token: FencingToken, tasks: TasksById): boolean {
    if (this.unpurgeableCount > MAX_UNPURGEABLE_TASKS) return true
    if (!this.starts.hasUnansweredStart(token)) return false
    for (const placement of this.placements.values()) if (placement.stop !== null) return true
    for (const { taskId, phase } of tasks.values())
      if (phase === "exited" && !this.placements.has(taskId)) return true
    return false
  }

  /** See `WorkerSession.pendingCancelledStartSince`. */
  pendingCancelledStartSince(
    sessionEpoch: AgentEpoch | null,
    token: FencingToken,
    tasks: TasksById,
  ): MonotonicTime | null {
    let since: MonotonicTime | null = null
    for (const { job, stop, agentEpoch, task, attempt } of this.placements.values()) {
      if (!job.cancelled || stop === null || agentEpoch !== sessionEpoch) continue
      if (this.starts.mayBeInTransit(task, attempt, token) && tasks.get(task)?.attempt !== attempt)
        since = since === null ? stop.since : (Math.min(since, stop.since) as MonotonicTime)
    }
    return since
  }

  /** Called before commands are sent in the reply to the heartbeat with this sequence number. */
  recordReply(commands: ReadonlyArray<Command>, sequence: SequenceNumber, now: MonotonicTime): void {
    this.starts.dropExpiredReplies(now)
    for (const { kind, taskId, attempt } of commands) {
      if (kind === "purge") this.restarts.recordPurge(taskId, attempt)
      if (kind !== "start") continue
      this.starts.recordStartInReply(taskId, attempt, sequence, now)
      this.countUnacknowledgedStart(taskId)
    }
  }
  /** Called before commands are sent to the worker's own address. */
  recordDirect(commands: ReadonlyArray<Command>, token: FencingToken, now: MonotonicTime): void {
    this.inFlight = true
    for (const { kind, taskId, attempt } of commands) {
      if (kind === "purge") this.restarts.recordPurge(taskId, attempt)
      if (kind === "start") this.starts.recordDirectStart(taskId, attempt, token, now)
    }
  }
  /**
   * Records the end of a request with direct commands. `isOutcomeKnown`: it was answered, or certainly not
   * sent; otherwise its outcome is unknown.
   */
  recordDirectResult(commands: ReadonlyArray<Command>, token: FencingToken, isOutcomeKnown: boolean): void {
    this.inFlight = false
    for (const { kind, taskId, attempt } of commands) {
      if (kind !== "start") continue
      this.starts.recordDirectResult(taskId, attempt, token, isOutcomeKnown)
      if (!isOutcomeKnown) this.countUnacknowledgedStart(taskId)
    }
  }
  private countUnacknowledgedStart(task: TaskId): void {
    const placement = this.placements.get(task)
    if (placement !== undefined) placement.unacknowledgedStarts++
  }
}
