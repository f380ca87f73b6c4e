/**
 * The owner's state of one worker: it processes the worker's messages and selects the commands to send. What
 * a message proves is decided by the modules that the session combines. The session must never remove the
 * placement of a task that may still be on the machine.
 */
import type { Placement } from "@sorreltally/jobs"
import {
  type Address,
  type AgentEpoch,
  addMs,
  type Command,
  EARLIEST_TIME,
  type FencingToken,
  type Heartbeat,
  type ImageName,
  type MachineId,
  type MachineType,
  type MonotonicTime,
  type NodeName,
  type TaskId,
} from "@sorreltally/protocol"
import { ImageCache } from "./image-cache.ts"
import { LatestMessage } from "./latest-message.ts"
import type {
  ClearedCause,
  FreeCapacity,
  LeaseTimes,
  MachineEntry,
  MachineHandoff,
  MessageCounters,
  MessageSource,
  Outcome,
  RepeatedHeartbeat,
} from "./model.ts"
import { PlacedTasks } from "./placed-tasks.ts"
import { evaluatePlacement } from "./placement-verdict.ts"
import { Reachability } from "./reachability.ts"
import { ReportedTasks } from "./reported-tasks.ts"
import { RestartDetector, type RestartSign } from "./restart-detection.ts"
import { type StartEvidence, StartTracker } from "./start-tracker.ts"
import { TokenState, type TokenStateOptions } from "./token-state.ts"
import { WorkerCommands, withoutStarts } from "./worker-commands.ts"
import { WorkerLease } from "./worker-lease.ts"

/** Options of a worker session. */
export interface WorkerSessionOptions extends TokenStateOptions {
  readonly type: MachineType
  readonly times: LeaseTimes
  readonly now: MonotonicTime
}

/** State of one machine and its worker, and what the owner may conclude from it. */
export class WorkerSession {
  /** Address for direct commands to the worker; null: not known yet. */
  address: Address | null = null
  /** When the cloud will preempt the machine, by the worker's preemption notice; null: no notice. */
  preemptionAt: MonotonicTime | null = null
  /** The node that forwarded the latest heartbeat; null: the worker sent it directly to the owner. */
  forwardedBy: NodeName | null = null
  /** No direct commands are sent before this time: the last ones got no response. */
  commandsPausedUntil: MonotonicTime = EARLIEST_TIME

  private readonly latestMessage = new LatestMessage()
  private readonly lease: WorkerLease
  private readonly reachability: Reachability
  private readonly placedTasks: PlacedTasks
  private readonly imageCache: ImageCache
  private readonly reported = new ReportedTasks()
  private readonly starts = new StartTracker()
  private readonly restarts = new RestartDetector()
  private readonly tokens: TokenState
  private readonly workerCommands: WorkerCommands

  constructor(private readonly options: WorkerSessionOptions) {
    const { type, times, now } = options
    this.tokens = new TokenState(options, this.restarts)
    this.lease = new WorkerLease(times, now)
    this.reachability = new Reachability(times)
    this.placedTasks = new PlacedTasks(type)
    this.workerCommands = new WorkerCommands(this.starts, this.restarts, this.placedTasks.byTask)
    this.imageCache = new ImageCache(type.cacheGb)
  }

  get id(): MachineId {
    return this.entry.id
  }
  get type(): MachineType {
    return this.options.type
  }
  /** The machine's record in the store. */
  get entry(): MachineEntry {
    return this.tokens.entry
  }
  updateEntry(entry: MachineEntry): void {
    this.tokens.entry = entry
  }
  /** The fencing token of commands to the worker. */
  get token(): FencingToken {
    return this.tokens.current
  }
  /** Whether the worker has shown the current token, and refuses all commands under former ones. */
  private get isTokenConfirmed(): boolean {
    return this.tokens.isConfirmedBy(this.latestMessage.seenToken)
  }
  /** How the worker's restart was recognized; null: it didn't restart, or has shown a raised token since. */
  get restartSign(): RestartSign | null {
    return this.restarts.sign
  }
  /** Agent epoch of the current session; null: none is known, or the last one has provably ended. */
  get agentEpoch(): AgentEpoch | null {
    return this.latestMessage.agentEpoch
  }
  get isUp(): boolean {
    return this.agentEpoch !== null
  }
  /** Counters of the latest message; one with lower counters is outdated, or from a restarted worker. */
  counters(): MessageCounters {
    return this.latestMessage.counters()
  }
  /** Images that the machine has probably cached, with their sizes in GB, least recently used first. */
  get images(): ReadonlyMap<ImageName, number> {
    return this.imageCache.sizesGb
  }
  /** Placements of the tasks that may be on the machine. */
  get placements(): Map<TaskId, Placement> {
    return this.placedTasks.byTask
  }
  /** Capacity that these placements leave free. */
  get freeCapacity(): Readonly<FreeCapacity> {
    return this.placedTasks.freeCapacity
  }
  /** When the latest message arrived; `EARLIEST_TIME` before the first one. */
  get lastMessageAt(): MonotonicTime {
    return this.reachability.lastMessageAt
  }
  silentMs(now: MonotonicTime): number {
    return now - this.lastMessageAt
  }
  /** Since when the worker seems to receive no commands; null: it isn't marked unreachable. */
  get unreachableSince(): MonotonicTime | null {
    return this.reachability.unreachableSince
  }
  /** Whether the worker can be given tasks: its messages are recent, and it isn't marked unreachable. */
  isSchedulable(now: MonotonicTime): boolean {
    return this.isUp && this.reachability.isSchedulable(now)
  }

