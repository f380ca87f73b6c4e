import { Signal } from "@sorreltally/concurrency"
import { FailureTracker, type JobState, type Placement } from "@sorreltally/jobs"
import type { TaskCounts } from "@sorreltally/peers"
import {
  addMs,
  type Heartbeat,
  type JobId,
  type MachineId,
  type ModRevision,
  type MonotonicTime,
  NEVER,
  type NodeName,
  type Respond,
  type ShardName,
} from "@sorreltally/protocol"
import { MachineRecordWriter } from "@sorreltally/provisioning"
import { type Entry, keys } from "@sorreltally/store"
import {
  type MachineEntry,
  type MachineHandoff,
  type RepeatedHeartbeat,
  WorkerSession,
} from "@sorreltally/workers"
import { Effect, Result } from "effect"
import { JobRegistry } from "./job-registry.ts"
import { Lending } from "./lending.ts"
import { Rentals } from "./rentals.ts"
import type { MachineAssignment, NodeContext, ShardView } from "./shard-context.ts"
import { ShardPlanning } from "./shard-planning.ts"
import { WorkerCommunication } from "./worker-communication.ts"

/** Between two plans at least. */
const MIN_PLAN_PAUSE_MS = 120
/** After a plan, other work has the processor for this many times what the plan took. */
const PLAN_PAUSE_FACTOR = 4
/** A plan is made at least this often. */
const MAX_PLAN_WAIT_MS = 1_000
/** Leases, preemption notices and preemption are checked this often. */
const CHECK_INTERVAL_MS = 700
/** From the decision to stop a task until it starts its checkpoint, at most: a heartbeat and the command. */
const STOP_DELAY_S = 3
/** While the replica, the catalog or the slots can't be read yet, failover looks again this often. */
const REPLICA_POLL_MS = 20
const SLOTS_RETRY_MS = 200

/**
 * Everything one shard's owner does: its jobs, its machines, and the control loops that reconcile the actual
 * state with the desired one. Lives from a failover until the shard is lost.
 */
export class ShardController implements ShardView {
  readonly machines = new Map<MachineId, WorkerSession>()
  readonly assignments = new Map<MachineId, MachineAssignment>()
  readonly failures = new FailureTracker()
  private readonly planSignal = new Signal()
  private readonly machineRecords: MachineRecordWriter
  private readonly registry: JobRegistry
  private readonly rentals: Rentals
  private readonly planning: ShardPlanning
  private readonly workers: WorkerCommunication
  private checkedAt: MonotonicTime = NEVER
  ready = false
  private stopped = false
  private unsubscribe: Array<() => void> = []

  constructor(
    readonly name: ShardName,
    readonly epoch: ModRevision,
    readonly node: NodeContext,
  ) {
    const { store, membership, machineIndex, clocks } = node
    const active = () => this.ready && this.active
    this.machineRecords = new MachineRecordWriter(
      name,
      epoch,
      membership.shards,
      store,
      membership,
      machineIndex,
      clocks.monotonicNow,
      active,
    )
    this.registry = new JobRegistry(name, epoch, node, active, {
      durable: (placements) => this.startPlaced(placements),
      arrived: (request) => this.planning.arrived(request),
      changed: () => this.planSignal.notify(),
      release: (placement) => this.machines.get(placement.machine)?.release(placement),
      commandsDue: (machine) => this.workers.commandsDue(machine),
      removed: (job) => this.removeJob(job),
      isReady: () => this.ready,
    })
    this.workers = new WorkerCommunication({
      node: this.node,
      machines: this.machines,
      registry: this.registry,
      machineRecords: this.machineRecords,
      failures: this.failures,
      mayAct: active,
      holdsLease: () => this.active,
      isStopped: () => this.stopped,
      hasUnplacedTasks: () => this.planning.workWaits,
      changed: () => this.planSignal.notify(),
    })
    const lending = new Lending(this, this.machineRecords, (task) => this.registry.finishIsDurable(task))
    this.planning = new ShardPlanning({
      shard: this,
      epoch,
      registry: this.registry,
      lending,
      rentals: () => this.rentals,
      commandsDue: (machine) => this.workers.commandsDue(machine),
      changed: () => this.planSignal.notify(),
    })
    this.rentals = new Rentals({
      shard: this,
      machineRecords: this.machineRecords,
      mayAct: active,
      isStopped: () => this.stopped,
      changed: () => this.planSignal.notify(),
      deleted: (session) => this.workers.apply(session, session.clearAll("machine deleted")),
      lend: (session, to, demands) => lending.lend(session, to, demands),
      onDemandNeeded: () => this.planning.onDemandNeeded(),
      reserve: () => this.planning.reserve(),
      isIdle: (id) => this.planning.idle.has(id),
      heldBack: () => this.planning.heldBack,
    })
  }

