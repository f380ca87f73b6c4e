/**
 * Sends commands that can't wait for the reply to the next heartbeat directly to the workers. A command may
 * be late, lost or repeated, also after its worker restarted. So starts are never sent this way: the worker is
 * made to send a heartbeat, and the reply carries them.
 */
import { addMs, type Heartbeat, type MachineId } from "@sorreltally/protocol"
import type { MessageCounters, WorkerSession } from "@sorreltally/workers"
import { Effect } from "effect"
import { fenceIfNeeded } from "./fencing.ts"
import type { TaskOutcomes } from "./task-outcomes.ts"
import type { WorkerCommunicationContext } from "./worker-communication-context.ts"

/** After a request without a response, the worker gets commands only in heartbeat replies for this long. */
const DIRECT_COMMANDS_BACKOFF_MS = 4_000

/** Sends commands of one shard to the addresses of its workers. */
export class CommandDelivery {
  /** Sessions of machines that need commands before their next heartbeat. */
  private readonly sessionsWithCommandsDue = new Set<WorkerSession>()
  /** Whether sessions wait because the node has reached its limit of command requests in flight. */
  private isThrottled = false

  constructor(
    private readonly context: WorkerCommunicationContext,
    private readonly taskOutcomes: TaskOutcomes,
    /** Sends the machine's commands in its deferred reply; returns false if no reply is deferred. */
    private readonly replyIfDeferred: (session: WorkerSession) => boolean,
  ) {}

  /** Marks a machine that needs commands before its next heartbeat. */
  markCommandsDue(machine: MachineId): void {
    const session = this.context.machines.get(machine)
    if (session !== undefined) this.sessionsWithCommandsDue.add(session)
  }
  /** Removes the mark, after a reply has carried the commands or the machine has left the shard. */
  clearCommandsDue(session: WorkerSession): void {
    this.sessionsWithCommandsDue.delete(session)
  }

  /** Sends the commands that are due, up to the node's limit of command requests in flight. */
  push(): void {
    if (!this.context.holdsLease()) return
    const now = this.context.node.clocks.monotonicNow()
    for (const session of this.sessionsWithCommandsDue) {
      // The remaining machines get their commands in the next reply, or after a request in flight has ended.
      this.isThrottled = this.context.node.commandsInFlight.isFull
      if (this.isThrottled) return
      if (this.replyIfDeferred(session)) continue
      if (session.commandsInFlight || session.address === null || session.agentEpoch === null) continue
      this.sessionsWithCommandsDue.delete(session)
      // The node owns the fiber: a request in flight ends by its own time-out, even if the shard is lost.
      if (now >= session.commandsPausedUntil) this.context.node.fork(this.send(session))
    }
  }

  private send(session: WorkerSession) {
    return Effect.suspend(() => {
      const { node, registry } = this.context
      const now = node.clocks.monotonicNow()
      const { address, agentEpoch, token } = session
      // Checked again, since the fiber may start some time after the fork.
      if (session.commandsInFlight || address === null || agentEpoch === null || !this.context.holdsLease())
        return Effect.void
      const commands = session.selectDirectCommands(now, (task) => registry.finishIsDurable(task))
      if (!commands.some(({ kind }) => kind !== "purge")) return Effect.void
      session.recordDirectCommands(commands)
      const countersBefore = session.counters()
      const batch = { fencingToken: token, agentEpoch, commands }
      return Effect.map(node.commandForwarder.send(address, batch, session.forwardedBy), ({ heartbeat }) => {
        session.recordDirectResult()
        if (this.context.isStopped() || this.context.machines.get(session.id) !== session) return
        this.applyResponse(session, heartbeat, countersBefore)
      })
    })
  }

  /** `heartbeat` is the worker state in the response; null if there is no response or it contains none. */
  private applyResponse(
    session: WorkerSession,
    heartbeat: Heartbeat | null,
    countersBefore: MessageCounters,
  ): void {
    const now = this.context.node.clocks.monotonicNow()
    if (heartbeat === null) {
      session.commandsPausedUntil = addMs(now, DIRECT_COMMANDS_BACKOFF_MS)
      return
    }
    const outcomes = session.observeResponse(heartbeat, countersBefore, now)
    if (outcomes !== null) this.taskOutcomes.apply(session, outcomes)
    fenceIfNeeded(this.context, session)
    if (this.isThrottled || this.sessionsWithCommandsDue.has(session)) this.push()
  }
}
