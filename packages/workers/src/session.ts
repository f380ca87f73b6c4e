import type { Placement } from "@sorreltally/jobs"
import {
  type Address,
  type Attempt,
  type ImageName,
  later,
  type MachineId,
  type MachineType,
  type Moment,
  NEVER,
  type NodeName,
  type Order,
  type Piece,
  type RepeatedReport,
  type Report,
  type Stamp,
  type TaskId,
  type Tenure,
  type Tick,
  type Token,
} from "@sorreltally/wire"
import { ImageCache } from "./image-cache.ts"
import type { FreeRoom, Introduction, LeaseTimes, MachineEntry, Outcome } from "./model.ts"
import { ordersFor } from "./orders.ts"
import { StartTracker } from "./start-tracker.ts"

/** Steady clocks drift apart by at most this share; both ends may. */
const DRIFT = 2 * 0.0005
const LEASE_MARGIN_MS = 1_000
/** A worker that reported within so many report intervals, and hears us, gets work. */
const USABLE_REPORTS = 2.5
/** Exited tasks that a worker may have to go on reporting until its token is raised to forget them. */
const MOST_UNFORGETTABLE = 24
/** How often a worker was told to start a task, and nothing came of it, until it is taken to receive nothing. */
const IGNORED_STARTS = 2

/**
 * What an owner knows of one machine and may conclude from it. The one hard
 * question is when a task is surely *off* the machine; everything here that
 * answers it says why.
 */
export class WorkerSession {
  address: Address | null = null
  tenure: Tenure | null = null
  private tick = -1 as Tick
  private seenToken = 0 as Token
  lastHeard: Moment = NEVER
  private lastAnswered: Moment
  warningUntil: Moment | null = null
  /** When a report came, not the answer to a command. */
  private reportedAt: Moment = NEVER
  /** When a body came that is surely no late copy. */
  private provenAt: Moment = NEVER
  /**
   * Since when the worker seems not to hear us: it gets no work until it has
   * shown a token that we raised after this.
   */
  receivesNothingSince: Moment | null = null
  pieces = new Map<TaskId, Piece>()
  /** Counter of the body that listed them; null: nothing of this session did. */
  private piecesAt: Tick | null = null
  readonly placements = new Map<TaskId, Placement>()
  readonly free: FreeRoom
  private readonly cache: ImageCache
  /** Tenures below this one have surely ended. */
  private liveTenure = 0 as Tenure
  private readonly starts = new StartTracker()
  /** The token was raised since the worker seems to receive nothing. */
  private raisedSince = false
  /** Exited tasks that can't be forgotten until the worker has seen a higher token. */
  private unforgettable = 0
  ordersInFlight = false
  /** The node through which its last report came; null: it came to the owner itself. */
  via: NodeName | null = null
  ordersBadUntil: Moment = NEVER

  constructor(
    readonly id: MachineId,
    private recorded: MachineEntry,
    readonly type: MachineType,
    private readonly epoch: Stamp,
    private readonly times: LeaseTimes,
    /** Rented under this epoch: nothing that it says can be older than that. */
    private readonly fresh: boolean,
    now: Moment,
  ) {
    // A former owner may have answered a report just before we took over.
    this.lastAnswered = now
    const { cores, accelerators, mem_gb } = type
    this.free = { cores, accelerators, mem_gb }
    this.cache = new ImageCache(type.cache_gb)
  }

  get entry(): MachineEntry {
    return this.recorded
  }
  update(entry: MachineEntry): void {
    this.recorded = entry
  }
  get token(): Token {
    return Math.max(this.epoch, this.recorded.token) as Token
  }
  /** The worker has shown that it heard of our token: older commands are dead. */
  get confirmed(): boolean {
    return this.seenToken === this.token
  }
  /** Images that it has, least recently used first, with their sizes. */
  get images(): ReadonlyMap<ImageName, number> {
    return this.cache.sizes
  }
  get up(): boolean {
    return this.tenure !== null
  }
  silentMs(now: Moment): number {
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
    this.free.mem_gb -= times * job.request.mem_gb
  }

