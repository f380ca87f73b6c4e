/** Builders of jobs, machines and snapshots with plain defaults, which tests override as needed. */
import type {
  ImageName,
  JobId,
  JobSpec,
  MachineId,
  MachineType,
  TeamName,
  ZoneName,
} from "@sorreltally/protocol"
import type { JobView, MachineView, QuotaHeadroom, Reserve, Snapshot } from "../src/input.ts"

export const zone = (name: string): ZoneName => name as ZoneName

/** 16 cores, no accelerators; spot costs a quarter of on-demand. */
export const machineType = {
  name: "m",
  cores: 16,
  accelerators: 0,
  memGb: 64,
  imagePullGbPerS: 1,
  bootS: 40,
  onDemandPrice: 4,
  spotPrice: 1,
} as unknown as MachineType

/** A specification of team red with four cores per task. */
export const spec = {
  cores: 4,
  accelerators: 0,
  memGb: 1,
  taskCount: 40,
  team: "red",
  jobClass: "bulk",
  spotAllowed: true,
  imageGb: 1,
  image: "img",
} as unknown as JobSpec

/** An empty, ready spot machine; `images` are the names of its cached images. */
export const machine = (
  id: string,
  {
    images = [],
    ...overrides
  }: Partial<Omit<MachineView, "images">> & { readonly images?: ReadonlyArray<string> } = {},
): MachineView => ({
  id: id as MachineId,
  type: machineType,
  zone: zone("a"),
  spot: true,
  free: machineType,
  busyTasks: 0,
  images: new Set(images as ReadonlyArray<ImageName>),
  reserved: false,
  state: "ready",
  assignedJob: null,
  ...overrides,
})

export const jobId = (number: number): JobId => `run-${String(number).padStart(6, "0")}` as JobId

/** A job without a deadline, just submitted, with all of its 40 tasks queued. */
export const job = (id: JobId, overrides: Partial<JobView> = {}): JobView => ({
  id,
  spec,
  rank: 1,
  queued: 40,
  running: 0,
  tasksByZone: new Map(),
  timeLeftS: null,
  ageS: 0,
  submitted: 0,
  executionS: 10,
  startWithinS: null,
  notStarted: true,
  withinGuarantee: false,
  mayStart: true,
  avoidedMachines: new Set(),
  ...overrides,
})

export const noReserve: Reserve = { rank: 0, cores: 0, images: new Set() }

/** Headroom of each team, from its number of cores. */
export const headroom = (cores: Readonly<Record<string, number>>): Map<TeamName, QuotaHeadroom> =>
  new Map(
    Object.entries(cores).map(([team, coreCount]) => [
      team as TeamName,
      { cores: coreCount, accelerators: 0 },
    ]),
  )

/** A snapshot without running tasks, demand of other shards, or rental offers. */
export const snapshot = (
  jobs: ReadonlyArray<JobView>,
  machines: ReadonlyArray<MachineView>,
  overrides: Partial<Snapshot> = {},
): Snapshot => ({
  jobs,
  machines,
  reserve: noReserve,
  otherShardsLackMachines: false,
  machineTypes: [machineType],
  load: () => ({ cores: 0, endingCoresBySecond: [] }),
  allocationHeadroom: headroom({ red: 100 }),
  limitHeadroom: headroom({ red: 100 }),
  offers: [],
  maxMachinesPerRental: 50,
  deploymentS: 40,
  maxOnDemandCostRatio: 6,
  ...overrides,
})
