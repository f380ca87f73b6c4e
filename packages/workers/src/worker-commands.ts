/**
 * The commands of one worker: which to send, and what was sent. It must never purge an attempt that a late
 * start, or a duplicate of one, could start again.
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
import type { StartEvidence, StartTracker } from "./start-tracker.ts"

/** Exited tasks that a worker may have to go on reporting until its token is raised to purge them. */
const MAX_UNPURGEABLE_TASKS = 24

type TasksById = ReadonlyMap<TaskId, ReportedTask>

/** Chooses a worker's commands, and records those that are sent. */
export class WorkerCommands {
  /** Commands were sent to the worker's own address, and have neither a response nor been given up. */
  inFlight = false
  /** Exited tasks that can't be purged until the worker has shown a higher token. */
  private unpurgeableCount = 0

  constructor(
    private readonly starts: StartTracker,
    private readonly placements: ReadonlyMap<TaskId, Placement>,
  ) {}

  /** The commands to send now. */
  due(
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
  /** Purging too early would let a late start, or a duplicate of one, run the task once more. */
  private mayPurge({ taskId, attempt }: ReportedTask, evidence: StartEvidence): boolean {
    if (!this.starts.mayPurge(taskId, attempt, evidence)) {
      if (this.starts.wasSentUnderToken(taskId, attempt, evidence.token)) this.unpurgeableCount++
      return false
    }
    return this.starts.cannotTakeEffect(taskId, attempt, evidence)
  }

  /**
   * A start got lost under the current token, and nothing is certain of a task that should leave or be
   * purged until the worker has seen a higher one; or too many tasks wait for a higher one to be purged.
   */
  needHigherToken(token: FencingToken, tasks: TasksById): boolean {
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

  /** Commands are about to be sent in the reply to the heartbeat with this sequence number. */
  recordReply(commands: ReadonlyArray<Command>, sequence: SequenceNumber, now: MonotonicTime): void {
    this.starts.dropExpiredReplies(now)
    for (const { kind, taskId, attempt } of commands) {
      if (kind !== "start") continue
      this.starts.recordStartInReply(taskId, attempt, sequence, now)
      this.countUnacknowledged(taskId)
    }
  }
  /** Commands are about to be sent to the worker's own address. */
  recordDirect(commands: ReadonlyArray<Command>, token: FencingToken, now: MonotonicTime): void {
    this.inFlight = true
    for (const { kind, taskId, attempt } of commands)
      if (kind === "start") this.starts.recordDirectStart(taskId, attempt, token, now)
  }
  /** They were answered, or surely never sent (`answered`), or given up with their outcome unknown. */
  recordDirectResult(commands: ReadonlyArray<Command>, token: FencingToken, answered: boolean): void {
    this.inFlight = false
    for (const { kind, taskId, attempt } of commands) {
      if (kind !== "start") continue
      this.starts.recordDirectResult(taskId, attempt, token, answered)
      if (!answered) this.countUnacknowledged(taskId)
    }
  }
  private countUnacknowledged(task: TaskId): void {
    const placement = this.placements.get(task)
    if (placement !== undefined) placement.unacknowledgedStarts++
  }
}
