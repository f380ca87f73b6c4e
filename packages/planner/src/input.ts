/**
 * Input of a plan: the jobs, machines, quota and rental offers of one shard at one moment. Plain data:
 * the planner does no I/O and reads no clock, so equal snapshots give equal plans.
 */
import type {
  ImageName,
  JobId,
  JobSpec,
  MachineId,
  MachineType,
  TeamName,
  ZoneName,
} from "@sorreltally/protocol"

/** Images cached on a machine: a set or any other object with a membership test. */
export interface Images {
  readonly has: (image: ImageName) => boolean
}

/** Total or free resources of a machine. A task fits only if all three of its resources do. */
export interface Capacity {
  readonly cores: number
  readonly accelerators: number
  readonly memGb: number
}

/** Part of a job specification that decides on which machines its tasks may run. */
export type TaskShape = Pick<
  JobSpec,
  | "cores"
  | "accelerators"
  | "memGb"
  | "machineTypes"
  | "zone"
  | "spotAllowed"
  | "singleZone"
  | "spreadZones"
  | "image"
>

/** Properties of a machine that decide whether a job may run on it at all. */
export interface MachineKind {
  readonly type: MachineType
  readonly zone: ZoneName
  readonly spot: boolean
}

/** State of a machine, as input of a plan. */
export interface MachineView extends MachineKind {
  readonly id: MachineId
  /** Free capacity. Every task that isn't confirmed to be off the machine counts as present. */
  readonly free: Capacity
  /** Number of tasks placed there and not yet cleared. */
  readonly busyTasks: number
  readonly images: Images
  /** Whether it has free capacity and a cached image of the reserve. */
  readonly reserved: boolean
  /**
   * `ready`: accepts tasks now; `booting`: rented, and its boot isn't overdue yet; `draining`:
   * finishes its tasks and accepts no new ones; `unavailable`: none of these.
   */
  readonly state: "ready" | "booting" | "draining" | "unavailable"
  /** Job for which it was rented or to which it is assigned; null: in the shared pool. */
  readonly assignedJob: JobId | null
}

/** State of an unfinished job, as input of a plan. */
export interface JobView {
  readonly id: JobId
  readonly spec: JobSpec
  /** Jobs of higher rank have precedence. */
  readonly rank: number
  /** Number of tasks that may be placed now. */
  readonly queued: number
  /** Number of tasks that are placed and not being stopped. */
  readonly running: number
  /** Number of uncleared tasks by zone. */
  readonly tasksByZone: ReadonlyMap<ZoneName, number>
  /** Seconds until the next completion target that can still be met; null: no deadline. */
  readonly timeLeftS: number | null
  /** Seconds since its submission. */
  readonly ageS: number
  /** Wall-clock time of its submission in ms, as recorded by the accepting node: the same on every node. */
  readonly submitted: number
  /** Current estimate of a task's run time, in seconds. */
  readonly executionS: number
  /**
   * Seconds after submission within which a queued task should start, from the earliest objective that
   * can still be met; null: no objective.
   */
  readonly startWithinS: number | null
  /** Whether none of its tasks has ever started. */
  readonly notStarted: boolean
  /** Whether its team's demand, up to and including this job, lies within the team's guaranteed cores. */
  readonly withinGuarantee: boolean
  /** False while a retry delay keeps its tasks from starting. */
  readonly mayStart: boolean
  /** Machines on which one of its tasks failed recently. */
  readonly avoidedMachines: ReadonlySet<MachineId>
}

/** Remaining quota of a team in this shard. Memory isn't limited by team. */
export interface QuotaHeadroom {
  cores: number
  accelerators: number
}

/** A kind of machine that the cloud offers for rent. */
export interface Offer extends MachineKind {
  /** Price of one machine per hour. */
  readonly price: number
  /**
   * Whether a rental request for this kind is pending. Its response is awaited before more machines of this
   * kind or of a more expensive one are requested.
   */
  readonly hasPendingRequest: boolean
  /**
   * Number of rented machines in this zone. Rentals are spread over zones, so that the outage of one zone
   * leaves the machines of the others.
   */
  readonly machinesInZone: number
}

/**
 * Capacity kept free of tasks below a rank, for jobs that have to start sooner than
 * a machine boots. It is useful only where their images are cached.
 */
export interface Reserve {
  readonly rank: number
  readonly cores: number
  readonly images: ReadonlySet<ImageName>
}

/** Cores of a shard's machines, and when running tasks release them. */
export interface ShardLoad {
  /** Cores of all machines. */
  readonly cores: number
  /** Cores of running tasks, indexed by the second from now in which they are expected to end. */
  readonly endingCoresBySecond: ReadonlyArray<number>
}

/**
 * Complete input of a plan. Planning subtracts placed tasks from `allocationHeadroom`; everything else
 * is left unchanged.
 */
export interface Snapshot {
  readonly reserve: Reserve
  /** Whether other shards lack machines and could borrow empty ones. */
  readonly otherShardsLackMachines: boolean
  readonly machineTypes: ReadonlyArray<MachineType>
  readonly load: () => ShardLoad
  readonly jobs: ReadonlyArray<JobView>
  readonly machines: ReadonlyArray<MachineView>
  /** Quota for which tasks may start now: the unused part of this shard's quota allocations, by team. */
  readonly allocationHeadroom: ReadonlyMap<TeamName, QuotaHeadroom>
  /**
   * Quota for which machines may be rented: the part of the teams' limits that is left to this shard,
   * whether or not its quota allocations cover it yet.
   */
  readonly limitHeadroom: ReadonlyMap<TeamName, QuotaHeadroom>
  /** Kinds of machine that can be requested now, without those refused recently. */
  readonly offers: ReadonlyArray<Offer>
  /** Maximum number of machines in one rental request. */
  readonly maxMachinesPerRental: number
  /** Seconds from requesting a machine until it accepts tasks (the paper's deployment time). */
  readonly deploymentS: number
  /**
   * On-demand machines whose cost for the same work exceeds the cheapest kind's by more than this factor
   * aren't rented.
   */
  readonly maxOnDemandCostRatio: number
}
