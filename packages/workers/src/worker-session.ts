/**
 * What the owner of a machine knows of its worker: it takes in the worker's messages and gives the commands
 * to send. What a message proves is decided by the modules that it puts together; the session must never
 * let go of a task that may still be on the machine.
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
  type ModRevision,
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
import { verdictOn } from "./placement-verdict.ts"
import { Reachability } from "./reachability.ts"
import { ReportedTasks } from "./reported-tasks.ts"
import { type StartEvidence, StartTracker } from "./start-tracker.ts"
import { WorkerCommands } from "./worker-commands.ts"
import { WorkerLease } from "./worker-lease.ts"

/** What a session is made of. */
export interface WorkerSessionOptions {
  readonly entry: MachineEntry
  readonly type: MachineType
  /** Epoch of the shard under which this node owns the machine; commands carry at least this token. */
  readonly shardEpoch: ModRevision
  readonly times: LeaseTimes
  /** Rented under this epoch: no message of the machine can be older than that. */
  readonly rentedInEpoch: boolean
  readonly now: MonotonicTime
}

/** What an owner knows of one machine and may conclude from it. */
export class WorkerSession {
  /** Where the worker takes direct commands; null: not known yet. */
  address: Address | null = null
  /** When the cloud takes the machine away, by the worker's preemption notice; null: no notice. */
  preemptionAt: MonotonicTime | null = null
  /** The node that forwarded the latest heartbeat; null: it came to the owner itself. */
  via: NodeName | null = null
  /** No direct commands before this moment: the last ones got no response. */
  commandsPausedUntil: MonotonicTime = EARLIEST_TIME

  private recorded: MachineEntry
  private readonly latest = new LatestMessage()
  private readonly lease: WorkerLease
  private readonly reachability: Reachability
  private readonly placed: PlacedTasks
  private readonly cache: ImageCache
  private readonly reported = new ReportedTasks()
  private readonly starts = new StartTracker()
  private readonly workerCommands: WorkerCommands

  constructor(private readonly options: WorkerSessionOptions) {
    const { entry, type, times, now } = options
    this.recorded = entry
    this.lease = new WorkerLease(times, now)
    this.reachability = new Reachability(times)
    this.placed = new PlacedTasks(type)
    this.workerCommands = new WorkerCommands(this.starts, this.placed.byTask)
    this.cache = new ImageCache(type.cacheGb)
  }

  get id(): MachineId {
    return this.recorded.id
  }
  get type(): MachineType {
    return this.options.type
  }
  /** What the store holds of the machine. */
  get entry(): MachineEntry {
    return this.recorded
  }
  update(entry: MachineEntry): void {
    this.recorded = entry
  }
  /** The fencing token of commands to the worker. */
  get token(): FencingToken {
    return Math.max(this.options.shardEpoch, this.recorded.token) as FencingToken
  }
  /** The worker has shown that it has seen our token: it refuses older commands. */
  private get tokenConfirmed(): boolean {
    return this.latest.seenToken === this.token
  }
  /** Agent epoch of the current session; null: none is known, or the last one has surely ended. */
  get agentEpoch(): AgentEpoch | null {
    return this.latest.agentEpoch
  }
  get isUp(): boolean {
    return this.agentEpoch !== null
  }
  /** Where the worker's messages stand; one below is old, or from a worker that restarted. */
  counters(): MessageCounters {
    return this.latest.counters()
  }
  /** Images that the machine probably holds, least recently used first, with their sizes in GB. */
  get images(): ReadonlyMap<ImageName, number> {
    return this.cache.sizes
  }
  /** The placements of tasks that may be on the machine. */
  get placements(): Map<TaskId, Placement> {
    return this.placed.byTask
  }
  /** The room that those leave. */
  get free(): Readonly<FreeCapacity> {
    return this.placed.free
  }
  /** When the latest message arrived; `EARLIEST_TIME` before the first one. */
  get lastHeard(): MonotonicTime {
    return this.reachability.lastHeard
  }
  silentMs(now: MonotonicTime): number {
    return now - this.lastHeard
  }
  /** Since when the worker seems to receive nothing; null: it isn't known to. */
  get unreachableSince(): MonotonicTime | null {
    return this.reachability.unreachableSince
  }
  /** Heard of recently enough, and surely receiving commands, to be given work. */
  isSchedulable(now: MonotonicTime): boolean {
    return this.isUp && this.reachability.isSchedulable(now)
  }

