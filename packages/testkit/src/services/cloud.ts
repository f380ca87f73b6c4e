/**
 * Simulated cloud: it rents out machines, boots them, lists them with a lag and
 * terminates them. Bodies use the field names of the cloud's protocol.
 */
import type { WireMachineType } from "@sorreltally/protocol"
import type { Invariants } from "../invariants/invariants.ts"
import type { Answer, Network, Request } from "../simulation/network.ts"
import type { Simulation } from "../simulation/simulation.ts"
import { Machine, type WorkerTimes } from "./machine.ts"
import type { MachineDump } from "./machine-codec.ts"

/** Machines that the cloud offers, and their behaviour. */
export interface CloudSettings {
  readonly types: ReadonlyArray<WireMachineType>
  /** Number of machines available of each type, zone and kind (spot or on-demand). */
  capacity: number
  /** A list shows the machines as of a time between once and twice this lag ago. */
  readonly listLagMs: number
  readonly nodes: ReadonlyArray<string>
  readonly times: WorkerTimes
  /** Share of machines that never finish booting. */
  neverBoots: number
  /** Upper bound of the boot time; null: boot times depend on the machine type. */
  bootWithinMs: number | null
}

/** Machines of the cloud and the checkpoints of their tasks, as plain data. */
export interface CloudDump {
  /** Total number of machines rented so far; the next machine id is derived from it. */
  readonly rented: number
  /** Progress that tasks have checkpointed, in seconds. */
  readonly checkpoints: ReadonlyArray<readonly [task: string, progressS: number]>
  readonly machines: ReadonlyArray<MachineDump>
}

/** A rental request on the wire. */
interface WireRentalRequest {
  readonly hire: string
  readonly build: string
  readonly site: string
  readonly loaners: boolean
  readonly how_many: number
}
type ListedMachines = ReadonlyArray<Record<string, unknown>>

/** Maximum number of machines that one rental request is granted. */
const MAX_MACHINES_PER_RENTAL = 50
const DEFAULT_PAGE_SIZE = 500
/** Interval at which the list of machines is recorded. */
const LIST_INTERVAL_MS = 500

/** The simulated cloud. */
export class Cloud {
  readonly machines = new Map<string, Machine>()
  /** Ids of all machines that were made faulty, including terminated ones. */
  readonly faulty = new Set<string>()
  /** Answers to rental requests by request id: a repeated request gets the same machines. */
  private readonly rentals = new Map<string, unknown>()
  private readonly checkpoints = new Map<string, number>()
  private rentedCount = 0
  /** Number of requests received. */
  callCount = 0
  /** Capacity of zones that differs from the one in the settings. */
  readonly zoneCapacity = new Map<string, number>()
  private down = false
  /** Time at which the last outage ended. */
  lastBackAt = Number.NEGATIVE_INFINITY
  /** Recorded lists of machines, oldest first. */
  private listHistory: Array<{ readonly at: number; readonly hosts: ListedMachines }> = []

  constructor(
    private readonly simulation: Simulation,
    private readonly network: Network,
    private readonly invariants: Invariants,
    readonly settings: CloudSettings,
  ) {
    network.listen("cloud", (request, _from, answer) => {
      simulation.after(simulation.random.between(20, 120), () => answer(this.serve(request)))
    })
    this.recordList()
  }
  private recordList(): void {
    const { now } = this.simulation
    this.listHistory.push({ at: now, hosts: this.listNow() })
    while (this.listHistory.length > 1 && this.listHistory[1]!.at < now - 3 * this.settings.listLagMs)
      this.listHistory.shift()
    this.simulation.after(LIST_INTERVAL_MS, () => this.recordList())
  }
  /** Total number of machines rented so far. */
  get rented(): number {
    return this.rentedCount
  }

  /** Dumps the machines, their workers and the checkpoints. */
  dump(): CloudDump {
    const machines = [...this.machines.values()].map((machine) => machine.dump())
    return { rented: this.rentedCount, checkpoints: [...this.checkpoints], machines }
  }
  /** Restores the machines of a dump. Lists show them at once; booting machines boot from the start. */
  restore(dump: CloudDump): void {
    for (const [task, progressS] of dump.checkpoints) this.checkpoints.set(task, progressS)
    for (const machine of dump.machines) {
      const type = this.settings.types.find(({ name }) => name === machine.type)!
      const { id, zone, spot, status } = machine
      if (status === "booting") this.bootLater(this.addMachine(id, type, zone, spot))
      else this.addMachine(id, type, zone, spot).status = status
      this.machines.get(id)!.restore(machine)
    }
    this.rentedCount = dump.rented
    this.listHistory = [{ at: Number.NEGATIVE_INFINITY, hosts: this.listNow() }]
  }

