import type { WireMachineType } from "@sorreltally/protocol"
import type { Invariants } from "../invariants/invariants.ts"
import type { Network, Request } from "../simulation/network.ts"
import type { Simulation } from "../simulation/simulation.ts"
import { Machine, type MachineDump, type WorkerTimes } from "./machine.ts"

export interface CloudSettings {
  readonly types: ReadonlyArray<WireMachineType>
  /** Machines to be had of each type, zone and kind. */
  capacity: number
  readonly lagMs: number
  readonly nodes: ReadonlyArray<string>
  readonly times: WorkerTimes
  /** Share of machines that never come up. */
  neverBoots: number
  /** Machines are up within this time; null: as their type says. */
  bootWithinMs: number | null
}

/** The stand-in's machines and what they saved. */
export interface CloudDump {
  /** Machines ever rented: the next id follows from it. */
  readonly rented: number
  /** Progress that tasks saved, in seconds. */
  readonly checkpoints: ReadonlyArray<readonly [task: string, progressS: number]>
  readonly machines: ReadonlyArray<MachineDump>
}

/** A stand-in of the cloud: rents, boots, lists with a lag, takes back. */
export class Cloud {
  readonly machines = new Map<string, Machine>()
  /** Machines that were made faulty, gone ones included. */
  readonly faulty = new Set<string>()
  private readonly answers = new Map<string, unknown>()
  private readonly saved = new Map<string, number>()
  private count = 0
  /** Calls asked for, and machines ever rented. */
  calls = 0
  get rented(): number {
    return this.count
  }
  /** Machines to be had in zones that differ from the others. */
  readonly zoneCapacity = new Map<string, number>()
  private down = false
  /** When its last outage ended. */
  lastBackAt = Number.NEGATIVE_INFINITY
  private history: Array<{ readonly at: number; readonly hosts: ReadonlyArray<Record<string, unknown>> }> = []

  constructor(
    private readonly simulation: Simulation,
    private readonly network: Network,
    private readonly invariants: Invariants,
    readonly settings: CloudSettings,
  ) {
    network.listen("cloud", (request, _from, answer) => {
      simulation.after(simulation.random.between(20, 120), () => answer(this.serve(request)))
    })
    const record = () => {
      this.history.push({ at: simulation.now, hosts: this.listNow() })
      while (this.history.length > 1 && this.history[1]!.at < simulation.now - 3 * settings.lagMs)
        this.history.shift()
      simulation.after(500, record)
    }
    record()
  }

  /** Its machines with their workers, and the checkpoints, as plain data. */
  dump(): CloudDump {
    const machines = [...this.machines.values()].map((machine) => machine.dump())
    return { rented: this.count, checkpoints: [...this.saved], machines }
  }
  /** Has the machines of a dump, and has listed them for a while. Those that were booting begin to anew. */
  restore(dump: CloudDump): void {
    for (const [task, progressS] of dump.checkpoints) this.saved.set(task, progressS)
    for (const machine of dump.machines) {
      const type = this.settings.types.find(({ name }) => name === machine.type)!
      const { id, zone, spot, status } = machine
      if (status === "booting") this.bootLater(this.place(id, type, zone, spot))
      else this.place(id, type, zone, spot).status = status
      this.machines.get(id)!.restore(machine)
    }
    this.count = dump.rented
    this.history = [{ at: Number.NEGATIVE_INFINITY, hosts: this.listNow() }]
  }

  outage(on: boolean): void {
    this.down = on
    if (!on) this.lastBackAt = this.simulation.now
  }
  isDown(): boolean {
    return this.down
  }
  private listNow() {
    return [...this.machines.values()].map((m) => ({
      id: m.id,
      address: `${m.id}:9000`,
      build: m.type.name,
      site: m.zone,
      loaners: m.spot,
      status: m.status,
      held_s: (this.simulation.now - m.rented) / 1000,
    }))
  }

  private serve(request: Request): { status: number; body: unknown } {
    this.calls++
    if (this.down) return { status: 503, body: { error: "trouble" } }
    const url = new URL(request.path, "http://cloud")
    if (url.pathname === "/catalog") return { status: 200, body: { builds: this.settings.types } }
    if (url.pathname === "/machines/delete") {
      for (const id of (request.body as { hosts: Array<string> }).hosts) this.take(id)
      return { status: 200, body: {} }
    }
    if (request.method === "GET") {
      const asOf = this.simulation.now - this.settings.lagMs * this.simulation.random.between(1, 2)
      const seen = [...this.history].reverse().find((h) => h.at <= asOf)
      const after = url.searchParams.get("after") ?? ""
      const page = Number(url.searchParams.get("page") ?? 500)
      const rest = (seen?.hosts ?? []).filter((m) => String(m.id) > after)
      return { status: 200, body: { hosts: rest.slice(0, page), more: rest.length > page } }
    }
    return this.hire(
      request.body as { hire: string; build: string; site: string; loaners: boolean; how_many: number },
    )
  }

  private hire(want: { hire: string; build: string; site: string; loaners: boolean; how_many: number }) {
    const known = this.answers.get(want.hire)
    if (known !== undefined) return { status: 200, body: known }
    const type = this.settings.types.find((t) => t.name === want.build)
    if (type === undefined) return { status: 400, body: {} }
    const have = [...this.machines.values()].filter(
      (m) => m.type === type && m.zone === want.site && m.spot === want.loaners,
    ).length
    const capacity = this.zoneCapacity.get(want.site) ?? this.settings.capacity
    const count = Math.min(want.how_many, 50, capacity - have)
    if (count <= 0) return { status: 503, body: { error: "no capacity" } }
    const hosts: Array<string> = []
    for (let i = 0; i < count; i++) hosts.push(this.rent(type, want.site, want.loaners).id)
    const body = { hosts }
    this.answers.set(want.hire, body)
    return { status: 200, body }
  }

  rent(type: WireMachineType, zone: string, spot: boolean): Machine {
    const id = `i-${String(++this.count).padStart(6, "0")}`
    const machine = this.place(id, type, zone, spot)
    this.bootLater(machine)
    return machine
  }
  private place(id: string, type: WireMachineType, zone: string, spot: boolean): Machine {
    const { nodes, times } = this.settings
    const machine = new Machine(
      id,
      type,
      zone,
      spot,
      this.simulation,
      this.network,
      this.invariants,
      times,
      nodes,
      this.saved,
    )
    this.machines.set(id, machine)
    return machine
  }
  private bootLater(machine: Machine): void {
    const { neverBoots, bootWithinMs } = this.settings
    if (this.simulation.random.chance(neverBoots)) return
    const usualMs = machine.type.startup_s * 1000 * this.simulation.random.between(0.6, 1.5)
    const bootMs = bootWithinMs === null ? usualMs : this.simulation.random.between(0, bootWithinMs)
    this.simulation.after(bootMs, () => machine.boot())
  }
  take(id: string): void {
    this.machines.get(id)?.remove()
    this.machines.delete(id)
  }
}