  /** A task may be here from now on. */
  hold(placement: Placement): void {
    this.placed.add(placement)
  }
  /** The task is surely off the machine, or has its result. */
  release(placement: Placement): void {
    this.placed.remove(placement)
  }

  /**
   * Takes in a heartbeat, or the same body in the response to a direct request.
   * Returns null for one that is older than what is known.
   */
  observe(heartbeat: Heartbeat, source: MessageSource, now: MonotonicTime): ReadonlyArray<Outcome> | null {
    if (this.latest.isOutdated(heartbeat, source)) return null
    if (this.latest.beginsSession(heartbeat)) this.beginSession(source, now)
    this.latest.accept(heartbeat)
    const proven = source === "direct" || this.tokenConfirmed || this.options.rentedInEpoch
    this.reachability.recordMessage(source, proven, now)
    if (this.tokenConfirmed) this.reachability.recordTokenConfirmed()
    this.preemptionAt =
      typeof heartbeat.preemptionNoticeS === "number" ? addMs(now, heartbeat.preemptionNoticeS * 1000) : null
    this.address = heartbeat.address
    this.reported.list(heartbeat)
    this.trackStarts(heartbeat)
    return this.takeOutcomes(heartbeat, source, proven, now)
  }
  /** The first message of a session; the former one, if any, lost its lease. */
  private beginSession(source: MessageSource, now: MonotonicTime): void {
    // It lost a lease that we kept renewing: our replies didn't reach it.
    if (this.isUp && source === "heartbeat" && this.lease.wasRecentlyRenewed(now))
      this.reachability.markUnreachable(now)
    // A session's lease runs from its beginning, before any heartbeat of it was
    // answered: we may first hear of it by the response to a direct request.
    this.lease.renew(now)
    this.cache.clear()
    this.starts.resetForNewSession()
  }
  private trackStarts({ fencingToken, tasks }: Heartbeat): void {
    this.starts.tokenSeen(fencingToken)
    for (const { taskId, attempt } of tasks) this.starts.recordReported(taskId, attempt)
    this.starts.pruneDirectStarts((task) => this.reported.byId.has(task) || this.placements.has(task))
  }
  private takeOutcomes(
    heartbeat: Heartbeat,
    source: MessageSource,
    proven: boolean,
    now: MonotonicTime,
  ): ReadonlyArray<Outcome> {
    if (this.placements.size === 0) return []
    const { starts, reachability } = this
    const reportedTasks = this.reported.byId
    const startEvidence = this.startEvidence(source, now)
    const evidence = { heartbeat, source, proven, reportedTasks, starts, startEvidence, reachability }
    const outcomes: Array<Outcome> = []
    for (const placement of [...this.placements.values()]) {
      const verdict = verdictOn(placement, evidence)
      switch (verdict.kind) {
        case "unchanged":
          break
        case "startIgnored":
          reachability.markUnreachable(now)
          break
        case "running":
          this.cache.use(placement.job.spec.image, placement.job.spec.imageGb)
          outcomes.push(verdict)
          break
        case "done":
        case "cleared":
          this.release(placement)
          outcomes.push(verdict)
      }
    }
    return outcomes
  }
  /** What the latest message proves about the starts that were sent before it. */
  private startEvidence(source: MessageSource, now: MonotonicTime): StartEvidence {
    const { token, tokenConfirmed } = this
    const { sequence } = this.latest
    return { token, tokenConfirmed, sequence, isHeartbeat: source === "heartbeat", now }
  }

  /** The heartbeat in full, if the worker's latest message was the one that it repeats. */
  expandRepeat(repeat: RepeatedHeartbeat): Heartbeat | null {
    if (this.address === null || this.agentEpoch !== repeat.agentEpoch) return null
    return this.reported.expandRepeat(repeat, this.recorded, this.address)
  }

  /**
   * The worker answered an inspection, requested when its counters were `before`, with lower ones.
   * Only heartbeats can be late copies: this worker restarted. It has to show a raised token
   * before its former tasks count as gone, since commands sent before may still be in transit.
   * Returns false, and changes nothing, when the counters aren't lower.
   */
  acceptRestart(heartbeat: Heartbeat, before: MessageCounters, now: MonotonicTime): boolean {
    const isBelow =
      heartbeat.agentEpoch < before.agentEpoch ||
      (heartbeat.agentEpoch === before.agentEpoch && heartbeat.sequence < before.sequence)
    if (!isBelow) return false
    this.latest.acceptRestart(heartbeat)
    this.lease.renew(now)
    this.reachability.recordRestart(now)
    this.address = heartbeat.address
    this.reported.list(heartbeat)
    this.cache.clear()
    this.starts.resetForRestart()
    return true
  }

