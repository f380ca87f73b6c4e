/** Interface between the HTTP API and the controller that serves it. Types only. */
import type { Heartbeat, JobId, MachineType, MachineTypeName, Respond } from "@sorreltally/protocol"
import type { FinalStatus, JobRecord, StoreError } from "@sorreltally/store"
import type { Effect } from "effect"

/** Result of looking up a job: live (not ended yet), in a final state, or not found. */
export type JobLookup =
  | { readonly kind: "live"; readonly record: JobRecord }
  | { readonly kind: "final"; readonly status: FinalStatus }
  | { readonly kind: "none" }

/**
 * Result of a submission. `tooLarge`: the job is not known, and its record is larger than the store's values
 * may be; any other result but `accepted` is the lookup of a job accepted earlier under this id.
 */
export type Acceptance = JobLookup | { readonly kind: "accepted" } | { readonly kind: "tooLarge" }

/** All jobs of the deployment. A lookup returns a state at least as recent as the call. */
export interface JobService {
  /** Looks a job up, behind a read barrier. */
  readonly find: (id: JobId) => Effect.Effect<JobLookup, StoreError>
  /** Accepts a job durably, unless one was accepted earlier under this id. */
  readonly accept: (record: JobRecord) => Effect.Effect<Acceptance, StoreError>
  /** Cancels a live job durably: `live` means cancelled from now on. A job that has ended is not changed. */
  readonly cancel: (id: JobId) => Effect.Effect<JobLookup, StoreError>
}

/** Numbers of finished and running tasks of a job; approximate, for display only. */
export interface TaskCounts {
  readonly done: number
  readonly running: number
}

/** Operations of the controller used by the HTTP API. */
export interface ApiBackend {
  /** Whether a load balancer should route users to this node. */
  readonly isReady: () => boolean
  /** The cloud's machine types; null: not known yet. */
  readonly machineTypes: () => ReadonlyMap<MachineTypeName, MachineType> | null
  readonly jobs: JobService
  readonly taskCounts: (id: JobId) => TaskCounts
  /** Answers a worker's heartbeat by calling `respond` once, immediately or later. */
  readonly receiveHeartbeat: (heartbeat: Heartbeat, respond: Respond) => void
}
