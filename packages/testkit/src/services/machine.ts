/**
 * Simulated machine with its worker: it boots, sends heartbeats, executes commands
 * under a fencing token, and ends its tasks when no heartbeat was answered for the
 * duration of its agent lease. `WorkerTasks` implements the tasks themselves.
 */
import type { WireHeartbeat, WireMachineType } from "@sorreltally/protocol"
import type { Answer, Network, Request } from "../simulation/network.ts"
import type { Simulation } from "../simulation/simulation.ts"
import {
  type Command,
  decodeCommands,
  decodeMachineDump,
  decodeRedirect,
  encodeHeartbeat,
  encodeMachineDump,
  type MachineDump,
  type MachineStatus,
} from "./machine-codec.ts"
import { type Occupant, type TaskEnvironment, type TaskHost, WorkerTasks } from "./worker-tasks.ts"

/** Heartbeat interval and agent lease of workers, in seconds; names are those of the settings file. */
export interface WorkerTimes {
  readonly report_s: number
  readonly lease_s: number
}
/** Options of a machine. */
export interface MachineOptions extends TaskEnvironment {
  readonly id: string
  readonly type: WireMachineType
  readonly zone: string
  readonly spot: boolean
  readonly network: Network
  readonly times: WorkerTimes
  /** Names of the controllers; each of them accepts heartbeats. */
  readonly nodes: ReadonlyArray<string>
}

/** Time for which the cloud lists a machine that died as running. */
const LISTED_AS_RUNNING_MS = 30_000
/** Time after which the sender of commands has timed out. */
const COMMAND_TIMEOUT_MS = 3_000
const HEARTBEAT_TIMEOUT_MS = 4_000
/** Delay before the next node is tried after a heartbeat without a usable answer. */
const RETRY_DELAY_MS = 1_000
/** Minimum interval between heartbeats that report changes. */
const MIN_HEARTBEAT_INTERVAL_MS = 500
const LEASE_CHECK_INTERVAL_MS = 250

/** A heartbeat in flight. */
interface HeartbeatExchange {
  readonly sentAt: number
  readonly agentEpoch: number
  readonly boot: number
  isOver: boolean
}

/** A simulated machine and its worker. */
export class Machine implements TaskHost {
  readonly id: string
  readonly type: WireMachineType
  readonly zone: string
  readonly spot: boolean
  status: MachineStatus = "booting"
  agentEpoch = 1
  /** Time at which a spot machine will be preempted, in milliseconds; null: no preemption notice. */
  preemptedAt: number | null = null
  isPoweredOff = false
  faulty = false
  rentedAt: number
  private sequence = 0
  private fencingToken = 0
  private lastAnsweredAt: number
  private nodeIndex: number
  private isHeartbeatPending = false
  /** Whether anything changed since the last heartbeat was sent. */
  private hasChanged = false
  private lastSentAt = Number.NEGATIVE_INFINITY
  private cancelHeartbeat: () => void = () => {}
  private hung = false
  /** Number of reboots; answers and timers of an earlier boot are ignored. */
  private bootCount = 0
  private deferred: Array<() => void> = []
  private readonly tasks: WorkerTasks
  private readonly simulation: Simulation

  constructor(private readonly options: MachineOptions) {
    const { id, type, zone, spot, simulation, nodes } = options
    this.id = id
    this.type = type
    this.zone = zone
    this.spot = spot
    this.simulation = simulation
    this.tasks = new WorkerTasks(this, options)
    this.rentedAt = simulation.now
    this.lastAnsweredAt = simulation.now
    this.nodeIndex = Math.floor(simulation.random.next() * nodes.length)
  }

  // --- power ------------------------------------------------------------------

  boot(): void {
    if (this.isPoweredOff) return
    this.status = "running"
    this.lastAnsweredAt = this.simulation.now
    this.options.network.listen(
      this.id,
      (request, _from, answer) => {
        const arrivedAt = this.simulation.now
        this.runWhenAwake(() => answer(this.serve(request, arrivedAt)))
      },
      true,
    )
    this.scheduleHeartbeat(0)
    this.checkLease(this.bootCount)
  }
  /** Restarts the machine; its tasks, cached images, agent epoch and fencing token are lost. */
  reboot(afterMs: number): void {
    if (this.isPoweredOff || this.status !== "running") return
    this.options.network.close(this.id)
    this.cancelHeartbeat()
    this.tasks.reset()
    this.agentEpoch = 1
    this.sequence = 0
    this.fencingToken = 0
    this.bootCount++
    this.isHeartbeatPending = false
    this.deferred = []
    this.hung = false
    this.simulation.after(afterMs, () => this.boot())
  }
  /** Ends the machine without a request; the cloud first lists it as running, and later as failed. */
  die(): void {
    const { isPoweredOff } = this
    this.remove()
    if (!isPoweredOff) this.simulation.after(LISTED_AS_RUNNING_MS, () => (this.status = "failed"))
  }
  /** Powers the machine off permanently: it runs no tasks and answers no requests. */
  remove(): void {
    if (this.isPoweredOff) return
    this.isPoweredOff = true
    this.options.network.close(this.id)
    this.cancelHeartbeat()
    this.tasks.dropAll()
  }

