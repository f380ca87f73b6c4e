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

const PLAN_SPACING_MS = 120
/** After a plan, everything else has the processor for this many times what the plan took. */
const PLAN_REST = 4
const TICK_MS = 1_000
/** Leases, warnings and preemption are looked at this often. */
const LOOK_MS = 700

/**
 * Everything one part's owner does: its jobs, its machines, and the loops
 * that bring what is closer to what is wanted. Lives from a take-over until
 * the part is lost.
 */
export class ShardController implements ShardView {
  readonly machines = new Map<MachineId, WorkerSession>()
  readonly assignments = new Map<MachineId, MachineAssignment>()
  readonly failures = new FailureTracker()
  private readonly planSignal = new Signal()
  private readonly blocks: MachineRecordWriter
  private readonly registry: JobRegistry
  private readonly rentals: Rentals
  private readonly planning: ShardPlanning
  private readonly workers: WorkerCommunication
  private lookedAt: MonotonicTime = NEVER
  ready = false
  private over = false
  private endListening: Array<() => void> = []

  constructor(
    readonly name: ShardName,
    readonly epoch: ModRevision,
    readonly node: NodeContext,
  ) {
    const { store, membership, machineIndex, clocks } = node
    const active = () => this.ready && this.active
    this.blocks = new MachineRecordWriter(
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
      durable: (placements) => this.placed(placements),
      arrived: (request) => this.planning.arrived(request),
      changed: () => this.planSignal.notify(),
      release: (placement) => this.machines.get(placement.machine)?.release(placement),
      commandsDue: (machine) => this.workers.commandsDue(machine),
      forgotten: (job) => this.jobForgotten(job),
      ready: () => this.ready,
    })
    this.workers = new WorkerCommunication({
      node: this.node,
      machines: this.machines,
      registry: this.registry,
      blocks: this.blocks,
      failures: this.failures,
      mayAct: active,
      holdsLease: () => this.active,
      isOver: () => this.over,
      workWaits: () => this.planning.workWaits,
      changed: () => this.planSignal.notify(),
    })
    const lending = new Lending(this, this.blocks, (task) => this.registry.finishIsDurable(task))
    this.planning = new ShardPlanning({
      shard: this,
      epoch,
      registry: this.registry,
      lending,
      rentals: () => this.rentals,
      commandsDue: (machine) => this.workers.commandsDue(machine),
      changed: () => this.planSignal.notify(),
    })
    this.rentals = new Rentals(this, this.blocks, active, () => this.over, {
      changed: () => this.planSignal.notify(),
      deleted: (session) => this.workers.apply(session, session.clearAll("machine deleted")),
      lend: (session, to, needs) => lending.lend(session, to, needs),
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
    this.over = true
    this.ready = false
    this.workers.stop()
    for (const end of this.endListening) end()
  }
  wake(): void {
    this.planSignal.notify()
  }
  private get active(): boolean {
    return !this.over && this.node.membership.holdsLease()
  }

  readonly run: Effect.Effect<void> = Effect.suspend(() =>
    Effect.gen({ self: this }, function* () {
      yield* this.takeOver()
      yield* Effect.all([this.planLoop(), this.registry.run, this.blocks.run, this.rentals.run], {
        concurrency: "unbounded",
        discard: true,
      })
    }),
  )

  // --- taking the part over -------------------------------------------------

  private takeOver() {
    return Effect.gen({ self: this }, function* () {
      const { membership, machineIndex } = this.node
      const { replica } = membership
      // Every job and machine of this part that a former owner acted on is in
      // the mirror once it has reached our epoch.
      while (replica.revision < this.epoch || this.node.inventory.catalog() === null) yield* Effect.sleep(20)
      let entries: ReadonlyArray<Entry> = []
      for (;;) {
        const read = yield* Effect.result(this.node.store.list(keys.slots(this.name)))
        if (Result.isSuccess(read)) {
          entries = read.success.items
          break
        }
        yield* Effect.sleep(200)
      }
      if (this.over) return
      const now = this.node.clocks.monotonicNow()
      for (const entry of machineIndex.all()) this.machineChanged(entry.id, entry)
      this.registry.restore(entries)
      for (const job of this.jobs.values()) {
        for (const placement of [...job.placements.values()]) {
          const session = this.machines.get(placement.machine)
          // A machine goes off the record only once its deletion was answered,
          // and moves only when no task can be on it.
          if (session === undefined) job.clear(placement)
          else session.hold(placement)
          if (job.cancelled) job.stop(placement, { reason: "cancelled", gracePeriodS: 0, since: now })
        }
        this.registry.settle(job)
      }
      this.endListening = [
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
      if (session !== undefined) this.dropMachine(session, entry === null ? "deleted" : "moved")
      return
    }
    if (session !== undefined) return session.update(entry)
    const type = this.node.inventory.catalog()?.get(entry.machineType)
    if (type === undefined) return
    const now = this.node.clocks.monotonicNow()
    const { leaseS, heartbeatIntervalS: reportS } = this.node.platform.deployment.workers
    const fresh = this.rentals.isOurs(id)
    const times = { leaseS, reportS }
    this.machines.set(id, new WorkerSession(id, entry, type, this.epoch, times, fresh, now))
    const age = Math.max(0, this.node.clocks.wallNow() - entry.rentedAt)
    const assignedJob = this.rentals.takeAssignedJob(id)
    this.assignments.set(id, {
      assignedJob: assignedJob !== null && this.jobs.has(assignedJob) ? assignedJob : null,
      rentedAt: addMs(now, -age),
      knownSince: now,
      returning: false,
      closing: false,
      moving: false,
    })
    this.planSignal.notify()
  }

  private dropMachine(session: WorkerSession, reason: string): void {
    this.machines.delete(session.id)
    this.assignments.delete(session.id)
    this.failures.forgetMachine(session.id)
    this.workers.drop(session)
    this.workers.apply(session, session.clearAll(reason))
  }

  // --- workers --------------------------------------------------------------

  receiveHeartbeat(body: Heartbeat, via: NodeName | null, answer: Respond): void {
    this.workers.report(body, via, answer)
  }
  /** The whole of a report that repeats the last word of its machine; null: that was another one. */
  repeated(repeat: RepeatedHeartbeat): Heartbeat | null {
    return this.machines.get(repeat.machineId)?.repeated(repeat) ?? null
  }

  // --- what became durable ----------------------------------------------------

  private placed(placements: ReadonlyArray<Placement>): void {
    for (const placement of placements) this.workers.commandsDue(placement.machine)
    this.workers.pushCommands()
  }

  private jobForgotten(job: JobState): void {
    this.failures.forgetJob(job.id)
    for (const assignment of this.assignments.values())
      if (assignment.assignedJob === job.id) assignment.assignedJob = null
  }

  // --- planning -------------------------------------------------------------

  private planLoop() {
    return Effect.gen({ self: this }, function* () {
      for (;;) {
        yield* this.planSignal.wait(TICK_MS)
        if (this.over) return
        const began = this.node.clocks.monotonicNow()
        if (this.active) {
          const look = began >= addMs(this.lookedAt, LOOK_MS)
          if (look) {
            this.lookedAt = began
            this.checkLeases()
            this.checkWarnings()
          }
          this.planning.planOnce(look)
          this.workers.pushCommands()
        }
        this.workers.answerReady()
        // Reports, grants and health checks must not wait for plans.
        const tookMs = this.node.clocks.monotonicNow() - began
        yield* Effect.sleep(Math.max(PLAN_SPACING_MS, PLAN_REST * tookMs))
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
      // What is left may still start there: only the machine's deletion frees it at once.
      if (session.placements.size > 0) this.rentals.release(session, "lease expired with a start in flight")
    }
  }

  /** A machine about to be taken back: whatever can save does so in time, the rest runs on until the end. */
  private checkWarnings(): void {
    const now = this.node.clocks.monotonicNow()
    for (const session of this.machines.values()) {
      if (session.warningUntil === null) continue
      const leftS = (session.warningUntil - now) / 1000
      for (const placement of session.placements.values()) {
        const { checkpointIntervalS: snapshotS, checkpointSaveS } = placement.job.request
        if (placement.stop !== null || snapshotS === 0) continue
        // Reports, and the stop itself, need a moment too.
        if (leftS >= checkpointSaveS + 3) continue
        placement.job.stop(placement, {
          reason: "drain",
          gracePeriodS: Math.max(checkpointSaveS, leftS),
          since: now,
        })
        this.workers.commandsDue(session.id)
      }
    }
  }

  /** The former owner tells us of a machine that is now ours. */
  acceptHandoff(id: MachineId, by: MachineHandoff): void {
    this.machines.get(id)?.acceptHandoff(by, this.node.clocks.monotonicNow())
    this.planSignal.notify()
  }

  /** Tasks for display. */
  *counts(): Iterable<TaskCounts> {
    for (const job of this.jobs.values()) yield { jobId: job.id, done: job.done, running: job.running }
  }
}