  /** Adds the placement of a task that may be on the machine from now on. */
  addPlacement(placement: Placement): void {
    this.placedTasks.add(placement)
  }
  /** Removes the placement of a task that is provably off the machine, or has a result. */
  removePlacement(placement: Placement): void {
    this.placedTasks.remove(placement)
  }

  /**
   * Processes a heartbeat, or the same body in the response to a direct request.
   * Returns null for a message that is no newer than the latest one.
   */
  observe(heartbeat: Heartbeat, source: MessageSource, now: MonotonicTime): ReadonlyArray<Outcome> | null {
    if (this.latestMessage.isOutdated(heartbeat, source)) return null
    this.trackSession(heartbeat, source, now)
    const isProvenFresh = source === "direct" || this.isTokenConfirmed || this.tokens.hasNoFormerMessages
    this.reachability.recordMessage(source, isProvenFresh, now)
    if (this.isTokenConfirmed) this.recordTokenConfirmed()
    this.preemptionAt =
      typeof heartbeat.preemptionNoticeS === "number" ? addMs(now, heartbeat.preemptionNoticeS * 1000) : null
    this.address = heartbeat.address
    return this.collectOutcomes(heartbeat, source, isProvenFresh, now)
  }
  private recordTokenConfirmed(): void {
    this.reachability.recordTokenConfirmed()
    this.restarts.recordSettled()
  }
  /** Accepts a newer message, and handles the start of a session or a restart that it shows. */
  private trackSession(heartbeat: Heartbeat, source: MessageSource, now: MonotonicTime): void {
    const { seenToken } = this.latestMessage
    if (this.latestMessage.beginsSession(heartbeat)) this.beginSession(source, now)
    this.latestMessage.accept(heartbeat)
    this.reported.replaceWith(heartbeat)
    const sign = this.restarts.signIn(heartbeat, seenToken, this.reported.byId)
    if (sign !== null) this.beginAfterRestart(sign, now)
    this.restarts.recordTasks(this.reported.byId, this.tokens.isExclusiveAt(heartbeat.fencingToken))
  }
  /** Handles the first message after a restart: until a raised token is shown, absence proves nothing. */
  private beginAfterRestart(sign: RestartSign, now: MonotonicTime): void {
    this.restarts.recordRestart(sign, this.token)
    this.lease.renew(now)
    this.reachability.recordRestart(now)
    this.imageCache.clear()
    this.starts.reset()
  }
  /** Handles the first message of a session; the worker has lost the lease of the former one, if any. */
  private beginSession(source: MessageSource, now: MonotonicTime): void {
    // The worker lost a lease that the owner kept renewing: the replies didn't reach it.
    if (this.isUp && source === "heartbeat" && this.lease.wasRecentlyRenewed(now))
      this.reachability.markUnreachable(now)
    // A session's lease starts with the session, before any of its heartbeats is answered: the
    // first message of it may be the response to a direct request.
    this.lease.renew(now)
    this.imageCache.clear()
    this.starts.reset()
    this.restarts.resetForNewSession()
  }
  private collectOutcomes(
    heartbeat: Heartbeat,
    source: MessageSource,
    isProvenFresh: boolean,
    now: MonotonicTime,
  ): ReadonlyArray<Outcome> {
    if (this.placements.size === 0) return []
    const { starts, reachability } = this
    const reportedTasks = this.reported.byId
    const startEvidence = this.startEvidence(source, now)
    const evidence = { heartbeat, source, isProvenFresh, reportedTasks, starts, startEvidence, reachability }
    const outcomes: Array<Outcome> = []
    for (const placement of [...this.placements.values()]) {
      const verdict = evaluatePlacement(placement, evidence)
      switch (verdict.kind) {
        case "unchanged":
          break
        case "startIgnored":
          reachability.markUnreachable(now)
          break
        case "running":
          this.imageCache.recordUse(placement.job.spec.image, placement.job.spec.imageGb)
          outcomes.push(verdict)
          break
        case "done":
        case "cleared":
          this.removePlacement(placement)
          outcomes.push(verdict)
      }
    }
    return outcomes
  }
  /** Returns what the latest message proves about the starts that were sent before it. */
  private startEvidence(source: MessageSource, now: MonotonicTime): StartEvidence {
    const { isTokenConfirmed } = this
    const { sequence } = this.latestMessage
    return { isTokenConfirmed, sequence, isHeartbeat: source === "heartbeat", now }
  }