  setHung(isHung: boolean): void {
    this.hung = isHung
    if (isHung) return
    this.simulation.lastResumedAt = this.simulation.now
    const { deferred } = this
    this.deferred = []
    for (const run of deferred) run()
  }
  runWhenAwake(run: () => void): void {
    if (this.isPoweredOff) return
    if (this.hung) this.deferred.push(() => this.runWhenAwake(run))
    else run()
  }

  // --- dumps and observation ----------------------------------------------------

  dump(): MachineDump {
    const { id, zone, spot, status, rentedAt, agentEpoch, sequence, fencingToken, lastAnsweredAt } = this
    const images = [...this.tasks.cachedImages]
    const tasks = [...this.tasks.all()].map(([, task]) => task)
    const state = { status, rentedAt, agentEpoch, sequence, fencingToken, lastAnsweredAt, images, tasks }
    return encodeMachineDump({ id, machineType: this.type.name, zone, spot }, state)
  }
  /** Resumes from the state in a dump; checkpoints that were being saved are started again. */
  restore(dump: MachineDump): void {
    const state = decodeMachineDump(dump)
    this.rentedAt = state.rentedAt
    if (state.status !== "running") return
    this.agentEpoch = state.agentEpoch
    this.sequence = state.sequence
    this.fencingToken = state.fencingToken
    this.tasks.restoreImages(state.images)
    this.boot()
    this.lastAnsweredAt = state.lastAnsweredAt
    for (const task of state.tasks) this.tasks.restore(task)
  }
  /** Sequence number of the last heartbeat or answer that was encoded. */
  get lastSequence(): number {
    return this.sequence
  }
  /** Time since the last answered heartbeat was sent; 0 if the machine has no tasks to lose. */
  unansweredForMs(): number {
    const hasTasksToLose = this.status === "running" && this.tasks.size > 0
    return hasTasksToLose ? this.simulation.now - this.lastAnsweredAt : 0
  }
  get isHung(): boolean {
    return this.hung
  }
  /** Number of tasks that run or save a checkpoint. */
  get runningTaskCount(): number {
    return this.tasks.runningCount
  }
  /** Tasks that occupy the machine, including those whose image is being pulled. */
  occupants(): Iterable<Occupant> {
    return this.tasks.occupants()
  }
  /** Attempt of a task on this machine; 0: it does not have the task. */
  attemptOf(taskId: string): number {
    return this.tasks.get(taskId)?.attempt ?? 0
  }

  // --- lease ------------------------------------------------------------------

  private checkLease(boot: number): void {
    if (this.isPoweredOff || boot !== this.bootCount) return
    // Also checked during a hang: the machine runs nothing then, and has to resume within its lease.
    this.expireLease()
    this.simulation.after(LEASE_CHECK_INTERVAL_MS, () => this.checkLease(boot))
  }
  private expireLease(): void {
    if (this.simulation.now - this.lastAnsweredAt <= this.options.times.lease_s * 1000) return
    this.simulation.occurrences.count("tasks lost when their agent lease expired", this.runningTaskCount)
    this.tasks.dropAll()
    this.agentEpoch++
    this.lastAnsweredAt = this.simulation.now
    this.requestHeartbeat()
  }

  // --- commands ---------------------------------------------------------------

  private serve(request: Request, arrivedAt: number): Answer {
    if (request.path === "/inspect") return { status: 200, body: this.encodeHeartbeat() }
    const { fencingToken, agentEpoch, commands } = decodeCommands(request.body)
    if (fencingToken === undefined || agentEpoch === undefined) return { status: 400, body: {} }
    const { occurrences, now } = this.simulation
    const isFromDeposedLeader = fencingToken < this.fencingToken
    if (isFromDeposedLeader || agentEpoch !== this.agentEpoch) {
      occurrences.count(
        isFromDeposedLeader
          ? "commands of a former leader refused"
          : "commands of an earlier session refused",
      )
      return { status: 409, body: this.encodeHeartbeat() }
    }
    if (now - arrivedAt > COMMAND_TIMEOUT_MS) occurrences.count("commands carried out on resuming")
    this.raiseFencingToken(fencingToken)
    this.execute(commands)
    return { status: 200, body: this.encodeHeartbeat() }
  }
  private raiseFencingToken(token: number): void {
    if (token <= this.fencingToken) return
    this.fencingToken = token
    this.requestHeartbeat()
  }
  private execute(commands: ReadonlyArray<Command>): void {
    for (const { type, taskId, attempt, gracePeriodS } of commands) {
      const task = this.tasks.get(taskId)
      if (type === "start") this.tasks.start(taskId, attempt)
      else if (task === undefined || task.attempt !== attempt) continue
      else if (type === "purge") this.tasks.purge(taskId)
      else this.tasks.stop(task, gracePeriodS)
    }
    if (commands.length > 0) this.requestHeartbeat()
  }

