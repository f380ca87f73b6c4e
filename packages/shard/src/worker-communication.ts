/**
 * Communication of one shard with its workers: accepts heartbeats and answers them; separate modules send
 * commands and apply outcomes. It never answers 200 for a machine that this node may not act for, since that
 * would renew the agent lease. The node lease is checked immediately before each reply.
 */
import {
  encodeHeartbeatReply,
  HEARTBEAT_UNAVAILABLE,
  type Heartbeat,
  type MachineId,
  type NodeName,
  type OutgoingResponse,
  type Respond,
} from "@sorreltally/protocol"
import type { Outcome, WorkerSession } from "@sorreltally/workers"
import { CommandDelivery } from "./command-delivery.ts"
import { DeferredReplies } from "./deferred-replies.ts"
import { fenceIfNeeded } from "./fencing.ts"
import { TaskOutcomes } from "./task-outcomes.ts"
import type { WorkerCommunicationContext } from "./worker-communication-context.ts"
import { WorkerInspection } from "./worker-inspection.ts"

/** Heartbeat intervals without a valid message after which an apparent late copy triggers an inspection. */
const INSPECT_AFTER_INTERVALS = 1.5

/** Heartbeats of one shard's workers, the replies to them, and commands sent to the workers directly. */
export class WorkerCommunication {
  private readonly taskOutcomes: TaskOutcomes
  private readonly commandDelivery: CommandDelivery
  private readonly inspection: WorkerInspection
  private readonly deferredReplies: DeferredReplies
  private readonly inspectAfterMs: number

  constructor(private readonly context: WorkerCommunicationContext) {
    const { clocks, platform } = context.node
    const { workers } = platform.deployment
    this.inspectAfterMs = INSPECT_AFTER_INTERVALS * 1000 * workers.heartbeatIntervalS
    this.taskOutcomes = new TaskOutcomes(context)
    this.inspection = new WorkerInspection(context, this.taskOutcomes)
    this.deferredReplies = new DeferredReplies(clocks.monotonicNow, (session) => this.makeReply(session))
    this.commandDelivery = new CommandDelivery(context, this.taskOutcomes, (session) =>
      this.deferredReplies.replyNow(session),
    )
  }

  /**
   * Answers a heartbeat of one of the shard's machines, received directly or forwarded by the node
   * `forwardedBy`; answers 503 when this node may not act for the machine. The reply to a heartbeat that
   * frees capacity is deferred until the next plan, so that it carries the starts decided there; sending them
   * as commands would cost the node and the worker another request. The worker reports nothing new for half a
   * second in any case.
   */
  receiveHeartbeat(heartbeat: Heartbeat, forwardedBy: NodeName | null, respond: Respond): void {
    const changesBefore = this.taskOutcomes.capacityChangeCount
    const session = this.acceptHeartbeat(heartbeat)
    if (session === null) return respond(HEARTBEAT_UNAVAILABLE)
    session.forwardedBy = forwardedBy
    // The worker has abandoned the request that is still deferred, since it sends the next heartbeat.
    this.deferredReplies.replyWith(session, HEARTBEAT_UNAVAILABLE)
    if (this.taskOutcomes.capacityChangeCount === changesBefore || !this.context.hasUnplacedTasks())
      return respond(this.makeReply(session))
    this.deferredReplies.defer(session, respond)
  }

  /** Applies the outcomes of tasks that the expiry of an agent lease or the deletion of a machine proves. */
  applyOutcomes(session: WorkerSession, outcomes: ReadonlyArray<Outcome>): void {
    this.taskOutcomes.apply(session, outcomes)
  }
  /** Marks a machine that needs commands before its next heartbeat. */
  markCommandsDue(machine: MachineId): void {
    this.commandDelivery.markCommandsDue(machine)
  }
  /** Sends the commands that can't wait for the next heartbeat directly to the workers. */
  pushCommands(): void {
    this.commandDelivery.push()
  }
  /** Called when a machine has left the shard. */
  removeMachine(session: WorkerSession): void {
    this.commandDelivery.clearCommandsDue(session)
  }
  /** Sends the deferred replies that are due. */
  sendDueReplies(): void {
    this.deferredReplies.sendDueReplies()
  }
  /** Answers the deferred heartbeats with 503; called when the node has lost the shard. */
  stop(): void {
    this.deferredReplies.replyToAll(HEARTBEAT_UNAVAILABLE)
  }

  /** Applies a heartbeat; returns null if this node may not act for the machine or it is a late copy. */
  private acceptHeartbeat(heartbeat: Heartbeat): WorkerSession | null {
    const session = this.context.machines.get(heartbeat.machineId)
    if (!this.context.mayAct() || session === undefined) return null
    const now = this.context.node.clocks.monotonicNow()
    const wasDown = !session.isUp
    const outcomes = session.observe(heartbeat, "heartbeat", now)
    if (outcomes === null) {
      // A late copy proves nothing, and its sender no longer waits for the reply. But the worker may have
      // restarted: without an inspection, all its heartbeats would then be taken for late copies.
      if (session.silentMs(now) > this.inspectAfterMs) this.inspection.inspect(session, heartbeat)
      return null
    }
    this.taskOutcomes.apply(session, outcomes)
    if (wasDown) this.taskOutcomes.recordCapacityChange()
    return session
  }

  private makeReply(session: WorkerSession): OutgoingResponse {
    // While the reply was deferred, the machine may have left the shard or the node may have lost its lease.
    if (!this.context.mayAct() || this.context.machines.get(session.id) !== session)
      return HEARTBEAT_UNAVAILABLE
    const now = this.context.node.clocks.monotonicNow()
    const commands = session.selectCommands(now, (task) => this.context.registry.finishIsDurable(task))
    session.recordReply(commands, now)
    this.commandDelivery.clearCommandsDue(session)
    fenceIfNeeded(this.context, session)
    const reply = encodeHeartbeatReply({ fencingToken: session.token, commands })
    return { status: 200, body: reply }
  }
}
