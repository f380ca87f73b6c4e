/**
 * The platform's settings (DEPLOY): identity and addresses of this controller, its peers, and facts about the
 * deployment. Types only; their names in the file are defined in `codec.ts`.
 */
import type { Address, NodeName, ZoneName } from "@sorreltally/protocol"
import type { Team } from "./teams.ts"

/** A service-level objective for a class of jobs. */
export interface Objective {
  /** Kind of measurement; interpreted by the planner. */
  readonly kind: string
  /** Job class that the objective applies to; null: all jobs. */
  readonly jobClass: string | null
  /** Time limit in seconds; null: none. */
  readonly withinS: number | null
  /** Fraction of the jobs or tasks that should meet the objective; null: not specified. */
  readonly share: number | null
  /** Multiple of the job's deadline at which the objective applies; null: at the deadline itself. */
  readonly deadlineMultiple: number | null
}
/** Timing of workers, in seconds. */
export interface WorkerSettings {
  /** Interval between a worker's heartbeats. */
  readonly heartbeatIntervalS: number
  /** Time from sending the last answered heartbeat until a worker ends its tasks. */
  readonly leaseS: number
  /** Maximum time from the confirmation of a cancellation until the job's tasks are gone. */
  readonly cancellationLimitS: number
}
/** Limits of the store. */
export interface StoreLimitSettings {
  /** Total for all controllers. */
  readonly requestsPerSecond: number
  /** Total for all controllers. */
  readonly writesPerSecond: number
  /** Maximum size of a key's value, in KiB. */
  readonly valueKb: number
  /** Maximum number of operations in one transaction. */
  readonly maxOperations: number
}
/** Limits of the store when a controller starts, and later ones. */
export interface StoreSettings extends StoreLimitSettings {
  /** Limits that the store will have from some moment on, without further notice; null: none announced. */
  readonly announced: StoreLimitSettings | null
}
/** Limits of the cloud. */
export interface CloudSettings {
  /** Total for all controllers. */
  readonly requestsPerSecond: number
  /** Maximum age of the cloud's list of machines, in seconds. */
  readonly listLagS: number
}
/** Resource limits of one controller. */
export interface MachineLimits {
  /** CPU limit in cores; typically a fraction of one core. */
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
/** Settings that are the same for all controllers of the deployment. */
export interface DeploymentSettings {
  readonly zones: ReadonlyArray<ZoneName>
  readonly teams: ReadonlyArray<Team>
  readonly objectives: ReadonlyArray<Objective>
  readonly workers: WorkerSettings
  readonly store: StoreSettings
  readonly cloud: CloudSettings
  readonly machineLimits: MachineLimits
  /** Maximum deviation of a controller's wall clock from true time, in milliseconds. */
  readonly clockSkewMs: number
}
/** Addresses of the services that controllers use. */
export interface ServiceAddresses {
  readonly cloud: Address
  readonly store: Address
}
/** Settings of one controller. Amounts absent from the file have been replaced by their defaults. */
export interface Platform {
  readonly nodeName: NodeName
  readonly zone: ZoneName
  /** Listen address for users, workers and health checks. */
  readonly listenAddress: Address
  /** Listen address for other controllers. */
  readonly peerListenAddress: Address
  /** The other controllers, without this one. */
  readonly peers: ReadonlyArray<PeerSettings>
  readonly services: ServiceAddresses
  readonly deployment: DeploymentSettings
}
