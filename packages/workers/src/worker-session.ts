import type { Placement } from "@sorreltally/jobs"
import {
  type Address,
  type AgentEpoch,
  addMs,
  type Command,
  type FencingToken,
  type Heartbeat,
  type ImageName,
  type MachineId,
  type MachineType,
  type ModRevision,
  type MonotonicTime,
  NEVER,
  type NodeName,
  type ReportedTask,
  type SequenceNumber,
  type TaskId,
} from "@sorreltally/protocol"
import { commandsFor } from "./commands.ts"
import { ImageCache } from "./image-cache.ts"
import type {
  FreeRoom,
  LeaseTimes,
  MachineEntry,
  MachineHandoff,
  Outcome,
  RepeatedHeartbeat,
} from "./model.ts"
import { type StartEvidence, StartTracker } from "./start-tracker.ts"

/** Steady clocks drift apart by at most this share; both ends may. */
const DRIFT = 2 * 0.0005
const LEASE_MARGIN_MS = 1_000
/** A worker that reported within so many report intervals, and hears us, gets work. */
const SCHEDULABLE_INTERVALS = 2.5
/** Exited tasks that a worker may have to go on reporting until its token is raised to forget them. */
const MAX_UNPURGEABLE_TASKS = 24
/** How often a worker was told to start a task, and nothing came of it, until it is taken to receive nothing. */
const MAX_UNACKNOWLEDGED_STARTS = 2

/**
 * What an owner knows of one machine and may conclude from it. The one hard
 * question is when a task is surely *off* the machine; everything here that
 * answers it says why.
 */
export class WorkerSession {
  address: Address | null = null
  agentEpoch: AgentEpoch | null = null
  private sequence = -1 as SequenceNumber
  private seenToken = 0 as FencingToken
  lastHeard: MonotonicTime = NEVER
  private lastAnsweredAt: MonotonicTime
  preemptionAt: MonotonicTime | null = null
  /** When a report came, not the answer to a command. */
  private lastHeartbeatAt: MonotonicTime = NEVER
  /** When a body came that is surely no late copy. */
  private provenAt: MonotonicTime = NEVER
  /**
   * Since when the worker seems not to hear us: it gets no work until it has
   * shown a token that we raised after this.
   */
  unreachableSince: MonotonicTime | null = null
  reportedTasks = new Map<TaskId, ReportedTask>()
  /** Counter of the body that listed them; null: nothing of this session did. */
  private tasksListedAt: SequenceNumber | null = null
  readonly placements = new Map<TaskId, Placement>()
  readonly free: FreeRoom
  private readonly cache: ImageCache
  /** Tenures below this one have surely ended. */
  private minAgentEpoch = 0 as AgentEpoch
  private readonly starts = new StartTracker()
  /** The token was raised since the worker seems to receive nothing. */
  private raisedSinceUnreachable = false
  /** Exited tasks that can't be forgotten until the worker has seen a higher token. */
  private unpurgeableCount = 0
  commandsInFlight = false
  /** The node through which its last report came; null: it came to the owner itself. */
  via: NodeName | null = null
  commandsPausedUntil: MonotonicTime = NEVER

  constructor(
    readonly id: MachineId,
    private recorded: MachineEntry,
    readonly type: MachineType,
    private readonly epoch: ModRevision,
    private readonly times: LeaseTimes,
    /** Rented under this epoch: nothing that it says can be older than that. */
    private readonly fresh: boolean,
    now: MonotonicTime,
  ) {
    // A former owner may have answered a report just before we took over.
    this.lastAnsweredAt = now
    const { cores, accelerators, memGb } = type
    this.free = { cores, accelerators, memGb }
    this.cache = new ImageCache(type.cacheGb)
  }

  get entry(): MachineEntry {
    return this.recorded
  }
  update(entry: MachineEntry): void {
    this.recorded = entry
  }
  get token(): FencingToken {
    return Math.max(this.epoch, this.recorded.token) as FencingToken
  }
  /** The worker has shown that it heard of our token: older commands are dead. */
  get tokenConfirmed(): boolean {
    return this.seenToken === this.token
  }
  /** Images that it has, least recently used first, with their sizes. */
  get images(): ReadonlyMap<ImageName, number> {
    return this.cache.sizes
  }
  get isUp(): boolean {
    return this.agentEpoch !== null
  }
  silentMs(now: MonotonicTime): number {
    return now - this.lastHeard
  }

  /** A task may be here from now on. */
  hold(placement: Placement): void {
    this.placements.set(placement.task, placement)
    this.take(placement, 1)
  }
  release(placement: Placement): void {
    if (this.placements.get(placement.task) !== placement) return
    this.placements.delete(placement.task)
    this.take(placement, -1)
  }
  private take({ job }: Placement, times: number): void {
    this.free.cores -= times * job.request.cores
    this.free.accelerators -= times * job.request.accelerators
    this.free.memGb -= times * job.request.memGb
  }