  /**
   * Takes in a report, or the body of an `/orders` or `/inspect` answer.
   * Returns null for one that is older than what we know.
   */
  observe(body: Report, how: "report" | "direct", now: Moment): ReadonlyArray<Outcome> | null {
    if (body.tenure < this.liveTenure) return null
    if (this.tenure !== null) {
      if (body.tenure < this.tenure) return null
      if (body.tenure === this.tenure && body.tick <= this.tick) return null
    }
    // A worker keeps the highest token over all its sessions. One that began anew counts from the
    // start: what its former self reported under an older token looks newer by the counters alone.
    if (how === "report" && body.baton < this.seenToken) return null
    const outcomes: Array<Outcome> = []
    if (this.tenure === null || body.tenure > this.tenure) {
      // It lost a lease that we kept answering for: our answers didn't reach it.
      if (
        this.tenure !== null &&
        how === "report" &&
        this.lastAnswered > later(now, -this.times.reportS * 1_000 * USABLE_REPORTS)
      )
        this.receivesNothingSince ??= now
      // A session's lease runs from its beginning, before any report of it was
      // answered: we may hear of it by way of /orders first.
      this.lastAnswered = now
      this.tenure = body.tenure
      this.cache.clear()
      this.starts.sessionBegan()
    }
    this.tick = body.tick
    this.seenToken = body.baton
    this.address = body.address
    this.lastHeard = now
    if (how === "report") this.reportedAt = now
    const proven = how === "direct" || this.confirmed || this.fresh
    if (proven) this.provenAt = now
    if (this.receivesNothingSince !== null && this.confirmed && this.raisedSince) {
      this.receivesNothingSince = null
      this.raisedSince = false
    }
    this.warningUntil = typeof body.warning_s === "number" ? later(now, body.warning_s * 1000) : null
    this.starts.tokenShown(body.baton)
    this.pieces = new Map(body.pieces.map((p) => [p.piece, p]))
    this.piecesAt = body.tick
    for (const { piece, try: attempt } of body.pieces) this.starts.shown(piece, attempt)
    this.starts.keepDirect((task) => this.pieces.has(task) || this.placements.has(task))

    for (const placement of [...this.placements.values()]) {
      if (placement.tenure !== body.tenure) {
        // The tenure rose: the worker killed and forgot all it had, and starts under the former
        // tenure are refused. A late copy may tell of a tenure of the worker's former self.
        if (placement.tenure < body.tenure && proven) this.clear(placement, "lease ended", outcomes)
        // Placed before the worker began anew, and nothing sent then can take effect any more.
        if (placement.tenure > body.tenure && this.confirmed && this.receivesNothingSince === null)
          this.clear(placement, "worker began anew", outcomes)
        continue
      }
      const piece = this.pieces.get(placement.task)
      if (piece === undefined || piece.try !== placement.attempt) {
        // Not there, and no start that could still bring it: only then is a
        // task that should leave surely gone.
        const going = placement.stop !== null || placement.inherited
        if (going && this.settled(placement.task, placement.attempt, how, now)) {
          this.clear(placement, "never started", outcomes)
        } else if (!going && how === "report" && placement.unheard >= IGNORED_STARTS) {
          this.receivesNothingSince ??= now
        }
      } else if (piece.status === "exited") {
        if (piece.cause === "done") {
          this.release(placement)
          outcomes.push({ kind: "done", placement })
        } else if (proven) {
          this.clear(placement, piece.cause ?? "exited", outcomes)
        }
      } else if (piece.status === "running" && placement.runningSince === null) {
        this.cache.use(placement.job.request.bundle, placement.job.request.image_gb)
        outcomes.push({ kind: "running", placement })
      }
    }
    return outcomes
  }

