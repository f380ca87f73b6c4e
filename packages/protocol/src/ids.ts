import { Schema } from "effect"

/**
 * Ids, versions and times are types of their own, so that a stamp can't be
 * passed where a tenure is meant. At run time they are plain strings and numbers.
 */
const name = Schema.String.check(Schema.isMinLength(1))
const count = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0))

export const JobId = Schema.String.check(Schema.isPattern(/^run-[0-9]{6,20}$/)).pipe(Schema.brand("JobId"))
export type JobId = typeof JobId.Type
export const TASK_ID = /^run-[0-9]{6,20}\/[0-9]+$/
export const TaskId = Schema.String.check(Schema.isPattern(TASK_ID)).pipe(Schema.brand("TaskId"))
export type TaskId = typeof TaskId.Type
export const TeamName = name.pipe(Schema.brand("TeamName"))
export type TeamName = typeof TeamName.Type
export const JobClassName = name.pipe(Schema.brand("LaneName"))
export type JobClassName = typeof JobClassName.Type
export const ImageName = name.pipe(Schema.brand("ImageName"))
export type ImageName = typeof ImageName.Type
export const MachineTypeName = name.pipe(Schema.brand("TypeName"))
export type MachineTypeName = typeof MachineTypeName.Type
export const ZoneName = name.pipe(Schema.brand("ZoneName"))
export type ZoneName = typeof ZoneName.Type
export const NodeName = name.pipe(Schema.brand("NodeName"))
export type NodeName = typeof NodeName.Type
export const MachineId = name.pipe(Schema.brand("MachineId"))
export type MachineId = typeof MachineId.Type
export const Address = name.pipe(Schema.brand("Address"))
export type Address = typeof Address.Type
export const RentalRequestId = name.pipe(Schema.brand("HireName"))
export type RentalRequestId = typeof RentalRequestId.Type

/** One life of a controller's membership; never the same twice. */
export const Incarnation = name.pipe(Schema.brand("Incarnation"))
export type Incarnation = typeof Incarnation.Type
export const ShardName = name.pipe(Schema.brand("PartName"))
export type ShardName = typeof ShardName.Type

/** Who may command a worker; the higher one wins. */
export const FencingToken = count.pipe(Schema.brand("Token"))
export type FencingToken = typeof FencingToken.Type
export const AgentEpoch = count.pipe(Schema.brand("Tenure"))
export type AgentEpoch = typeof AgentEpoch.Type
export const SequenceNumber = count.pipe(Schema.brand("Tick"))
export type SequenceNumber = typeof SequenceNumber.Type
export const Attempt = count.pipe(Schema.brand("Attempt"))
export type Attempt = typeof Attempt.Type
/** Revision of a key's last change; 0 means that the key does not exist. */
export const ModRevision = count.pipe(Schema.brand("Stamp"))
export type ModRevision = typeof ModRevision.Type
export const Revision = count.pipe(Schema.brand("Revision"))
export type Revision = typeof Revision.Type
export const LeaseId = count.pipe(Schema.brand("GrantId"))
export type LeaseId = typeof LeaseId.Type

/** Milliseconds on this process's steady clock: comparable only within it. */
export type MonotonicTime = number & { readonly Moment: unique symbol }
/** Milliseconds of the time of day: comparable between nodes within the settings' bound. */
export type WallTime = number & { readonly WallTime: unique symbol }

export const ABSENT = 0 as ModRevision

export const hostAndPort = (address: Address): { readonly host: string; readonly port: number } => {
  const at = address.lastIndexOf(":")
  return { host: address.slice(0, at), port: Number(address.slice(at + 1)) }
}
export const taskId = (job: JobId, index: number): TaskId => `${job}/${index}` as TaskId
export const splitTaskId = (task: TaskId): { readonly job: JobId; readonly index: number } => {
  const at = task.indexOf("/")
  return { job: task.slice(0, at) as JobId, index: Number(task.slice(at + 1)) }
}
