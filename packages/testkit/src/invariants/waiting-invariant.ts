/** The invariant that work doesn't wait while it could run. */
import type { WireJob } from "@sorreltally/protocol"
import type { Cloud } from "../services/cloud.ts"
import type { Machine } from "../services/machine.ts"
import type { Simulation } from "../simulation/simulation.ts"
import type { Invariants } from "./invariants.ts"

/** Once all faults are over, no job waits this long while it could run. */
const MAX_WAIT_MS = 90_000

/** What a machine has left. */
interface Room {
  readonly machine: Machine
  cores: number
  mem: number
}
/** Rooms of machines that can be given work; tasks of all machines that are up. */
interface Stock {
  readonly rooms: ReadonlyArray<Room>
  /** Tasks by job and zone. */
  readonly zonesByJob: ReadonlyMap<string, ReadonlyMap<string, number>>
  /** CPUs by team. */
  readonly usedByTeam: ReadonlyMap<string, number>
}
interface Waiting {
  /** Since when it could have started a task, and didn't. */
  readonly since: number
  readonly occupants: number
}

/**
 * The rule that no job is left waiting while a machine that fits has room and
 * its team is under its limit. Judged by what the stand-in itself knows:
 * machines that are up and can be given work, and the tasks that are on them.
 */
export class WaitingInvariant {
  private readonly waiting = new Map<string, Waiting>()

  constructor(
    private readonly simulation: Simulation,
    private readonly invariants: Invariants,
    private readonly cloud: Cloud,
  ) {}

  /** To be called now and then. */
  check(): void {
    if (this.simulation.now <= this.invariants.quietFrom) return this.waiting.clear()
    const stock = this.takeStock()
    for (const [job, request] of this.invariants.submitted) {
      const zones = stock.zonesByJob.get(job) ?? new Map<string, number>()
      const used = stock.usedByTeam.get(request.owner) ?? 0
      if (this.couldStart(job, request, zones, stock.rooms, used)) this.checkWaiting(job)
      else this.waiting.delete(job)
    }
  }
  /** The job could start a task now: how long has that been so? */
  private checkWaiting(job: string): void {
    const { now } = this.simulation
    const occupants = this.invariants.startsOf(job)
    const before = this.waiting.get(job)
    const isNew = before === undefined || before.occupants !== occupants
    if (!isNew && now <= before.since + MAX_WAIT_MS) return
    if (!isNew)
      this.invariants.report(
        "left_waiting",
        `${job}: a machine that fits had room for ${MAX_WAIT_MS / 1000} s`,
      )
    this.waiting.set(job, { since: now, occupants })
  }
  /** What machines have left, and where the tasks are that take the rest. */
  private takeStock(): Stock {
    const rooms: Array<Room> = []
    const zonesByJob = new Map<string, Map<string, number>>()
    const usedByTeam = new Map<string, number>()
    for (const machine of this.cloud.machines.values()) {
      if (machine.gone || machine.status !== "running") continue
      const room = { machine, cores: machine.type.cores, mem: machine.type.mem_gb }
      for (const { job } of machine.occupants()) {
        const request = this.invariants.submitted.get(job)
        if (request === undefined) continue
        room.cores -= request.cores
        room.mem -= request.mem_gb
        usedByTeam.set(request.owner, (usedByTeam.get(request.owner) ?? 0) + request.cores)
        const zones = zonesByJob.get(job) ?? new Map<string, number>()
        zonesByJob.set(job, zones.set(machine.zone, (zones.get(machine.zone) ?? 0) + 1))
      }
      if (!machine.isHung && machine.preemptedAt === null) rooms.push(room)
    }
    return { rooms, zonesByJob, usedByTeam }
  }

  private couldStart(
    job: string,
    request: WireJob,
    zones: ReadonlyMap<string, number>,
    rooms: ReadonlyArray<Room>,
    used: number,
  ): boolean {
    if (!this.invariants.isLive(job)) return false
    let placed = 0
    for (const count of zones.values()) placed += count
    if (placed + this.invariants.users.finishedTasks(job) >= request.pieces) return false
    if (used + request.cores > this.invariants.limitOf(request.owner) + 1e-6) return false
    return rooms.some((room) => fits(request, zones, room))
  }
}

const fits = (
  request: WireJob,
  zones: ReadonlyMap<string, number>,
  { machine, cores, mem }: Room,
): boolean => {
  if (cores < request.cores - 1e-6 || mem < request.mem_gb - 1e-6) return false
  if (machine.spot && !request.loaners) return false
  if (request.builds != null && !request.builds.some((build) => build === machine.type.name)) return false
  if (request.site != null && request.site !== machine.zone) return false
  if (request.together && [...zones.keys()].some((zone) => zone !== machine.zone)) return false
  return !request.scatter || (zones.get(machine.zone) ?? 0) < Math.ceil(request.pieces / 2)
}
