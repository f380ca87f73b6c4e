/** Jobs, machines and snapshots as the planner's tests need them: plain ones, each changed where a test says so. */
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
export const type = {
  name: "m",
  cores: 16,
  accelerators: 0,
  memGb: 64,
  imagePullGbPerS: 1,
  bootS: 40,
  onDemandPrice: 4,
  spotPrice: 1,
} as unknown as MachineType

/** Four cores a task, of team red. */
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

/** An empty spot machine that is ready; `images`: those cached on it. */
export const machine = (
  id: string,
  {
    images = [],
    ...more
  }: Partial<Omit<MachineView, "images">> & { readonly images?: ReadonlyArray<string> } = {},
): MachineView => ({
  id: id as MachineId,
  type,
  zone: zone("a"),
  spot: true,
  free: type,
  busyTasks: 0,
  images: new Set(images as ReadonlyArray<ImageName>),
  reserved: false,
  state: "ready",
  assignedJob: null,
  ...more,
})

export const jobId = (number: number): JobId => `run-${String(number).padStart(6, "0")}` as JobId

/** A job submitted just now, all of its 40 tasks queued, without a deadline. */
export const job = (id: JobId, more: Partial<JobView> = {}): JobView => ({
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
  ...more,
})

export const noReserve: Reserve = { rank: 0, cores: 0, images: new Set() }

/** Headroom in cores by team. */
export const headroom = (cores: Readonly<Record<string, number>>): Map<TeamName, QuotaHeadroom> =>
  new Map(Object.entries(cores).map(([team, of]) => [team as TeamName, { cores: of, accelerators: 0 }]))

/** Nothing runs, nobody waits elsewhere, and nothing can be rented. */
export const snapshot = (
  jobs: ReadonlyArray<JobView>,
  machines: ReadonlyArray<MachineView>,
  more: Partial<Snapshot> = {},
): Snapshot => ({
  jobs,
  machines,
  reserve: noReserve,
  otherShardsWait: false,
  machineTypes: [type],
  load: () => ({ cores: 0, endingCoresBySecond: [] }),
  allocationHeadroom: headroom({ red: 100 }),
  limitHeadroom: headroom({ red: 100 }),
  offers: [],
  maxMachinesPerRental: 50,
  deploymentS: 40,
  maxOnDemandCostRatio: 6,
  ...more,
})