  /** The report in full, if the last word of this machine was the report that it repeats. */
  repeated({ host, tenure, tick, baton, since }: RepeatedReport): Report | null {
    if (this.address === null || this.tenure !== tenure || this.piecesAt !== since) return null
    const { build, site, loaners } = this.recorded
    const pieces = [...this.pieces.values()]
    return { host, address: this.address, build, site, loaners, tenure, tick, baton, warning_s: null, pieces }
  }

  /** Where this session stands; a body below it is old, or from a worker that began anew. */
  standing(): { readonly tenure: Tenure; readonly tick: Tick } {
    return this.tenure === null
      ? { tenure: this.liveTenure, tick: -1 as Tick }
      : { tenure: this.tenure, tick: this.tick }
  }
  /**
   * The worker answered `/inspect`, asked at `since`, with lower counters than
   * it had by then. Only reports can be late copies: this one began anew. It
   * has to show a raised token before its former tasks count as gone, since
   * commands to its former self may still be under way.
   */
  restarted(body: Report, since: { readonly tenure: Tenure; readonly tick: Tick }, now: Moment): boolean {
    const below = body.tenure < since.tenure || (body.tenure === since.tenure && body.tick < since.tick)
    if (!below) return false
    this.tenure = body.tenure
    this.liveTenure = body.tenure
    this.tick = body.tick
    this.seenToken = body.baton
    this.address = body.address
    this.lastHeard = now
    this.lastAnswered = now
    this.pieces = new Map(body.pieces.map((p) => [p.piece, p]))
    this.piecesAt = body.tick
    this.cache.clear()
    this.starts.workerRestarted()
    this.receivesNothingSince = now
    this.raisedSince = false
    return true
  }

  /** No start of this attempt can still take effect, as far as the last body tells. */
  private settled(task: TaskId, attempt: Attempt, how: "report" | "direct", now: Moment): boolean {
    const { token, confirmed, tick } = this
    return this.starts.isSettled(task, attempt, { token, confirmed, tick, isReport: how === "report", now })
  }
  /** Its token was raised. */
  tokenRaised(): void {
    this.raisedSince = this.receivesNothingSince !== null
  }