  get jobs(): ReadonlyMap<JobId, JobState> {
    return this.registry.jobs
  }
  get pendingRentals(): ShardView["pendingRentals"] {
    return this.rentals.pendingRentals
  }
  stop(): void {
    this.stopped = true
    this.ready = false
    this.workers.stop()
    for (const end of this.unsubscribe) end()
  }
  wake(): void {
    this.planSignal.notify()
  }
  private get active(): boolean {
    return !this.stopped && this.node.membership.holdsLease()
  }

  readonly run: Effect.Effect<void> = Effect.suspend(() =>
    Effect.gen({ self: this }, function* () {
      yield* this.failOver()
      yield* Effect.all([this.planLoop(), this.registry.run, this.machineRecords.run, this.rentals.run], {
        concurrency: "unbounded",
        discard: true,
      })
    }),
  )

  // --- failover -------------------------------------------------

  private failOver() {
    return Effect.gen({ self: this }, function* () {
      const { membership, machineIndex } = this.node
      const { replica } = membership
      // Every job and machine of this shard that a former owner acted on is in the replica once it has
      // reached our shard epoch.
      while (replica.revision < this.epoch || this.node.inventory.catalog() === null)
        yield* Effect.sleep(REPLICA_POLL_MS)
      let entries: ReadonlyArray<Entry> = []
      for (;;) {
        const read = yield* Effect.result(this.node.store.list(keys.slots(this.name)))
        if (Result.isSuccess(read)) {
          entries = read.success.items
          break
        }
        yield* Effect.sleep(SLOTS_RETRY_MS)
      }
      if (this.stopped) return
      const now = this.node.clocks.monotonicNow()
      for (const entry of machineIndex.all()) this.machineChanged(entry.id, entry)
      this.registry.restore(entries)
      for (const job of this.jobs.values()) {
        for (const placement of [...job.placements.values()]) {
          const session = this.machines.get(placement.machine)
          // A machine's record is removed only after the response to its deletion, and it moves to another
          // shard only when no task can be on it.
          if (session === undefined) job.clear(placement)
          else session.hold(placement)
          if (job.cancelled) job.stop(placement, { reason: "cancelled", leewayS: 0, since: now })
        }
        this.registry.settle(job)
      }
      this.unsubscribe = [
        this.node.jobIndex.listen((id, job) => this.registry.jobChanged(id, job)),
        machineIndex.listen((id, entry) => this.machineChanged(id, entry)),
      ]
      this.ready = true
      this.node.log.info("shard ready", {
        shard: this.name,
        epoch: this.epoch,
        jobs: this.jobs.size,
        machines: this.machines.size,
        slots: entries.length,
      })
      this.planSignal.notify()
    })
  }

  private machineChanged(id: MachineId, entry: MachineEntry | null): void {
    const session = this.machines.get(id)
    if (entry === null || entry.shard !== this.name) {
      if (session !== undefined) this.removeMachine(session, entry === null ? "deleted" : "moved")
      return
    }
    if (session !== undefined) return session.update(entry)
    const type = this.node.inventory.catalog()?.get(entry.machineType)
    if (type === undefined) return
    const now = this.node.clocks.monotonicNow()
    const { leaseS, heartbeatIntervalS: reportS } = this.node.platform.deployment.workers
    const fresh = this.rentals.isRecording(id)
    const times = { leaseS, reportS }
    this.machines.set(id, new WorkerSession(id, entry, type, this.epoch, times, fresh, now))
    const age = Math.max(0, this.node.clocks.wallNow() - entry.rentedAt)
    const assignedJob = this.rentals.takeAssignedJob(id)
    this.assignments.set(id, {
      assignedJob: assignedJob !== null && this.jobs.has(assignedJob) ? assignedJob : null,
      rentedAt: addMs(now, -age),
      knownSince: now,
      releasing: false,
      closing: false,
      moving: false,
    })
    this.planSignal.notify()
  }

