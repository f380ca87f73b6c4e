/**
 * Branded types of ids, versions and times. Each has its own type, so that a mod revision can't be passed in
 * place of an agent epoch; at run time they are plain strings and numbers. Wire names don't occur in the
 * types: the codecs map them.
 */
import { Schema } from "effect"

const nonEmptyString = Schema.String.check(Schema.isMinLength(1))
const nonNegativeInteger = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0))

/** Id of a job, chosen by its user and never reused (protocol, "POST /v1/jobs": `id`). */
export const JobId = Schema.String.check(Schema.isPattern(/^run-[0-9]{6,20}$/)).pipe(Schema.brand("JobId"))
export type JobId = typeof JobId.Type
/** Format of a task id: the job id and the index of the task in the job, from 0. */
export const TASK_ID_PATTERN = /^run-[0-9]{6,20}\/[0-9]+$/
/** Id of a task (protocol, "POST /v1/report": `piece`). */
export const TaskId = Schema.String.check(Schema.isPattern(TASK_ID_PATTERN)).pipe(Schema.brand("TaskId"))
export type TaskId = typeof TaskId.Type
/** Name of a team, whose guarantee and limit apply to its jobs (wire: `owner` of a job). */
export const TeamName = nonEmptyString.pipe(Schema.brand("TeamName"))
export type TeamName = typeof TeamName.Type
/** Name of a job class, which has its own objective (wire: `lane`). */
export const JobClassName = nonEmptyString.pipe(Schema.brand("JobClassName"))
export type JobClassName = typeof JobClassName.Type
/** Name of an image that a machine fetches before a task can start (wire: `bundle`). */
export const ImageName = nonEmptyString.pipe(Schema.brand("ImageName"))
export type ImageName = typeof ImageName.Type
/** Name of a machine type in the cloud's catalog (wire: `build`). */
export const MachineTypeName = nonEmptyString.pipe(Schema.brand("MachineTypeName"))
export type MachineTypeName = typeof MachineTypeName.Type
/** Name of a zone of the region (wire: `site`). */
export const ZoneName = nonEmptyString.pipe(Schema.brand("ZoneName"))
export type ZoneName = typeof ZoneName.Type
/** Name of a controller node in the settings. */
export const NodeName = nonEmptyString.pipe(Schema.brand("NodeName"))
export type NodeName = typeof NodeName.Type
/** Id of a rented machine and its worker; ids sort by creation (wire: `host`, in the cloud's list `id`). */
export const MachineId = nonEmptyString.pipe(Schema.brand("MachineId"))
export type MachineId = typeof MachineId.Type
/** `host:port` of a listener. */
export const Address = nonEmptyString.pipe(Schema.brand("Address"))
export type Address = typeof Address.Type
/**
 * Idempotency key of a rental request (wire: `hire`). Must never be reused, not even by another node: the
 * cloud would return the machines of the earlier request (protocol, "POST /machines").
 */
export const RentalRequestId = nonEmptyString.pipe(Schema.brand("RentalRequestId"))
export type RentalRequestId = typeof RentalRequestId.Type

/** Id of one run of a controller node: a restarted node has a new one, and inherits no authority. */
export const Incarnation = nonEmptyString.pipe(Schema.brand("Incarnation"))
export type Incarnation = typeof Incarnation.Type
/** Name of a shard: a part of the jobs and machines that is owned by one node at a time. */
export const ShardName = nonEmptyString.pipe(Schema.brand("ShardName"))
export type ShardName = typeof ShardName.Type

/**
 * Authorizes commands to a worker: the worker executes no command under a token lower than the highest that
 * it has seen (wire: `baton`).
 */
export const FencingToken = nonNegativeInteger.pipe(Schema.brand("FencingToken"))
export type FencingToken = typeof FencingToken.Type
/**
 * Number of the worker's agent lease, from 1: it is incremented when the lease expires, and all tasks of the
 * worker are gone then (wire: `tenure`).
 */
export const AgentEpoch = nonNegativeInteger.pipe(Schema.brand("AgentEpoch"))
export type AgentEpoch = typeof AgentEpoch.Type
/**
 * Number of a worker's message: of two messages in the same agent epoch, the one with the larger number is
 * newer (wire: `tick`).
 */
export const SequenceNumber = nonNegativeInteger.pipe(Schema.brand("SequenceNumber"))
export type SequenceNumber = typeof SequenceNumber.Type
/** Distinguishes the placements of a task: a command applies to one attempt only (wire: `try`). */
export const Attempt = nonNegativeInteger.pipe(Schema.brand("Attempt"))
export type Attempt = typeof Attempt.Type
/** Revision of the store at a key's last change; 0 if the key doesn't exist (wire: `stamp`). */
export const ModRevision = nonNegativeInteger.pipe(Schema.brand("ModRevision"))
export type ModRevision = typeof ModRevision.Type
/** Revision of the store, incremented by every change (wire: `epoch`). */
export const Revision = nonNegativeInteger.pipe(Schema.brand("Revision"))
export type Revision = typeof Revision.Type
/** Id of a lease in the store: the keys attached to the lease are deleted when it ends (wire: `permit`). */
export const LeaseId = nonNegativeInteger.pipe(Schema.brand("LeaseId"))
export type LeaseId = typeof LeaseId.Type

/** Milliseconds on the monotonic clock of this process: comparable only within the process. */
export type MonotonicTime = number & { readonly MonotonicTime: unique symbol }
/** Milliseconds since the Unix epoch: comparable between nodes within `time_bound_ms` of the settings. */
export type WallTime = number & { readonly WallTime: unique symbol }

/** Mod revision of a key that doesn't exist. */
export const ABSENT_KEY_REVISION = 0 as ModRevision

/** Splits an address into host and port. */
export const splitAddress = (address: Address): { readonly host: string; readonly port: number } => {
  const separatorIndex = address.lastIndexOf(":")
  return { host: address.slice(0, separatorIndex), port: Number(address.slice(separatorIndex + 1)) }
}
/** Returns the id of the task with this index in the job, from 0. */
export const makeTaskId = (jobId: JobId, index: number): TaskId => `${jobId}/${index}` as TaskId
/** Splits a task id into the job id and the index of the task in the job. */
export const splitTaskId = (taskId: TaskId): { readonly jobId: JobId; readonly index: number } => {
  const separatorIndex = taskId.indexOf("/")
  return { jobId: taskId.slice(0, separatorIndex) as JobId, index: Number(taskId.slice(separatorIndex + 1)) }
}
