/**
 * Codec between users and controllers: submissions, and the view of a job that a user is shown (protocol,
 * "Users -> controller nodes"). Job records store the wire form of a job, so it may gain fields and never
 * lose one.
 */
import { Result, Schema } from "effect"
import { ImageName, JobClassName, JobId, MachineTypeName, TeamName, ZoneName } from "./ids.ts"
import { NonNegative, Positive } from "./numbers.ts"

const maybe = <S extends Schema.Top>(schema: S) => Schema.optionalKey(Schema.NullOr(schema))

const Priority = Schema.Literals(["production", "high", "standard", "best_effort"])
/** Priority of a job; work of a higher one may preempt work of a lower one (protocol, "Preemption"). */
export type Priority = typeof Priority.Type
/** Order of the priorities: the higher rank goes first. */
export const priorityRank: Record<Priority, number> = { production: 3, high: 2, standard: 1, best_effort: 0 }

/** A job as it is submitted, and as job records store it. */
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
  builds: maybe(Schema.Array(MachineTypeName)),
  site: maybe(ZoneName),
  together: Schema.Boolean,
  scatter: Schema.Boolean,
  loaners: Schema.Boolean,
  expected_s: Positive,
  snapshot_s: NonNegative,
  flush_s: NonNegative,
  due_s: maybe(Positive),
})
/** A job in the wire's names. */
export type WireJob = typeof WireJob.Type

/** A job as its user described it; resources are those of one task. */
export interface JobSpec {
  readonly id: JobId
  readonly jobClass: JobClassName
  readonly team: TeamName
  readonly shape: "batch"
  readonly priority: Priority
  /** Tasks are numbered from 0; at most 100,000. */
  readonly taskCount: number
  readonly cores: number
  readonly accelerators: number
  readonly memGb: number
  /** The image that a machine has to hold before a task of the job can start, and its size. */
  readonly image: ImageName
  readonly imageGb: number
  /** The only machine types allowed; null or absent: any. */
  readonly machineTypes?: ReadonlyArray<MachineTypeName> | null
  /** The only zone allowed; null or absent: any. */
  readonly zone?: ZoneName | null
  /** All tasks have to be in one zone. */
  readonly singleZone: boolean
  /** At most half of the tasks, rounded up, may be in one zone. */
  readonly spreadZones: boolean
  /** Whether tasks may run on spot machines. */
  readonly spotAllowed: boolean
  /** The owner's estimate of a task's run time without the image fetch; often wrong by half. */
  readonly estimatedRunS: number
  /** Progress between two checkpoints, in seconds; 0: tasks never save. */
  readonly checkpointIntervalS: number
  /** Seconds that a stopped task needs to save. */
  readonly checkpointSaveS: number
  /** Deadline in seconds from the submission; null or absent: none. */
  readonly deadlineS?: number | null
}

const decodeWireJob = Schema.decodeUnknownResult(WireJob)

/** The typed form of a job on the wire. */
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

/** The wire form of a job; what its user left out stays left out. */
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

/** Decodes the body of a submission; a failure's message names the wire field. */
export const decodeJobSpec = (body: unknown) => Result.map(decodeWireJob(body), jobSpecFromWire)

/** Status of a job; `done` and `cancelled` are final (protocol, "GET /v1/jobs/{id}"). */
export type JobStatus = "queued" | "running" | "done" | "cancelled"
/** A job as its user is shown it; tasks done and running are for display. */
export interface JobView {
  readonly id: JobId
  readonly status: JobStatus
  readonly done?: number
  readonly running?: number
}

/** The body of a 200 or 201 about a job. */
export const encodeJobView = ({ status, ...view }: JobView) => ({
  id: view.id,
  status: status === "cancelled" ? "withdrawn" : status,
  ...(view.done === undefined ? {} : { done: view.done }),
  ...(view.running === undefined ? {} : { running: view.running }),
})
