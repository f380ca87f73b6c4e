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
  type Order,
  type PartName,
  type Piece,
  type Report,
  type Stamp,
  type TaskId,
  type Tenure,
  type Tick,
  type Token,
  type TypeName,
  type WallTime,
  type ZoneName,
} from "@sorreltally/wire"

export interface LeaseTimes {
  readonly leaseS: number
  readonly reportS: number
}

/** Steady clocks drift apart by at most this share; both ends may. */
const DRIFT = 2 * 0.0005
const LEASE_MARGIN_MS = 1_000
/** A worker drops an answer to a report this long after sending it. */
const ANSWER_LIFE_MS = 4_000

/** Copies of orders later than this are not expected. */
const COPIES_COME_MS = 180_000
/** Exited tasks that a worker may have to go on reporting until its token is raised to forget them. */
const MOST_KEPT = 24
/** How often a worker was told to start a task, and nothing came of it, until it is taken for deaf. */
const UNHEARD = 2

/** What the state service holds of one machine. */
export interface MachineEntry {
  readonly id: MachineId
  /** The record that it stands in. */
  readonly block: string
  readonly part: PartName
  /** Every command to it carries at least this token. */
  readonly token: Token
  readonly build: TypeName
  readonly site: ZoneName
  readonly loaners: boolean
  readonly rented: WallTime
}

/** Room on a machine that no task that may be there takes. */
export interface FreeRoom {
  cores: number
  accelerators: number
  mem_gb: number
}

/** Hearsay of a machine's former owner: good enough to send orders, no proof of anything. */
export interface Introduction {
  readonly address: Address
  readonly tenure: Tenure
  readonly tick: Tick
  readonly silentMs: number
  readonly images: ReadonlyArray<readonly [ImageName, number]>
}

