/**
 * Codec between controllers and workers: heartbeats, the replies to them, and commands sent to a
 * worker's own address (protocol, "Workers -> controller nodes" and "Controller nodes -> workers").
 * The wire's names stand in the wire types only. heartbeat-decoder.ts decodes heartbeats.
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

/** The protocol's limit on a request body, and on a line of a response to workers or users, in bytes. */
export const BODY_LIMIT = 64 * 1024
/** Generous sizes in JSON of a task in a heartbeat, and of a command. */
const TASK_BYTES = 110
const COMMAND_BYTES = 100
/** Commands in one message; the rest go with the next one. */
export const MAX_COMMANDS = Math.floor(BODY_LIMIT / COMMAND_BYTES) - 1
/**
 * Tasks placed on one machine at a time: they take up to half of its heartbeat, and leave the
 * other half to exited tasks that wait to be purged.
 */
export const MAX_TASKS_ON_MACHINE = Math.floor(BODY_LIMIT / (2 * TASK_BYTES))

/** Phase of a task on its machine; one that the protocol doesn't name is kept as it came. */
export type TaskPhase = "fetching" | "running" | "checkpointing" | "exited" | (string & {})
/** Why a task exited; a reason that the protocol doesn't name is kept as it came. */
export type ExitReason =
  | "done"
  | "stopped"
  | "error"
  | "insufficientResources"
  | "attemptConflict"
  | "unknown"
  | (string & {})

/** A task as its worker reports it. */
export interface ReportedTask {
  readonly taskId: TaskId
  readonly attempt: Attempt
  readonly phase: TaskPhase
  /** Null or absent while the task has not exited. */
  readonly exitReason?: ExitReason | null
  /** Whether a stopped task saved its progress. */
  readonly checkpointed?: boolean | null
}

/** A worker's heartbeat with its status; `/orders` and `/inspect` answer with the same body. */
export interface Heartbeat {
  readonly machineId: MachineId
  readonly address: Address
  readonly machineType: MachineTypeName
  readonly zone: ZoneName
  readonly spot: boolean
  /** Rises when the worker's lease expires: all its former tasks are gone then. */
  readonly agentEpoch: AgentEpoch
  /** Counts the worker's messages; within an agent epoch the larger one is the newer message. */
  readonly sequence: SequenceNumber
  /** The highest fencing token that the worker has seen. */
  readonly fencingToken: FencingToken
  /** Seconds until the cloud takes a spot machine away; null or absent without a notice. */
  readonly preemptionNoticeS?: number | null
  /** All tasks on the machine, exited ones until they are purged. */
  readonly tasks: ReadonlyArray<ReportedTask>
}

/** A command to a worker about one attempt of a task. */
export type Command =
  | { readonly kind: "start"; readonly taskId: TaskId; readonly attempt: Attempt }
  | {
      readonly kind: "stop"
      readonly taskId: TaskId
      readonly attempt: Attempt
      /** Seconds that the task may take to save its progress. */
      readonly gracePeriodS: number
    }
  /** Removes an exited task from the worker's heartbeats. */
  | { readonly kind: "purge"; readonly taskId: TaskId; readonly attempt: Attempt }

/** The owner's reply to a heartbeat. */
export interface HeartbeatReply {
  /** The worker drops the reply, and doesn't renew its lease, when it has seen a higher token. */
  readonly fencingToken: FencingToken
  /** Executed in order. */
  readonly commands: ReadonlyArray<Command>
}
/** Commands sent straight to a worker; it executes none of them in another agent epoch. */
export interface CommandBatch extends HeartbeatReply {
  readonly agentEpoch: AgentEpoch
}

// --- wire forms ---------------------------------------------------------------

/** A task on the wire. */
export interface WireTask {
  readonly piece: TaskId
  readonly try: Attempt
  readonly status: string
  readonly cause?: string | null
  readonly stored?: boolean | null
}
/** A heartbeat on the wire. */
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
/** A command on the wire. */
export type WireCommand =
  | { readonly verb: "start"; readonly piece: TaskId; readonly try: Attempt }
  | { readonly verb: "stop"; readonly piece: TaskId; readonly try: Attempt; readonly leeway_s: number }
  | { readonly verb: "forget"; readonly piece: TaskId; readonly try: Attempt }
/** The reply to a heartbeat on the wire. */
export interface WireHeartbeatReply {
  readonly baton: FencingToken
  readonly orders: ReadonlyArray<WireCommand>
}
/** The body of `POST /orders`. */
export interface WireCommandBatch extends WireHeartbeatReply {
  readonly tenure: AgentEpoch
}

/** Wire statuses and causes that the code names differently; all others have the same name in both. */
const PHASES: ReadonlyArray<readonly [status: string, phase: TaskPhase]> = [
  ["pulling", "fetching"],
  ["flushing", "checkpointing"],
]
const EXIT_REASONS: ReadonlyArray<readonly [cause: string, reason: ExitReason]> = [
  ["no_room", "insufficientResources"],
  ["in_use", "attemptConflict"],
]
const reversed = <A, B>(pairs: ReadonlyArray<readonly [A, B]>): ReadonlyMap<B, A> =>
  new Map(pairs.map(([a, b]) => [b, a]))
const phaseByStatus: ReadonlyMap<string, TaskPhase> = new Map(PHASES)
const statusByPhase = reversed(PHASES)
const reasonByCause: ReadonlyMap<string, ExitReason> = new Map(EXIT_REASONS)
const causeByReason = reversed(EXIT_REASONS)

/** The phase that a wire status names. */
export const phaseFromWire = (status: string): TaskPhase => phaseByStatus.get(status) ?? status
/** The wire status of a phase. */
export const phaseToWire = (phase: TaskPhase): string => statusByPhase.get(phase) ?? phase
/** The exit reason that a wire cause names. */
export const exitReasonFromWire = (cause: string): ExitReason => reasonByCause.get(cause) ?? cause
/** The wire cause of an exit reason. */
export const exitReasonToWire = (reason: ExitReason): string => causeByReason.get(reason) ?? reason

/** One command in the form that workers take. */
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

/** The body of a 200 to a heartbeat. */
export const encodeHeartbeatReply = ({ fencingToken, commands }: HeartbeatReply): WireHeartbeatReply => ({
  baton: fencingToken,
  orders: commands.map(encodeCommand),
})

/** The body of `POST /orders`. */
export const encodeCommandBatch = ({
  fencingToken,
  agentEpoch,
  commands,
}: CommandBatch): WireCommandBatch => ({
  baton: fencingToken,
  tenure: agentEpoch,
  orders: commands.map(encodeCommand),
})

/** The reply to a heartbeat that this node can't accept now: the worker tries again, here or at another node. */
export const HEARTBEAT_UNAVAILABLE: OutgoingResponse = { status: 503, body: {} }

/** The body of a 421: the worker should report to that node instead. */
export const encodeRedirect = (owner: NodeName): { readonly steward: NodeName } => ({ steward: owner })
