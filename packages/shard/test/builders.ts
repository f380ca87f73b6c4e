/** Builders of machines, demands, jobs and shard views for the planning tests. */
import { FailureTracker, JobState } from "@sorreltally/jobs"
import type { MachineDemand, MachineView } from "@sorreltally/planner"
import type {
  JobId,
  JobSpec,
  MachineId,
  MachineType,
  ModRevision,
  TeamName,
  ZoneName,
} from "@sorreltally/protocol"
import type { Team } from "@sorreltally/settings"
import { type JobRecord, keys } from "@sorreltally/store"
import type { ShardView } from "../src/shard-context.ts"

/** Wall-clock time of the shard. */
const NOW_MS = 1_000_000

const machineType = { name: "m", cores: 8, accelerators: 0, memGb: 32 } as unknown as MachineType

/** A ready spot machine with 8 cores, two of which each of its tasks uses. */
export const machine = (id: string, busyTasks: number): MachineView => ({
  id: id as MachineId,
  type: machineType,
  zone: "a" as ZoneName,
  spot: true,
  free: { cores: 8 - 2 * busyTasks, accelerators: 0, memGb: 32 },
  busyTasks,
  images: new Set(),
  reserved: false,
  state: "ready",
  assignedJob: null,
})

/** Another shard's demand for four tasks of two cores. */
export const machineDemand = (shard: string, rank: number): MachineDemand =>
  ({
    shard,
    rank,
    tasks: 4,
    urgentTasks: 0,
    since: 0,
    shape: { cores: 2, accelerators: 0, memGb: 1, spotAllowed: true },
  }) as unknown as MachineDemand

export const teamName = "red" as TeamName

/** A team with a limit of 320 cores, 50 of them guaranteed. */
export const team = { name: teamName, cpus: 50, maxCpus: 320, gpus: 0, maxGpus: 0 } as unknown as Team

/** A job of the team with 40 tasks, all queued, submitted `ageS` seconds ago. */
export const job = (number: number, ageS: number, overrides: Partial<JobSpec> = {}): JobState => {
  const id = `run-${String(number).padStart(6, "0")}` as JobId
  const spec = {
    id,
    taskCount: 40,
    cores: 4,
    accelerators: 0,
    memGb: 1,
    team: teamName,
    priority: "standard",
    ...overrides,
  }
  const record = { spec, submittedAt: NOW_MS - ageS * 1000, cancelled: false } as unknown as JobRecord
  return new JobState(id, record, keys.jobPage(0, 0), 1 as ModRevision)
}

/** The parts of a shard's view that quota demands are computed from. */
export const shardWith = (...jobs: ReadonlyArray<JobState>): ShardView =>
  ({
    name: "part-0",
    jobs: new Map(jobs.map((j) => [j.id, j])),
    failures: new FailureTracker(),
    node: {
      clocks: { wallNow: () => NOW_MS, monotonicNow: () => 0 },
      platform: { deployment: { teams: [team] } },
    },
  }) as unknown as ShardView