  /** The store holds a higher token for the machine. */
  tokenRaised(): void {
    this.reachability.recordTokenRaised()
  }
  /**
   * A start got lost under the current token, and nothing is certain until the
   * worker has seen a higher one; or it has to show that it receives commands.
   */
  needsHigherToken(): boolean {
    return (
      this.reachability.needsHigherToken() ||
      this.workerCommands.needHigherToken(this.token, this.reported.byId)
    )
  }

  private clear(placement: Placement, cause: ClearedCause): Outcome {
    this.release(placement)
    return { kind: "cleared", placement, cause }
  }
  /** All tasks are gone: the machine's deletion was answered, or its lease has surely expired. */
  clearAll(cause: ClearedCause): ReadonlyArray<Outcome> {
    return [...this.placements.values()].map((placement) => this.clear(placement, cause))
  }
  /** The worker has surely lost its lease, and with it all its tasks. */
  isLeaseExpired(now: MonotonicTime): boolean {
    return this.lease.isExpired(now)
  }
  /**
   * After `isLeaseExpired`: whatever still arrives from the ended agent epoch is old. A worker that
   * restarted counts its sessions from the start, and may execute a command sent before: a task whose
   * direct start got no response stays placed until the machine is heard of again, or deleted.
   */
  expireLease(): ReadonlyArray<Outcome> {
    let last: number = this.agentEpoch ?? 0
    for (const placement of this.placements.values()) last = Math.max(last, placement.agentEpoch)
    this.latest.endSessions(last)
    this.reported.clear()
    this.cache.clear()
    return [...this.placements.values()]
      .filter(({ task, attempt }) => !this.starts.isUnanswered(task, attempt))
      .map((placement) => this.clear(placement, "lease expired"))
  }

  /** No task is, or may come to be, on this machine that needs its present owner. */
  isEmpty(finishIsDurable: (task: TaskId) => boolean): boolean {
    return this.placements.size === 0 && !this.commandsInFlight && this.reported.areAllOver(finishIsDurable)
  }
  /** What the machine's next owner needs to use it before its next heartbeat; null: nothing of use. */
  handoff(now: MonotonicTime): MachineHandoff | null {
    const { address, agentEpoch } = this
    if (agentEpoch === null || address === null || this.unreachableSince !== null) return null
    const { sequence } = this.latest
    return { address, agentEpoch, sequence, silentMs: this.silentMs(now), images: [...this.images] }
  }
  /** Takes over what the former owner knew, unless the worker was heard of already. */
  acceptHandoff(handoff: MachineHandoff, now: MonotonicTime): void {
    if (this.isUp) return
    this.address = handoff.address
    this.latest.acceptHandoff(handoff)
    this.reachability.recordHandoff(handoff.silentMs, now)
    for (const [image, gb] of handoff.images) this.cache.use(image, gb)
  }

  /** Commands were sent to the worker's own address, and have neither a response nor been given up. */
  get commandsInFlight(): boolean {
    return this.workerCommands.inFlight
  }
  /** The commands to send now, given the worker's latest message. */
  commands(now: MonotonicTime, finishIsDurable: (task: TaskId) => boolean): ReadonlyArray<Command> {
    if (this.agentEpoch === null) return []
    const evidence = this.startEvidence("direct", now)
    return this.workerCommands.due(this.agentEpoch, this.reported.byId, evidence, finishIsDurable)
  }
  /**
   * Since when a start of a cancelled task may still reach the worker: one that was sent directly, without
   * a response, under a token that the worker still accepts; null: none is in transit.
   */
  pendingCancelledStartSince(): MonotonicTime | null {
    return this.workerCommands.pendingCancelledStartSince(this.agentEpoch, this.token, this.reported.byId)
  }

  /** The reply to a heartbeat is about to be sent. */
  recordReply(commands: ReadonlyArray<Command>, now: MonotonicTime): void {
    this.lease.renew(now)
    this.workerCommands.recordReply(commands, this.latest.sequence, now)
  }
  /** Commands are about to be sent to the worker's own address. */
  recordDirectCommands(commands: ReadonlyArray<Command>, now: MonotonicTime): void {
    this.workerCommands.recordDirect(commands, this.token, now)
  }
  /** They were answered, or surely never sent (`answered`), or given up with their outcome unknown. */
  recordDirectResult(commands: ReadonlyArray<Command>, token: FencingToken, answered: boolean): void {
    this.workerCommands.recordDirectResult(commands, token, answered)
  }
}
