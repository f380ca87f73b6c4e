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

const CALL_TIMEOUT_MS = 3_000
const COMMANDS_BACKOFF_MS = 4_000
const FIRST_PAUSE_MS = 250
const LONGEST_PAUSE_MS = 30_000
const NOT_OURS: OutgoingResponse = { status: 503, body: {} }

/** What the exchange with the workers needs of its part. */
export interface WorkerCommunicationHost {
  readonly node: NodeContext
  readonly machines: ReadonlyMap<MachineId, WorkerSession>
  readonly registry: JobRegistry
  readonly blocks: MachineRecordWriter
  readonly failures: FailureTracker
  /** The part's state is read, and its owner may act for it. */
  readonly mayAct: () => boolean
  readonly holdsLease: () => boolean
  readonly isOver: () => boolean
  /** The last plan left work without room. */
  readonly workWaits: () => boolean
  readonly changed: () => void
}

/** One part's talk with its workers: reports and their answers, and commands sent to their own addresses. */
export class WorkerCommunication {
  private readonly inspecting = new Set<MachineId>()
  /** Machines that have something to be told before their next report. */
  private readonly awaitingCommands = new Set<WorkerSession>()
  /** Some of them wait for others' commands to be answered. */
  private mustWait = false
  private readonly deferred: DeferredReplies
  private roomChanges = 0
  /** After this long from a cancellation, a lease that is renewed may outlast `cancel_s`. */
  private readonly renewableMs: number

  constructor(private readonly of: WorkerCommunicationHost) {
    const { clocks, platform, operators } = of.node
    const budget = cancellationBudget(platform.deployment.workers, operators.membership)
    this.renewableMs = Math.max(0, budget.cancelMs - budget.worstCaseMs)
    this.deferred = new DeferredReplies(clocks.monotonicNow, (session) => this.answer(session))
  }

  /**
   * Answers a report of one of our machines that came through another node, or to ours; 503 when we may
   * not act for it.
   * One that tells of room is answered once the next plan has looked at it:
   * what then starts goes along, where a command of its own would cost both
   * ends a request more. A worker says nothing new for half a second anyway.
   */
  report(body: Heartbeat, via: NodeName | null, answer: Respond): void {
    const before = this.roomChanges
    const session = this.heard(body)
    if (session === null) return answer(NOT_OURS)
    session.via = via
    // Its worker gave that one up.
    this.deferred.letGo(session, NOT_OURS)
    if (this.roomChanges === before || !this.of.workWaits()) return answer(this.answer(session))
    this.deferred.hold(session, answer)
  }

  /** Takes a report in; null when we may not act for its machine, or it is a late copy. */
  private heard(body: Heartbeat): WorkerSession | null {
    const session = this.of.machines.get(body.machineId)
    if (!this.of.mayAct() || session === undefined) return null
    const now = this.of.node.clocks.monotonicNow()
    const begins = !session.up
    const outcomes = session.observe(body, "heartbeat", now)
    if (outcomes === null) {
      // A late copy says nothing, and nobody waits for its answer. Or the
      // worker began anew: then its reports would be taken for copies for ever.
      if (session.silentMs(now) > 1_500 * this.of.node.platform.deployment.workers.heartbeatIntervalS)
        this.inspect(session, body)
      return null
    }
    this.apply(session, outcomes)
    if (begins) this.roomChanged()
    return session
  }
  private answer(session: WorkerSession): OutgoingResponse {
    // While its report was held, the machine may have gone, or our right to speak.
    if (!this.of.mayAct() || this.of.machines.get(session.id) !== session) return NOT_OURS
    const now = this.of.node.clocks.monotonicNow()
    if (this.leaseMustEnd(session, now)) {
      this.afterBody(session)
      return NOT_OURS
    }
    const commands = session.commands(now, (task) => this.of.registry.finishIsDurable(task))
    session.answering(commands, now)
    this.awaitingCommands.delete(session)
    this.afterBody(session)
    const reply = encodeHeartbeatReply({ fencingToken: session.token, commands })
    return { status: 200, body: reply }
  }

  /**
   * A start of a cancelled task that is held up on its way may be carried out
   * as long as the worker's session and token stand. If the token can't be
   * raised, the lease must not be renewed beyond what `cancel_s` leaves.
   */
  private leaseMustEnd(session: WorkerSession, now: MonotonicTime): boolean {
    const since = session.cancelledStartMayCome()
    return since !== null && now > addMs(since, this.renewableMs)
  }

  /** What `/inspect` answers is no late copy. */
  private inspect(session: WorkerSession, body: Heartbeat): void {
    if (this.inspecting.has(session.id)) return
    this.inspecting.add(session.id)
    const since = session.counters()
    const { httpClient, clocks, fork } = this.of.node
    const call = {
      address: body.address,
      method: "GET",
      path: "/inspect",
      timeoutMs: CALL_TIMEOUT_MS,
    } as const
    fork(
      Effect.gen({ self: this }, function* () {
        const reply = yield* Effect.result(httpClient.call(call))
        const decoded = Result.isSuccess(reply) ? decodeHeartbeat(reply.success.body) : null
        if (decoded === null || Result.isFailure(decoded) || this.of.machines.get(session.id) !== session)
          return
        if (decoded.success.machineId !== session.id) return
        const outcomes = session.observe(decoded.success, "direct", clocks.monotonicNow())
        if (outcomes !== null) this.apply(session, outcomes)
        else if (session.restarted(decoded.success, since, clocks.monotonicNow()))
          this.of.node.log.info("worker restarted", {
            machine: session.id,
            agentEpoch: decoded.success.agentEpoch,
          })
        this.afterBody(session)
      }).pipe(Effect.ensuring(Effect.sync(() => this.inspecting.delete(session.id)))),
    )
  }

