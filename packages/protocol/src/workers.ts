/**
 * Codec for messages between controllers and workers: heartbeats, the replies to them, and commands sent
 * directly to a worker's address (protocol, "Workers -> controller nodes" and "Controller nodes -> workers").
 * Only the wire types use the field names of the wire. heartbeat-decoder.ts decodes heartbeats.
 */
import type { OutgoingResponse } from "./http.ts"
import type {
  Address,
  AgentEpoch,
  Attempt,
  FencingToken,
  MachineId,
  MachineTypeName,
  NodeName,
  SequenceNumber,
  TaskId,
  ZoneName,
} from "./ids.ts"

/** Limit of the protocol on a request body, and on a line of a response to workers or users, in bytes. */
export const MAX_BODY_BYTES = 64 * 1024
/** Generous estimate of the JSON size of a task in a heartbeat. */
const ESTIMATED_TASK_BYTES = 110
/** Generous estimate of the JSON size of a command. */
const ESTIMATED_COMMAND_BYTES = 100
/** Maximum number of commands in a message; the remaining ones are sent in the next message. */
export const MAX_COMMANDS_PER_MESSAGE = Math.floor(MAX_BODY_BYTES / ESTIMATED_COMMAND_BYTES) - 1
/**
 * Maximum number of tasks placed on a machine at a time: they fill at most half of its heartbeat, and leave
 * the other half for exited tasks that haven't been purged yet.
 */
export const MAX_TASKS_ON_MACHINE = Math.floor(MAX_BODY_BYTES / (2 * ESTIMATED_TASK_BYTES))

/** Phase of a task on its machine; a phase that the protocol doesn't define is kept as received. */
export type TaskPhase = "fetching" | "running" | "checkpointing" | "exited" | (string & {})
/** Reason why a task exited; a reason that the protocol doesn't define is kept as received. */
export type ExitReason =
  | "done"
  | "stopped"
  | "error"
  | "insufficientResources"
  | "attemptConflict"
  | "unknown"
  | (string & {})

/** A task in a worker's heartbeat. */
export interface ReportedTask {
  readonly taskId: TaskId
  readonly attempt: Attempt
  readonly phase: TaskPhase
  /** Null or absent until the task has exited. */
  readonly exitReason?: ExitReason | null
  /** Whether a stopped task has written a checkpoint. */
  readonly checkpointed?: boolean | null
}

/** Heartbeat of a worker with its status; the responses of `/orders` and `/inspect` have the same body. */
export interface Heartbeat {
  readonly machineId: MachineId
  readonly address: Address
  readonly machineType: MachineTypeName
  readonly zone: ZoneName
  readonly spot: boolean
  /** Incremented when the worker's agent lease expires; all its earlier tasks are gone then. */
  readonly agentEpoch: AgentEpoch
  /** Number of the worker's message; within an agent epoch, a message with a larger number is newer. */
  readonly sequence: SequenceNumber
  /** Highest fencing token that the worker has seen. */
  readonly fencingToken: FencingToken
  /** Seconds until the cloud preempts the spot machine; null or absent without a preemption notice. */
  readonly preemptionNoticeS?: number | null
  /** All tasks on the machine, including exited ones until they are purged. */
  readonly tasks: ReadonlyArray<ReportedTask>
}

/** A command to a worker about one attempt of a task. */
export type Command =
  | { readonly kind: "start"; readonly taskId: TaskId; readonly attempt: Attempt }
  | {
      readonly kind: "stop"
      readonly taskId: TaskId
      readonly attempt: Attempt
      /** Time that the task is given to write a checkpoint, in seconds. */
      readonly gracePeriodS: number
    }
  /** Removes an exited task from the worker's heartbeats. */
  | { readonly kind: "purge"; readonly taskId: TaskId; readonly attempt: Attempt }

/** No job has this task: its index is beyond the largest number of tasks, and its job isn't submitted. */
const NONEXISTENT_TASK = "run-00000000000000000000/100000" as TaskId
/**
 * Returns a command that makes the worker send a heartbeat soon: the worker refuses the start, and reports the
 * change of its tasks at once (protocol, "Workers -> controller nodes"). Executed late or again, the command
 * does no harm. The refused attempt is reported until it is purged; until then, the same one changes nothing.
 */
export const makeHeartbeatRequest = (attempt: Attempt): Command => ({
  kind: "start",
  taskId: NONEXISTENT_TASK,
  attempt,
})

