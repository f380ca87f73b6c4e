/**
 * Faults of machines and of the network between them and the controllers. They act on the simulated
 * services only, never on the state of a controller.
 */
import type { NodeName } from "@sorreltally/protocol"
import type { Machine } from "../services/machine.ts"
import { decodeCommands, decodeHeartbeatCopy } from "../services/machine-codec.ts"
import type { Deployment } from "../simulation/deployment.ts"
import type { CutMode, OutgoingRequest, Request } from "../simulation/network.ts"

const SHARD_PREFIX = "s/part/"
const MACHINE_BLOCK_PREFIX = "s/block/"
/** Longest delay of a copy of a heartbeat, in agent lease durations. */
const MAX_HEARTBEAT_DELAY_LEASES = 2.2
const MAX_COMMAND_DELAY_MS = 16_000
/** Within this time a new owner has read the records of its shard and received its first heartbeats. */
const NEW_LEADER_STARTUP_MS = 2_000

/** After this time a controller can detect that a machine sends no heartbeats. */
const SILENCE_DETECTION_MS = 10_000

const startsTasks = ({ path, body }: Request): boolean =>
  path === "/orders" && decodeCommands(body).commands.some(({ type }) => type === "start")

/** Faults that a machine survives. The names are part of the names of counted occurrences. */
type MachineFault = "receives nothing" | "sends nothing" | "cut" | "hung"

/** Faults of machines and of the network between them and the controllers. */
export class InfrastructureFaults {
  /** For each kind of fault, the times until which machines are affected, by machine id. */
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

  // --- coincidences of faults ---------------------------------------------------

  private markAffected(fault: MachineFault, ids: Iterable<string>, durationMs: number): void {
    const until = this.deployment.simulation.now + durationMs
    for (const id of ids)
      this.affectedUntil[fault].set(id, Math.max(until, this.affectedUntil[fault].get(id) ?? 0))
  }
  private isAffected(fault: MachineFault, id: string): boolean {
    return this.deployment.simulation.now < (this.affectedUntil[fault].get(id) ?? 0)
  }
  /** Counts the faults that coincide with the acquisition of a shard. */
  private shardAcquired(key: string): void {
    const { simulation, cloud } = this.deployment
    const isFirst = !this.acquiredAt.has(key)
    this.acquiredAt.set(key, simulation.now)
    if (isFirst) return
    for (const fault of Object.keys(this.affectedUntil) as Array<MachineFault>) {
      for (const machine of this.runningMachines())
        if (this.isAffected(fault, machine.id))
          simulation.occurrences.count(`tasks on machines at a failover: ${fault}`, machine.runningTaskCount)
    }
    const machineBlocks = [...this.deployment.state.entries].filter(([path]) =>
      path.startsWith(MACHINE_BLOCK_PREFIX),
    )
    const records = machineBlocks.map(([, { value }]) => JSON.stringify(value))
    for (const { id, status } of cloud.machines.values()) {
      if (status === "running" && !records.some((record) => record.includes(id)))
        simulation.occurrences.count("machines up without a record at a failover")
    }
    this.deliverKeptHeartbeats()
  }
  /** A controller answered a request with 200. */
  requestAnswered(node: NodeName, path: string): void {
    const { occurrences } = this.deployment.simulation
    if (path === "/v1/report" && this.isolated.has(node))
      occurrences.count("heartbeats answered by an isolated controller")
    if (path.endsWith("/cancel") && this.isolated.size > 0)
      occurrences.count("cancellations confirmed while a controller is isolated")
  }

  // --- late and lost messages -----------------------------------------------------

