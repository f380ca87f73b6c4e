import type {
  ImageName,
  JobId,
  JobSpec,
  MachineId,
  MachineType,
  TeamName,
  ZoneName,
} from "@sorreltally/protocol"

/** The images that a machine has; a set, or anything else that can tell. */
export interface Images {
  readonly has: (image: ImageName) => boolean
}

export interface Capacity {
  readonly cores: number
  readonly accelerators: number
  readonly memGb: number
}

/** What of a job decides where its tasks fit. */
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
export const shapeOf = (spec: JobSpec): TaskShape => ({
  cores: spec.cores,
  accelerators: spec.accelerators,
  memGb: spec.memGb,
  machineTypes: spec.machineTypes ?? null,
  zone: spec.zone ?? null,
  spotAllowed: spec.spotAllowed,
  singleZone: spec.singleZone,
  spreadZones: spec.spreadZones,
  image: spec.image,
})

/** A machine as the planner sees it; `free` counts every task that isn't surely off it. */
export interface MachineView {
  readonly id: MachineId
  readonly type: MachineType
  readonly zone: ZoneName
  readonly spot: boolean
  readonly free: Capacity
  readonly busyTasks: number
  readonly images: Images
  /** It has room, beside images of the reserve. */
  readonly reserved: boolean
  /**
   * `ready`: can take tasks now; `booting`: rented, and its boot isn't overdue yet; `draining`:
   * runs what it has and takes nothing new; `unavailable`: none of these.
   */
  readonly state: "ready" | "booting" | "draining" | "unavailable"
  /** The job that it was rented for or given to; null: in the pool. */
  readonly assignedJob: JobId | null
}

export interface JobView {
  readonly id: JobId
  readonly spec: JobSpec
  readonly rank: number
  readonly queued: number
  readonly running: number
  /** Uncleared tasks by zone. */
  readonly zones: ReadonlyMap<ZoneName, number>
  /** Seconds until the next time by which it should be done and still can be; null: no deadline. */
  readonly timeLeftS: number | null
  readonly ageS: number
  /** Time of day of its submission, by the accepting node's clock, in ms: the same on every node. */
  readonly submitted: number
  /** Current estimate of a task's run time. */
  readonly executionS: number
  /** Seconds within which a queued task should start, by the next of the aims that still can be met; null: none stated. */
  readonly startWithinS: number | null
  /** No task of it ever began. */
  readonly unbegun: boolean
  readonly withinGuarantee: boolean
  readonly mayStart: boolean
  /** Machines on which one of its tasks failed lately. */
  readonly avoids: ReadonlySet<MachineId>
}

/** What a team may still start, in this part. */
export interface QuotaHeadroom {
  cores: number
  accelerators: number
}

export interface Offer {
  readonly type: MachineType
  readonly zone: ZoneName
  readonly spot: boolean
  readonly price: number
  /** A request for this kind is under way: its answer is awaited before asking for more, or for dearer ones. */
  readonly asked: boolean
  /** Machines of ours in this zone; room is spread, so that one zone going dark leaves the others. */
  readonly ours: number
}

/**
 * Room kept free of work below a rank, for jobs that have to start sooner than
 * a machine boots. It is worth something only where their images are.
 */
export interface Reserve {
  readonly rank: number
  readonly cores: number
  readonly images: ReadonlySet<ImageName>
}
export const isReserved = (free: Capacity, images: Images, reserve: Reserve): boolean => {
  if (free.cores <= EPSILON) return false
  for (const image of reserve.images) if (images.has(image)) return true
  return false
}
/** Cores that work of lower rank may still take on machines with the reserve's images. */
export const spareCores = (machines: Iterable<MachineView>, reserve: Reserve): number => {
  let spare = -reserve.cores
  for (const { state, reserved, free } of machines) if (state === "ready" && reserved) spare += free.cores
  return spare
}

/** What there is to do the work with: cores, and those of the running tasks by the second in which they end. */
export interface ClusterLoad {
  readonly cores: number
  readonly ending: ReadonlyArray<number>
}