/** Reply of the shard's owner to a heartbeat. */
export interface HeartbeatReply {
  /** A worker that has seen a higher token discards the reply and doesn't renew its agent lease. */
  readonly fencingToken: FencingToken
  /** Commands, executed in this order. */
  readonly commands: ReadonlyArray<Command>
}
/** Commands sent directly to a worker, which executes them only in this agent epoch. */
export interface CommandBatch extends HeartbeatReply {
  readonly agentEpoch: AgentEpoch
}

// --- wire forms ---------------------------------------------------------------

/** Wire form of a task. */
export interface WireTask {
  readonly piece: TaskId
  readonly try: Attempt
  readonly status: string
  readonly cause?: string | null
  readonly stored?: boolean | null
}
/** Wire form of a heartbeat. */
export interface WireHeartbeat {
  readonly host: MachineId
  readonly address: Address
  readonly build: MachineTypeName
  readonly site: ZoneName
  readonly loaners: boolean
  readonly tenure: AgentEpoch
  readonly tick: SequenceNumber
  readonly baton: FencingToken
  readonly warning_s?: number | null
  readonly pieces: ReadonlyArray<WireTask>
}
/** Wire form of a command. */
export type WireCommand =
  | { readonly verb: "start"; readonly piece: TaskId; readonly try: Attempt }
  | { readonly verb: "stop"; readonly piece: TaskId; readonly try: Attempt; readonly leeway_s: number }
  | { readonly verb: "forget"; readonly piece: TaskId; readonly try: Attempt }
/** Wire form of the reply to a heartbeat. */
export interface WireHeartbeatReply {
  readonly baton: FencingToken
  readonly orders: ReadonlyArray<WireCommand>
}
/** Wire form of the body of `POST /orders`. */
export interface WireCommandBatch extends WireHeartbeatReply {
  readonly tenure: AgentEpoch
}

/** Wire statuses that the code names differently; all others have the same name in both. */
const RENAMED_PHASES: ReadonlyArray<readonly [status: string, phase: TaskPhase]> = [
  ["pulling", "fetching"],
  ["flushing", "checkpointing"],
]
/** Wire causes that the code names differently; all others have the same name in both. */
const RENAMED_EXIT_REASONS: ReadonlyArray<readonly [cause: string, reason: ExitReason]> = [
  ["no_room", "insufficientResources"],
  ["in_use", "attemptConflict"],
]
const invert = <A, B>(pairs: ReadonlyArray<readonly [A, B]>): ReadonlyMap<B, A> =>
  new Map(pairs.map(([a, b]) => [b, a]))
const phaseByStatus: ReadonlyMap<string, TaskPhase> = new Map(RENAMED_PHASES)
const statusByPhase = invert(RENAMED_PHASES)
const reasonByCause: ReadonlyMap<string, ExitReason> = new Map(RENAMED_EXIT_REASONS)
const causeByReason = invert(RENAMED_EXIT_REASONS)

/** Converts a phase from its wire status. */
export const phaseFromWire = (status: string): TaskPhase => phaseByStatus.get(status) ?? status
/** Converts a phase to its wire status. */
export const phaseToWire = (phase: TaskPhase): string => statusByPhase.get(phase) ?? phase
/** Converts an exit reason from its wire cause. */
export const exitReasonFromWire = (cause: string): ExitReason => reasonByCause.get(cause) ?? cause
/** Converts an exit reason to its wire cause. */
export const exitReasonToWire = (reason: ExitReason): string => causeByReason.get(reason) ?? reason

const encodeCommand = (command: Command): WireCommand => {
  const { taskId: piece, attempt } = command
  switch (command.kind) {
    case "start":
      return { verb: "start", piece, try: attempt }
    case "stop":
      return { verb: "stop", piece, try: attempt, leeway_s: command.gracePeriodS }
    case "purge":
      return { verb: "forget", piece, try: attempt }
  }
}

/** Encodes the body of a 200 response to a heartbeat. */
export const encodeHeartbeatReply = ({ fencingToken, commands }: HeartbeatReply): WireHeartbeatReply => ({
  baton: fencingToken,
  orders: commands.map(encodeCommand),
})

/** Encodes the body of `POST /orders`. */
export const encodeCommandBatch = ({
  fencingToken,
  agentEpoch,
  commands,
}: CommandBatch): WireCommandBatch => ({
  baton: fencingToken,
  tenure: agentEpoch,
  orders: commands.map(encodeCommand),
})

/** Response to a heartbeat that this node can't accept now: the worker retries, at this or another node. */
export const HEARTBEAT_UNAVAILABLE: OutgoingResponse = { status: 503, body: {} }

/** Encodes the body of a 421 response: the worker should send its heartbeats to that node instead. */
export const encodeRedirect = (owner: NodeName): { readonly steward: NodeName } => ({ steward: owner })
