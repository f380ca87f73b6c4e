/**
 * Sends commands that can't wait for the next heartbeat's reply directly to the workers. A command may be late,
 * lost or repeated: it carries the fencing token and agent epoch it was made for, a worker refuses lower ones,
 * and the session treats a start without a response as one that may still be carried out.
 */
import { NOT_SENT } from "@sorreltally/peers"
import { addMs, type Heartbeat, type MachineId } from "@sorreltally/protocol"
import type { WorkerSession } from "@sorreltally/workers"
import { Effect } from "effect"
import { fenceWhereNeeded } from "./fencing.ts"
import type { TaskOutcomes } from "./task-outcomes.ts"
import type { WorkerCommunicationContext } from "./worker-communication-context.ts"

/** A worker that gave no response gets no direct commands for this long; its heartbeats' replies carry them. */
const COMMANDS_BACKOFF_MS = 4_000
const OK = 200
/** The worker refused the commands: its agent epoch or fencing token is higher. */
const CONFLICT = 409

/** Commands from one shard to its workers' own addresses. */
export class CommandDelivery {
  /** Machines that need commands before their next heartbeat. */
  private readonly awaitingCommands = new Set<WorkerSession>()
  /** Some of them wait for requests in flight to end: the node sends only so many at a time. */
  private isThrottled = false

  constructor(
    private readonly context: WorkerCommunicationContext,
    private readonly outcomes: TaskOutcomes,
    /** Sends the machine's commands with its deferred reply; false: none is deferred. */
    private readonly replyIfDeferred: (session: WorkerSession) => boolean,
  ) {}

  /** The machine needs commands before its next heartbeat. */
  commandsDue(machine: MachineId): void {
    const session = this.context.machines.get(machine)
    if (session !== undefined) this.awaitingCommands.add(session)
  }
  /** The machine has got its commands with a reply, or left the shard. */
  notDue(session: WorkerSession): void {
    this.awaitingCommands.delete(session)
  }

  /** Sends the commands that are due, as far as the node's limit of requests in flight goes. */
  push(): void {
    if (!this.context.holdsLease()) return
    const now = this.context.node.clocks.monotonicNow()
    for (const session of this.awaitingCommands) {
      // The others get theirs with their next reply, or once a request in flight has ended.
      this.isThrottled = this.context.node.commandsInFlight.isFull
      if (this.isThrottled) return
      if (this.replyIfDeferred(session)) continue
      if (session.commandsInFlight || session.address === null || session.agentEpoch === null) continue
      this.awaitingCommands.delete(session)
      // The fiber is the node's: a request under way ends by its own time limit, also when the shard is lost.
      if (now >= session.commandsPausedUntil) this.context.node.fork(this.send(session))
    }
  }

  private send(session: WorkerSession) {
    return Effect.suspend(() => {
      const { node, registry } = this.context
      const now = node.clocks.monotonicNow()
      const { address, agentEpoch, token } = session
      // Checked again: the fiber may start later than it was forked.
      if (session.commandsInFlight || address === null || agentEpoch === null || !this.context.holdsLease())
        return Effect.void
      const commands = session.selectCommands(now, (task) => registry.finishIsDurable(task))
      if (!commands.some(({ kind }) => kind !== "purge")) return Effect.void
      session.recordDirectCommands(commands, now)
      const batch = { fencingToken: token, agentEpoch, commands }
      return Effect.map(node.commandForwarder.send(address, batch, session.via), ({ status, heartbeat }) => {
        const isAnswered = status === OK || status === CONFLICT || status === NOT_SENT
        session.recordDirectResult(commands, token, isAnswered)
        if (this.context.isStopped() || this.context.machines.get(session.id) !== session) return
        this.applyResponse(session, heartbeat)
      })
    })
  }

  /** `heartbeat`: the worker's state in its response; null: no response, or one without a state. */
  private applyResponse(session: WorkerSession, heartbeat: Heartbeat | null): void {
    const now = this.context.node.clocks.monotonicNow()
    if (heartbeat === null) {
      session.commandsPausedUntil = addMs(now, COMMANDS_BACKOFF_MS)
      return
    }
    const outcomes = session.observe(heartbeat, "direct", now)
    if (outcomes !== null) this.outcomes.apply(session, outcomes)
    fenceWhereNeeded(this.context, session)
    if (this.isThrottled || this.awaitingCommands.has(session)) this.push()
  }
}
