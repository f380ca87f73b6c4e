import type { CloudClient } from "@sorreltally/cloud"
import type { InFlight } from "@sorreltally/concurrency"
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

/** What a part's engine shares with the rest of its node. */
export interface NodeContext {
  readonly platform: Platform
  readonly operators: Operators
  readonly nodes: number
  readonly store: StoreClient
  readonly cloud: CloudClient
  readonly httpClient: HttpClient["Service"]
  /** Commands to workers under way from this node. */
  readonly commandsInFlight: InFlight
  /** Sends them, or has them sent by the node that a worker reports to. */
  readonly commandForwarder: CommandForwarder
  readonly membership: Membership
  readonly inventory: CloudInventory
  readonly machineIndex: MachineIndex
  readonly estimates: RunTimeEstimates
  readonly clocks: Clocks
  readonly log: Log
  readonly nextRentalRequestId: () => RentalRequestId
  /** What other parts lack, as far as we have heard. */
  readonly demandRegistry: (except: ShardName) => ShardDemand
  readonly publish: (shard: ShardName, demandOfOthers: ShardDemand) => void
  /** Tells a machine's new owner of it before the watch does. */
  readonly handOff: (to: ShardName, id: MachineId, by: MachineHandoff | null) => void
  readonly jobIndex: JobIndex
  /** These jobs are over, durably. */
  readonly ended: (ends: ReadonlyArray<JobEnd>) => void
  /** Writes a page of the job table anew without the jobs that are over. */
  readonly foldJobs: (page: StoreKey<JobPage>) => Effect.Effect<void, StoreError>
  /** Runs an effect beside the engine's loops, for as long as the engine lives. */
  readonly fork: (effect: Effect.Effect<unknown>) => void
}

/** What the owner keeps of a machine beside its worker's session. */
export interface MachineAssignment {
  assignedJob: JobId | null
  /** When it was rented, by our clock. */
  readonly rentedAt: MonotonicTime
  readonly knownSince: MonotonicTime
  returning: boolean
  /** A steady machine that finishes what it has and is then given back. */
  closing: boolean
  /** On its way to another part. */
  moving: boolean
}

/** What there is of a part to look at: enough to plan from. */
export interface ShardView {
  readonly name: ShardName
  readonly node: NodeContext
  readonly jobs: ReadonlyMap<JobId, JobState>
  readonly machines: ReadonlyMap<MachineId, WorkerSession>
  readonly assignments: ReadonlyMap<MachineId, MachineAssignment>
  readonly pendingRentals: ReadonlyMap<RentalRequestId, PlannedRental>
  readonly failures: FailureTracker
}
