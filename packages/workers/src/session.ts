import type { Placement } from "@sorreltally/jobs"
import type { MachineRecord } from "@sorreltally/state"
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
  type Piece,
  type Report,
  type Stamp,
  type TaskId,
  type Tenure,
  type Tick,
  type Token,
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

/** Hearsay of a machine's former owner: good enough to send orders, no proof of anything. */
export interface Introduction {
  readonly address: Address
  readonly tenure: Tenure
  readonly tick: Tick
  readonly silentMs: number
  readonly images: ReadonlyArray<ImageName>
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
  pieces = new Map<TaskId, Piece>()
  readonly placements = new Map<TaskId, Placement>()
  readonly images = new Map<ImageName, Moment>()
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
    public record: MachineRecord,
    public recordStamp: Stamp,
    readonly type: MachineType,
    private readonly epoch: Stamp,
    private readonly times: LeaseTimes,
    now: Moment,
  ) {
    // A former owner may have answered a report just before we took over.
    this.lastAnswered = now
  }

  get token(): Token {
    return Math.max(this.epoch, this.recordStamp) as number as Token
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
      // A session's lease runs from its beginning, before any report of it was
      // answered: we may hear of it by way of /orders first.
      this.lastAnswered = now
      this.tenure = body.tenure
      this.images.clear()
      this.answeredStarts.clear()
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
    this.warningUntil = typeof body.warning_s === "number" ? later(now, body.warning_s * 1000) : null
    if (this.loose !== null && body.baton > this.loose) this.loose = null
    this.pieces = new Map(body.pieces.map((p) => [p.piece, p]))

    for (const placement of [...this.placements.values()]) {
      if (placement.tenure !== body.tenure) continue
      const piece = this.pieces.get(placement.task)
      if (piece === undefined || piece.try !== placement.attempt) {
        // Not there, and no start that could still bring it: only then is a
        // task that should leave surely gone.
        if (placement.stop !== null && this.settled(placement.task, placement.attempt, how, now)) {
          this.clear(placement, "never started", outcomes)
        }
      } else if (piece.status === "exited") {
        if (piece.cause === "done") {
          this.placements.delete(placement.task)
          outcomes.push({ kind: "done", placement })
        } else {
          this.clear(placement, piece.cause ?? "exited", outcomes)
        }
      } else if (piece.status === "running" && placement.runningSince === null) {
        placement.runningSince = now
        outcomes.push({ kind: "running", placement })
      }
      if (piece !== undefined && piece.try === placement.attempt && piece.status !== "pulling") {
        this.images.set(placement.job.request.bundle, now)
      }
    }
    return outcomes
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

  /** A start got lost under the current token: nothing is sure until the worker has seen a higher one. */
  needsFence(): boolean {
    if (this.loose === null || this.loose !== this.token) return false
    for (const placement of this.placements.values()) if (placement.stop !== null) return true
    for (const piece of this.pieces.values())
      if (piece.status === "exited" && !this.placements.has(piece.piece)) return true
    return false
  }

  private clear(placement: Placement, cause: string, outcomes: Array<Outcome>): void {
    this.placements.delete(placement.task)
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
    this.images.clear()
    return this.clearAll("lease ended")
  }
  /** True when a body from a tenure that has surely ended must not be answered 200. */
  outdated(body: Report): boolean {
    return body.tenure < this.liveTenure
  }

  /** Reachable recently enough to be given work. */
  usable(now: Moment): boolean {
    return this.tenure !== null && this.silentMs(now) < this.times.reportS * 2_500
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
    if (this.tenure === null || this.address === null) return null
    const { address, tenure, tick } = this
    return { address, tenure, tick, silentMs: this.silentMs(now), images: [...this.images.keys()] }
  }
  introduced(by: Introduction, now: Moment): void {
    if (this.tenure !== null) return
    this.address = by.address
    this.tenure = by.tenure
    this.tick = by.tick
    this.lastHeard = later(now, -by.silentMs)
    for (const image of by.images) this.images.set(image, now)
  }

  /** What the worker should be told now, given what it last said. */
  orders(now: Moment, finishIsDurable: (task: TaskId) => boolean): ReadonlyArray<Order> {
    if (this.tenure === null) return []
    const orders: Array<Order> = []
    for (const piece of this.pieces.values()) {
      const placement = this.placements.get(piece.piece)
      if (placement !== undefined && placement.attempt === piece.try) continue
      if (piece.status !== "exited") {
        // Nothing durable stands for it any more: it has no business here.
        orders.push({ verb: "stop", piece: piece.piece, try: piece.try, leeway_s: 0 })
      } else if (
        (piece.cause !== "done" || finishIsDurable(piece.piece)) &&
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
        if (!there) orders.push({ verb: "start", piece: placement.task, try: placement.attempt })
      } else if (there && piece.status !== "exited") {
        const leeway = Math.max(0, placement.stop.leewayS - (now - placement.stop.since) / 1000)
        if (piece.status !== "flushing" || leeway === 0) {
          orders.push({ verb: "stop", piece: placement.task, try: placement.attempt, leeway_s: leeway })
        }
      }
    }
    return orders
  }

  /** The answer to a report is about to be sent. */
  answering(orders: ReadonlyArray<Order>, now: Moment): void {
    this.lastAnswered = now
    for (const [key, start] of this.answeredStarts) {
      if (now > later(start.at, 2 * ANSWER_LIFE_MS)) this.answeredStarts.delete(key)
    }
    for (const order of orders) {
      if (order.verb === "start")
        this.answeredStarts.set(`${order.piece}#${order.try}`, { tick: this.tick, at: now })
    }
  }
  sending(orders: ReadonlyArray<Order>): void {
    this.ordersInFlight = true
    for (const order of orders) {
      if (order.verb !== "start") continue
      const key = `${order.piece}#${order.try}`
      this.flying.set(key, (this.flying.get(key) ?? 0) + 1)
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
      if (!answered && (this.loose === null || this.loose < token)) this.loose = token
    }
  }
}
