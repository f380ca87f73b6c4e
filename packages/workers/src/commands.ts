/** Which commands a worker needs. A pure decision: nothing is sent, and nothing is remembered, here. */
import type { Placement } from "@sorreltally/jobs"
import {
  type AgentEpoch,
  type Command,
  MAX_COMMANDS_PER_MESSAGE,
  type MonotonicTime,
  type ReportedTask,
  type TaskId,
} from "@sorreltally/protocol"

/** What decides which commands a worker needs. */
export interface CommandInputs {
  /** The worker's current one: placements of another are not commanded. */
  readonly agentEpoch: AgentEpoch
  /** The tasks in the worker's latest message. */
  readonly tasks: ReadonlyMap<TaskId, ReportedTask>
  /** The tasks that should be there, or should leave. */
  readonly placements: ReadonlyMap<TaskId, Placement>
  /** May this exited task be removed from the worker's heartbeats? */
  readonly mayPurge: (task: ReportedTask) => boolean
  readonly now: MonotonicTime
}

/**
 * The commands that bring the tasks that a worker reported to those that should be there; at most
 * `MAX_COMMANDS_PER_MESSAGE`.
 */
export const commandsFor = (inputs: CommandInputs): ReadonlyArray<Command> => {
  const commands: Array<Command> = []
  for (const task of inputs.tasks.values()) {
    const command = commandForOrphan(task, inputs)
    if (command !== null) commands.push(command)
  }
  for (const placement of inputs.placements.values()) {
    if (!placement.durable || placement.agentEpoch !== inputs.agentEpoch) continue
    const command = commandForPlacement(placement, inputs)
    if (command !== null) commands.push(command)
  }
  return commands.length <= MAX_COMMANDS_PER_MESSAGE ? commands : firstThatFit(commands)
}

/** Lower goes first where not all commands fit. */
const COMMAND_ORDER: Record<Command["kind"], number> = { stop: 0, start: 1, purge: 2 }
/** Guards against a message that exceeds what a line may hold: what doesn't fit goes with the next one. */
const firstThatFit = (commands: ReadonlyArray<Command>): ReadonlyArray<Command> =>
  [...commands]
    .sort((a, b) => COMMAND_ORDER[a.kind] - COMMAND_ORDER[b.kind])
    .slice(0, MAX_COMMANDS_PER_MESSAGE)

/** For an orphaned task: the worker reports it, and no placement accounts for this attempt. */
const commandForOrphan = (task: ReportedTask, { placements, mayPurge }: CommandInputs): Command | null => {
  const { taskId, attempt } = task
  if (placements.get(taskId)?.attempt === attempt) return null
  if (task.phase !== "exited") return { kind: "stop", taskId, attempt, gracePeriodS: 0 }
  return mayPurge(task) ? { kind: "purge", taskId, attempt } : null
}

/**
 * For a durable placement of this session. An inherited one is never started: a former owner made it, and
 * may have known more of the task than its record says.
 */
const commandForPlacement = (placement: Placement, { tasks, now }: CommandInputs): Command | null => {
  const { task: taskId, attempt, stop, fromPreviousOwner } = placement
  const reported = tasks.get(taskId)
  const isReported = reported !== undefined && reported.attempt === attempt
  if (stop === null) return isReported || fromPreviousOwner ? null : { kind: "start", taskId, attempt }
  if (!isReported || reported.phase === "exited") return null
  // What is left of it: a stop may be repeated, and the task has had the rest.
  const gracePeriodS = Math.max(0, stop.gracePeriodS - (now - stop.since) / 1000)
  if (reported.phase === "checkpointing" && gracePeriodS > 0) return null
  return { kind: "stop", taskId, attempt, gracePeriodS }
}
