/**
 * Everything one shard's owner does: its jobs, its machines, and the control loops that reconcile the actual
 * state with the desired one. Never acts before failover is complete or without the node's lease: both are
 * checked before each plan, reply, command and write.
 */
import { Signal } from "@sorreltally/concurrency"
import { FailureTracker, type JobState, type Placement } from "@sorreltally/jobs"
import type { TaskCounts } from "@sorreltally/peers"
import {
  addMs,
  EARLIEST_TIME,
  type Heartbeat,
  type JobId,
  type MachineId,
  type ModRevision,
  type MonotonicTime,
  type NodeName,
  type Respond,
  type ShardName,
} from "@sorreltally/protocol"
import { MachineRecordWriter } from "@sorreltally/provisioning"
import type { MachineHandoff, RepeatedHeartbeat, WorkerSession } from "@sorreltally/workers"
import { Effect } from "effect"
import { JobRegistry } from "./job-registry.ts"
import { Lending } from "./lending.ts"
import { MachineChecks } from "./machine-checks.ts"
import { Rentals } from "./rentals.ts"
import type { MachineAssignment, NodeContext, ShardView } from "./shard-context.ts"
import { readSlots, restoreJobs } from "./shard-failover.ts"
import { ShardMachines } from "./shard-machines.ts"
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

/** Controller of one shard. Lives from a failover until the shard is lost; a shard acquired again gets a new one. */
export class ShardController implements ShardView {
  readonly failures = new FailureTracker()
  private readonly planSignal = new Signal()
  private readonly shardMachines: ShardMachines
  private readonly machineRecords: MachineRecordWriter
  private readonly registry: JobRegistry
  private readonly lending: Lending
  private readonly rentals: Rentals
  private readonly planning: ShardPlanning
  private readonly workers: WorkerCommunication
  private readonly checks: MachineChecks
  private checkedAt: MonotonicTime = EARLIEST_TIME
  /** Failover is complete, and the shard isn't lost. */
  private isReady = false
  private isStopped = false
  private unsubscribe: ReadonlyArray<() => void> = []

  /** `epoch`: the shard epoch under which the node `node` acquired the shard `name`. */
  constructor(
    readonly name: ShardName,
    readonly epoch: ModRevision,
    readonly node: NodeContext,
  ) {
    this.machineRecords = this.makeMachineRecords()
    this.registry = this.makeRegistry()
    this.shardMachines = this.makeMachines()
    this.workers = this.makeWorkers()
    this.lending = new Lending(this, this.machineRecords, (task) => this.registry.finishIsDurable(task))
    this.planning = this.makePlanning()
    this.rentals = this.makeRentals()
    this.checks = new MachineChecks({
      shard: this,
      apply: (session, outcomes) => this.workers.apply(session, outcomes),
      release: (session, reason) => this.rentals.release(session, reason),
      commandsDue: (machine) => this.workers.commandsDue(machine),
    })
  }

  get jobs(): ReadonlyMap<JobId, JobState> {
    return this.registry.jobs
  }
  get machines(): ReadonlyMap<MachineId, WorkerSession> {
    return this.shardMachines.sessions
  }
  get assignments(): ReadonlyMap<MachineId, MachineAssignment> {
    return this.shardMachines.assignments
  }
  get pendingRentals(): ShardView["pendingRentals"] {
    return this.rentals.pendingRentals
  }

  /**
   * Restores the shard, then runs its loops until it is stopped. Its fiber is owned by the node's controller,
   * which interrupts it when the shard is lost.
   */
  readonly run: Effect.Effect<void> = Effect.suspend(() =>
    Effect.gen({ self: this }, function* () {
      yield* this.failOver()
      yield* Effect.all([this.planLoop(), this.registry.run, this.machineRecords.run, this.rentals.run], {
        concurrency: "unbounded",
        discard: true,
      })
    }),
  )

  /** The node lost the shard: nothing is decided or answered for it any more. */
  stop(): void {
    this.isStopped = true
    this.isReady = false
    this.workers.stop()
    for (const unsubscribe of this.unsubscribe) unsubscribe()
  }

  /** Has a plan made soon: something outside the shard changed that may concern it. */
  wake(): void {
    this.planSignal.notify()
  }

