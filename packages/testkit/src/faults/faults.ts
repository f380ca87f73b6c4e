import type { NodeName, WireCommandBatch, WireHeartbeat } from "@sorreltally/protocol"
import type { Machine } from "../services/machine.ts"
import type { Deployment } from "../simulation/deployment.ts"
import type { CutMode, Departure, Request } from "../simulation/network.ts"

const PARTS = "s/part/"
const BLOCKS = "s/block/"
/** Late copies of reports come at most this many leases later. */
const LONGEST_REPORT_DELAY = 2.2
const LONGEST_COMMAND_DELAY_MS = 16_000
/** Within this time a new owner has read what it took over and heard its first reports. */
const NEW_LEADER_BEGINS_MS = 2_000

/** By then a controller can tell that a machine's reports don't come any more. */
const SILENCE_SHOWS_MS = 10_000

const startsTasks = ({ path, body }: Request): boolean =>
  path === "/orders" && (body as WireCommandBatch).orders.some(({ verb }) => verb === "start")

/** What can ail a machine without its being gone. */
type Affliction = "receives nothing" | "sends nothing" | "cut" | "hung"

/** Faults of machines and of the network between them and the controllers. */
export class Troubles {
  /** Machines that are under each kind of trouble right now. */
  private readonly afflicted: Record<Affliction, Map<string, number>> = {
    "receives nothing": new Map(),
    "sends nothing": new Map(),
    cut: new Map(),
    hung: new Map(),
  }
  private readonly isolated = new Set<NodeName>()
  private readonly keptReports: Array<Departure> = []
  private readonly takenOverAt = new Map<string, number>()

  constructor(private readonly world: Deployment) {
    world.state.listeners.push((path, value) => {
      if (!path.startsWith(PARTS)) return
      const { owner } = (value ?? {}) as { readonly owner?: string | null }
      if (owner != null) this.takenOver(path)
    })
  }

  // --- what meets what ----------------------------------------------------------

  private afflict(by: Affliction, ids: Iterable<string>, forMs: number): void {
    const until = this.world.sim.now + forMs
    for (const id of ids) this.afflicted[by].set(id, Math.max(until, this.afflicted[by].get(id) ?? 0))
  }
  private isAfflicted(by: Affliction, id: string): boolean {
    return this.world.sim.now < (this.afflicted[by].get(id) ?? 0)
  }
  /** A part has a new owner. */
  private takenOver(part: string): void {
    const { sim, cloud } = this.world
    const first = !this.takenOverAt.has(part)
    this.takenOverAt.set(part, sim.now)
    if (first) return
    for (const by of Object.keys(this.afflicted) as Array<Affliction>) {
      for (const machine of this.running())
        if (this.isAfflicted(by, machine.id))
          sim.occurrences.count(`tasks on machines at a take-over: ${by}`, machine.runningTasks)
    }
    const recorded = [...this.world.state.keys].filter(([path]) => path.startsWith(BLOCKS))
    const records = recorded.map(([, { v }]) => JSON.stringify(v))
    for (const { id, status } of cloud.machines.values()) {
      if (status === "running" && !records.some((record) => record.includes(id)))
        sim.occurrences.count("machines up without a record at a take-over")
    }
    this.deliverKeptReports()
  }
  /** A controller answered a request with 200. */
  answered(node: NodeName, path: string): void {
    const { occurrences } = this.world.sim
    if (path === "/v1/report" && this.isolated.has(node))
      occurrences.count("reports answered by an isolated controller")
    if (path.endsWith("/cancel") && this.isolated.size > 0)
      occurrences.count("cancellations confirmed while a controller is isolated")
  }

  // --- messages late --------------------------------------------------------------

