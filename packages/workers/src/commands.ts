/** Chooses the commands for a worker. The functions here are pure: they send nothing and keep no state. */
import type { Placement } from "@sorreltally/jobs"
import {
  type AgentEpoch,
  type Command,
  MAX_COMMANDS_PER_MESSAGE,
  type MonotonicTime,
  type ReportedTask,
  type TaskId,
} from "@sorreltally/protocol"

/** State of a worker and its placements from which its commands are chosen. */
export interface CommandInputs {
  /** The worker's current agent epoch; placements made under another one get no command. */
  readonly agentEpoch: AgentEpoch
  /** The tasks in the worker's latest message. */
  readonly tasks: ReadonlyMap<TaskId, ReportedTask>
  /** The tasks that should run on the machine, and those that should be stopped. */
  readonly placements: ReadonlyMap<TaskId, Placement>
  /** Whether the worker may purge this exited task, and so stop reporting it. */
  readonly mayPurge: (task: ReportedTask) => boolean
  readonly now: MonotonicTime
}

/**
 * Returns the commands, at most `MAX_COMMANDS_PER_MESSAGE`, that bring the tasks on the machine from those
 * that the worker reported to those that are placed there.
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
  return commands.length <= MAX_COMMANDS_PER_MESSAGE ? commands : limitCommands(commands)
}

/** Precedence of commands if there are more than `MAX_COMMANDS_PER_MESSAGE`; the lowest goes first. */
const COMMAND_ORDER: Record<Command["kind"], number> = { stop: 0, start: 1, purge: 2 }
/** Keeps a message within the protocol's size limit; the remaining commands go with the next message. */
const limitCommands = (commands: ReadonlyArray<Command>): ReadonlyArray<Command> =>
  [...commands]
    .sort((a, b) => COMMAND_ORDER[a.kind] - COMMAND_ORDER[b.kind])
    .slice(0, MAX_COMMANDS_PER_MESSAGE)

/** Command for an orphaned task: one that the worker reports although no placement has this attempt. */
const commandForOrphan = (task: ReportedTask, { placements, mayPurge }: CommandInputs): Command | null => {
  const { taskId, attempt } = task
  if (placements.get(taskId)?.attempt === attempt) return null
  if (task.phase !== "exited") return { kind: "stop", taskId, attempt, gracePeriodS: 0 }
  return mayPurge(task) ? { kind: "purge", taskId, attempt } : null
}

/**
 * Command for a durable placement made under the current agent epoch. A placement inherited from a former
 * owner is never started: that owner may have learned more about the task than the stored record says.
 */
const commandForPlacement = (placement: Placement, { tasks, now }: CommandInputs): Command | null => {
  const { task: taskId, attempt, stop, fromPreviousOwner } = placement
  const reported = tasks.get(taskId)
  const isReported = reported !== undefined && reported.attempt === attempt
  if (stop === null) return isReported || fromPreviousOwner ? null : { kind: "start", taskId, attempt }
  if (!isReported || reported.phase === "exited") return null
  // The remaining grace period: a stop may be repeated, and the task has already used up part of the period.
  const gracePeriodS = Math.max(0, stop.gracePeriodS - (now - stop.since) / 1000)
  if (reported.phase === "checkpointing" && gracePeriodS > 0) return null
  return { kind: "stop", taskId, attempt, gracePeriodS }
}