  /**
   * Takes in a report, or the body of an `/orders` or `/inspect` answer.
   * Returns null for one that is older than what we know.
   */
  observe(
    body: Heartbeat,
    source: "heartbeat" | "direct",
    now: MonotonicTime,
  ): ReadonlyArray<Outcome> | null {
    if (body.agentEpoch < this.minAgentEpoch) return null
    if (this.agentEpoch !== null) {
      if (body.agentEpoch < this.agentEpoch) return null
      if (body.agentEpoch === this.agentEpoch && body.sequence <= this.sequence) return null
    }
    // A worker keeps the highest token over all its sessions. One that began anew counts from the
    // start: what its former self reported under an older token looks newer by the counters alone.
    if (source === "heartbeat" && body.fencingToken < this.seenToken) return null
    const outcomes: Array<Outcome> = []
    if (this.agentEpoch === null || body.agentEpoch > this.agentEpoch) {
      // It lost a lease that we kept answering for: our answers didn't reach it.
      if (
        this.agentEpoch !== null &&
        source === "heartbeat" &&
        this.lastAnsweredAt > addMs(now, -this.times.heartbeatIntervalS * 1_000 * SCHEDULABLE_INTERVALS)
      )
        this.unreachableSince ??= now
      // A session's lease runs from its beginning, before any report of it was
      // answered: we may hear of it by way of /orders first.
      this.lastAnsweredAt = now
      this.agentEpoch = body.agentEpoch
      this.cache.clear()
      this.starts.resetForNewSession()
    }
    this.sequence = body.sequence
    this.seenToken = body.fencingToken
    this.address = body.address
    this.lastHeard = now
    if (source === "heartbeat") this.lastHeartbeatAt = now
    const proven = source === "direct" || this.tokenConfirmed || this.fresh
    if (proven) this.provenAt = now
    if (this.unreachableSince !== null && this.tokenConfirmed && this.raisedSinceUnreachable) {
      this.unreachableSince = null
      this.raisedSinceUnreachable = false
    }
    this.preemptionAt =
      typeof body.preemptionNoticeS === "number" ? addMs(now, body.preemptionNoticeS * 1000) : null
    this.starts.tokenSeen(body.fencingToken)
    this.reportedTasks = new Map(body.tasks.map((task) => [task.taskId, task]))
    this.tasksListedAt = body.sequence
    for (const { taskId, attempt } of body.tasks) this.starts.recordReported(taskId, attempt)
    this.starts.pruneDirectStarts((task) => this.reportedTasks.has(task) || this.placements.has(task))

    for (const placement of [...this.placements.values()]) {
      if (placement.agentEpoch !== body.agentEpoch) {
        // The tenure rose: the worker killed and forgot all it had, and starts under the former
        // tenure are refused. A late copy may tell of a tenure of the worker's former self.
        if (placement.agentEpoch < body.agentEpoch && proven) this.clear(placement, "lease ended", outcomes)
        // Placed before the worker began anew, and nothing sent then can take effect any more.
        if (placement.agentEpoch > body.agentEpoch && this.tokenConfirmed && this.unreachableSince === null)
          this.clear(placement, "worker began anew", outcomes)
        continue
      }
      const reported = this.reportedTasks.get(placement.task)
      if (reported === undefined || reported.attempt !== placement.attempt) {
        // Not there, and no start that could still bring it: only then is a
        // task that should leave surely gone.
        const going = placement.stop !== null || placement.inherited
        const { task, attempt } = placement
        if (going && this.starts.cannotTakeEffect(task, attempt, this.startEvidence(source, now))) {
          this.clear(placement, "never started", outcomes)
        } else if (
          !going &&
          source === "heartbeat" &&
          placement.unacknowledgedStarts >= MAX_UNACKNOWLEDGED_STARTS
        ) {
          this.unreachableSince ??= now
        }
      } else if (reported.phase === "exited") {
        if (reported.exitReason === "done") {
          this.release(placement)
          outcomes.push({ kind: "done", placement })
        } else if (proven) {
          this.clear(placement, reported.exitReason ?? "exited", outcomes)
        }
      } else if (reported.phase === "running" && placement.runningSince === null) {
        this.cache.use(placement.job.request.image, placement.job.request.imageGb)
        outcomes.push({ kind: "running", placement })
      }
    }
    return outcomes
  }

  /** The report in full, if the last word of this machine was the report that it repeats. */
  expandRepeat({
    machineId,
    agentEpoch,
    sequence,
    fencingToken,
    repeatedSequence,
  }: RepeatedHeartbeat): Heartbeat | null {
    if (this.address === null || this.agentEpoch !== agentEpoch || this.tasksListedAt !== repeatedSequence)
      return null
    const { machineType, zone, spot } = this.recorded
    return {
      machineId,
      address: this.address,
      machineType,
      zone,
      spot,
      agentEpoch,
      sequence,
      fencingToken,
      preemptionNoticeS: null,
      tasks: [...this.reportedTasks.values()],
    }
  }