  private afterBody(session: WorkerSession): void {
    if (session.needsHigherToken() && !this.of.blocks.isEditing(session.id)) {
      if (session.unreachableSince !== null)
        this.of.node.log.info("machine unreachable, fenced", { machine: session.id })
      this.of.blocks.edit(session.id, { kind: "fence" }, (done) => {
        if (done) session.tokenRaised()
      })
    }
    if (session.warningUntil !== null) this.of.changed()
  }

  /** Carries over to the jobs what a body, or the end of a lease, says of their tasks. */
  apply(session: WorkerSession, outcomes: ReadonlyArray<Outcome>): void {
    if (outcomes.length === 0) return
    const now = this.of.node.clocks.monotonicNow()
    let roomChanged = false
    for (const outcome of outcomes) {
      const { placement } = outcome
      const { job } = placement
      if (outcome.kind === "running") {
        job.markRunning(placement, now)
        this.of.node.log.debug("task running", {
          task: placement.task,
          jobClass: job.request.jobClass,
          machine: session.id,
          waitedS: (this.of.node.clocks.wallNow() - job.submitted) / 1000,
          fetchedS: (now - placement.placedAt) / 1000,
        })
        continue
      }
      roomChanged = true
      if (outcome.kind === "done") {
        job.finish(placement.index)
        job.startRefusals = 0
        job.retryAfter = null
        this.of.failures.succeeded(job.id, session.id)
        if (placement.runningSince !== null && placement.stop === null)
          this.of.node.estimates.learn(job.request, (now - placement.runningSince) / 1000)
      } else {
        job.clear(placement)
        const pauseMs = this.pauseAfter(outcome.cause, job, session, now)
        if (pauseMs > 0) job.retryAfter = addMs(now, pauseMs)
        this.of.node.log.debug("task left machine", {
          task: placement.task,
          machine: session.id,
          cause: outcome.cause,
        })
      }
      this.of.registry.settle(job)
    }
    if (roomChanged) this.roomChanged()
  }
  /** How long a job has to pause after a task of it left its machine unfinished. */
  private pauseAfter(cause: string, job: JobState, session: WorkerSession, now: MonotonicTime): number {
    if (cause === "error") return this.failed(job, session, now)
    if (cause !== "insufficientResources" && cause !== "unknown") return 0
    // A start that is refused again and again is tried ever less often.
    job.startRefusals++
    return Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** Math.min(7, job.startRefusals))
  }
  private failed(job: JobState, session: WorkerSession, now: MonotonicTime): number {
    const { failures, node } = this.of
    const suspectBefore = failures.isSuspect(job.id)
    const pauseMs = failures.failed(job.id, session.id, now)
    if (!suspectBefore && failures.isSuspect(job.id))
      node.log.info("job fails on every machine", { job: job.id })
    return pauseMs
  }
  private roomChanged(): void {
    this.roomChanges++
    this.of.changed()
  }

  /** Sends what can't wait for the next report straight to the workers. */
  pushCommands(): void {
    if (!this.of.holdsLease()) return
    const now = this.of.node.clocks.monotonicNow()
    for (const session of this.awaitingCommands) {
      // Whoever has to wait is told with the next answer, or when a command has been answered.
      this.mustWait = this.of.node.commandsInFlight.full
      if (this.mustWait) return
      if (this.deferred.has(session)) {
        this.deferred.answerNow(session)
        continue
      }
      if (session.commandsInFlight || session.address === null || session.agentEpoch === null) continue
      this.awaitingCommands.delete(session)
      if (now >= session.commandsPausedUntil) this.of.node.fork(this.sendCommands(session))
    }
  }
  /** The machine has something to be told before its next report. */
  commandsDue(machine: MachineId): void {
    const session = this.of.machines.get(machine)
    if (session !== undefined) this.awaitingCommands.add(session)
  }
  /** The machine isn't ours any more. */
  drop(session: WorkerSession): void {
    this.awaitingCommands.delete(session)
  }
  /** Answers held reports that wait for nothing any more, or for long enough. */
  answerReady(): void {
    this.deferred.answerReady()
  }
  stop(): void {
    this.deferred.letAllGo(NOT_OURS)
  }

  private sendCommands(session: WorkerSession) {
    return Effect.suspend(() => {
      const now = this.of.node.clocks.monotonicNow()
      const { address, agentEpoch, token } = session
      if (session.commandsInFlight || address === null || agentEpoch === null || !this.of.holdsLease())
        return Effect.void
      const commands = session.commands(now, (task) => this.of.registry.finishIsDurable(task))
      if (!commands.some(({ kind }) => kind !== "purge")) return Effect.void
      session.sending(commands, now)
      const batch = { fencingToken: token, agentEpoch, commands }
      return Effect.map(this.of.node.commandForwarder.send(address, batch, session.via), (outcome) => {
        const sure = outcome.status === 200 || outcome.status === 409 || outcome.status === NOT_SENT
        session.sent(commands, token, sure)
        if (this.of.isOver() || this.of.machines.get(session.id) !== session) return
        this.replied(session, outcome.heartbeat)
      })
    })
  }
  private replied(session: WorkerSession, heartbeat: Heartbeat | null): void {
    const now = this.of.node.clocks.monotonicNow()
    if (heartbeat === null) {
      session.commandsPausedUntil = addMs(now, COMMANDS_BACKOFF_MS)
      return
    }
    const outcomes = session.observe(heartbeat, "direct", now)
    if (outcomes !== null) this.apply(session, outcomes)
    this.afterBody(session)
    if (this.mustWait || this.awaitingCommands.has(session)) this.pushCommands()
  }
}