  setOutage(isDown: boolean): void {
    this.down = isDown
    if (!isDown) this.lastBackAt = this.simulation.now
  }
  isDown(): boolean {
    return this.down
  }

  private listNow(): ListedMachines {
    return [...this.machines.values()].map((machine) => ({
      id: machine.id,
      address: `${machine.id}:9000`,
      build: machine.type.name,
      site: machine.zone,
      loaners: machine.spot,
      status: machine.status,
      held_s: (this.simulation.now - machine.rentedAt) / 1000,
    }))
  }

  private serve(request: Request): Answer {
    this.callCount++
    if (this.down) return { status: 503, body: { error: "trouble" } }
    const url = new URL(request.path, "http://cloud")
    if (url.pathname === "/catalog") return { status: 200, body: { builds: this.settings.types } }
    if (url.pathname === "/machines/delete") {
      for (const id of (request.body as { hosts: Array<string> }).hosts) this.terminate(id)
      return { status: 200, body: {} }
    }
    if (request.method === "GET") return this.list(url.searchParams)
    return this.serveRental(request.body as WireRentalRequest)
  }
  private list(query: URLSearchParams): Answer {
    const asOf = this.simulation.now - this.settings.listLagMs * this.simulation.random.between(1, 2)
    const snapshot = [...this.listHistory].reverse().find(({ at }) => at <= asOf)
    const after = query.get("after") ?? ""
    const pageSize = Number(query.get("page") ?? DEFAULT_PAGE_SIZE)
    const remaining = (snapshot?.hosts ?? []).filter(({ id }) => String(id) > after)
    return { status: 200, body: { hosts: remaining.slice(0, pageSize), more: remaining.length > pageSize } }
  }

  private serveRental(request: WireRentalRequest): Answer {
    const earlierAnswer = this.rentals.get(request.hire)
    if (earlierAnswer !== undefined) return { status: 200, body: earlierAnswer }
    const type = this.settings.types.find(({ name }) => name === request.build)
    if (type === undefined) return { status: 400, body: {} }
    const { site: zone, loaners: spot } = request
    const count = Math.min(request.how_many, MAX_MACHINES_PER_RENTAL, this.availableOf(type, zone, spot))
    if (count <= 0) return { status: 503, body: { error: "no capacity" } }
    const hosts: Array<string> = []
    for (let i = 0; i < count; i++) hosts.push(this.rent(type, zone, spot).id)
    const body = { hosts }
    this.rentals.set(request.hire, body)
    return { status: 200, body }
  }
  private availableOf(type: WireMachineType, zone: string, spot: boolean): number {
    const isSame = (machine: Machine) =>
      machine.type === type && machine.zone === zone && machine.spot === spot
    const rented = [...this.machines.values()].filter(isSame).length
    return (this.zoneCapacity.get(zone) ?? this.settings.capacity) - rented
  }

  /** Adds a new machine, which boots after a delay. */
  rent(type: WireMachineType, zone: string, spot: boolean): Machine {
    const id = `i-${String(++this.rentedCount).padStart(6, "0")}`
    const machine = this.addMachine(id, type, zone, spot)
    this.bootLater(machine)
    return machine
  }
  private addMachine(id: string, type: WireMachineType, zone: string, spot: boolean): Machine {
    const { simulation, network, invariants, checkpoints } = this
    const { nodes, times } = this.settings
    const environment = { simulation, network, invariants, checkpoints, nodes, times }
    const machine = new Machine({ id, type, zone, spot, ...environment })
    this.machines.set(id, machine)
    return machine
  }
  private bootLater(machine: Machine): void {
    const { neverBoots, bootWithinMs } = this.settings
    const { random } = this.simulation
    if (random.chance(neverBoots)) return
    const defaultBootMs = machine.type.startup_s * 1000 * random.between(0.6, 1.5)
    const bootMs = bootWithinMs === null ? defaultBootMs : random.between(0, bootWithinMs)
    this.simulation.after(bootMs, () => machine.boot())
  }
  /** Ends a machine that is given back by its renter or preempted by the cloud. */
  terminate(id: string): void {
    this.machines.get(id)?.remove()
    this.machines.delete(id)
  }
}
