import type { FailureTracker, JobState } from "@sorreltally/jobs"
import { NOT_SENT } from "@sorreltally/peers"
import {
  addMs,
  decodeHeartbeat,
  encodeHeartbeatReply,
  type Heartbeat,
  type MachineId,
  type MonotonicTime,
  type NodeName,
  type OutgoingResponse,
  type Respond,
} from "@sorreltally/protocol"
import type { MachineRecordWriter } from "@sorreltally/provisioning"
import { cancellationBudget } from "@sorreltally/settings"
import type { Outcome, WorkerSession } from "@sorreltally/workers"
import { Effect, Result } from "effect"
import { DeferredReplies } from "./deferred-replies.ts"
import type { JobRegistry } from "./job-registry.ts"
import type { NodeContext } from "./shard-context.ts"

const INSPECT_TIMEOUT_MS = 3_000
const COMMANDS_BACKOFF_MS = 4_000
const REFUSAL_PAUSE_MS = 250
const MAX_REFUSAL_PAUSE_MS = 30_000
const NOT_OWNER: OutgoingResponse = { status: 503, body: {} }

/** What the communication with workers uses of its shard. */
export interface WorkerCommunicationContext {
  readonly node: NodeContext
  readonly machines: ReadonlyMap<MachineId, WorkerSession>
  readonly registry: JobRegistry
  readonly machineRecords: MachineRecordWriter
  readonly failures: FailureTracker
  /** The shard's state is restored, and its node holds the lease to act for it. */
  readonly mayAct: () => boolean
  /** The node holds the lease to act for the shard, whether or not its state is restored. */
  readonly holdsLease: () => boolean
  /** The node has lost the shard. */
  readonly isStopped: () => boolean
  /** The last plan left tasks unplaced. */
  readonly hasUnplacedTasks: () => boolean
  /** There may be something to plan. */
  readonly changed: () => void
}

/** One shard's communication with its workers: heartbeats and their replies, and commands sent to them directly. */
export class WorkerCommunication {
  private readonly inspecting = new Set<MachineId>()
  /** Machines that need commands before their next heartbeat. */
  private readonly awaitingCommands = new Set<WorkerSession>()
  /** Some of them wait for requests in flight to end: the node sends only so many at a time. */
  private isThrottled = false
  private readonly deferred: DeferredReplies
  private capacityChanges = 0
  /** A lease renewed later than this after a cancellation could outlast the cancellation limit. */
  private readonly renewableMs: number

  constructor(private readonly context: WorkerCommunicationContext) {
    const { clocks, platform, operators } = context.node
    const budget = cancellationBudget(platform.deployment.workers, operators.membership)
    this.renewableMs = Math.max(0, budget.cancelMs - budget.worstCaseMs)
    this.deferred = new DeferredReplies(clocks.monotonicNow, (session) => this.makeReply(session))
  }

  /**
   * Answers a heartbeat of one of this shard's machines, received directly or forwarded by the node `via`;
   * 503 when this node may not act for the machine.
   * The reply to a heartbeat that frees capacity is deferred until the next plan: the starts it decides then
   * travel in the reply, where commands would cost both ends another request. The worker reports nothing new
   * for half a second anyway.
   */
  receiveHeartbeat(heartbeat: Heartbeat, via: NodeName | null, respond: Respond): void {
    const changesBefore = this.capacityChanges
    const session = this.acceptHeartbeat(heartbeat)
    if (session === null) return respond(NOT_OWNER)
    session.via = via
    // The worker has given up the request that is still deferred.
    this.deferred.replyWith(session, NOT_OWNER)
    if (this.capacityChanges === changesBefore || !this.context.hasUnplacedTasks())
      return respond(this.makeReply(session))
    this.deferred.defer(session, respond)
  }

  /** Applies a heartbeat; null when this node may not act for its machine, or it is a late copy. */
  private acceptHeartbeat(heartbeat: Heartbeat): WorkerSession | null {
    const session = this.context.machines.get(heartbeat.machineId)
    if (!this.context.mayAct() || session === undefined) return null
    const now = this.context.node.clocks.monotonicNow()
    const wasDown = !session.up
    const outcomes = session.observe(heartbeat, "heartbeat", now)
    if (outcomes === null) {
      // A late copy proves nothing, and nobody waits for its reply. Or the worker restarted: its heartbeats
      // would then be taken for late copies for ever.
      if (session.silentMs(now) > 1_500 * this.context.node.platform.deployment.workers.heartbeatIntervalS)
        this.inspect(session, heartbeat)
      return null
    }
    this.apply(session, outcomes)
    if (wasDown) this.capacityChanged()
    return session
  }