  // --- heartbeats -------------------------------------------------------------

  requestHeartbeat(): void {
    this.hasChanged = true
    this.scheduleHeartbeat(this.nextHeartbeatDelayMs())
  }
  private nextHeartbeatDelayMs(): number {
    return Math.max(0, this.lastSentAt + MIN_HEARTBEAT_INTERVAL_MS - this.simulation.now)
  }
  private scheduleHeartbeat(ms: number): void {
    this.cancelHeartbeat()
    this.cancelHeartbeat = this.simulation.after(ms, () => this.runWhenAwake(() => this.sendHeartbeat()))
  }
  private encodeHeartbeat(): WireHeartbeat {
    const { id, type, zone, spot, agentEpoch, fencingToken, preemptedAt, simulation } = this
    return encodeHeartbeat({
      machineId: id,
      machineType: type.name,
      zone,
      spot,
      agentEpoch,
      sequence: ++this.sequence,
      fencingToken,
      preemptionNoticeS: preemptedAt === null ? null : Math.max(0, (preemptedAt - simulation.now) / 1000),
      tasks: this.tasks.all(),
    })
  }

  private sendHeartbeat(): void {
    if (this.isHeartbeatPending) return
    this.isHeartbeatPending = true
    this.hasChanged = false
    const { agentEpoch, bootCount: boot, simulation } = this
    const exchange: HeartbeatExchange = { sentAt: simulation.now, agentEpoch, boot, isOver: false }
    this.lastSentAt = exchange.sentAt
    const node = this.options.nodes[this.nodeIndex]!
    simulation.after(HEARTBEAT_TIMEOUT_MS, () =>
      this.runWhenAwake(() => this.finishExchange(exchange, () => this.tryNextNode())),
    )
    const request = { method: "POST", path: "/v1/report", body: this.encodeHeartbeat() }
    this.options.network.request(this.id, node, request, (answer) =>
      this.runWhenAwake(() => {
        if (simulation.now - exchange.sentAt >= HEARTBEAT_TIMEOUT_MS) return
        this.finishExchange(exchange, () => this.handleAnswer(exchange, answer))
      }),
    )
  }
  /** Ends an exchange once; does nothing if the machine has ended or rebooted since it was sent. */
  private finishExchange(exchange: HeartbeatExchange, next: () => void): void {
    if (exchange.isOver || this.isPoweredOff || exchange.boot !== this.bootCount) return
    exchange.isOver = true
    this.isHeartbeatPending = false
    next()
  }
  private tryNextNode(): void {
    this.nodeIndex = (this.nodeIndex + 1) % this.options.nodes.length
    this.scheduleHeartbeat(RETRY_DELAY_MS)
  }
  private handleAnswer(exchange: HeartbeatExchange, answer: Answer | null): void {
    if (answer?.status === 421) return this.followRedirect(answer)
    if (answer?.status !== 200) return this.tryNextNode()
    const { fencingToken = -1, commands } = decodeCommands(answer.body)
    // An answer for an earlier agent epoch, or under a lower fencing token than seen, extends no lease.
    if (exchange.agentEpoch === this.agentEpoch && fencingToken >= this.fencingToken) {
      this.lastAnsweredAt = exchange.sentAt
      this.raiseFencingToken(fencingToken)
      this.execute(commands)
    }
    const intervalMs = this.options.times.report_s * 1000 * this.simulation.random.between(0.75, 1.25)
    this.scheduleHeartbeat(this.hasChanged ? this.nextHeartbeatDelayMs() : intervalMs)
  }
  /** Sends the next heartbeat to the node that the answer names as the owner of this machine. */
  private followRedirect(answer: Answer): void {
    const index = this.options.nodes.indexOf(decodeRedirect(answer.body) ?? "")
    if (index < 0 || index === this.nodeIndex) return this.tryNextNode()
    this.nodeIndex = index
    this.scheduleHeartbeat(this.simulation.random.between(0, 500))
  }
}
