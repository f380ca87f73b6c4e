/** What the HTTP interface needs of the controller behind it. Types only. */
import type { Heartbeat, JobId, MachineType, MachineTypeName, Respond } from "@sorreltally/protocol"
import type { FinalStatus, JobRecord, StoreError } from "@sorreltally/store"
import type { Effect } from "effect"

/** Where a job was found: not ended yet, ended, or nowhere. */
export type JobLookup =
  | { readonly kind: "live"; readonly record: JobRecord }
  | { readonly kind: "final"; readonly status: FinalStatus }
  | { readonly kind: "none" }

/** All jobs of the deployment. What a lookup returns is never older than the question. */
export interface JobService {
  /** Looks a job up, behind a read barrier. */
  readonly find: (id: JobId) => Effect.Effect<JobLookup, StoreError>
  /** Accepts a job durably; a lookup other than `accepted` is of a job accepted before under this id. */
  readonly accept: (record: JobRecord) => Effect.Effect<JobLookup | { readonly kind: "accepted" }, StoreError>
  /** Cancels durably what is live: `live` is cancelled from now on. A job that has ended stays as it is. */
  readonly cancel: (id: JobId) => Effect.Effect<JobLookup, StoreError>
}

/** How many tasks of a job have finished, and how many run; for display, nothing is promised of them. */
export interface TaskCounts {
  readonly done: number
  readonly running: number
}

/** The controller, as the HTTP interface sees it. */
export interface ApiBackend {
  /** Whether a load balancer should send users here. */
  readonly isReady: () => boolean
  /** The cloud's machine types; null: not known yet. */
  readonly machineTypes: () => ReadonlyMap<MachineTypeName, MachineType> | null
  readonly jobs: JobService
  readonly taskCounts: (id: JobId) => TaskCounts
  /** Answers a worker's heartbeat once, at once or later. */
  readonly receiveHeartbeat: (heartbeat: Heartbeat, respond: Respond) => void
}