  private makeReply(session: WorkerSession): OutgoingResponse {
    // While the reply was deferred, the machine may have left the shard, or the node lost its lease.
    if (!this.context.mayAct() || this.context.machines.get(session.id) !== session) return NOT_OWNER
    const now = this.context.node.clocks.monotonicNow()
    if (this.mustLetLeaseExpire(session, now)) {
      this.fenceWhereNeeded(session)
      return NOT_OWNER
    }
    const commands = session.commands(now, (task) => this.context.registry.finishIsDurable(task))
    session.answering(commands, now)
    this.awaitingCommands.delete(session)
    this.fenceWhereNeeded(session)
    const reply = encodeHeartbeatReply({ fencingToken: session.token, commands })
    return { status: 200, body: reply }
  }

  /**
   * A delayed start of a cancelled task may be carried out as long as the worker's agent epoch and fencing
   * token are current. If the token can't be raised, the lease must not be renewed beyond what the
   * cancellation limit leaves.
   */
  private mustLetLeaseExpire(session: WorkerSession, now: MonotonicTime): boolean {
    const since = session.cancelledStartMayCome()
    return since !== null && now > addMs(since, this.renewableMs)
  }

  /** Asks the worker itself for its state: unlike a heartbeat, a response to `/inspect` is no late copy. */
  private inspect(session: WorkerSession, heartbeat: Heartbeat): void {
    if (this.inspecting.has(session.id)) return
    this.inspecting.add(session.id)
    const since = session.counters()
    const { httpClient, clocks, fork } = this.context.node
    const request = {
      address: heartbeat.address,
      method: "GET",
      path: "/inspect",
      timeoutMs: INSPECT_TIMEOUT_MS,
    } as const
    fork(
      Effect.gen({ self: this }, function* () {
        const response = yield* Effect.result(httpClient.call(request))
        const decoded = Result.isSuccess(response) ? decodeHeartbeat(response.success.body) : null
        if (
          decoded === null ||
          Result.isFailure(decoded) ||
          this.context.machines.get(session.id) !== session
        )
          return
        if (decoded.success.machineId !== session.id) return
        const outcomes = session.observe(decoded.success, "direct", clocks.monotonicNow())
        if (outcomes !== null) this.apply(session, outcomes)
        else if (session.restarted(decoded.success, since, clocks.monotonicNow()))
          this.context.node.log.info("worker restarted", {
            machine: session.id,
            agentEpoch: decoded.success.agentEpoch,
          })
        this.fenceWhereNeeded(session)
      }).pipe(Effect.ensuring(Effect.sync(() => this.inspecting.delete(session.id)))),
    )
  }

  private fenceWhereNeeded(session: WorkerSession): void {
    if (session.needsHigherToken() && !this.context.machineRecords.isEditing(session.id)) {
      if (session.unreachableSince !== null)
        this.context.node.log.info("machine unreachable, fenced", { machine: session.id })
      this.context.machineRecords.edit(session.id, { kind: "fence" }, (done) => {
        if (done) session.tokenRaised()
      })
    }
    if (session.warningUntil !== null) this.context.changed()
  }

