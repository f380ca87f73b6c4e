/** Machines, demands, jobs and a shard's view as the tests of planning need them. */
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

/** The time of day that the shard's clock shows, in ms. */
const NOW = 1_000_000

const type = { name: "m", cores: 8, accelerators: 0, memGb: 32 } as unknown as MachineType

/** A ready spot machine of 8 cores, of which each of its tasks takes two. */
export const machine = (id: string, busyTasks: number): MachineView => ({
  id: id as MachineId,
  type,
  zone: "a" as ZoneName,
  spot: true,
  free: { cores: 8 - 2 * busyTasks, accelerators: 0, memGb: 32 },
  busyTasks,
  images: new Set(),
  reserved: false,
  state: "ready",
  assignedJob: null,
})

/** Another shard lacks machines for four tasks of two cores. */
export const machineDemand = (shard: string, rank: number): MachineDemand =>
  ({
    shard,
    rank,
    tasks: 4,
    urgentTasks: 0,
    since: 0,
    shape: { cores: 2, accelerators: 0, memGb: 1, spotAllowed: true },
  }) as unknown as MachineDemand

export const red = "red" as TeamName

/** Of 320 cores at the most, 50 guaranteed. */
export const team = { name: red, cpus: 50, maxCpus: 320, gpus: 0, maxGpus: 0 } as unknown as Team

/** A job of team red, all of its 40 tasks queued, submitted so many seconds ago. */
export const job = (number: number, ageS: number, more: Partial<JobSpec> = {}): JobState => {
  const id = `run-${String(number).padStart(6, "0")}` as JobId
  const spec = {
    id,
    taskCount: 40,
    cores: 4,
    accelerators: 0,
    memGb: 1,
    team: red,
    priority: "standard",
    ...more,
  }
  const record = { spec, submittedAt: NOW - ageS * 1000, cancelled: false } as unknown as JobRecord
  return new JobState(id, record, keys.jobPage(0, 0), 1 as ModRevision)
}

/** As much of a shard as quota is reckoned from. */
export const shardOf = (...jobs: ReadonlyArray<JobState>): ShardView =>
  ({
    name: "part-0",
    jobs: new Map(jobs.map((j) => [j.id, j])),
    failures: new FailureTracker(),
    node: {
      clocks: { wallNow: () => NOW, monotonicNow: () => 0 },
      platform: { deployment: { teams: [team] } },
    },
  }) as unknown as ShardView