  /** Answers a heartbeat of a machine of this shard; `via`: the node that forwarded it, null: none. */
  receiveHeartbeat(heartbeat: Heartbeat, via: NodeName | null, respond: Respond): void {
    this.workers.receiveHeartbeat(heartbeat, via, respond)
  }
  /** The whole of a heartbeat that repeats its machine's last one; null: the last one was another. */
  repeated(repeat: RepeatedHeartbeat): Heartbeat | null {
    return this.machines.get(repeat.machineId)?.expandRepeat(repeat) ?? null
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

  private get holdsLease(): boolean {
    return !this.isStopped && this.node.membership.holdsLease()
  }
  private get mayAct(): boolean {
    return this.isReady && this.holdsLease
  }

  private failOver() {
    return Effect.gen({ self: this }, function* () {
      const { clocks, jobIndex, log, machineIndex } = this.node
      const slots = yield* readSlots(this, this.epoch)
      if (this.isStopped) return
      const now = clocks.monotonicNow()
      for (const entry of machineIndex.all()) this.shardMachines.machineChanged(entry.id, entry)
      restoreJobs(this, this.registry, slots, now)
      this.unsubscribe = [
        jobIndex.listen((id, job) => this.registry.jobChanged(id, job)),
        machineIndex.listen((id, entry) => this.shardMachines.machineChanged(id, entry)),
      ]
      this.isReady = true
      log.info("shard ready", {
        shard: this.name,
        epoch: this.epoch,
        jobs: this.jobs.size,
        machines: this.machines.size,
        slots: slots.length,
      })
      this.planSignal.notify()
    })
  }

  // A loop in place of a Schedule: its pause follows what the plan took, and a signal cuts the wait short.
  private planLoop() {
    return Effect.gen({ self: this }, function* () {
      const { clocks } = this.node
      for (;;) {
        yield* this.planSignal.wait(MAX_PLAN_WAIT_MS)
        if (this.isStopped) return
        const startedAt = clocks.monotonicNow()
        if (this.holdsLease) this.reconcile(startedAt)
        this.workers.replyWhereDue()
        // Heartbeats, node leases and health checks must not wait for plans.
        const tookMs = clocks.monotonicNow() - startedAt
        yield* Effect.sleep(Math.max(MIN_PLAN_PAUSE_MS, PLAN_PAUSE_FACTOR * tookMs))
      }
    })
  }

  private reconcile(now: MonotonicTime): void {
    const isCheckDue = now >= addMs(this.checkedAt, CHECK_INTERVAL_MS)
    if (isCheckDue) {
      this.checkedAt = now
      this.checks.run()
    }
    this.planning.planOnce(isCheckDue)
    this.workers.pushCommands()
  }

  private startPlaced(placements: ReadonlyArray<Placement>): void {
    for (const placement of placements) this.workers.commandsDue(placement.machine)
    this.workers.pushCommands()
  }

  // The members below use one another: their callbacks look the others up when they are called.

  private makeMachineRecords(): MachineRecordWriter {
    const { store, membership, machineIndex, clocks } = this.node
    return new MachineRecordWriter({
      shard: this.name,
      epoch: this.epoch,
      shards: membership.shards,
      store,
      membership,
      machineIndex,
      now: clocks.monotonicNow,
      mayAct: () => this.mayAct,
    })
  }

  private makeRegistry(): JobRegistry {
    return new JobRegistry({
      shard: this.name,
      epoch: this.epoch,
      node: this.node,
      mayAct: () => this.mayAct,
      events: {
        durable: (placements) => this.startPlaced(placements),
        arrived: (spec) => this.planning.arrived(spec),
        changed: () => this.planSignal.notify(),
        release: (placement) => this.machines.get(placement.machine)?.removePlacement(placement),
        commandsDue: (machine) => this.workers.commandsDue(machine),
        removed: (job) => {
          this.failures.forgetJob(job.id)
          this.shardMachines.unassign(job.id)
        },
        isReady: () => this.isReady,
      },
    })
  }

  private makeMachines(): ShardMachines {
    return new ShardMachines({
      shard: this,
      epoch: this.epoch,
      isRecording: (id) => this.rentals.isRecording(id),
      takeAssignedJob: (id) => this.rentals.takeAssignedJob(id),
      removed: (session, cause) => {
        this.workers.removeMachine(session)
        this.workers.apply(session, session.clearAll(cause))
      },
      changed: () => this.planSignal.notify(),
    })
  }

  private makeWorkers(): WorkerCommunication {
    return new WorkerCommunication({
      node: this.node,
      machines: this.machines,
      registry: this.registry,
      machineRecords: this.machineRecords,
      failures: this.failures,
      mayAct: () => this.mayAct,
      holdsLease: () => this.holdsLease,
      isStopped: () => this.isStopped,
      hasUnplacedTasks: () => this.planning.hasUnplacedTasks,
      changed: () => this.planSignal.notify(),
    })
  }

  private makePlanning(): ShardPlanning {
    return new ShardPlanning({
      shard: this,
      epoch: this.epoch,
      registry: this.registry,
      lending: this.lending,
      rentals: () => this.rentals,
      commandsDue: (machine) => this.workers.commandsDue(machine),
      changed: () => this.planSignal.notify(),
    })
  }

  private makeRentals(): Rentals {
    return new Rentals({
      shard: this,
      machineRecords: this.machineRecords,
      mayAct: () => this.mayAct,
      isStopped: () => this.isStopped,
      changed: () => this.planSignal.notify(),
      deleted: (session) => this.workers.apply(session, session.clearAll("machine deleted")),
      lend: (session, to, demands) => this.lending.lend(session, to, demands),
      onDemandNeeded: () => this.planning.onDemandNeeded(),
      reserve: () => this.planning.reserve(),
      isIdle: (id) => this.planning.idle.has(id),
      quotaLimitedJobs: () => this.planning.quotaLimitedJobs,
    })
  }
}
