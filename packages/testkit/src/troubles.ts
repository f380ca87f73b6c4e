import type { NodeName } from "@sorreltally/wire"
import type { Machine } from "./machines.ts"
import type { CutMode } from "./net.ts"
import type { World } from "./world.ts"

/** Faults of machines and of the network between them and the controllers. */
export class Troubles {
  constructor(private readonly world: World) {}

  /** One zone apart from everything outside of it. */
  cutZone(zone: string, forMs: number, mode: CutMode): void {
    const inside = (host: string) => this.world.zoneOf(host) === zone
    this.world.sim.after(
      forMs,
      this.world.net.cut((a, b) => inside(a) && !inside(b), mode),
    )
  }
  /** Controllers can't connect to each other. */
  refusePeers(forMs: number): void {
    const nodes = new Set<string>(this.world.names)
    this.world.sim.after(
      forMs,
      this.world.net.cut((a, b) => nodes.has(a) && nodes.has(b), "reset"),
    )
  }
  /** Machines stop with all that is on them; the list says so much later. */
  die(count: number): void {
    for (const machine of this.someMachines(count)) machine.die()
  }

  running(): ReadonlyArray<Machine> {
    return [...this.world.cloud.machines.values()].filter((m) => m.status === "running" && !m.gone)
  }
  someMachines(count: number): ReadonlyArray<Machine> {
    const from = [...this.running()]
    const out: Array<Machine> = []
    while (out.length < count && from.length > 0) {
      out.push(...from.splice(Math.floor(this.world.sim.luck.next() * from.length), 1))
    }
    return out
  }
  cutMachines(count: number, forMs: number, mode: CutMode): void {
    const ids = new Set(this.someMachines(count).map((m) => m.id))
    this.world.sim.after(
      forMs,
      this.world.net.cut((a) => ids.has(a), mode),
    )
  }
  cutZones(forMs: number, mode: CutMode): void {
    const [one, two] = this.world.setup.zones
    this.world.sim.after(
      forMs,
      this.world.net.cut((a, b) => this.world.zoneOf(a) === one && this.world.zoneOf(b) === two, mode),
    )
  }
  /** One controller apart from the others; everything else reaches it. */
  cutPeers(node: NodeName, forMs: number): void {
    const others = new Set<string>(this.world.names.filter((n) => n !== node))
    this.world.sim.after(
      forMs,
      this.world.net.cut((a, b) => a === node && others.has(b), "drop"),
    )
  }
  /** Only the way from controllers to some machines: late `/orders`, while reports go through. */
  cutOrders(forMs: number): void {
    const nodes = new Set<string>(this.world.names)
    const ids = new Set(this.running().map((m) => m.id))
    this.world.sim.after(
      forMs,
      this.world.net.cutOneWay((from, to) => nodes.has(from) && ids.has(to), "hold"),
    )
  }
  /** One controller that its workers and users still reach, without state service and other controllers. */
  isolate(node: NodeName, forMs: number): void {
    const lost = new Set<string>(["state", ...this.world.names.filter((n) => n !== node)])
    this.world.sim.after(
      forMs,
      this.world.net.cut((a, b) => a === node && lost.has(b), "drop"),
    )
  }
  /** Machines whose reports arrive, and that hear nothing. */
  deafen(count: number, forMs: number): void {
    const ids = new Set(this.someMachines(count).map((m) => m.id))
    this.world.sim.after(
      forMs,
      this.world.net.cutOneWay((_, to) => ids.has(to), "drop"),
    )
  }
  reboot(count: number, afterMs: number): void {
    for (const machine of this.someMachines(count)) machine.reboot(afterMs)
  }
  hang(count: number, forMs: number): void {
    for (const machine of this.someMachines(count)) {
      machine.hang(true)
      this.world.sim.after(forMs, () => machine.hang(false))
    }
  }
  takeSpot(count: number, noticeMs: number): void {
    for (const machine of this.someMachines(count)) {
      machine.warningUntil = noticeMs > 0 ? this.world.sim.now + noticeMs : null
      if (noticeMs > 0) machine.change()
      this.world.sim.after(noticeMs, () => this.world.cloud.take(machine.id))
    }
  }
}
