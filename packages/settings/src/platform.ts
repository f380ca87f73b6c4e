/**
 * The platform's settings (DEPLOY): who this controller is, whom it works with, and what the deployment is
 * like. Types only; `codec.ts` knows their names in the file.
 */
import type { Address, NodeName, ZoneName } from "@sorreltally/protocol"
import type { Team } from "./teams.ts"

/** A service-level objective that users state for a class of jobs. */
export interface Objective {
  /** What is measured; the planner knows the kinds. */
  readonly kind: string
  /** Null: all jobs. */
  readonly jobClass: string | null
  /** Time within which it should be met, in seconds; null: it has none. */
  readonly withinS: number | null
  /** Fraction of the jobs or tasks that should meet it; null: not stated. */
  readonly share: number | null
  /** The objective is stated at this multiple of the job's deadline; null: at the deadline itself. */
  readonly deadlineMultiple: number | null
}
/** Times of workers, in seconds. */
export interface WorkerSettings {
  /** A worker sends a heartbeat this often. */
  readonly heartbeatIntervalS: number
  /** A worker ends its tasks this long after it sent the last heartbeat that was answered. */
  readonly leaseS: number
  /** The tasks of a cancelled job have to be gone this long after the cancellation was confirmed. */
  readonly cancellationLimitS: number
}
/** Limits of the store. */
export interface StoreSettings {
  /** For all controllers together. */
  readonly requestsPerSecond: number
  /** For all controllers together. */
  readonly writesPerSecond: number
  /** Largest value of one key, in KiB. */
  readonly valueKb: number
  /** Most operations in one transaction. */
  readonly maxOperations: number
}
/** Limits of the cloud. */
export interface CloudSettings {
  /** For all controllers together. */
  readonly requestsPerSecond: number
  /** The cloud's list of machines may be this old, in seconds. */
  readonly listLagS: number
}
/** What one controller may use. */
export interface MachineLimits {
  /** Processor time per time; a fraction of a core is usual. */
  readonly cores: number
  readonly memoryMb: number
  readonly fileDescriptors: number
}
/** Another controller. */
export interface PeerSettings {
  readonly nodeName: NodeName
  readonly zone: ZoneName
  readonly address: Address
}
/** What is so for all controllers of the deployment. */
export interface DeploymentSettings {
  readonly zones: ReadonlyArray<ZoneName>
  readonly teams: ReadonlyArray<Team>
  readonly objectives: ReadonlyArray<Objective>
  readonly workers: WorkerSettings
  readonly store: StoreSettings
  readonly cloud: CloudSettings
  readonly machineLimits: MachineLimits
  /** A controller's time of day is within this of true time, in milliseconds. */
  readonly clockSkewMs: number
}
/** Addresses of the services that controllers use. */
export interface ServiceAddresses {
  readonly cloud: Address
  readonly store: Address
}
/** The settings of one controller, absent amounts already replaced by what they mean. */
export interface Platform {
  readonly nodeName: NodeName
  readonly zone: ZoneName
  /** Where users, workers and health checks connect. */
  readonly listenAddress: Address
  /** Where other controllers connect. */
  readonly peerListenAddress: Address
  /** The other controllers, this one left out. */
  readonly peers: ReadonlyArray<PeerSettings>
  readonly services: ServiceAddresses
  readonly deployment: DeploymentSettings
}