export interface Snapshot {
  readonly reserve: Reserve
  /** Other parts lack machines, and can borrow empty ones. */
  readonly otherShardsWait: boolean
  readonly types: ReadonlyArray<MachineType>
  readonly load: () => ClusterLoad
  readonly jobs: ReadonlyArray<JobView>
  readonly machines: ReadonlyArray<MachineView>
  readonly teams: ReadonlyMap<TeamName, QuotaHeadroom>
  /** What the teams' limits leave this part, whether its shares cover it yet or not: machines are rented by that. */
  readonly limits: ReadonlyMap<TeamName, QuotaHeadroom>
  /** Kinds of machine that can be asked for now, those refused lately left out. */
  readonly market: ReadonlyArray<Offer>
  /** Machines that one rental can ask for. */
  readonly rentalSize: number
  readonly deploymentS: number
  /** A steady machine that makes the same work dearer than this many times the cheapest kind isn't asked for. */
  readonly maxOnDemandCostRatio: number
}

export interface PlannedPlacement {
  readonly job: JobId
  readonly machine: MachineId
}
export interface PlannedRental {
  readonly offer: Offer
  readonly count: number
  readonly assignedJob: JobId | null
}
export interface Unplaced {
  readonly job: JobView
  /** Those that the team's limit leaves room for beside the jobs before. */
  readonly tasks: number
  /** Those of them that could start at once if there were room. */
  readonly startable: number
  /** Those of them that start too late for an aim or the deadline unless room is made. */
  readonly urgent: number
}
export interface Plan {
  readonly placements: ReadonlyArray<PlannedPlacement>
  readonly rentals: ReadonlyArray<PlannedRental>
  /** Machines whose holder changes; null: to the pool. */
  readonly assignedJobs: ReadonlyMap<MachineId, JobId | null>
  /** Some work needs machines that spot can't give: steady ones that we have are kept in use. */
  readonly onDemandNeeded: boolean
  /** Queued tasks for which no machine of ours that is up has room, most urgent job first. */
  readonly unplaced: ReadonlyArray<Unplaced>
  /** What the plan counts on of each team's limit beyond what is used: placed, expected on machines, or rented for. */
  readonly claims: ReadonlyMap<TeamName, QuotaHeadroom>
  /** Cores on machines that are up for which our queued tasks have no use because of their teams' limits. */
  readonly unusedCores: number
  /** Jobs of which the teams' limits let some queued tasks neither start nor rent. */
  readonly quotaLimited: ReadonlySet<JobId>
  /** Machines that are up, empty and of use to no queued task: none fits, or the teams' limits let none start. */
  readonly idle: ReadonlySet<MachineId>
}

export const EPSILON = 1e-6
export const fits = (spec: Pick<TaskShape, keyof Capacity>, room: Capacity): boolean =>
  spec.cores <= room.cores + EPSILON &&
  spec.accelerators <= room.accelerators + EPSILON &&
  spec.memGb <= room.memGb + EPSILON

export const minus = (room: Capacity, spec: JobSpec, times = 1): Capacity => ({
  cores: room.cores - spec.cores * times,
  accelerators: room.accelerators - spec.accelerators * times,
  memGb: room.memGb - spec.memGb * times,
})

/** How many tasks of a job a room holds. */
export const slotsIn = (spec: Pick<TaskShape, keyof Capacity>, room: Capacity): number => {
  const per = (need: number, has: number) => (need <= 0 ? Number.POSITIVE_INFINITY : (has + EPSILON) / need)
  const slots = Math.min(
    per(spec.cores, room.cores),
    per(spec.accelerators, room.accelerators),
    per(spec.memGb, room.memGb),
  )
  return Math.max(0, Math.floor(slots))
}

/** May the job ever run on this kind of machine? */
export const allowed = (
  spec: TaskShape,
  kind: { readonly type: MachineType; readonly zone: ZoneName; readonly spot: boolean },
): boolean =>
  (!kind.spot || spec.spotAllowed) &&
  (spec.machineTypes == null || spec.machineTypes.includes(kind.type.name)) &&
  (spec.zone == null || spec.zone === kind.zone) &&
  fits(spec, kind.type)

/** How many more tasks of a job may be put into a zone, given where its others may be. */
export const zoneAllowance = (
  spec: JobSpec,
  zones: ReadonlyMap<ZoneName, number>,
  zone: ZoneName,
): number => {
  if (spec.singleZone) {
    for (const [other, count] of zones) if (count > 0 && other !== zone) return 0
  }
  if (spec.spreadZones) return Math.ceil(spec.taskCount / 2) - (zones.get(zone) ?? 0)
  return Number.POSITIVE_INFINITY
}
