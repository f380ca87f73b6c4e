/**
 * Codec of simulated machines for the wire and for dumps of a deployment; the only
 * module of the simulated machine that spells the field names of heartbeats and
 * dumps. Both forms must stay the same byte for byte, as test fixtures contain them.
 */
import type { WireCommand, WireHeartbeat } from "@sorreltally/protocol"
import type { TaskPhase, WorkerTask } from "./worker-tasks.ts"

/** A task on a machine, as plain data with field names of the wire; `progressS` is always 0. */
export interface TaskDump {
  readonly job: string
  readonly index: number
  readonly attempt: number
  readonly status: string
  readonly cause: string | null
  readonly stored: boolean
  readonly progressS: number
  readonly since: number
}
/** `failed`: the cloud lists the machine as ended without a request. */
export type MachineStatus = "booting" | "running" | "failed"
/** A machine and its worker, as plain data. Times are in milliseconds. */
export interface MachineDump {
  readonly id: string
  readonly type: string
  readonly zone: string
  readonly spot: boolean
  readonly status: MachineStatus
  readonly rented: number
  readonly tenure: number
  readonly tick: number
  readonly baton: number
  readonly lastAnswered: number
  readonly images: ReadonlyArray<string>
  readonly tasks: ReadonlyArray<TaskDump>
}

const statusOf = (phase: TaskPhase): string => (phase === "checkpointing" ? "flushing" : phase)
const phaseOf = (status: string): TaskPhase =>
  status === "flushing" ? "checkpointing" : (status as Exclude<TaskPhase, "checkpointing">)

/** Contents of a heartbeat. */
export interface HeartbeatFields {
  readonly machineId: string
  readonly machineType: string
  readonly zone: string
  readonly spot: boolean
  readonly agentEpoch: number
  readonly sequence: number
  readonly fencingToken: number
  /** Seconds until a spot machine is preempted; null: no preemption notice. */
  readonly preemptionNoticeS: number | null
  readonly tasks: Iterable<readonly [taskId: string, task: WorkerTask]>
}
/** Encodes the body of a heartbeat, or of a worker's answer to commands. */
export const encodeHeartbeat = (fields: HeartbeatFields): WireHeartbeat => {
  const pieces = [...fields.tasks].map(([piece, { attempt, phase, exitReason, checkpointed }]) => ({
    piece,
    try: attempt,
    status: statusOf(phase),
    ...(exitReason === null ? {} : { cause: exitReason, stored: checkpointed }),
  }))
  return {
    host: fields.machineId,
    address: `${fields.machineId}:9000`,
    build: fields.machineType,
    site: fields.zone,
    loaners: fields.spot,
    tenure: fields.agentEpoch,
    tick: fields.sequence,
    baton: fields.fencingToken,
    warning_s: fields.preemptionNoticeS,
    pieces,
  } as unknown as WireHeartbeat
}

/** Fields of an intercepted heartbeat that faults use. */
export interface HeartbeatCopy {
  readonly agentEpoch: number
  readonly sequence: number
  readonly tasks: ReadonlyArray<{ readonly taskId: string; readonly attempt: number }>
}
/** Decodes an intercepted heartbeat. */
export const decodeHeartbeatCopy = (body: unknown): HeartbeatCopy => {
  const { tenure, tick, pieces } = body as WireHeartbeat
  const tasks = pieces.map((task) => ({ taskId: task.piece, attempt: task.try }))
  return { agentEpoch: tenure, sequence: tick, tasks }
}

/** A command to a worker; `purge` is `forget` on the wire. */
export interface Command {
  readonly type: "start" | "stop" | "purge"
  readonly taskId: string
  readonly attempt: number
  /** For a stop: time that the task has to save its progress, in seconds; otherwise 0. */
  readonly gracePeriodS: number
}
/** Commands with the fencing token and agent epoch that guard them; undefined: missing from the request. */
export interface CommandBatch {
  readonly fencingToken: number | undefined
  readonly agentEpoch: number | undefined
  readonly commands: ReadonlyArray<Command>
}
const COMMAND_TYPES: Readonly<Record<WireCommand["verb"], Command["type"]>> = {
  start: "start",
  stop: "stop",
  forget: "purge",
}
const commandOf = (command: WireCommand): Command => ({
  type: COMMAND_TYPES[command.verb],
  taskId: command.piece,
  attempt: command.try,
  gracePeriodS: command.verb === "stop" ? command.leeway_s : 0,
})
/** Decodes the commands in a request to a worker, or in the answer to its heartbeat. */
export const decodeCommands = (body: unknown): CommandBatch => {
  const {
    baton,
    tenure,
    orders = [],
  } = body as {
    readonly baton?: number
    readonly tenure?: number
    readonly orders?: ReadonlyArray<WireCommand>
  }
  return { fencingToken: baton, agentEpoch: tenure, commands: orders.map(commandOf) }
}
/** Decodes the node that a redirect names; null: it names none. */
export const decodeRedirect = (body: unknown): string | null =>
  (body as { readonly steward?: string } | null)?.steward ?? null

/** Encodes a task for a dump, with its fields in the order of the fixtures. */
const encodeTask = (task: WorkerTask): TaskDump => {
  const { job, index, attempt, phase, exitReason, checkpointed, startedAt: since } = task
  const status = statusOf(phase)
  return { job, index, attempt, status, cause: exitReason, stored: checkpointed, progressS: 0, since }
}
/** Decodes a task of a dump; it has no timer. */
const decodeTask = (dump: TaskDump): WorkerTask => ({
  job: dump.job,
  index: dump.index,
  attempt: dump.attempt,
  phase: phaseOf(dump.status),
  exitReason: dump.cause,
  checkpointed: dump.stored,
  startedAt: dump.since,
  cancelTimer: () => {},
})

/** Mutable state of a machine that a dump contains. */
export interface MachineState {
  readonly status: MachineStatus
  readonly rentedAt: number
  readonly agentEpoch: number
  readonly sequence: number
  readonly fencingToken: number
  readonly lastAnsweredAt: number
  readonly images: ReadonlyArray<string>
  readonly tasks: ReadonlyArray<WorkerTask>
}
/** Encodes a machine for a dump, with its fields in the order of the fixtures. */
export const encodeMachineDump = (
  {
    id,
    machineType,
    zone,
    spot,
  }: Pick<HeartbeatFields, "machineType" | "zone" | "spot"> & { readonly id: string },
  state: MachineState,
): MachineDump => ({
  id,
  zone,
  spot,
  status: state.status,
  rented: state.rentedAt,
  tenure: state.agentEpoch,
  tick: state.sequence,
  baton: state.fencingToken,
  lastAnswered: state.lastAnsweredAt,
  type: machineType,
  images: state.images,
  tasks: state.tasks.map(encodeTask),
})
/** Decodes the state of a machine from a dump; its tasks have no timers. */
export const decodeMachineDump = (dump: MachineDump): MachineState => ({
  status: dump.status,
  rentedAt: dump.rented,
  agentEpoch: dump.tenure,
  sequence: dump.tick,
  fencingToken: dump.baton,
  lastAnsweredAt: dump.lastAnswered,
  images: dump.images,
  tasks: dump.tasks.map(decodeTask),
})
