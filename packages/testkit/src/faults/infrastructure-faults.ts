/**
 * Faults of machines and of the network between them and the controllers. It acts on the
 * stand-ins alone, never on a controller's state.
 */
import type { NodeName } from "@sorreltally/protocol"
import type { Machine } from "../services/machine.ts"
import { decodeCommands, decodeHeartbeatCopy } from "../services/machine-codec.ts"
import type { Deployment } from "../simulation/deployment.ts"
import type { CutMode, OutgoingRequest, Request } from "../simulation/network.ts"

const SHARD_PREFIX = "s/part/"
const MACHINE_BLOCK_PREFIX = "s/block/"
/** Late copies of heartbeats come at most this many leases later. */
const MAX_HEARTBEAT_DELAY_LEASES = 2.2
const MAX_COMMAND_DELAY_MS = 16_000
/** Within this time a new owner has read the records of its shard and received its first heartbeats. */
const NEW_LEADER_STARTUP_MS = 2_000

/** By then a controller can tell that a machine's heartbeats don't come any more. */
const SILENCE_NOTICED_MS = 10_000

const startsTasks = ({ path, body }: Request): boolean =>
  path === "/orders" && decodeCommands(body).commands.some(({ type }) => type === "start")

/** What a machine can suffer without being gone; the words are those of counted events. */
type MachineFault = "receives nothing" | "sends nothing" | "cut" | "hung"

/** Faults of machines and of the network between them and the controllers. */
export class InfrastructureFaults {
  /** Machines that are under each kind of fault right now. */
  private readonly affectedUntil: Record<MachineFault, Map<string, number>> = {
    "receives nothing": new Map(),
    "sends nothing": new Map(),
    cut: new Map(),
    hung: new Map(),
  }
  private readonly isolated = new Set<NodeName>()
  private readonly keptHeartbeats: Array<OutgoingRequest> = []
  private readonly acquiredAt = new Map<string, number>()

  constructor(private readonly deployment: Deployment) {
    deployment.state.listeners.push((path, value) => {
      if (!path.startsWith(SHARD_PREFIX)) return
      const { owner } = (value ?? {}) as { readonly owner?: string | null }
      if (owner != null) this.shardAcquired(path)
    })
  }

  // --- what meets what ----------------------------------------------------------

  private markAffected(by: MachineFault, ids: Iterable<string>, forMs: number): void {
    const until = this.deployment.simulation.now + forMs
    for (const id of ids) this.affectedUntil[by].set(id, Math.max(until, this.affectedUntil[by].get(id) ?? 0))
  }
  private isAffected(by: MachineFault, id: string): boolean {
    return this.deployment.simulation.now < (this.affectedUntil[by].get(id) ?? 0)
  }
  /** A shard has a new owner. */
  private shardAcquired(part: string): void {
    const { simulation, cloud } = this.deployment
    const first = !this.acquiredAt.has(part)
    this.acquiredAt.set(part, simulation.now)
    if (first) return
    for (const by of Object.keys(this.affectedUntil) as Array<MachineFault>) {
      for (const machine of this.running())
        if (this.isAffected(by, machine.id))
          simulation.occurrences.count(`tasks on machines at a failover: ${by}`, machine.runningTaskCount)
    }
    const recorded = [...this.deployment.state.entries].filter(([path]) =>
      path.startsWith(MACHINE_BLOCK_PREFIX),
    )
    const records = recorded.map(([, { value }]) => JSON.stringify(value))
    for (const { id, status } of cloud.machines.values()) {
      if (status === "running" && !records.some((record) => record.includes(id)))
        simulation.occurrences.count("machines up without a record at a failover")
    }
    this.deliverKeptHeartbeats()
  }
  /** A controller answered a request with 200. */
  answered(node: NodeName, path: string): void {
    const { occurrences } = this.deployment.simulation
    if (path === "/v1/report" && this.isolated.has(node))
      occurrences.count("heartbeats answered by an isolated controller")
    if (path.endsWith("/cancel") && this.isolated.size > 0)
      occurrences.count("cancellations confirmed while a controller is isolated")
  }

  // --- messages late --------------------------------------------------------------

