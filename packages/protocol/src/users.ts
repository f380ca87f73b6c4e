/**
 * Codec for messages between users and controllers: job submissions, and the view of a job in responses
 * (protocol, "Users -> controller nodes"). Job records store the wire form of a job, so fields may be added
 * to it but never removed.
 */
import { Result, Schema } from "effect"
import { ImageName, JobClassName, JobId, MachineTypeName, TeamName, ZoneName } from "./ids.ts"
import { NonNegative, Positive } from "./numbers.ts"

const optionalOrNull = <S extends Schema.Top>(schema: S) => Schema.optionalKey(Schema.NullOr(schema))

const Priority = Schema.Literals(["production", "high", "standard", "best_effort"])
/** Priority of a job; jobs of a higher priority may preempt jobs of a lower one (protocol, "Preemption"). */
export type Priority = typeof Priority.Type
/** Rank of each priority: a higher rank is scheduled first. */
export const priorityRank: Record<Priority, number> = { production: 3, high: 2, standard: 1, best_effort: 0 }

/** Wire form of a job, in submissions and in stored job records. */
export const WireJob = Schema.Struct({
  id: JobId,
  lane: JobClassName,
  owner: TeamName,
  shape: Schema.Literals(["batch"]),
  urgency: Priority,
  pieces: Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: 100_000 })),
  cores: Positive,
  accelerators: NonNegative,
  mem_gb: NonNegative,
  bundle: ImageName,
  image_gb: NonNegative,
  builds: optionalOrNull(Schema.Array(MachineTypeName)),
  site: optionalOrNull(ZoneName),
  together: Schema.Boolean,
  scatter: Schema.Boolean,
  loaners: Schema.Boolean,
  expected_s: Positive,
  snapshot_s: NonNegative,
  flush_s: NonNegative,
  due_s: optionalOrNull(Positive),
})
export type WireJob = typeof WireJob.Type

/** Specification of a job by its user; resources are per task. */
export interface JobSpec {
  readonly id: JobId
  readonly jobClass: JobClassName
  readonly team: TeamName
  readonly shape: "batch"
  readonly priority: Priority
  /** Number of tasks, at most 100,000; they are numbered from 0. */
  readonly taskCount: number
  readonly cores: number
  readonly accelerators: number
  readonly memGb: number
  /** Image that a machine must have fetched before a task of the job can start. */
  readonly image: ImageName
  /** Size of the image, in GB. */
  readonly imageGb: number
  /** Allowed machine types; null or absent allows any. */
  readonly machineTypes?: ReadonlyArray<MachineTypeName> | null
  /** Allowed zone; null or absent allows any. */
  readonly zone?: ZoneName | null
  /** Whether all tasks must run in one zone. */
  readonly singleZone: boolean
  /** Whether at most half of the tasks, rounded up, may run in one zone. */
  readonly spreadZones: boolean
  /** Whether tasks may run on spot machines. */
  readonly spotAllowed: boolean
  /** The user's estimate of a task's run time without the image fetch; often wrong by half. */
  readonly estimatedRunS: number
  /** Interval between two checkpoints, in seconds of progress; 0 if tasks don't checkpoint. */
  readonly checkpointIntervalS: number
  /** Time that a stopped task needs to write its checkpoint, in seconds. */
  readonly checkpointSaveS: number
  /** Deadline, in seconds from the submission; null or absent for none. */
  readonly deadlineS?: number | null
}

const decodeWireJob = Schema.decodeUnknownResult(WireJob)

/** Converts a job from its wire form. */
export const jobSpecFromWire = (wire: WireJob): JobSpec => ({
  id: wire.id,
  jobClass: wire.lane,
  team: wire.owner,
  shape: wire.shape,
  priority: wire.urgency,
  taskCount: wire.pieces,
  cores: wire.cores,
  accelerators: wire.accelerators,
  memGb: wire.mem_gb,
  image: wire.bundle,
  imageGb: wire.image_gb,
  machineTypes: wire.builds,
  zone: wire.site,
  singleZone: wire.together,
  spreadZones: wire.scatter,
  spotAllowed: wire.loaners,
  estimatedRunS: wire.expected_s,
  checkpointIntervalS: wire.snapshot_s,
  checkpointSaveS: wire.flush_s,
  deadlineS: wire.due_s,
})

/** Converts a job to its wire form; fields that its user omitted stay absent. */
export const jobSpecToWire = (spec: JobSpec): WireJob => ({
  id: spec.id,
  lane: spec.jobClass,
  owner: spec.team,
  shape: spec.shape,
  urgency: spec.priority,
  pieces: spec.taskCount,
  cores: spec.cores,
  accelerators: spec.accelerators,
  mem_gb: spec.memGb,
  bundle: spec.image,
  image_gb: spec.imageGb,
  ...(spec.machineTypes === undefined ? {} : { builds: spec.machineTypes }),
  ...(spec.zone === undefined ? {} : { site: spec.zone }),
  together: spec.singleZone,
  scatter: spec.spreadZones,
  loaners: spec.spotAllowed,
  expected_s: spec.estimatedRunS,
  snapshot_s: spec.checkpointIntervalS,
  flush_s: spec.checkpointSaveS,
  ...(spec.deadlineS === undefined ? {} : { due_s: spec.deadlineS }),
})

/** Decodes the body of a submission; fails with a message that names the wire field. */
export const decodeJobSpec = (body: unknown) => Result.map(decodeWireJob(body), jobSpecFromWire)

/** Status of a job; `done` and `cancelled` are final (protocol, "GET /v1/jobs/{id}"). */
export type JobStatus = "queued" | "running" | "done" | "cancelled"
/** A job as returned to its user; the numbers of done and running tasks are for display only. */
export interface JobView {
  readonly id: JobId
  readonly status: JobStatus
  readonly done?: number
  readonly running?: number
}

/** Encodes the body of a 200 or 201 response about a job. */
export const encodeJobView = ({ status, ...view }: JobView) => ({
  id: view.id,
  status: status === "cancelled" ? "withdrawn" : status,
  ...(view.done === undefined ? {} : { done: view.done }),
  ...(view.running === undefined ? {} : { running: view.running }),
})
