/** What the modules of a shard share: their node's services, and the shard's state as they may read it. */
import type { CloudClient } from "@sorreltally/cloud"
import type { InFlightLimit } from "@sorreltally/concurrency"
import type { CommandForwarder } from "@sorreltally/forwarding"
import type { FailureTracker, JobIndex, JobState } from "@sorreltally/jobs"
import type { Membership } from "@sorreltally/membership"
import type { PlannedRental, ShardDemand } from "@sorreltally/planner"
import type {
  Clocks,
  HttpClient,
  JobId,
  Log,
  MachineId,
  MonotonicTime,
  RentalRequestId,
  ShardName,
} from "@sorreltally/protocol"
import type { CloudInventory, MachineIndex } from "@sorreltally/provisioning"
import type { Operators, Platform } from "@sorreltally/settings"
import type { JobEnd, JobPage, StoreClient, StoreError, StoreKey } from "@sorreltally/store"
import type { MachineHandoff, WorkerSession } from "@sorreltally/workers"
import type { Effect } from "effect"
import type { RunTimeEstimates } from "./run-time-estimates.ts"

/** What the controller of a shard shares with the rest of its node. */
export interface NodeContext {
  /** The platform's settings: deployment, addresses, this node's name and zone. */
  readonly platform: Platform
  /** The operators' settings, with their defaults filled in. */
  readonly operators: Operators
  /** Controller nodes of the deployment, up or not: it decides which shard a job belongs to. */
  readonly nodeCount: number
  readonly store: StoreClient
  readonly cloud: CloudClient
  /** For requests to workers' own addresses. */
  readonly httpClient: HttpClient["Service"]
  /** Requests with commands that are under way from this node, and their limit. */
  readonly commandsInFlight: InFlightLimit
  /** Sends commands to workers, directly or through the node that a worker sends its heartbeats to. */
  readonly commandForwarder: CommandForwarder
  /** The node's lease, the shards' owners, and the replica of the store. */
  readonly membership: Membership
  /** The cloud's catalog, offers and list of machines; the list lags. */
  readonly inventory: CloudInventory
  /** All shards' machines, as the replica shows them. */
  readonly machineIndex: MachineIndex
  /** Learned run times, shared by the node's shards. */
  readonly estimates: RunTimeEstimates
  readonly clocks: Clocks
  readonly log: Log
  /** A request id that no rental request had before: the cloud's idempotency key. */
  readonly nextRentalRequestId: () => RentalRequestId
  /** The demand of all shards but `except`, as last published; may be out of date. */
  readonly demandOfOthers: (except: ShardName) => ShardDemand
  /** Publishes a shard's demand to the other shards, on this node and on others. */
  readonly publishDemand: (shard: ShardName, demand: ShardDemand) => void
  /**
   * Hands a machine off to its new owner before the watch shows the move; null: nothing is known of its worker.
   * May be lost or late: it is unverified state, good for sending commands and no proof of anything.
   */
  readonly handOff: (to: ShardName, id: MachineId, handoff: MachineHandoff | null) => void
  /** All shards' jobs, as the replica shows them. */
  readonly jobIndex: JobIndex
  /** These jobs are over, durably. */
  readonly jobsEnded: (ends: ReadonlyArray<JobEnd>) => void
  /** Rewrites a page of the job store without the jobs that are over. */
  readonly foldJobs: (page: StoreKey<JobPage>) => Effect.Effect<void, StoreError>
  /**
   * Runs an effect in a fiber that the node owns: it outlives the shard, nothing interrupts it, and its failure is
   * logged. So it must end by itself, by time limits, and check before it acts that the shard isn't lost.
   */
  readonly fork: (effect: Effect.Effect<unknown>) => void
}

/** What the owner knows of a machine beside its worker's session; not stored, so lost in a failover. */
export interface MachineAssignment {
  /** The job that the machine is kept for; null: any job's tasks may use it. */
  assignedJob: JobId | null
  /** When it was rented, by this node's monotonic clock. */
  readonly rentedAt: MonotonicTime
  /** Since when this owner knows it: a machine long rented may have been heard by the former owner alone. */
  readonly knownSince: MonotonicTime
  /** Its deletion was decided; there is no way back. */
  releasing: boolean
  /** An on-demand machine that takes no new tasks and is released when it is empty. */
  closing: boolean
  /** Its move to another shard is being written. */
  moving: boolean
}

/** A shard's state as others read it: enough to plan from. */
export interface ShardView {
  readonly name: ShardName
  readonly node: NodeContext
  /** Jobs that aren't over. */
  readonly jobs: ReadonlyMap<JobId, JobState>
  /** The shard's recorded machines, up or not. */
  readonly machines: ReadonlyMap<MachineId, WorkerSession>
  /** One for each of `machines`. */
  readonly assignments: ReadonlyMap<MachineId, MachineAssignment>
  /** Rentals that are decided and whose machines aren't recorded yet. */
  readonly pendingRentals: ReadonlyMap<RentalRequestId, PlannedRental>
  readonly failures: FailureTracker
}