  /** Delivers a copy of that share of heartbeats again, from 2 s to more than two agent leases later. */
  delayHeartbeats(share: number, durationMs: number): void {
    const { simulation, network } = this.deployment
    const maxDelayMs = this.deployment.cloud.settings.times.lease_s * 1000 * MAX_HEARTBEAT_DELAY_LEASES
    this.deployment.invariants.recordFault(durationMs + maxDelayMs)
    const stopIntercepting = network.intercept((outgoing) => {
      if (outgoing.request.path === "/v1/report" && simulation.random.chance(share)) {
        const afterMs = simulation.random.between(2_000, maxDelayMs)
        outgoing.deliverCopy(outgoing.to, afterMs)
        simulation.after(afterMs, () => this.countLateHeartbeat(outgoing))
      }
      return "pass"
    })
    simulation.after(durationMs, stopIntercepting)
  }
  /** Keeps copies of a share of heartbeats; sends them to all controllers at the next change of owner. */
  keepHeartbeatsForNextLeader(share: number, durationMs: number): void {
    const { simulation, network } = this.deployment
    const stopIntercepting = network.intercept((outgoing) => {
      if (outgoing.request.path === "/v1/report" && simulation.random.chance(share))
        this.keptHeartbeats.push(outgoing)
      return "pass"
    })
    simulation.after(durationMs, stopIntercepting)
  }
  private deliverKeptHeartbeats(): void {
    const { simulation, names } = this.deployment
    if (this.keptHeartbeats.length > 0) this.deployment.invariants.recordFault(NEW_LEADER_STARTUP_MS)
    for (const outgoing of this.keptHeartbeats.splice(0)) {
      // The copies arrive before, while and after the new owner reads the records of its shard.
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
    const newestAttempt = (taskId: string) =>
      Math.max(...this.runningMachines().map((m) => m.attemptOf(taskId)))
    if (tasks.some(({ taskId, attempt }) => attempt < newestAttempt(taskId)))
      occurrences.count("late heartbeats of an earlier attempt")
  }
  /** Delays that share of direct commands by 2 to 16 s. They run once; their sender gets no answer. */
  delayCommands(share: number, durationMs: number): void {
    const { simulation, network } = this.deployment
    this.deployment.invariants.recordFault(durationMs + MAX_COMMAND_DELAY_MS)
    const stopIntercepting = network.intercept((outgoing) => {
      if (outgoing.request.path !== "/orders" || !simulation.random.chance(share)) return "pass"
      const sentAt = simulation.now
      outgoing.deliverCopy(
        outgoing.to,
        simulation.random.between(2_000, MAX_COMMAND_DELAY_MS),
        ({ status }) => {
          simulation.occurrences.count(status === 200 ? "late commands carried out" : "late commands refused")
          const leaderChanged = [...this.acquiredAt.values()].some((at) => at > sentAt)
          if (leaderChanged) simulation.occurrences.count("late commands of a former leader")
        },
      )
      return "withhold"
    })
    simulation.after(durationMs, stopIntercepting)
  }
  /** Blocks messages from some machines to controllers; direct commands still arrive and are answered. */
  blockMessagesFromMachines(count: number, durationMs: number, mode: CutMode): void {
    const { simulation, network, names } = this.deployment
    const ids = new Set(this.pickBusyMachinesFirst(count).map((m) => m.id))
    const nodes = new Set<string>(names)
    this.markAffected("sends nothing", ids, durationMs)
    const verdict = mode === "reset" ? "refuse" : "withhold"
    const silentFrom = simulation.now + SILENCE_DETECTION_MS
    const stopIntercepting = network.intercept(({ from, to, request }) => {
      if (ids.has(to) && simulation.now > silentFrom && startsTasks(request))
        simulation.occurrences.count("starts sent to machines that send nothing")
      return ids.has(from) && nodes.has(to) ? verdict : "pass"
    })
    simulation.after(durationMs, stopIntercepting)
  }
  /** Machines rented within `durationMs` boot within `maxBootMs`. */
  limitBootTime(maxBootMs: number, durationMs: number): void {
    const { settings } = this.deployment.cloud
    settings.bootWithinMs = maxBootMs
    this.deployment.simulation.after(durationMs, () => {
      settings.bootWithinMs = null
    })
  }

  // --- machines and cuts -------------------------------------------------------------

  /** Cuts one zone off from all hosts outside of it. */
  cutZone(zone: string, durationMs: number, mode: CutMode): void {
    const isInside = (host: string) => this.deployment.zoneOf(host) === zone
    const ids = this.runningMachines()
      .filter((m) => m.zone === zone)
      .map((m) => m.id)
    this.markAffected("cut", ids, durationMs)
    this.deployment.simulation.after(
      durationMs,
      this.deployment.network.cut((a, b) => isInside(a) && !isInside(b), mode),
    )
  }
  /** Connections between controllers are refused. */
  refusePeers(durationMs: number): void {
    const nodes = new Set<string>(this.deployment.names)
    this.deployment.simulation.after(
      durationMs,
      this.deployment.network.cut((a, b) => nodes.has(a) && nodes.has(b), "reset"),
    )
  }
  /** Stops machines with all their tasks; the cloud's machine list shows it only much later. */
  killMachines(count: number): void {
    for (const machine of this.pickMachines(count)) machine.die()
  }

  runningMachines(): ReadonlyArray<Machine> {
    return [...this.deployment.cloud.machines.values()].filter(
      (m) => m.status === "running" && !m.isPoweredOff,
    )
  }
  /** Picks up to `count` running machines at random. */
  pickMachines(count: number): ReadonlyArray<Machine> {
    const candidates = [...this.runningMachines()]
    const picked: Array<Machine> = []
    while (picked.length < count && candidates.length > 0) {
      picked.push(
        ...candidates.splice(Math.floor(this.deployment.simulation.random.next() * candidates.length), 1),
      )
    }
    return picked
  }
  /** Picks random machines, those with tasks first: a fault of an idle machine tests little. */
  private pickBusyMachinesFirst(count: number): ReadonlyArray<Machine> {
    const shuffled = this.pickMachines(Number.POSITIVE_INFINITY)
    return [...shuffled]
      .sort((a, b) => Number(b.runningTaskCount > 0) - Number(a.runningTaskCount > 0))
      .slice(0, count)
  }
  /** Cuts random machines off from all other hosts. */
  cutMachines(count: number, durationMs: number, mode: CutMode): void {
    const ids = new Set(this.pickMachines(count).map((m) => m.id))
    this.markAffected("cut", ids, durationMs)
    this.deployment.simulation.after(
      durationMs,
      this.deployment.network.cut((a) => ids.has(a), mode),
    )
  }
  /** Cuts the first two zones off from each other. */
  cutZones(durationMs: number, mode: CutMode): void {
    const [first, second] = this.deployment.setup.zones
    this.deployment.simulation.after(
      durationMs,
      this.deployment.network.cut(
        (a, b) => this.deployment.zoneOf(a) === first && this.deployment.zoneOf(b) === second,
        mode,
      ),
    )
  }
  /** Cuts one controller off from the other controllers; all other hosts still reach it. */
  cutPeers(node: NodeName, durationMs: number): void {
    const others = new Set<string>(this.deployment.names.filter((n) => n !== node))
    this.deployment.simulation.after(
      durationMs,
      this.deployment.network.cut((a, b) => a === node && others.has(b), "drop"),
    )
  }
  /** Holds messages from controllers to all running machines: `/orders` are late, while heartbeats arrive. */
  cutCommands(durationMs: number): void {
    const nodes = new Set<string>(this.deployment.names)
    const ids = new Set(this.runningMachines().map((m) => m.id))
    this.deployment.simulation.after(
      durationMs,
      this.deployment.network.cutOneWay((from, to) => nodes.has(from) && ids.has(to), "hold"),
    )
  }
  /** Cuts one controller off from the state service and all other controllers, not from workers and users. */
  isolate(node: NodeName, durationMs: number): void {
    this.isolated.add(node)
    this.deployment.simulation.after(durationMs, () => this.isolated.delete(node))
    const unreachable = new Set<string>(["state", ...this.deployment.names.filter((n) => n !== node)])
    this.deployment.simulation.after(
      durationMs,
      this.deployment.network.cut((a, b) => a === node && unreachable.has(b), "drop"),
    )
  }
  /** Drops all messages to some machines, while their heartbeats still arrive. */
  dropMessagesToMachines(count: number, durationMs: number): void {
    const ids = new Set(this.pickBusyMachinesFirst(count).map((m) => m.id))
    this.markAffected("receives nothing", ids, durationMs)
    this.deployment.simulation.after(
      durationMs,
      this.deployment.network.cutOneWay((_, to) => ids.has(to), "drop"),
    )
  }
  rebootMachines(count: number, downMs: number): void {
    for (const machine of this.pickMachines(count)) machine.reboot(downMs)
  }
  hangMachines(count: number, durationMs: number): void {
    for (const machine of this.pickMachines(count)) {
      this.markAffected("hung", [machine.id], durationMs)
      machine.setHung(true)
      this.deployment.simulation.after(durationMs, () => machine.setHung(false))
    }
  }
  /** Makes every task fail that runs on these machines from now on. */
  makeFaulty(count: number): void {
    for (const machine of this.pickMachines(count)) {
      machine.faulty = true
      this.deployment.cloud.faulty.add(machine.id)
    }
  }
  /** Takes machines away after a preemption notice of `noticeMs`; without any notice if it is 0. */
  preemptMachines(count: number, noticeMs: number): void {
    for (const machine of this.pickMachines(count)) {
      machine.preemptedAt = noticeMs > 0 ? this.deployment.simulation.now + noticeMs : null
      if (noticeMs > 0) machine.requestHeartbeat()
      this.deployment.simulation.after(noticeMs, () => this.deployment.cloud.terminate(machine.id))
    }
  }
}