  /** Applies to the jobs what a heartbeat, a lease's expiry or a machine's deletion proves of their tasks. */
  apply(session: WorkerSession, outcomes: ReadonlyArray<Outcome>): void {
    if (outcomes.length === 0) return
    const now = this.context.node.clocks.monotonicNow()
    let capacityChanged = false
    for (const outcome of outcomes) {
      const { placement } = outcome
      const { job } = placement
      if (outcome.kind === "running") {
        job.began(placement, now)
        this.context.node.log.debug("task running", {
          task: placement.task,
          jobClass: job.request.jobClass,
          machine: session.id,
          waitedS: (this.context.node.clocks.wallNow() - job.submitted) / 1000,
          fetchedS: (now - placement.placedAt) / 1000,
        })
        continue
      }
      capacityChanged = true
      if (outcome.kind === "done") {
        job.finish(placement.index)
        job.refusals = 0
        job.notBefore = null
        this.context.failures.succeeded(job.id, session.id)
        if (placement.runningSince !== null && placement.stop === null)
          this.context.node.estimates.learn(job.request, (now - placement.runningSince) / 1000)
      } else {
        job.clear(placement)
        const pauseMs = this.pauseAfter(outcome.cause, job, session, now)
        if (pauseMs > 0) job.notBefore = addMs(now, pauseMs)
        this.context.node.log.debug("task left machine", {
          task: placement.task,
          machine: session.id,
          cause: outcome.cause,
        })
      }
      this.context.registry.settle(job)
    }
    if (capacityChanged) this.capacityChanged()
  }
  /** How long a job has to pause after a task of it left its machine unfinished. */
  private pauseAfter(cause: string, job: JobState, session: WorkerSession, now: MonotonicTime): number {
    if (cause === "error") return this.recordFailure(job, session, now)
    if (cause !== "insufficientResources" && cause !== "unknown") return 0
    // Repeatedly refused starts are retried ever less often.
    job.refusals++
    return Math.min(MAX_REFUSAL_PAUSE_MS, REFUSAL_PAUSE_MS * 2 ** Math.min(7, job.refusals))
  }
  private recordFailure(job: JobState, session: WorkerSession, now: MonotonicTime): number {
    const { failures, node } = this.context
    const wasSuspect = failures.isSuspect(job.id)
    const pauseMs = failures.failed(job.id, session.id, now)
    if (!wasSuspect && failures.isSuspect(job.id))
      node.log.info("job fails on every machine", { job: job.id })
    return pauseMs
  }
  private capacityChanged(): void {
    this.capacityChanges++
    this.context.changed()
  }

  /** Sends the commands that can't wait for the next heartbeat directly to the workers. */
  pushCommands(): void {
    if (!this.context.holdsLease()) return
    const now = this.context.node.clocks.monotonicNow()
    for (const session of this.awaitingCommands) {
      // The others get theirs with their next reply, or once a request in flight has ended.
      this.isThrottled = this.context.node.commandsInFlight.full
      if (this.isThrottled) return
      if (this.deferred.has(session)) {
        this.deferred.replyNow(session)
        continue
      }
      if (session.commandsInFlight || session.address === null || session.agentEpoch === null) continue
      this.awaitingCommands.delete(session)
      if (now >= session.commandsPausedUntil) this.context.node.fork(this.sendCommands(session))
    }
  }
  /** The machine needs commands before its next heartbeat. */
  commandsDue(machine: MachineId): void {
    const session = this.context.machines.get(machine)
    if (session !== undefined) this.awaitingCommands.add(session)
  }
  /** The machine left the shard. */
  removeMachine(session: WorkerSession): void {
    this.awaitingCommands.delete(session)
  }
  /** Sends the deferred replies that are due. */
  replyWhereDue(): void {
    this.deferred.replyWhereDue()
  }
  /** The node lost the shard: refuses the deferred heartbeats. */
  stop(): void {
    this.deferred.replyToAll(NOT_OWNER)
  }

  private sendCommands(session: WorkerSession) {
    return Effect.suspend(() => {
      const now = this.context.node.clocks.monotonicNow()
      const { address, agentEpoch, token } = session
      if (session.commandsInFlight || address === null || agentEpoch === null || !this.context.holdsLease())
        return Effect.void
      const commands = session.commands(now, (task) => this.context.registry.finishIsDurable(task))
      if (!commands.some(({ kind }) => kind !== "purge")) return Effect.void
      session.sending(commands, now)
      const batch = { fencingToken: token, agentEpoch, commands }
      return Effect.map(this.context.node.commandForwarder.send(address, batch, session.via), (outcome) => {
        const isAnswered = outcome.status === 200 || outcome.status === 409 || outcome.status === NOT_SENT
        session.sent(commands, token, isAnswered)
        if (this.context.isStopped() || this.context.machines.get(session.id) !== session) return
        this.applyCommandResponse(session, outcome.heartbeat)
      })
    })
  }
  private applyCommandResponse(session: WorkerSession, heartbeat: Heartbeat | null): void {
    const now = this.context.node.clocks.monotonicNow()
    if (heartbeat === null) {
      session.commandsPausedUntil = addMs(now, COMMANDS_BACKOFF_MS)
      return
    }
    const outcomes = session.observe(heartbeat, "direct", now)
    if (outcomes !== null) this.apply(session, outcomes)
    this.fenceWhereNeeded(session)
    if (this.isThrottled || this.awaitingCommands.has(session)) this.pushCommands()
  }
}