  private removeMachine(session: WorkerSession, reason: string): void {
    this.machines.delete(session.id)
    this.assignments.delete(session.id)
    this.failures.forgetMachine(session.id)
    this.workers.removeMachine(session)
    this.workers.apply(session, session.clearAll(reason))
  }

  // --- workers --------------------------------------------------------------

  receiveHeartbeat(heartbeat: Heartbeat, via: NodeName | null, respond: Respond): void {
    this.workers.receiveHeartbeat(heartbeat, via, respond)
  }
  /** The whole of a heartbeat that repeats its machine's last one; null: the last one was another. */
  repeated(repeat: RepeatedHeartbeat): Heartbeat | null {
    return this.machines.get(repeat.machineId)?.repeated(repeat) ?? null
  }

  // --- what became durable ----------------------------------------------------

  private startPlaced(placements: ReadonlyArray<Placement>): void {
    for (const placement of placements) this.workers.commandsDue(placement.machine)
    this.workers.pushCommands()
  }

  private removeJob(job: JobState): void {
    this.failures.forgetJob(job.id)
    for (const assignment of this.assignments.values())
      if (assignment.assignedJob === job.id) assignment.assignedJob = null
  }

  // --- planning -------------------------------------------------------------

  private planLoop() {
    return Effect.gen({ self: this }, function* () {
      for (;;) {
        yield* this.planSignal.wait(MAX_PLAN_WAIT_MS)
        if (this.stopped) return
        const startedAt = this.node.clocks.monotonicNow()
        if (this.active) {
          const checks = startedAt >= addMs(this.checkedAt, CHECK_INTERVAL_MS)
          if (checks) {
            this.checkedAt = startedAt
            this.checkLeases()
            this.checkPreemptionNotices()
          }
          this.planning.planOnce(checks)
          this.workers.pushCommands()
        }
        this.workers.replyWhereDue()
        // Heartbeats, node leases and health checks must not wait for plans.
        const tookMs = this.node.clocks.monotonicNow() - startedAt
        yield* Effect.sleep(Math.max(MIN_PLAN_PAUSE_MS, PLAN_PAUSE_FACTOR * tookMs))
      }
    })
  }

  private checkLeases(): void {
    const now = this.node.clocks.monotonicNow()
    for (const session of this.machines.values()) {
      if ((!session.up && session.placements.size === 0) || !session.leaseOver(now)) continue
      const tasks = session.placements.size
      const ended = session.expireLease()
      if (ended.length > 0 || tasks === 0)
        this.node.log.info("agent lease expired", { machine: session.id, tasks })
      this.workers.apply(session, ended)
      // What is left may still start there: only the machine's deletion proves at once that it can't.
      if (session.placements.size > 0) this.rentals.release(session, "lease expired with a start in flight")
    }
  }

  /** Machines with a preemption notice: tasks that checkpoint do so in time, the others run on until the end. */
  private checkPreemptionNotices(): void {
    const now = this.node.clocks.monotonicNow()
    for (const session of this.machines.values()) {
      if (session.warningUntil === null) continue
      const leftS = (session.warningUntil - now) / 1000
      for (const placement of session.placements.values()) {
        const { checkpointIntervalS, checkpointSaveS } = placement.job.request
        if (placement.stop !== null || checkpointIntervalS === 0) continue
        // Heartbeats, and the stop itself, take time too.
        if (leftS >= checkpointSaveS + STOP_DELAY_S) continue
        placement.job.stop(placement, {
          reason: "drain",
          leewayS: Math.max(checkpointSaveS, leftS),
          since: now,
        })
        this.workers.commandsDue(session.id)
      }
    }
  }

  /** The former owner handed off a machine of this shard. */
  acceptHandoff(id: MachineId, handoff: MachineHandoff): void {
    this.machines.get(id)?.acceptHandoff(handoff, this.node.clocks.monotonicNow())
    this.planSignal.notify()
  }

  /** Each job's task counts, for display. */
  *taskCounts(): Iterable<TaskCounts> {
    for (const job of this.jobs.values()) yield { jobId: job.id, done: job.done, running: job.running }
  }
}
