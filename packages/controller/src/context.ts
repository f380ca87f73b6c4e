import type { CloudClient } from "@sorreltally/cloud"
import type { JobState } from "@sorreltally/jobs"
import type { Membership } from "@sorreltally/membership"
import type { PlannedHire, Wants } from "@sorreltally/planner"
import type { Operators, Platform } from "@sorreltally/settings"
import type { StateClient, StateTrouble } from "@sorreltally/state"
import type {
  Exchange,
  HireName,
  JobId,
  Log,
  MachineId,
  Moment,
  PartName,
  Timekeeper,
} from "@sorreltally/wire"
import type { Introduction, WorkerSession } from "@sorreltally/workers"
import type { Effect } from "effect"
import type { FleetBook } from "./book.ts"
import type { CommandRelay } from "./command-relay.ts"
import type { Estimates } from "./estimates.ts"
import type { Failures } from "./failures.ts"
import type { Fleet } from "./fleet.ts"
import type { InFlight } from "./in-flight.ts"
import type { JobBook } from "./job-book.ts"
import type { JobEnd } from "./job-ends.ts"

/** What a part's engine shares with the rest of its node. */
export interface EngineContext {
  readonly platform: Platform
  readonly operators: Operators
  readonly nodes: number
  readonly state: StateClient
  readonly cloud: CloudClient
  readonly exchange: Exchange["Service"]
  /** Commands to workers under way from this node. */
  readonly commands: InFlight
  /** Sends them, or has them sent by the node that a worker reports to. */
  readonly commandRelay: CommandRelay
  readonly membership: Membership
  readonly fleet: Fleet
  readonly book: FleetBook
  readonly estimates: Estimates
  readonly time: Timekeeper
  readonly log: Log
  readonly nextHire: () => HireName
  /** What other parts lack, as far as we have heard. */
  readonly wants: (except: PartName) => Wants
  readonly publish: (part: PartName, wants: Wants) => void
  /** Tells a machine's new owner of it before the watch does. */
  readonly introduce: (to: PartName, id: MachineId, by: Introduction | null) => void
  readonly jobBook: JobBook
  /** These jobs are over, durably. */
  readonly ended: (ends: ReadonlyArray<JobEnd>) => void
  /** Writes a page of the job table anew without the jobs that are over. */
  readonly foldJobs: (page: string) => Effect.Effect<void, StateTrouble>
  /** Runs an effect beside the engine's loops, for as long as the engine lives. */
  readonly fork: (effect: Effect.Effect<unknown>) => void
}

/** What the owner keeps of a machine beside its worker's session. */
export interface Tenancy {
  holder: JobId | null
  /** When it was rented, by our clock. */
  readonly rentedAt: Moment
  readonly knownSince: Moment
  returning: boolean
  /** A steady machine that finishes what it has and is then given back. */
  closing: boolean
  /** On its way to another part. */
  moving: boolean
}

/** What there is of a part to look at: enough to plan from. */
export interface PartView {
  readonly part: PartName
  readonly ctx: EngineContext
  readonly jobs: ReadonlyMap<JobId, JobState>
  readonly machines: ReadonlyMap<MachineId, WorkerSession>
  readonly tenancies: ReadonlyMap<MachineId, Tenancy>
  readonly hiring: ReadonlyMap<HireName, PlannedHire>
  readonly failures: Failures
}
