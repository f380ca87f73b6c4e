import type { Placement } from "@sorreltally/jobs"
import {
  type AgentEpoch,
  type Command,
  MAX_COMMANDS,
  type MonotonicTime,
  type ReportedTask,
  type TaskId,
} from "@sorreltally/protocol"

/** What decides which commands a worker needs. */
export interface CommandInputs {
  readonly agentEpoch: AgentEpoch
  /** What the worker last showed. */
  readonly tasks: ReadonlyMap<TaskId, ReportedTask>
  /** What should be there. */
  readonly placements: ReadonlyMap<TaskId, Placement>
  /** May this exited task be removed from the worker's reports? */
  readonly mayPurge: (task: ReportedTask) => boolean
  readonly now: MonotonicTime
}

/** The commands that bring what a worker last showed to what should be there. */
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
  return commands.length <= MAX_COMMANDS ? commands : mostUrgent(commands)
}

const URGENCY: Record<Command["kind"], number> = { stop: 0, start: 1, purge: 2 }
/** Guards against an answer that exceeds what a line may hold: what doesn't fit goes with the next one. */
const mostUrgent = (commands: ReadonlyArray<Command>): ReadonlyArray<Command> =>
  [...commands].sort((a, b) => URGENCY[a.kind] - URGENCY[b.kind]).slice(0, MAX_COMMANDS)

/** For a task that the worker shows, though no durable placement accounts for it. */
const commandForOrphan = (task: ReportedTask, { placements, mayPurge }: CommandInputs): Command | null => {
  const { taskId, attempt } = task
  if (placements.get(taskId)?.attempt === attempt) return null
  if (task.phase !== "exited") return { kind: "stop", taskId, attempt, gracePeriodS: 0 }
  return mayPurge(task) ? { kind: "purge", taskId, attempt } : null
}

const commandForPlacement = (placement: Placement, { tasks, now }: CommandInputs): Command | null => {
  const { task: taskId, attempt, stop, inherited } = placement
  const reported = tasks.get(taskId)
  const isThere = reported !== undefined && reported.attempt === attempt
  if (stop === null) return isThere || inherited ? null : { kind: "start", taskId, attempt }
  if (!isThere || reported.phase === "exited") return null
  const gracePeriodS = Math.max(0, stop.gracePeriodS - (now - stop.since) / 1000)
  if (reported.phase === "checkpointing" && gracePeriodS > 0) return null
  return { kind: "stop", taskId, attempt, gracePeriodS }
}
