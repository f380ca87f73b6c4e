/**
 * One shard's communication with its workers: takes heartbeats in and answers them; sends commands and applies
 * outcomes through modules of their own. Never answers 200 for a machine that this node may not act for: that
 * would renew the worker's lease. The lease is checked immediately before each reply.
 */
import {
  addMs,
  encodeHeartbeatReply,
  HEARTBEAT_UNAVAILABLE,
  type Heartbeat,
  type MachineId,
  type MonotonicTime,
  type NodeName,
  type OutgoingResponse,
  type Respond,
} from "@sorreltally/protocol"
import { cancellationBudget } from "@sorreltally/settings"
import type { Outcome, WorkerSession } from "@sorreltally/workers"
import { CommandDelivery } from "./command-delivery.ts"
import { DeferredReplies } from "./deferred-replies.ts"
import { fenceWhereNeeded } from "./fencing.ts"
import { TaskOutcomes } from "./task-outcomes.ts"
import type { WorkerCommunicationContext } from "./worker-communication-context.ts"
import { WorkerInspection } from "./worker-inspection.ts"

/** Heartbeat intervals of silence after which a heartbeat that looks like a late copy has the worker inspected. */
const INSPECT_AFTER_INTERVALS = 1.5

/** One shard's communication with its workers: heartbeats and their replies, and commands sent to them directly. */
export class WorkerCommunication {
  private readonly outcomes: TaskOutcomes
  private readonly commands: CommandDelivery
  private readonly inspection: WorkerInspection
  private readonly deferred: DeferredReplies
  /** A lease renewed later than this after a cancellation could outlast the cancellation limit. */
  private readonly renewableMs: number
  private readonly inspectAfterMs: number

  constructor(private readonly context: WorkerCommunicationContext) {
    const { clocks, platform, operators } = context.node
    const { workers } = platform.deployment
    const budget = cancellationBudget(workers, operators.membership)
    this.renewableMs = Math.max(0, budget.cancelMs - budget.worstCaseMs)
    this.inspectAfterMs = INSPECT_AFTER_INTERVALS * 1000 * workers.heartbeatIntervalS
    this.outcomes = new TaskOutcomes(context)
    this.inspection = new WorkerInspection(context, this.outcomes)
    this.deferred = new DeferredReplies(clocks.monotonicNow, (session) => this.makeReply(session))
    this.commands = new CommandDelivery(context, this.outcomes, (session) => this.deferred.replyNow(session))
  }

  /**
   * Answers a heartbeat of one of this shard's machines, received directly or forwarded by the node `via`;
   * 503 when this node may not act for the machine.
   * The reply to a heartbeat that frees capacity is deferred until the next plan: the starts it decides then
   * travel in the reply, where commands would cost both ends another request. The worker reports nothing new
   * for half a second anyway.
   */
  receiveHeartbeat(heartbeat: Heartbeat, via: NodeName | null, respond: Respond): void {
    const changesBefore = this.outcomes.capacityChanges
    const session = this.acceptHeartbeat(heartbeat)
    if (session === null) return respond(HEARTBEAT_UNAVAILABLE)
    session.via = via
    // The worker has given up the request that is still deferred.
    this.deferred.replyWith(session, HEARTBEAT_UNAVAILABLE)
    if (this.outcomes.capacityChanges === changesBefore || !this.context.hasUnplacedTasks())
      return respond(this.makeReply(session))
    this.deferred.defer(session, respond)
  }

  /** Applies to the jobs what a lease's expiry or a machine's deletion proves of their tasks. */
  apply(session: WorkerSession, outcomes: ReadonlyArray<Outcome>): void {
    this.outcomes.apply(session, outcomes)
  }
  /** The machine needs commands before its next heartbeat. */
  commandsDue(machine: MachineId): void {
    this.commands.commandsDue(machine)
  }
  /** Sends the commands that can't wait for the next heartbeat directly to the workers. */
  pushCommands(): void {
    this.commands.push()
  }
  /** The machine left the shard. */
  removeMachine(session: WorkerSession): void {
    this.commands.notDue(session)
  }
  /** Sends the deferred replies that are due. */
  replyWhereDue(): void {
    this.deferred.replyWhereDue()
  }
  /** The node lost the shard: refuses the deferred heartbeats. */
  stop(): void {
    this.deferred.replyToAll(HEARTBEAT_UNAVAILABLE)
  }

  /** Applies a heartbeat; null when this node may not act for its machine, or it is a late copy. */
  private acceptHeartbeat(heartbeat: Heartbeat): WorkerSession | null {
    const session = this.context.machines.get(heartbeat.machineId)
    if (!this.context.mayAct() || session === undefined) return null
    const now = this.context.node.clocks.monotonicNow()
    const wasDown = !session.isUp
    const outcomes = session.observe(heartbeat, "heartbeat", now)
    if (outcomes === null) {
      // A late copy proves nothing, and nobody waits for its reply. Or the worker restarted: its heartbeats
      // would then be taken for late copies for ever.
      if (session.silentMs(now) > this.inspectAfterMs) this.inspection.start(session, heartbeat)
      return null
    }
    this.outcomes.apply(session, outcomes)
    if (wasDown) this.outcomes.capacityChanged()
    return session
  }

  private makeReply(session: WorkerSession): OutgoingResponse {
    // While the reply was deferred, the machine may have left the shard, or the node lost its lease.
    if (!this.context.mayAct() || this.context.machines.get(session.id) !== session)
      return HEARTBEAT_UNAVAILABLE
    const now = this.context.node.clocks.monotonicNow()
    if (this.mustLetLeaseExpire(session, now)) {
      fenceWhereNeeded(this.context, session)
      return HEARTBEAT_UNAVAILABLE
    }
    const commands = session.selectCommands(now, (task) => this.context.registry.finishIsDurable(task))
    session.recordReply(commands, now)
    this.commands.notDue(session)
    fenceWhereNeeded(this.context, session)
    const reply = encodeHeartbeatReply({ fencingToken: session.token, commands })
    return { status: 200, body: reply }
  }

  /**
   * A delayed start of a cancelled task may be carried out as long as the worker's agent epoch and fencing
   * token are current. If the token can't be raised, the lease must not be renewed beyond what the
   * cancellation limit leaves.
   */
  private mustLetLeaseExpire(session: WorkerSession, now: MonotonicTime): boolean {
    const since = session.pendingCancelledStartSince()
    return since !== null && now > addMs(since, this.renewableMs)
  }
}