  /** Of that share of the workers' heartbeats a copy arrives again, from 2 s to well over a lease later. */
  delayHeartbeats(share: number, forMs: number): void {
    const { simulation, network } = this.deployment
    const longestMs = this.deployment.cloud.settings.times.lease_s * 1000 * MAX_HEARTBEAT_DELAY_LEASES
    this.deployment.invariants.faultLasts(forMs + longestMs)
    const end = network.intercept((outgoing) => {
      if (outgoing.request.path === "/v1/report" && simulation.random.chance(share)) {
        const afterMs = simulation.random.between(2_000, longestMs)
        outgoing.deliverCopy(outgoing.to, afterMs)
        simulation.after(afterMs, () => this.countLateHeartbeat(outgoing))
      }
      return "pass"
    })
    simulation.after(forMs, end)
  }
  /** Copies of that share are kept until a shard has a new owner, and then reach all controllers at once. */
  keepHeartbeatsForNextLeader(share: number, forMs: number): void {
    const { simulation, network } = this.deployment
    const end = network.intercept((outgoing) => {
      if (outgoing.request.path === "/v1/report" && simulation.random.chance(share))
        this.keptHeartbeats.push(outgoing)
      return "pass"
    })
    simulation.after(forMs, end)
  }
  private deliverKeptHeartbeats(): void {
    const { simulation, names } = this.deployment
    if (this.keptHeartbeats.length > 0) this.deployment.invariants.faultLasts(NEW_LEADER_STARTUP_MS)
    for (const outgoing of this.keptHeartbeats.splice(0)) {
      // Before, while and after the new owner reads the records of its shard.
      const afterMs = simulation.random.between(0, NEW_LEADER_STARTUP_MS)
      for (const node of names) outgoing.deliverCopy(node, afterMs)
      simulation.after(afterMs, () => {
        simulation.occurrences.count("old heartbeats sent to all controllers at a failover")
        this.countLateHeartbeat(outgoing)
      })
    }
  }
  private countLateHeartbeat({ from, request }: OutgoingRequest): void {
    const { occurrences } = this.deployment.simulation
    const machine = this.deployment.cloud.machines.get(from)
    const { agentEpoch, sequence, tasks } = decodeHeartbeatCopy(request.body)
    occurrences.count("late heartbeats")
    if (machine === undefined) return occurrences.count("late heartbeats of machines that are gone")
    const isAhead = agentEpoch === machine.agentEpoch && sequence > machine.lastSequence
    if (agentEpoch > machine.agentEpoch || isAhead)
      occurrences.count("late heartbeats of a worker from before its reboot")
    if (agentEpoch < machine.agentEpoch) occurrences.count("late heartbeats of an earlier session")
    const newestAttempt = (taskId: string) => Math.max(...this.running().map((m) => m.attemptOf(taskId)))
    if (tasks.some(({ taskId, attempt }) => attempt < newestAttempt(taskId)))
      occurrences.count("late heartbeats of an earlier attempt")
  }
  /** That share of direct commands is held up, unanswered, and carried out once, 2 to 16 s late. */
  delayCommands(share: number, forMs: number): void {
    const { simulation, network } = this.deployment
    this.deployment.invariants.faultLasts(forMs + MAX_COMMAND_DELAY_MS)
    const end = network.intercept((outgoing) => {
      if (outgoing.request.path !== "/orders" || !simulation.random.chance(share)) return "pass"
      const sent = simulation.now
      outgoing.deliverCopy(
        outgoing.to,
        simulation.random.between(2_000, MAX_COMMAND_DELAY_MS),
        ({ status }) => {
          simulation.occurrences.count(status === 200 ? "late commands carried out" : "late commands refused")
          const leaderChanged = [...this.acquiredAt.values()].some((at) => at > sent)
          if (leaderChanged) simulation.occurrences.count("late commands of a former leader")
        },
      )
      return "withhold"
    })
    simulation.after(forMs, end)
  }
  /** Machines that reach no controller, while direct commands reach them and are answered. */
  machinesSendNothing(count: number, forMs: number, mode: CutMode): void {
    const { simulation, network, names } = this.deployment
    const ids = new Set(this.busyMachinesFirst(count).map((m) => m.id))
    const nodes = new Set<string>(names)
    this.markAffected("sends nothing", ids, forMs)
    const verdict = mode === "reset" ? "refuse" : "withhold"
    const silentFrom = simulation.now + SILENCE_NOTICED_MS
    const end = network.intercept(({ from, to, request }) => {
      if (ids.has(to) && simulation.now > silentFrom && startsTasks(request))
        simulation.occurrences.count("starts sent to machines that send nothing")
      return ids.has(from) && nodes.has(to) ? verdict : "pass"
    })
    simulation.after(forMs, end)
  }
  /** New machines are up within so long. */
  bootFast(withinMs: number, forMs: number): void {
    const { settings } = this.deployment.cloud
    settings.bootWithinMs = withinMs
    this.deployment.simulation.after(forMs, () => {
      settings.bootWithinMs = null
    })
  }

  // --- machines and cuts -------------------------------------------------------------

