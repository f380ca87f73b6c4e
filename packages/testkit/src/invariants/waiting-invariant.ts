/** The invariant that no job waits while it could start a task. */
import type { WireJob } from "@sorreltally/protocol"
import type { Cloud } from "../services/cloud.ts"
import type { Machine } from "../services/machine.ts"
import type { Simulation } from "../simulation/simulation.ts"
import type { Invariants } from "./invariants.ts"

/** Longest time that a job may wait while it could start a task, counted when no fault is active. */
const MAX_WAIT_MS = 90_000

/** Free cores and memory of a machine. */
interface FreeCapacity {
  readonly machine: Machine
  cores: number
  mem: number
}
/** Free capacity of the machines that can be given tasks, and the tasks on all running machines. */
interface CapacitySnapshot {
  readonly machines: ReadonlyArray<FreeCapacity>
  /** Number of tasks by job and zone. */
  readonly zonesByJob: ReadonlyMap<string, ReadonlyMap<string, number>>
  /** CPUs used by each team. */
  readonly cpusByTeam: ReadonlyMap<string, number>
}
/** A job that could start a task. */
interface WaitingJob {
  /** When the job was first seen to wait. Milliseconds. */
  readonly since: number
  /** Number of task starts of the job at that time. */
  readonly starts: number
}

/**
 * Checks that no job is left waiting while a suitable machine has free capacity and the job's team is under
 * its limit. It reads the state of the simulated cloud only: the running machines that can be given tasks,
 * and the tasks on them.
 */
export class WaitingInvariant {
  private readonly waiting = new Map<string, WaitingJob>()

  constructor(
    private readonly simulation: Simulation,
    private readonly invariants: Invariants,
    private readonly cloud: Cloud,
  ) {}

  /** Checks all jobs; to be called periodically. */
  check(): void {
    if (this.simulation.now <= this.invariants.lastFaultEndsAt) return this.waiting.clear()
    const snapshot = this.takeSnapshot()
    for (const [job, request] of this.invariants.submitted) {
      const zones = snapshot.zonesByJob.get(job) ?? new Map<string, number>()
      const usedCpus = snapshot.cpusByTeam.get(request.owner) ?? 0
      if (this.couldStart(job, request, zones, snapshot.machines, usedCpus)) this.checkWaiting(job)
      else this.waiting.delete(job)
    }
  }
  /** Reports a job that could start a task for longer than `MAX_WAIT_MS` without doing so. */
  private checkWaiting(job: string): void {
    const { now } = this.simulation
    const starts = this.invariants.startsOfJob(job)
    const previous = this.waiting.get(job)
    const isNew = previous === undefined || previous.starts !== starts
    if (!isNew && now <= previous.since + MAX_WAIT_MS) return
    if (!isNew)
      this.invariants.reportViolation(
        "left_waiting",
        `${job}: a suitable machine had free capacity for ${MAX_WAIT_MS / 1000} s`,
      )
    this.waiting.set(job, { since: now, starts })
  }
  /** Computes the free capacity of machines, and the tasks that use the rest. */
  private takeSnapshot(): CapacitySnapshot {
    const machines: Array<FreeCapacity> = []
    const zonesByJob = new Map<string, Map<string, number>>()
    const cpusByTeam = new Map<string, number>()
    for (const machine of this.cloud.machines.values()) {
      if (machine.isPoweredOff || machine.status !== "running") continue
      const free = { machine, cores: machine.type.cores, mem: machine.type.mem_gb }
      for (const { job } of machine.occupants()) {
        const request = this.invariants.submitted.get(job)
        if (request === undefined) continue
        free.cores -= request.cores
        free.mem -= request.mem_gb
        cpusByTeam.set(request.owner, (cpusByTeam.get(request.owner) ?? 0) + request.cores)
        const zones = zonesByJob.get(job) ?? new Map<string, number>()
        zonesByJob.set(job, zones.set(machine.zone, (zones.get(machine.zone) ?? 0) + 1))
      }
      if (!machine.isHung && machine.preemptedAt === null) machines.push(free)
    }
    return { machines, zonesByJob, cpusByTeam }
  }

  private couldStart(
    job: string,
    request: WireJob,
    zones: ReadonlyMap<string, number>,
    machines: ReadonlyArray<FreeCapacity>,
    usedCpus: number,
  ): boolean {
    if (!this.invariants.isActive(job)) return false
    let placed = 0
    for (const count of zones.values()) placed += count
    if (placed + this.invariants.users.finishedTasks(job) >= request.pieces) return false
    if (usedCpus + request.cores > this.invariants.cpuLimitOf(request.owner) + 1e-6) return false
    return machines.some((free) => hasRoomFor(request, zones, free))
  }
}

const hasRoomFor = (
  request: WireJob,
  zones: ReadonlyMap<string, number>,
  { machine, cores, mem }: FreeCapacity,
): boolean => {
  if (cores < request.cores - 1e-6 || mem < request.mem_gb - 1e-6) return false
  if (machine.spot && !request.loaners) return false
  if (request.builds != null && !request.builds.some((build) => build === machine.type.name)) return false
  if (request.site != null && request.site !== machine.zone) return false
  if (request.together && [...zones.keys()].some((zone) => zone !== machine.zone)) return false
  return !request.scatter || (zones.get(machine.zone) ?? 0) < Math.ceil(request.pieces / 2)
}
