/** The platform's settings: who this controller is, whom it works with, and what the deployment is like. */
import type { Address, NodeName, ZoneName } from "@sorreltally/protocol"
import type { Team } from "./teams.ts"

/** An aim that users state for a class of jobs. */
export interface Objective {
  readonly kind: string
  /** Null: all jobs. */
  readonly jobClass: string | null
  readonly withinS: number | null
  /** Share of the jobs or tasks that should meet it. */
  readonly share: number | null
  /** The aim is stated at this multiple of the deadline. */
  readonly deadlineMultiple: number | null
}
/** Times of workers, in seconds. */
export interface WorkerSettings {
  readonly heartbeatIntervalS: number
  readonly leaseS: number
  readonly cancellationLimitS: number
}
/** Limits of the state service for all controllers together. */
export interface StoreSettings {
  readonly requestsPerSecond: number
  readonly writesPerSecond: number
  readonly valueKb: number
  readonly maxOperations: number
}
/** The cloud's limit on requests, and how much its list lags. */
export interface CloudSettings {
  readonly requestsPerSecond: number
  readonly listLagS: number
}
/** What one controller may use. */
export interface MachineLimits {
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
  readonly clockSkewMs: number
}
/** Addresses of the services that controllers use. */
export interface ServiceAddresses {
  readonly cloud: Address
  readonly store: Address
}
/** The platform's settings, with what an absent amount means made plain. */
export interface Platform {
  readonly nodeName: NodeName
  readonly zone: ZoneName
  readonly listenAddress: Address
  readonly peerListenAddress: Address
  readonly peers: ReadonlyArray<PeerSettings>
  readonly services: ServiceAddresses
  readonly deployment: DeploymentSettings
}