  /** Where this session stands; a body below it is old, or from a worker that began anew. */
  counters(): { readonly agentEpoch: AgentEpoch; readonly sequence: SequenceNumber } {
    return this.agentEpoch === null
      ? { agentEpoch: this.minAgentEpoch, sequence: -1 as SequenceNumber }
      : { agentEpoch: this.agentEpoch, sequence: this.sequence }
  }
  /**
   * The worker answered `/inspect`, asked at `since`, with lower counters than
   * it had by then. Only reports can be late copies: this one began anew. It
   * has to show a raised token before its former tasks count as gone, since
   * commands to its former self may still be under way.
   */
  acceptRestart(
    body: Heartbeat,
    since: { readonly agentEpoch: AgentEpoch; readonly sequence: SequenceNumber },
    now: MonotonicTime,
  ): boolean {
    const below =
      body.agentEpoch < since.agentEpoch ||
      (body.agentEpoch === since.agentEpoch && body.sequence < since.sequence)
    if (!below) return false
    this.agentEpoch = body.agentEpoch
    this.minAgentEpoch = body.agentEpoch
    this.sequence = body.sequence
    this.seenToken = body.fencingToken
    this.address = body.address
    this.lastHeard = now
    this.lastAnsweredAt = now
    this.reportedTasks = new Map(body.tasks.map((task) => [task.taskId, task]))
    this.tasksListedAt = body.sequence
    this.cache.clear()
    this.starts.resetForRestart()
    this.unreachableSince = now
    this.raisedSinceUnreachable = false
    return true
  }

  /** What the latest message proves about the starts that were sent before it. */
  private startEvidence(source: "heartbeat" | "direct", now: MonotonicTime): StartEvidence {
    const { token, tokenConfirmed, sequence } = this
    return { token, tokenConfirmed, sequence, isHeartbeat: source === "heartbeat", now }
  }
  /** Its token was raised. */
  tokenRaised(): void {
    this.raisedSinceUnreachable = this.unreachableSince !== null
  }

  /**
   * A start got lost under the current token, and nothing is sure until the
   * worker has seen a higher one; or it has to show that it hears.
   */
  needsHigherToken(): boolean {
    if (this.unreachableSince !== null && !this.raisedSinceUnreachable) return true
    if (this.unpurgeableCount > MAX_UNPURGEABLE_TASKS) return true
    if (!this.starts.hasUnansweredStart(this.token)) return false
    for (const placement of this.placements.values()) if (placement.stop !== null) return true
    for (const { taskId, phase } of this.reportedTasks.values())
      if (phase === "exited" && !this.placements.has(taskId)) return true
    return false
  }

  private clear(placement: Placement, cause: string, outcomes: Array<Outcome>): void {
    this.release(placement)
    outcomes.push({ kind: "cleared", placement, cause })
  }

  /** All tasks are gone: the machine was deleted (answered), or its lease has surely run out. */
  clearAll(cause: string): ReadonlyArray<Outcome> {
    const outcomes: Array<Outcome> = []
    for (const placement of [...this.placements.values()]) this.clear(placement, cause, outcomes)
    return outcomes
  }

  /**
   * The worker's lease has ended when a full lease time has passed since we
   * last received a report that we answered: it was sent before that.
   */
  isLeaseExpired(now: MonotonicTime): boolean {
    return now > addMs(this.lastAnsweredAt, this.times.leaseS * 1000 * (1 + DRIFT) + LEASE_MARGIN_MS)
  }
  /**
   * After `leaseOver`: whatever still comes from the ended tenure is old. A worker that began anew
   * counts its sessions from the start, and may take a command to its former self: a task whose
   * direct start got no answer stays placed until the machine is heard again, or deleted.
   */
  expireLease(): ReadonlyArray<Outcome> {
    let last = this.agentEpoch ?? 0
    for (const placement of this.placements.values()) last = Math.max(last, placement.agentEpoch)
    this.minAgentEpoch = (last + 1) as AgentEpoch
    this.agentEpoch = null
    this.reportedTasks.clear()
    this.tasksListedAt = null
    this.cache.clear()
    const outcomes: Array<Outcome> = []
    for (const placement of [...this.placements.values()])
      if (!this.starts.isUnanswered(placement.task, placement.attempt))
        this.clear(placement, "lease ended", outcomes)
    return outcomes
  }
  /** Heard recently enough, and surely hearing us, to be given work. */
  isSchedulable(now: MonotonicTime): boolean {
    const recently = addMs(now, -this.times.heartbeatIntervalS * 1_000 * SCHEDULABLE_INTERVALS)
    // A worker that reaches no controller still answers commands, and loses all at its lease:
    // only its reports show that it can keep what it is given.
    const reports = this.lastHeartbeatAt > recently
    return this.agentEpoch !== null && this.unreachableSince === null && this.provenAt > recently && reports
  }

