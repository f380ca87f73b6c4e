/**
 * Ids, versions and moments. Each is a type of its own, so that a modification revision can't be passed
 * where an agent epoch is meant; at run time they are plain strings and numbers. Wire names never stand
 * in a type: the codecs map them.
 */
import { Schema } from "effect"

const name = Schema.String.check(Schema.isMinLength(1))
const count = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0))

/** Id of a job, chosen by its user and unique for ever (protocol, "POST /v1/jobs": `id`). */
export const JobId = Schema.String.check(Schema.isPattern(/^run-[0-9]{6,20}$/)).pipe(Schema.brand("JobId"))
export type JobId = typeof JobId.Type
/** The form of a task id: the job's id and the task's index in it, from 0. */
export const TASK_ID = /^run-[0-9]{6,20}\/[0-9]+$/
/** Id of a task (protocol, "POST /v1/report": `piece`). */
export const TaskId = Schema.String.check(Schema.isPattern(TASK_ID)).pipe(Schema.brand("TaskId"))
export type TaskId = typeof TaskId.Type
/** A team, whose guarantee and limit apply to its jobs (wire: `owner` of a job). */
export const TeamName = name.pipe(Schema.brand("TeamName"))
export type TeamName = typeof TeamName.Type
/** A class of jobs with an objective of its own (wire: `lane`). */
export const JobClassName = name.pipe(Schema.brand("JobClassName"))
export type JobClassName = typeof JobClassName.Type
/** An image that a machine fetches before a task can start (wire: `bundle`). */
export const ImageName = name.pipe(Schema.brand("ImageName"))
export type ImageName = typeof ImageName.Type
/** A machine type of the cloud's catalog (wire: `build`). */
export const MachineTypeName = name.pipe(Schema.brand("MachineTypeName"))
export type MachineTypeName = typeof MachineTypeName.Type
/** A zone of the region (wire: `site`). */
export const ZoneName = name.pipe(Schema.brand("ZoneName"))
export type ZoneName = typeof ZoneName.Type
/** A controller node, as the settings name it. */
export const NodeName = name.pipe(Schema.brand("NodeName"))
export type NodeName = typeof NodeName.Type
/** A rented machine and its worker; ids follow the order of creation (wire: `host`, in the cloud's list `id`). */
export const MachineId = name.pipe(Schema.brand("MachineId"))
export type MachineId = typeof MachineId.Type
/** `host:port` of a listener. */
export const Address = name.pipe(Schema.brand("Address"))
export type Address = typeof Address.Type
/**
 * Idempotency key of a rental request (wire: `hire`). Never reused, not even by another node: the cloud
 * would return the former machines (protocol, "POST /machines").
 */
export const RentalRequestId = name.pipe(Schema.brand("RentalRequestId"))
export type RentalRequestId = typeof RentalRequestId.Type

/** One start of a controller node: a node that starts again has another one, and inherits no authority. */
export const Incarnation = name.pipe(Schema.brand("Incarnation"))
export type Incarnation = typeof Incarnation.Type
/** A shard: one share of the jobs and machines, owned by one node at a time. */
export const ShardName = name.pipe(Schema.brand("ShardName"))
export type ShardName = typeof ShardName.Type

/** Who may command a worker: it executes nothing under a lower token than the highest that it has seen (wire: `baton`). */
export const FencingToken = count.pipe(Schema.brand("FencingToken"))
export type FencingToken = typeof FencingToken.Type
/** Counts a worker's sessions, from 1: it rises when the lease expires, and all tasks are gone then (wire: `tenure`). */
export const AgentEpoch = count.pipe(Schema.brand("AgentEpoch"))
export type AgentEpoch = typeof AgentEpoch.Type
/** Counts a worker's messages: of two with the same agent epoch, the larger is the newer one (wire: `tick`). */
export const SequenceNumber = count.pipe(Schema.brand("SequenceNumber"))
export type SequenceNumber = typeof SequenceNumber.Type
/** Distinguishes the placements of one task: a command applies to one attempt alone (wire: `try`). */
export const Attempt = count.pipe(Schema.brand("Attempt"))
export type Attempt = typeof Attempt.Type
/** The store's revision at a key's last change; 0 means that the key does not exist (wire: `stamp`). */
export const ModRevision = count.pipe(Schema.brand("ModRevision"))
export type ModRevision = typeof ModRevision.Type
/** Counts every change of the store (wire: `epoch`). */
export const Revision = count.pipe(Schema.brand("Revision"))
export type Revision = typeof Revision.Type
/** A lease in the store: keys attached to it are deleted when it ends (wire: `permit`). */
export const LeaseId = count.pipe(Schema.brand("LeaseId"))
export type LeaseId = typeof LeaseId.Type

/** Milliseconds on this process's monotonic clock: comparable only within it. */
export type MonotonicTime = number & { readonly MonotonicTime: unique symbol }
/** Milliseconds of the time of day: comparable between nodes within the settings' bound. */
export type WallTime = number & { readonly WallTime: unique symbol }

/** The modification revision of a key that does not exist. */
export const ABSENT = 0 as ModRevision

/** The two components of an address. */
export const hostAndPort = (address: Address): { readonly host: string; readonly port: number } => {
  const at = address.lastIndexOf(":")
  return { host: address.slice(0, at), port: Number(address.slice(at + 1)) }
}
/** The id of a job's task with this index, from 0. */
export const taskId = (job: JobId, index: number): TaskId => `${job}/${index}` as TaskId
/** The job of a task, and the task's index in it. */
export const splitTaskId = (task: TaskId): { readonly job: JobId; readonly index: number } => {
  const at = task.indexOf("/")
  return { job: task.slice(0, at) as JobId, index: Number(task.slice(at + 1)) }
}