  /** One zone apart from everything outside of it. */
  cutZone(zone: string, forMs: number, mode: CutMode): void {
    const isInside = (host: string) => this.deployment.zoneOf(host) === zone
    const ids = this.running()
      .filter((m) => m.zone === zone)
      .map((m) => m.id)
    this.markAffected("cut", ids, forMs)
    this.deployment.simulation.after(
      forMs,
      this.deployment.network.cut((a, b) => isInside(a) && !isInside(b), mode),
    )
  }
  /** Controllers can't connect to each other. */
  refusePeers(forMs: number): void {
    const nodes = new Set<string>(this.deployment.names)
    this.deployment.simulation.after(
      forMs,
      this.deployment.network.cut((a, b) => nodes.has(a) && nodes.has(b), "reset"),
    )
  }
  /** Machines stop with all that is on them; the list says so much later. */
  die(count: number): void {
    for (const machine of this.someMachines(count)) machine.die()
  }

  running(): ReadonlyArray<Machine> {
    return [...this.deployment.cloud.machines.values()].filter((m) => m.status === "running" && !m.gone)
  }
  someMachines(count: number): ReadonlyArray<Machine> {
    const from = [...this.running()]
    const out: Array<Machine> = []
    while (out.length < count && from.length > 0) {
      out.push(...from.splice(Math.floor(this.deployment.simulation.random.next() * from.length), 1))
    }
    return out
  }
  /** Machines with tasks before idle ones: a fault of a machine without work says little. */
  private busyMachinesFirst(count: number): ReadonlyArray<Machine> {
    const shuffled = this.someMachines(Number.POSITIVE_INFINITY)
    return [...shuffled]
      .sort((a, b) => Number(b.runningTaskCount > 0) - Number(a.runningTaskCount > 0))
      .slice(0, count)
  }
  cutMachines(count: number, forMs: number, mode: CutMode): void {
    const ids = new Set(this.someMachines(count).map((m) => m.id))
    this.markAffected("cut", ids, forMs)
    this.deployment.simulation.after(
      forMs,
      this.deployment.network.cut((a) => ids.has(a), mode),
    )
  }
  cutZones(forMs: number, mode: CutMode): void {
    const [one, two] = this.deployment.setup.zones
    this.deployment.simulation.after(
      forMs,
      this.deployment.network.cut(
        (a, b) => this.deployment.zoneOf(a) === one && this.deployment.zoneOf(b) === two,
        mode,
      ),
    )
  }
  /** One controller apart from the others; everything else reaches it. */
  cutPeers(node: NodeName, forMs: number): void {
    const others = new Set<string>(this.deployment.names.filter((n) => n !== node))
    this.deployment.simulation.after(
      forMs,
      this.deployment.network.cut((a, b) => a === node && others.has(b), "drop"),
    )
  }
  /** Only the way from controllers to some machines: late `/orders`, while heartbeats go through. */
  cutCommands(forMs: number): void {
    const nodes = new Set<string>(this.deployment.names)
    const ids = new Set(this.running().map((m) => m.id))
    this.deployment.simulation.after(
      forMs,
      this.deployment.network.cutOneWay((from, to) => nodes.has(from) && ids.has(to), "hold"),
    )
  }
  /** One controller that its workers and users still reach, without state service and other controllers. */
  isolate(node: NodeName, forMs: number): void {
    this.isolated.add(node)
    this.deployment.simulation.after(forMs, () => this.isolated.delete(node))
    const lost = new Set<string>(["state", ...this.deployment.names.filter((n) => n !== node)])
    this.deployment.simulation.after(
      forMs,
      this.deployment.network.cut((a, b) => a === node && lost.has(b), "drop"),
    )
  }
  /** Machines whose heartbeats arrive, and that receive nothing. */
  machinesReceiveNothing(count: number, forMs: number): void {
    const ids = new Set(this.busyMachinesFirst(count).map((m) => m.id))
    this.markAffected("receives nothing", ids, forMs)
    this.deployment.simulation.after(
      forMs,
      this.deployment.network.cutOneWay((_, to) => ids.has(to), "drop"),
    )
  }
  reboot(count: number, afterMs: number): void {
    for (const machine of this.someMachines(count)) machine.reboot(afterMs)
  }
  hang(count: number, forMs: number): void {
    for (const machine of this.someMachines(count)) {
      this.markAffected("hung", [machine.id], forMs)
      machine.setHung(true)
      this.deployment.simulation.after(forMs, () => machine.setHung(false))
    }
  }
  /** From now on, every task that runs on these machines fails. */
  makeFaulty(count: number): void {
    for (const machine of this.someMachines(count)) {
      machine.faulty = true
      this.deployment.cloud.faulty.add(machine.id)
    }
  }
  takeSpot(count: number, noticeMs: number): void {
    for (const machine of this.someMachines(count)) {
      machine.preemptedAt = noticeMs > 0 ? this.deployment.simulation.now + noticeMs : null
      if (noticeMs > 0) machine.requestHeartbeat()
      this.deployment.simulation.after(noticeMs, () => this.deployment.cloud.terminate(machine.id))
    }
  }
}