  /** Of that share of the workers' reports a copy arrives again, from 2 s to well over a lease later. */
  lateReports(share: number, forMs: number): void {
    const { sim, net } = this.world
    const longestMs = this.world.cloud.settings.times.lease_s * 1000 * LONGEST_REPORT_DELAY
    this.world.rules.trouble(forMs + longestMs)
    const end = net.intercept((departure) => {
      if (departure.request.path === "/v1/report" && sim.luck.chance(share)) {
        const afterMs = sim.luck.between(2_000, longestMs)
        departure.deliverCopy(departure.to, afterMs)
        sim.after(afterMs, () => this.countLateReport(departure))
      }
      return "pass"
    })
    sim.after(forMs, end)
  }
  /** Copies of that share are kept until a part has a new owner, and then reach all controllers at once. */
  keepReportsForNextLeader(share: number, forMs: number): void {
    const { sim, net } = this.world
    const end = net.intercept((departure) => {
      if (departure.request.path === "/v1/report" && sim.luck.chance(share)) this.keptReports.push(departure)
      return "pass"
    })
    sim.after(forMs, end)
  }
  private deliverKeptReports(): void {
    const { sim, names } = this.world
    if (this.keptReports.length > 0) this.world.rules.trouble(NEW_LEADER_BEGINS_MS)
    for (const departure of this.keptReports.splice(0)) {
      // Before, while and after the new owner reads what it took over.
      const afterMs = sim.luck.between(0, NEW_LEADER_BEGINS_MS)
      for (const node of names) departure.deliverCopy(node, afterMs)
      sim.after(afterMs, () => {
        sim.occurrences.count("old reports at all controllers as a leader begins")
        this.countLateReport(departure)
      })
    }
  }
  private countLateReport({ from, request }: Departure): void {
    const { occurrences } = this.world.sim
    const machine = this.world.cloud.machines.get(from)
    const copy = request.body as WireHeartbeat
    occurrences.count("late reports")
    if (machine === undefined) return occurrences.count("late reports of machines that are gone")
    if (copy.tenure > machine.tenure || (copy.tenure === machine.tenure && copy.tick > machine.lastTick))
      occurrences.count("late reports of a worker's former self")
    if (copy.tenure < machine.tenure) occurrences.count("late reports of an earlier session")
    const newest = (piece: string) => Math.max(...this.running().map((m) => m.attemptOf(piece)))
    if (copy.pieces.some((piece) => piece.try < newest(piece.piece)))
      occurrences.count("late reports of an earlier attempt")
  }
  /** That share of direct commands is held up, unanswered, and carried out once, 2 to 16 s late. */
  lateCommands(share: number, forMs: number): void {
    const { sim, net } = this.world
    this.world.rules.trouble(forMs + LONGEST_COMMAND_DELAY_MS)
    const end = net.intercept((departure) => {
      if (departure.request.path !== "/orders" || !sim.luck.chance(share)) return "pass"
      const sent = sim.now
      departure.deliverCopy(departure.to, sim.luck.between(2_000, LONGEST_COMMAND_DELAY_MS), ({ status }) => {
        sim.occurrences.count(status === 200 ? "late commands carried out" : "late commands refused")
        const leaderChanged = [...this.takenOverAt.values()].some((at) => at > sent)
        if (leaderChanged) sim.occurrences.count("late commands of a leader before the present one")
      })
      return "withhold"
    })
    sim.after(forMs, end)
  }
  /** Machines that reach no controller, while direct commands reach them and are answered. */
  machinesSendNothing(count: number, forMs: number, mode: CutMode): void {
    const { sim, net, names } = this.world
    const ids = new Set(this.busyFirst(count).map((m) => m.id))
    const nodes = new Set<string>(names)
    this.afflict("sends nothing", ids, forMs)
    const verdict = mode === "reset" ? "refuse" : "withhold"
    const silentFrom = sim.now + SILENCE_SHOWS_MS
    const end = net.intercept(({ from, to, request }) => {
      if (ids.has(to) && sim.now > silentFrom && startsTasks(request))
        sim.occurrences.count("starts sent to machines that send nothing")
      return ids.has(from) && nodes.has(to) ? verdict : "pass"
    })
    sim.after(forMs, end)
  }
  /** New machines are up within so long. */
  fastBoots(withinMs: number, forMs: number): void {
    const { settings } = this.world.cloud
    settings.bootWithinMs = withinMs
    this.world.sim.after(forMs, () => {
      settings.bootWithinMs = null
    })
  }

  // --- machines and cuts -------------------------------------------------------------

  /** One zone apart from everything outside of it. */
  cutZone(zone: string, forMs: number, mode: CutMode): void {
    const inside = (host: string) => this.world.zoneOf(host) === zone
    const ids = this.running()
      .filter((m) => m.zone === zone)
      .map((m) => m.id)
    this.afflict("cut", ids, forMs)
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
  /** Machines with tasks before idle ones: a trouble of a machine without work says little. */
  private busyFirst(count: number): ReadonlyArray<Machine> {
    const shuffled = this.someMachines(Number.POSITIVE_INFINITY)
    return [...shuffled]
      .sort((a, b) => Number(b.runningTasks > 0) - Number(a.runningTasks > 0))
      .slice(0, count)
  }
  cutMachines(count: number, forMs: number, mode: CutMode): void {
    const ids = new Set(this.someMachines(count).map((m) => m.id))
    this.afflict("cut", ids, forMs)
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
    this.isolated.add(node)
    this.world.sim.after(forMs, () => this.isolated.delete(node))
    const lost = new Set<string>(["state", ...this.world.names.filter((n) => n !== node)])
    this.world.sim.after(
      forMs,
      this.world.net.cut((a, b) => a === node && lost.has(b), "drop"),
    )
  }
  /** Machines whose reports arrive, and that hear nothing. */
  machinesReceiveNothing(count: number, forMs: number): void {
    const ids = new Set(this.busyFirst(count).map((m) => m.id))
    this.afflict("receives nothing", ids, forMs)
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
      this.afflict("hung", [machine.id], forMs)
      machine.hang(true)
      this.world.sim.after(forMs, () => machine.hang(false))
    }
  }
  /** From now on, every task that runs on these machines fails. */
  makeFaulty(count: number): void {
    for (const machine of this.someMachines(count)) {
      machine.faulty = true
      this.world.cloud.faulty.add(machine.id)
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
