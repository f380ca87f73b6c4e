/**
 * How a simulated machine stands on the wire and in dumps of a deployment; the
 * only place of the stand-in where heartbeats' and dumps' names are spelt. Both
 * forms are kept byte for byte: fixtures hold them.
 */
import type { WireCommand, WireHeartbeat } from "@sorreltally/protocol"
import type { TaskPhase, WorkerTask } from "./worker-tasks.ts"

/** A task on a machine, as plain data. Its names are those of the wire; `progressS` is always 0. */
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
/** `failed`: the cloud says that it ended on its own. */
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

/** What a heartbeat says of a worker and its machine. */
export interface HeartbeatFields {
  readonly machineId: string
  readonly machineType: string
  readonly zone: string
  readonly spot: boolean
  readonly agentEpoch: number
  readonly sequence: number
  readonly fencingToken: number
  /** Seconds until a spot machine is taken; null: no notice. */
  readonly preemptionNoticeS: number | null
  readonly tasks: Iterable<readonly [taskId: string, task: WorkerTask]>
}
/** The body of a heartbeat, and of a worker's answer to commands. */
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

/** What the copy of a heartbeat says of its worker. */
export interface HeartbeatCopy {
  readonly agentEpoch: number
  readonly sequence: number
  readonly tasks: ReadonlyArray<{ readonly taskId: string; readonly attempt: number }>
}
/** Reads a heartbeat that was seen on its way. */
export const decodeHeartbeatCopy = (body: unknown): HeartbeatCopy => {
  const { tenure, tick, pieces } = body as WireHeartbeat
  const tasks = pieces.map((task) => ({ taskId: task.piece, attempt: task.try }))
  return { agentEpoch: tenure, sequence: tick, tasks }
}

/** A command to a worker: `purge` is `forget` on the wire. */
export interface Command {
  readonly type: "start" | "stop" | "purge"
  readonly taskId: string
  readonly attempt: number
  /** Of a stop: how long the task may take to save its progress, in seconds. */
  readonly gracePeriodS: number
}
/** Commands with what fences them; undefined: the sender left it out. */
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
/** The commands in a request to a worker, or in the answer to its heartbeat. */
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
/** The node that a redirect names; null: it names none. */
export const decodeRedirect = (body: unknown): string | null =>
  (body as { readonly steward?: string } | null)?.steward ?? null

/** A task as plain data, in the order of fields that fixtures have. */
const encodeTask = (task: WorkerTask): TaskDump => {
  const { job, index, attempt, phase, exitReason, checkpointed, startedAt: since } = task
  const status = statusOf(phase)
  return { job, index, attempt, status, cause: exitReason, stored: checkpointed, progressS: 0, since }
}
/** The task that a dump speaks of, without a timer. */
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

/** What a dump keeps of a machine that can change. */
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
/** A machine as plain data, in the order of fields that fixtures have. */
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
/** What a dump says of a machine; its tasks have no timers. */
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