  /**
   * A start got lost under the current token, and nothing is sure until the
   * worker has seen a higher one; or it has to show that it hears.
   */
  needsHigherToken(): boolean {
    if (this.receivesNothingSince !== null && !this.raisedSince) return true
    if (this.unforgettable > MOST_UNFORGETTABLE) return true
    if (!this.starts.hasUnanswered(this.token)) return false
    for (const placement of this.placements.values()) if (placement.stop !== null) return true
    for (const piece of this.pieces.values())
      if (piece.status === "exited" && !this.placements.has(piece.piece)) return true
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
  leaseOver(now: Moment): boolean {
    return now > later(this.lastAnswered, this.times.leaseS * 1000 * (1 + DRIFT) + LEASE_MARGIN_MS)
  }
  /**
   * After `leaseOver`: whatever still comes from the ended tenure is old. A worker that began anew
   * counts its sessions from the start, and may take a command to its former self: a task whose
   * direct start got no answer stays placed until the machine is heard again, or deleted.
   */
  endTenure(): ReadonlyArray<Outcome> {
    let last = this.tenure ?? 0
    for (const placement of this.placements.values()) last = Math.max(last, placement.tenure)
    this.liveTenure = (last + 1) as Tenure
    this.tenure = null
    this.pieces.clear()
    this.piecesAt = null
    this.cache.clear()
    const outcomes: Array<Outcome> = []
    for (const placement of [...this.placements.values()])
      if (!this.starts.isUnanswered(placement.task, placement.attempt))
        this.clear(placement, "lease ended", outcomes)
    return outcomes
  }
  /** Heard recently enough, and surely hearing us, to be given work. */
  usable(now: Moment): boolean {
    const recently = later(now, -this.times.reportS * 1_000 * USABLE_REPORTS)
    // A worker that reaches no controller still answers commands, and loses all at its lease:
    // only its reports show that it can keep what it is given.
    const reports = this.reportedAt > recently
    return this.tenure !== null && this.receivesNothingSince === null && this.provenAt > recently && reports
  }

  /** Nothing is, or may come to be, on this machine whose owner we would have to be. */
  empty(finishIsDurable: (task: TaskId) => boolean): boolean {
    if (this.placements.size > 0 || this.ordersInFlight) return false
    for (const piece of this.pieces.values()) {
      if (piece.status !== "exited" || (piece.cause === "done" && !finishIsDurable(piece.piece))) return false
    }
    return true
  }
  /** What the machine's next owner wants to know, to use it before its next report. */
  introduction(now: Moment): Introduction | null {
    if (this.tenure === null || this.address === null || this.receivesNothingSince !== null) return null
    const { address, tenure, tick } = this
    return { address, tenure, tick, silentMs: this.silentMs(now), images: [...this.images] }
  }
  introduced(by: Introduction, now: Moment): void {
    if (this.tenure !== null) return
    this.address = by.address
    this.tenure = by.tenure
    this.tick = by.tick
    this.lastHeard = later(now, -by.silentMs)
    this.provenAt = this.lastHeard
    this.reportedAt = this.lastHeard
    for (const [image, gb] of by.images) this.cache.use(image, gb)
  }

  /** What the worker should be told now, given what it last said. */
  orders(now: Moment, finishIsDurable: (task: TaskId) => boolean): ReadonlyArray<Order> {
    const { tenure, pieces, placements } = this
    if (tenure === null) return []
    this.unforgettable = 0
    const mayForget = (piece: Piece) =>
      (piece.cause !== "done" || finishIsDurable(piece.piece)) && this.mayForget(piece, now)
    return ordersFor({ tenure, pieces, placements, mayForget, now })
  }
  /** Forgetting too early would let a late start, or a copy of one, run the task once more. */
  private mayForget({ piece: task, try: attempt }: Piece, now: Moment): boolean {
    if (!this.starts.mayForget(task, attempt, this.token, this.confirmed, now)) {
      if (this.starts.wasSentUnder(task, attempt, this.token)) this.unforgettable++
      return false
    }
    return this.settled(task, attempt, "direct", now)
  }

  /**
   * Since when a start of a cancelled task may still reach the worker: one that
   * went out by `/orders`, without an answer, under a token that the worker still
   * accepts. Null: no such start is under way.
   */
  cancelledStartMayCome(): Moment | null {
    let since: Moment | null = null
    for (const { job, stop, tenure, task, attempt } of this.placements.values()) {
      if (!job.withdrawn || stop === null || tenure !== this.tenure) continue
      if (this.starts.mayBeUnderWay(task, attempt, this.token) && this.pieces.get(task)?.try !== attempt)
        since = since === null ? stop.since : (Math.min(since, stop.since) as Moment)
    }
    return since
  }

  /** The answer to a report is about to be sent. */
  answering(orders: ReadonlyArray<Order>, now: Moment): void {
    this.lastAnswered = now
    this.starts.dropOldAnswers(now)
    for (const { verb, piece, try: attempt } of orders) {
      if (verb !== "start") continue
      this.starts.inAnswer(piece, attempt, this.tick, now)
      const placement = this.placements.get(piece)
      if (placement !== undefined) placement.unheard++
    }
  }
  /** Commands are about to be sent to the worker's own address. */
  sending(orders: ReadonlyArray<Order>, now: Moment): void {
    this.ordersInFlight = true
    for (const { verb, piece, try: attempt } of orders)
      if (verb === "start") this.starts.sending(piece, attempt, this.token, now)
  }
  /** They were answered, or given up. */
  sent(orders: ReadonlyArray<Order>, token: Token, answered: boolean): void {
    this.ordersInFlight = false
    for (const { verb, piece, try: attempt } of orders) {
      if (verb !== "start") continue
      this.starts.sent(piece, attempt, token, answered)
      const placement = this.placements.get(piece)
      if (!answered && placement !== undefined) placement.unheard++
    }
  }
}
