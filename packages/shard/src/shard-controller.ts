/**
 * Controller of one shard on its owner: the shard's jobs, its machines, and the control loops that reconcile
 * the actual state with the desired state. It never acts before failover is complete or without the node
 * lease: both are checked before each plan, reply, command and write.
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

/** Minimum pause between two plans. */
const MIN_PLAN_PAUSE_MS = 120
/** The pause after a plan is at least this many times its duration, to leave processor time to other work. */
const PLAN_PAUSE_FACTOR = 4
/** After this wait a plan is made even if none was requested. */
const MAX_PLAN_WAIT_MS = 1_000
/** Interval between checks of agent leases, preemption notices and preemption. */
const CHECK_INTERVAL_MS = 700

/**
 * Controller of one shard. It exists from a failover until the node loses the shard; when the node acquires
 * the shard again, a new controller is created.
 */
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
  private lastCheckAt: MonotonicTime = EARLIEST_TIME
  /** Whether failover is complete and the node has not lost the shard. */
  private isReady = false
  private isStopped = false
  private unsubscribers: ReadonlyArray<() => void> = []

  /** `epoch` is the shard epoch under which `node` acquired the shard `name`. */
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
      applyOutcomes: (session, outcomes) => this.workers.applyOutcomes(session, outcomes),
      markCommandsDue: (machine) => this.workers.markCommandsDue(machine),
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
   * Restores the shard, then runs its loops until the fiber is interrupted. The node's controller owns the
   * fiber and interrupts it when the node loses the shard.
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

  /** Called when the node has lost the shard: from then on it makes no decision and sends no reply for it. */
  stop(): void {
    this.isStopped = true
    this.isReady = false
    this.workers.stop()
    for (const unsubscribe of this.unsubscribers) unsubscribe()
  }

  /** Requests a plan soon, after a change outside the shard that may affect it. */
  requestPlan(): void {
    this.planSignal.notify()
  }

  /** Answers a heartbeat of one of the shard's machines; `forwardedBy` is null if received directly. */
  receiveHeartbeat(heartbeat: Heartbeat, forwardedBy: NodeName | null, respond: Respond): void {
    this.workers.receiveHeartbeat(heartbeat, forwardedBy, respond)
  }
  /** Returns the full heartbeat if `repeat` refers to the machine's latest heartbeat, otherwise null. */
  expandRepeat(repeat: RepeatedHeartbeat): Heartbeat | null {
    return this.machines.get(repeat.machineId)?.expandRepeat(repeat) ?? null
  }
  /** Takes over the state of a machine's worker that the machine's former owner handed off. */
  acceptHandoff(id: MachineId, handoff: MachineHandoff): void {
    this.machines.get(id)?.acceptHandoff(handoff, this.node.clocks.monotonicNow())
    this.planSignal.notify()
  }
  /** Task counts of each job, for display. */
  *taskCounts(): Iterable<TaskCounts> {
    for (const job of this.jobs.values())
      yield { jobId: job.id, done: job.finishedTaskCount, running: job.runningCount }
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
      this.unsubscribers = [
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

  // A loop rather than a Schedule: the pause depends on the plan's duration, and a signal ends the wait.
  private planLoop() {
    return Effect.gen({ self: this }, function* () {
      const { clocks } = this.node
      for (;;) {
        yield* this.planSignal.wait(MAX_PLAN_WAIT_MS)
        if (this.isStopped) return
        const startedAt = clocks.monotonicNow()
        if (this.holdsLease) this.reconcile(startedAt)
        this.workers.sendDueReplies()
        // Planning must not delay heartbeats, keep-alives of the node lease or health checks.
        const tookMs = clocks.monotonicNow() - startedAt
        yield* Effect.sleep(Math.max(MIN_PLAN_PAUSE_MS, PLAN_PAUSE_FACTOR * tookMs))
      }
    })
  }

  private reconcile(now: MonotonicTime): void {
    const isCheckDue = now >= addMs(this.lastCheckAt, CHECK_INTERVAL_MS)
    if (isCheckDue) {
      this.lastCheckAt = now
      this.checks.run()
    }
    this.planning.planOnce(isCheckDue)
    this.workers.pushCommands()
  }

  private startDurablePlacements(placements: ReadonlyArray<Placement>): void {
    for (const placement of placements) this.workers.markCommandsDue(placement.machine)
    this.workers.pushCommands()
  }

  // The components below depend on one another, so their callbacks read the other fields only when called.

  private makeMachineRecords(): MachineRecordWriter {
    const { store, membership, machineIndex, clocks, log } = this.node
    return new MachineRecordWriter({
      shard: this.name,
      epoch: this.epoch,
      shards: membership.shards,
      store,
      membership,
      machineIndex,
      now: clocks.monotonicNow,
      mayAct: () => this.mayAct,
      log,
    })
  }

  private makeRegistry(): JobRegistry {
    return new JobRegistry({
      shard: this.name,
      epoch: this.epoch,
      node: this.node,
      mayAct: () => this.mayAct,
      events: {
        onPlacementsDurable: (placements) => this.startDurablePlacements(placements),
        onJobAdded: (spec) => this.planning.recordArrival(spec),
        requestPlan: () => this.planSignal.notify(),
        releasePlacement: (placement) => this.machines.get(placement.machine)?.removePlacement(placement),
        markCommandsDue: (machine) => this.workers.markCommandsDue(machine),
        onJobRemoved: (job) => {
          this.failures.removeJob(job.id)
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
      onMachineRemoved: (session, cause) => {
        this.workers.removeMachine(session)
        this.workers.applyOutcomes(session, session.clearAll(cause))
      },
      requestPlan: () => this.planSignal.notify(),
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
      requestPlan: () => this.planSignal.notify(),
    })
  }

  private makePlanning(): ShardPlanning {
    return new ShardPlanning({
      shard: this,
      epoch: this.epoch,
      registry: this.registry,
      lending: this.lending,
      rentals: () => this.rentals,
      markCommandsDue: (machine) => this.workers.markCommandsDue(machine),
      requestPlan: () => this.planSignal.notify(),
    })
  }

  private makeRentals(): Rentals {
    return new Rentals({
      shard: this,
      machineRecords: this.machineRecords,
      mayAct: () => this.mayAct,
      isStopped: () => this.isStopped,
      requestPlan: () => this.planSignal.notify(),
      onDeleted: (session) => this.workers.applyOutcomes(session, session.clearAll("machine deleted")),
      lend: (session, to, demands) => this.lending.lend(session, to, demands),
      onDemandNeeded: () => this.planning.onDemandNeeded(),
      reserve: () => this.planning.reserve(),
      isIdle: (id) => this.planning.idleMachines.has(id),
      quotaLimitedJobs: () => this.planning.quotaLimitedJobs,
    })
  }
}