  /** Nothing is, or may come to be, on this machine whose owner we would have to be. */
  isEmpty(finishIsDurable: (task: TaskId) => boolean): boolean {
    if (this.placements.size > 0 || this.commandsInFlight) return false
    for (const { taskId, phase, exitReason } of this.reportedTasks.values()) {
      if (phase !== "exited" || (exitReason === "done" && !finishIsDurable(taskId))) return false
    }
    return true
  }
  /** What the machine's next owner wants to know, to use it before its next report. */
  handoff(now: MonotonicTime): MachineHandoff | null {
    if (this.agentEpoch === null || this.address === null || this.unreachableSince !== null) return null
    const { address, agentEpoch, sequence } = this
    return {
      address,
      agentEpoch,
      sequence,
      silentMs: this.silentMs(now),
      images: [...this.images],
    }
  }
  acceptHandoff(by: MachineHandoff, now: MonotonicTime): void {
    if (this.agentEpoch !== null) return
    this.address = by.address
    this.agentEpoch = by.agentEpoch
    this.sequence = by.sequence
    this.lastHeard = addMs(now, -by.silentMs)
    this.provenAt = this.lastHeard
    this.lastHeartbeatAt = this.lastHeard
    for (const [image, gb] of by.images) this.cache.use(image, gb)
  }

  /** What the worker should be told now, given what it last said. */
  commands(now: MonotonicTime, finishIsDurable: (task: TaskId) => boolean): ReadonlyArray<Command> {
    const { agentEpoch, reportedTasks, placements } = this
    if (agentEpoch === null) return []
    this.unpurgeableCount = 0
    const mayPurge = (task: ReportedTask) =>
      (task.exitReason !== "done" || finishIsDurable(task.taskId)) && this.mayPurge(task, now)
    return commandsFor({ agentEpoch, tasks: reportedTasks, placements, mayPurge, now })
  }
  /** Purging too early would let a late start, or a duplicate of one, run the task once more. */
  private mayPurge({ taskId, attempt }: ReportedTask, now: MonotonicTime): boolean {
    const evidence = this.startEvidence("direct", now)
    if (!this.starts.mayPurge(taskId, attempt, evidence)) {
      if (this.starts.wasSentUnderToken(taskId, attempt, this.token)) this.unpurgeableCount++
      return false
    }
    return this.starts.cannotTakeEffect(taskId, attempt, evidence)
  }

  /**
   * Since when a start of a cancelled task may still reach the worker: one that
   * went out by `/orders`, without an answer, under a token that the worker still
   * accepts. Null: no such start is under way.
   */
  pendingCancelledStartSince(): MonotonicTime | null {
    let since: MonotonicTime | null = null
    for (const { job, stop, agentEpoch, task, attempt } of this.placements.values()) {
      if (!job.cancelled || stop === null || agentEpoch !== this.agentEpoch) continue
      if (
        this.starts.mayBeInTransit(task, attempt, this.token) &&
        this.reportedTasks.get(task)?.attempt !== attempt
      )
        since = since === null ? stop.since : (Math.min(since, stop.since) as MonotonicTime)
    }
    return since
  }

  /** The answer to a report is about to be sent. */
  recordReply(commands: ReadonlyArray<Command>, now: MonotonicTime): void {
    this.lastAnsweredAt = now
    this.starts.dropExpiredReplies(now)
    for (const { kind, taskId, attempt } of commands) {
      if (kind !== "start") continue
      this.starts.recordStartInReply(taskId, attempt, this.sequence, now)
      const placement = this.placements.get(taskId)
      if (placement !== undefined) placement.unacknowledgedStarts++
    }
  }
  /** Commands are about to be sent to the worker's own address. */
  recordDirectCommands(commands: ReadonlyArray<Command>, now: MonotonicTime): void {
    this.commandsInFlight = true
    for (const { kind, taskId, attempt } of commands)
      if (kind === "start") this.starts.recordDirectStart(taskId, attempt, this.token, now)
  }
  /** They were answered, or given up. */
  recordDirectResult(commands: ReadonlyArray<Command>, token: FencingToken, answered: boolean): void {
    this.commandsInFlight = false
    for (const { kind, taskId, attempt } of commands) {
      if (kind !== "start") continue
      this.starts.recordDirectResult(taskId, attempt, token, answered)
      const placement = this.placements.get(taskId)
      if (!answered && placement !== undefined) placement.unacknowledgedStarts++
    }
  }
}
