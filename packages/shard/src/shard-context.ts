/** Context of the modules of a shard: the node's services and a read-only view of the shard's state. */
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

/** Services and state of the node that its shard controllers use. */
export interface NodeContext {
  /** Platform settings: deployment, addresses, name and zone of this node. */
  readonly platform: Platform
  /** Operators' settings, with defaults applied. */
  readonly operators: Operators
  /** Number of controller nodes of the deployment, up or not; it determines which shard a job belongs to. */
  readonly nodeCount: number
  readonly store: StoreClient
  readonly cloud: CloudClient
  /** Client for requests to workers at their own addresses. */
  readonly httpClient: HttpClient["Service"]
  /** Counter of this node's command requests in flight, with their limit. */
  readonly commandsInFlight: InFlightLimit
  /** Sends commands to a worker, directly or through the node that receives the worker's heartbeats. */
  readonly commandForwarder: CommandForwarder
  /** Node lease, owners of the shards, and replica of the store. */
  readonly membership: Membership
  /** The cloud's catalog, offers and machine list; the list lags behind. */
  readonly inventory: CloudInventory
  /** Machines of all shards, according to the replica. */
  readonly machineIndex: MachineIndex
  /** Run-time estimates, shared by the shards of this node. */
  readonly estimates: RunTimeEstimates
  readonly clocks: Clocks
  readonly log: Log
  /** Returns an unused id for a rental request; the cloud uses it as idempotency key. */
  readonly nextRentalRequestId: () => RentalRequestId
  /** Returns the latest published demand of all shards except `except`; it may be out of date. */
  readonly demandOfOtherShards: (except: ShardName) => ShardDemand
  /** Publishes a shard's demand to the other shards, on this node and on others. */
  readonly publishDemand: (shard: ShardName, demand: ShardDemand) => void
  /**
   * Hands a machine off to its new owner before the watch delivers the move; `handoff` is null when the state
   * of its worker is unknown. A hand-off may be lost or late: it is unverified state, sufficient for sending
   * commands but no proof.
   */
  readonly handOff: (to: ShardName, id: MachineId, handoff: MachineHandoff | null) => void
  /** Jobs of all shards, according to the replica. */
  readonly jobIndex: JobIndex
  /** Called after the final states of these jobs became durable. */
  readonly onJobsEnded: (ends: ReadonlyArray<JobEnd>) => void
  /** Rewrites a job page without the jobs that have ended. */
  readonly compactJobPage: (page: StoreKey<JobPage>) => Effect.Effect<void, StoreError>
  /**
   * Runs an effect in a fiber that the node owns: it outlives the shard, is never interrupted, and its
   * failure is logged. The effect must therefore end by its own time-outs, and check before it acts that the
   * node has not lost the shard.
   */
  readonly fork: (effect: Effect.Effect<unknown>) => void
}

/** Owner's state of a machine besides the worker session; it isn't stored and is lost in a failover. */
export interface MachineAssignment {
  /** Job that the machine is reserved for; null when tasks of any job may use it. */
  assignedJob: JobId | null
  /** When the machine was rented, by this node's monotonic clock. */
  readonly rentedAt: MonotonicTime
  /**
   * When this owner added the machine. It differs from `rentedAt`: a machine rented long ago may have sent
   * its heartbeats only to the former owner.
   */
  readonly ownedSince: MonotonicTime
  /** Whether its deletion was decided; this is irrevocable. */
  isReleasing: boolean
  /** Whether it is an on-demand machine that takes no new tasks and is released once it is empty. */
  isDrainingForRelease: boolean
  /** Whether its move to another shard is being written. */
  isMoving: boolean
}

/** Read-only view of a shard's state, sufficient for planning. */
export interface ShardView {
  readonly name: ShardName
  readonly node: NodeContext
  /** Jobs that have not ended. */
  readonly jobs: ReadonlyMap<JobId, JobState>
  /** Recorded machines of the shard, up or not. */
  readonly machines: ReadonlyMap<MachineId, WorkerSession>
  /** One assignment for each entry of `machines`. */
  readonly assignments: ReadonlyMap<MachineId, MachineAssignment>
  /** Planned rentals whose machines are not recorded yet. */
  readonly pendingRentals: ReadonlyMap<RentalRequestId, PlannedRental>
  readonly failures: FailureTracker
}