export type Outcome =
  | { readonly kind: "done"; readonly placement: Placement }
  /** Off the machine without a result; `cause` is the worker's word, or ours when the task just went. */
  | { readonly kind: "cleared"; readonly placement: Placement; readonly cause: string }
  | { readonly kind: "running"; readonly placement: Placement }

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
  deafSince: Moment | null = null
  pieces = new Map<TaskId, Piece>()
  readonly placements = new Map<TaskId, Placement>()
  readonly free: FreeRoom
  /** Images that it has, least recently used first, with their sizes. */
  readonly images = new Map<ImageName, number>()
  private imagesGb = 0
  /** Tenures below this one have surely ended. */
  private liveTenure = 0 as Tenure
  /** Starts that went out by `/orders` and have no answer yet. */
  private readonly flying = new Map<string, number>()
  /**
   * Token under which a start by `/orders` got no answer. It may be executed
   * minutes later, until the worker has seen a higher token.
   */
  private loose: Token | null = null
  private readonly answeredStarts = new Map<string, { readonly tick: Tick; readonly at: Moment }>()
  ordersInFlight = false
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
    const outcomes: Array<Outcome> = []
    if (this.tenure === null || body.tenure > this.tenure) {
      // It lost a lease that we kept answering for: our answers didn't reach it.
      if (
        this.tenure !== null &&
        how === "report" &&
        this.lastAnswered > later(now, -this.times.reportS * 2_500)
      )
        this.deafSince ??= now
      // A session's lease runs from its beginning, before any report of it was
      // answered: we may hear of it by way of /orders first.
      this.lastAnswered = now
      this.tenure = body.tenure
      this.dropImages()
      this.answeredStarts.clear()
      this.pushed.clear()
      // The tenure rose: the worker killed and forgot all it had, and starts
      // under the former tenure are refused.
      for (const placement of [...this.placements.values()]) {
        if (placement.tenure < body.tenure) this.clear(placement, "lease ended", outcomes)
      }
    }
    this.tick = body.tick
    this.seenToken = body.baton
    this.address = body.address
    this.lastHeard = now
    if (how === "report") this.reportedAt = now
    if (how === "direct" || this.confirmed || this.fresh) this.provenAt = now
    if (this.deafSince !== null && this.confirmed && this.raisedSinceDeaf) {
      this.deafSince = null
      this.raisedSinceDeaf = false
    }
    this.warningUntil = typeof body.warning_s === "number" ? later(now, body.warning_s * 1000) : null
    if (this.loose !== null && body.baton > this.loose) this.loose = null
    this.pieces = new Map(body.pieces.map((p) => [p.piece, p]))
    for (const key of this.pushed.keys()) {
      const task = key.slice(0, key.indexOf("#")) as TaskId
      if (!this.pieces.has(task) && !this.placements.has(task)) this.pushed.delete(key)
    }

    for (const placement of [...this.placements.values()]) {
      if (placement.tenure !== body.tenure) {
        // Placed before the worker began anew, and nothing sent then can take effect any more.
        if (placement.tenure > body.tenure && this.confirmed && this.deafSince === null)
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
        } else if (!going && how === "report" && placement.unheard >= UNHEARD) {
          this.deafSince ??= now
        }
      } else if (piece.status === "exited") {
        if (piece.cause === "done") {
          this.release(placement)
          outcomes.push({ kind: "done", placement })
        } else {
          this.clear(placement, piece.cause ?? "exited", outcomes)
        }
      } else if (piece.status === "running" && placement.runningSince === null) {
        this.keepImage(placement.job.request.bundle, placement.job.request.image_gb)
        outcomes.push({ kind: "running", placement })
      }
    }
    return outcomes
  }

  /** It caches the most recently used images. */
  private keepImage(image: ImageName, gb: number): void {
    if (this.images.delete(image)) this.imagesGb -= gb
    this.images.set(image, gb)
    this.imagesGb += gb
    for (const [oldest, size] of this.images) {
      if (this.imagesGb <= this.type.cache_gb) break
      this.images.delete(oldest)
      this.imagesGb -= size
    }
  }
  private dropImages(): void {
    this.images.clear()
    this.imagesGb = 0
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
  reborn(body: Report, since: { readonly tenure: Tenure; readonly tick: Tick }, now: Moment): boolean {
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
    this.dropImages()
    this.answeredStarts.clear()
    this.deafSince = now
    this.raisedSinceDeaf = false
    return true
  }

  /** Could a start of this attempt still take effect, as far as this body tells? */
  private settled(task: TaskId, attempt: Attempt, how: "report" | "direct", now: Moment): boolean {
    const key = `${task}#${attempt}`
    if (!this.confirmed || this.loose === this.token || (this.flying.get(key) ?? 0) > 0) return false
    const answered = this.answeredStarts.get(key)
    if (answered === undefined) return true
    // A worker has one report under way at a time, so a later report was made
    // after our answer arrived or was dropped.
    return (how === "report" && this.tick > answered.tick) || now > later(answered.at, 2 * ANSWER_LIFE_MS)
  }

  private raisedSinceDeaf = false
  /** Attempts whose start went out by `/orders`, under which token and when last. */
  private readonly pushed = new Map<string, { readonly token: Token; readonly at: Moment }>()
  /** Exited tasks that can't be forgotten until the worker has seen a higher token. */
  private kept = 0
  /** Its token was raised. */
  fenced(): void {
    this.raisedSinceDeaf = this.deafSince !== null
  }
  /**
   * A copy of `/orders` that was carried out may still come. While the worker
   * knows the attempt, its start does nothing; after `forget` it would start
   * the task again, done or not. Former owners' are dead once the worker has
   * seen our token, and starts in an answer to a report never come late.
   */
  private mayForget(piece: Piece, now: Moment): boolean {
    const sent = this.pushed.get(`${piece.piece}#${piece.try}`)
    if (sent === undefined) return this.confirmed
    if (this.confirmed && this.token > sent.token) return true
    if (now > later(sent.at, COPIES_COME_MS)) return true
    if (this.token === sent.token) this.kept++
    return false
  }

  /**
   * A start got lost under the current token, and nothing is sure until the
   * worker has seen a higher one; or it has to show that it hears.
   */
  needsFence(): boolean {
    if (this.deafSince !== null && !this.raisedSinceDeaf) return true
    if (this.kept > MOST_KEPT) return true
    if (this.loose === null || this.loose !== this.token) return false
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
  /** After `leaseOver`: whatever still comes from the ended tenure is old. */
  endTenure(): ReadonlyArray<Outcome> {
    let last = this.tenure ?? 0
    for (const placement of this.placements.values()) last = Math.max(last, placement.tenure)
    this.liveTenure = (last + 1) as Tenure
    this.tenure = null
    this.pieces.clear()
    this.dropImages()
    return this.clearAll("lease ended")
  }
  /** Heard recently enough, and surely hearing us, to be given work. */
  usable(now: Moment): boolean {
    const recently = later(now, -this.times.reportS * 2_500)
    // A worker that reaches no controller still answers commands, and loses all at its lease:
    // only its reports show that it can keep what it is given.
    const reports = this.reportedAt > recently
    return this.tenure !== null && this.deafSince === null && this.provenAt > recently && reports
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
    if (this.tenure === null || this.address === null || this.deafSince !== null) return null
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
    for (const [image, gb] of by.images) this.keepImage(image, gb)
  }

  /** What the worker should be told now, given what it last said. */
  orders(now: Moment, finishIsDurable: (task: TaskId) => boolean): ReadonlyArray<Order> {
    if (this.tenure === null) return []
    const orders: Array<Order> = []
    this.kept = 0
    for (const piece of this.pieces.values()) {
      const placement = this.placements.get(piece.piece)
      if (placement !== undefined && placement.attempt === piece.try) continue
      if (piece.status !== "exited") {
        // Nothing durable stands for it any more: it has no business here.
        orders.push({ verb: "stop", piece: piece.piece, try: piece.try, leeway_s: 0 })
      } else if (
        (piece.cause !== "done" || finishIsDurable(piece.piece)) &&
        this.mayForget(piece, now) &&
        this.settled(piece.piece, piece.try, "direct", now)
      ) {
        // Forgetting too early would let a late start run the task once more.
        orders.push({ verb: "forget", piece: piece.piece, try: piece.try })
      }
    }
    for (const placement of this.placements.values()) {
      if (!placement.durable || placement.tenure !== this.tenure) continue
      const piece = this.pieces.get(placement.task)
      const there = piece !== undefined && piece.try === placement.attempt
      if (placement.stop === null) {
        if (!there && !placement.inherited)
          orders.push({ verb: "start", piece: placement.task, try: placement.attempt })
      } else if (there && piece.status !== "exited") {
        const leeway = Math.max(0, placement.stop.leewayS - (now - placement.stop.since) / 1000)
        if (piece.status !== "flushing" || leeway === 0) {
          orders.push({ verb: "stop", piece: placement.task, try: placement.attempt, leeway_s: leeway })
        }
      }
    }
    return orders
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
      const unanswered = this.loose === this.token || this.flying.has(`${task}#${attempt}`)
      if (unanswered && this.pieces.get(task)?.try !== attempt)
        since = since === null ? stop.since : (Math.min(since, stop.since) as Moment)
    }
    return since
  }

  /** The answer to a report is about to be sent. */
  answering(orders: ReadonlyArray<Order>, now: Moment): void {
    this.lastAnswered = now
    for (const [key, start] of this.answeredStarts) {
      if (now > later(start.at, 2 * ANSWER_LIFE_MS)) this.answeredStarts.delete(key)
    }
    for (const order of orders) {
      if (order.verb !== "start") continue
      this.answeredStarts.set(`${order.piece}#${order.try}`, { tick: this.tick, at: now })
      const placement = this.placements.get(order.piece)
      if (placement !== undefined) placement.unheard++
    }
  }
  sending(orders: ReadonlyArray<Order>, now: Moment): void {
    this.ordersInFlight = true
    for (const order of orders) {
      if (order.verb !== "start") continue
      const key = `${order.piece}#${order.try}`
      this.flying.set(key, (this.flying.get(key) ?? 0) + 1)
      this.pushed.set(key, { token: this.token, at: now })
    }
  }
  sent(orders: ReadonlyArray<Order>, token: Token, answered: boolean): void {
    this.ordersInFlight = false
    for (const order of orders) {
      if (order.verb !== "start") continue
      const key = `${order.piece}#${order.try}`
      const left = (this.flying.get(key) ?? 1) - 1
      if (left === 0) this.flying.delete(key)
      else this.flying.set(key, left)
      if (answered) continue
      if (this.loose === null || this.loose < token) this.loose = token
      const placement = this.placements.get(order.piece)
      if (placement !== undefined) placement.unheard++
    }
  }
}
