/**
 * Selects the commands to one worker and records those that are sent. It must never purge an attempt that a
 * delayed start could start again, and never sends a start to the worker's own address: see start-tracker.ts.
 */
import type { Placement } from "@sorreltally/jobs"
import {
  type AgentEpoch,
  type Command,
  type MonotonicTime,
  makeHeartbeatRequest,
  type ReportedTask,
  type SequenceNumber,
  type TaskId,
} from "@sorreltally/protocol"
import { commandsFor } from "./commands.ts"
import type { RestartDetector } from "./restart-detection.ts"
import type { StartEvidence, StartTracker } from "./start-tracker.ts"

type TasksById = ReadonlyMap<TaskId, ReportedTask>

/** Selects a worker's commands, and records those that are sent. */
export class WorkerCommands {
  /** Whether commands sent to the worker's own address wait for a response or a time-out. */
  inFlight = false

  constructor(
    private readonly starts: StartTracker,
    private readonly restarts: RestartDetector,
    private readonly placements: ReadonlyMap<TaskId, Placement>,
  ) {}

  /** Returns the commands to send in the reply to a heartbeat. */
  select(
    agentEpoch: AgentEpoch,
    tasks: TasksById,
    evidence: StartEvidence,
    finishIsDurable: (task: TaskId) => boolean,
  ): ReadonlyArray<Command> {
    const mayPurge = ({ taskId, attempt, exitReason }: ReportedTask) =>
      (exitReason !== "done" || finishIsDurable(taskId)) &&
      this.starts.cannotTakeEffect(taskId, attempt, evidence)
    return commandsFor({ agentEpoch, tasks, placements: this.placements, mayPurge, now: evidence.now })
  }
  /** Called before commands are sent in the reply to the heartbeat with this sequence number. */
  recordReply(commands: ReadonlyArray<Command>, sequence: SequenceNumber, now: MonotonicTime): void {
    this.starts.dropExpired(now)
    this.recordPurges(commands)
    for (const { kind, taskId, attempt } of commands) {
      if (kind !== "start") continue
      this.starts.recordStart(taskId, attempt, sequence, now)
      const placement = this.placements.get(taskId)
      if (placement !== undefined) placement.unacknowledgedStarts++
    }
  }

  /** Called before commands are sent to the worker's own address. */
  recordDirect(commands: ReadonlyArray<Command>): void {
    this.inFlight = true
    this.recordPurges(commands)
  }
  private recordPurges(commands: ReadonlyArray<Command>): void {
    for (const { kind, taskId, attempt } of commands)
      if (kind === "purge") this.restarts.recordPurge(taskId, attempt)
  }
}

/**
 * The commands to send to the worker's own address instead of these: starts wait for the reply to the
 * heartbeat that is requested in their place.
 */
export const withoutStarts = (commands: ReadonlyArray<Command>): ReadonlyArray<Command> => {
  const start = commands.find(({ kind }) => kind === "start")
  if (start === undefined) return commands
  return [...commands.filter(({ kind }) => kind !== "start"), makeHeartbeatRequest(start.attempt)]
}