  /** Returns the whole heartbeat if the latest message was the one that it repeats, otherwise null. */
  expandRepeat(repeat: RepeatedHeartbeat): Heartbeat | null {
    if (this.address === null || this.agentEpoch !== repeat.agentEpoch) return null
    return this.reported.expandRepeat(repeat, this.entry, this.address)
  }

  /**
   * Processes the response to a direct request. Returns null if messages that were sent after it have arrived
   * before, or if it is from another machine, which has this one's former address. `countersBefore` are those
   * at the time of the request: as only heartbeats can be delayed duplicates, lower ones show that the worker
   * restarted.
   */
  observeResponse(
    heartbeat: Heartbeat,
    countersBefore: MessageCounters,
    now: MonotonicTime,
  ): ReadonlyArray<Outcome> | null {
    if (heartbeat.machineId !== this.id) return null
    const outcomes = this.observe(heartbeat, "direct", now)
    if (outcomes !== null) return outcomes
    if (!this.latestMessage.acceptRestart(heartbeat, countersBefore)) return null
    this.address = heartbeat.address
    this.reported.replaceWith(heartbeat)
    this.beginAfterRestart("lower counters", now)
    return []
  }

  /** Records that the store now has a higher token for the machine. */
  recordTokenRaised(): void {
    this.reachability.recordTokenRaised()
  }
  /** Whether the token has to be raised, for the worker to prove that it receives commands. */
  needsHigherToken(): boolean {
    return this.reachability.needsHigherToken()
  }

  private clear(placement: Placement, cause: ClearedCause): Outcome {
    this.removePlacement(placement)
    return { kind: "cleared", placement, cause }
  }
  /** Clears all placements: none of the tasks is on the machine, or can still be started there. */
  clearAll(cause: ClearedCause): ReadonlyArray<Outcome> {
    return [...this.placements.values()].map((placement) => this.clear(placement, cause))
  }
  /** Whether the worker has provably lost its lease, and so killed all its tasks. */
  isLeaseExpired(now: MonotonicTime): boolean {
    return this.lease.isExpired(now)
  }
  /** Ends the session once `isLeaseExpired`: later messages of its agent epoch are outdated. */
  expireLease(): ReadonlyArray<Outcome> {
    let lastEpoch: number = this.agentEpoch ?? 0
    for (const placement of this.placements.values()) lastEpoch = Math.max(lastEpoch, placement.agentEpoch)
    this.latestMessage.endSessionsUpTo(lastEpoch)
    this.reported.clear()
    this.restarts.resetForNewSession()
    this.imageCache.clear()
    return this.clearAll("lease expired")
  }

  /** Whether no task that needs the current owner is, or may still be started, on the machine. */
  isEmpty(finishIsDurable: (task: TaskId) => boolean): boolean {
    return this.placements.size === 0 && !this.commandsInFlight && this.reported.haveAllEnded(finishIsDurable)
  }
  /** State with which the next owner can use the machine before its next heartbeat; null: none of use. */
  createHandoff(now: MonotonicTime): MachineHandoff | null {
    const { address, agentEpoch } = this
    if (agentEpoch === null || address === null || this.unreachableSince !== null) return null
    const { sequence } = this.latestMessage
    return { address, agentEpoch, sequence, silentMs: this.silentMs(now), images: [...this.images] }
  }
  /** Takes over the former owner's state, unless the worker has already sent a message to this owner. */
  acceptHandoff(handoff: MachineHandoff, now: MonotonicTime): void {
    if (this.isUp) return
    this.address = handoff.address
    this.latestMessage.acceptHandoff(handoff)
    this.reachability.recordHandoff(handoff.silentMs, now)
    for (const [image, sizeGb] of handoff.images) this.imageCache.recordUse(image, sizeGb)
  }

  /** Whether commands sent to the worker's own address wait for a response or a time-out. */
  get commandsInFlight(): boolean {
    return this.workerCommands.inFlight
  }
  /** Returns the commands to send to the worker's own address: never a start of a job's task. */
  selectDirectCommands(
    now: MonotonicTime,
    finishIsDurable: (task: TaskId) => boolean,
  ): ReadonlyArray<Command> {
    return withoutStarts(this.selectCommands(now, finishIsDurable))
  }
  /** Returns the commands to send in a reply, given the worker's latest message. */
  selectCommands(now: MonotonicTime, finishIsDurable: (task: TaskId) => boolean): ReadonlyArray<Command> {
    if (this.agentEpoch === null) return []
    const evidence = this.startEvidence("direct", now)
    return this.workerCommands.select(this.agentEpoch, this.reported.byId, evidence, finishIsDurable)
  }
  /** Called before the reply to a heartbeat is sent. */
  recordReply(commands: ReadonlyArray<Command>, now: MonotonicTime): void {
    this.lease.renew(now)
    this.workerCommands.recordReply(commands, this.latestMessage.sequence, now)
  }
  /** Called before commands are sent to the worker's own address. */
  recordDirectCommands(commands: ReadonlyArray<Command>): void {
    this.workerCommands.recordDirect(commands)
  }
  /** Called at the end of such a request, whether it was answered or not. */
  recordDirectResult(): void {
    this.workerCommands.inFlight = false
  }
}
