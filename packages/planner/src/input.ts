/**
 * What a plan is made from: the jobs, machines, quota and market of one shard as they stand at one
 * moment. Plain data: the planner does no I/O and reads no clock, so equal snapshots give equal plans.
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

/** The images cached on a machine: a set, or anything else that can be asked. */
export interface Images {
  readonly has: (image: ImageName) => boolean
}

/** Resources of a machine, or what is free of them; all three of one task have to fit at once. */
export interface Capacity {
  readonly cores: number
  readonly accelerators: number
  readonly memGb: number
}

/** What of a job specification decides where its tasks fit. */
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

/** What of a machine decides whether a job may run there at all. */
export interface MachineKind {
  readonly type: MachineType
  readonly zone: ZoneName
  readonly spot: boolean
}

/** A machine as the planner sees it. */
export interface MachineView extends MachineKind {
  readonly id: MachineId
  /** Counts every task as present that isn't surely off the machine. */
  readonly free: Capacity
  /** Tasks placed there and not yet cleared. */
  readonly busyTasks: number
  readonly images: Images
  /** It has free capacity beside cached images of the reserve. */
  readonly reserved: boolean
  /**
   * `ready`: can take tasks now; `booting`: rented, and its boot isn't overdue yet; `draining`:
   * runs what it has and takes nothing new; `unavailable`: none of these.
   */
  readonly state: "ready" | "booting" | "draining" | "unavailable"
  /** The job that it was rented for or assigned to; null: in the pool. */
  readonly assignedJob: JobId | null
}

/** A job that isn't over, as the planner sees it. */
export interface JobView {
  readonly id: JobId
  readonly spec: JobSpec
  /** Higher ranks go first. */
  readonly rank: number
  /** Tasks that may be placed now. */
  readonly queued: number
  /** Tasks that are placed and aren't being stopped. */
  readonly running: number
  /** Uncleared tasks by zone. */
  readonly tasksByZone: ReadonlyMap<ZoneName, number>
  /** Seconds until the next time by which it should be done and still can be; null: no deadline. */
  readonly timeLeftS: number | null
  /** Seconds since its submission. */
  readonly ageS: number
  /** Time of day of its submission, by the accepting node's clock, in ms: the same on every node. */
  readonly submitted: number
  /** Current estimate of a task's run time, in seconds. */
  readonly executionS: number
  /**
   * Seconds after submission within which a queued task should start, by the next of the
   * objectives that can still be met; null: none stated.
   */
  readonly startWithinS: number | null
  /** No task of it ever began. */
  readonly notStarted: boolean
  /** What its team has queued up to it lies within the team's guaranteed cores. */
  readonly withinGuarantee: boolean
  /** False until the time before which it mustn't start. */
  readonly mayStart: boolean
  /** Machines on which one of its tasks failed lately. */
  readonly avoidedMachines: ReadonlySet<MachineId>
}

/** What a team may still use of its limit, in this shard; memory isn't limited by team. */
export interface QuotaHeadroom {
  cores: number
  accelerators: number
}

/** A kind of machine on the market. */
export interface Offer extends MachineKind {
  /** Of one machine for an hour. */
  readonly price: number
  /** A request for this kind is under way: its answer is awaited before asking for more, or for dearer ones. */
  readonly hasPendingRequest: boolean
  /** Machines of ours in this zone; they are spread, so that one zone going dark leaves the others. */
  readonly machinesInZone: number
}

/**
 * Capacity kept free of work below a rank, for jobs that have to start sooner than
 * a machine boots. It is worth something only where their images are cached.
 */
export interface Reserve {
  readonly rank: number
  readonly cores: number
  readonly images: ReadonlySet<ImageName>
}

/** What there is to do the work with. */
export interface ShardLoad {
  /** Of all machines. */
  readonly cores: number
  /** Cores of running tasks by the second from now in which they probably end. */
  readonly endingCoresBySecond: ReadonlyArray<number>
}

/**
 * All that a plan is made from. A plan takes what it places from `teams`; all
 * else stays as it is.
 */
export interface Snapshot {
  readonly reserve: Reserve
  /** Other shards lack machines, and can borrow empty ones. */
  readonly otherShardsWait: boolean
  readonly machineTypes: ReadonlyArray<MachineType>
  readonly load: () => ShardLoad
  readonly jobs: ReadonlyArray<JobView>
  readonly machines: ReadonlyArray<MachineView>
  /** What the teams may start tasks for at once: within this shard's quota allocations. */
  readonly allocationHeadroom: ReadonlyMap<TeamName, QuotaHeadroom>
  /**
   * What the teams' limits leave this shard, whether its allocations cover it yet or not:
   * machines are rented by that.
   */
  readonly limitHeadroom: ReadonlyMap<TeamName, QuotaHeadroom>
  /** Kinds of machine that can be asked for now, those refused lately left out. */
  readonly offers: ReadonlyArray<Offer>
  /** Machines that one rental can ask for. */
  readonly maxMachinesPerRental: number
  /** The paper's deployment time: seconds from asking for a machine until it takes tasks. */
  readonly deploymentS: number
  /** An on-demand machine that makes the same work dearer than this many times the cheapest kind isn't asked for. */
  readonly maxOnDemandCostRatio: number
}
