import { later, type Moment } from "@sorreltally/wire"
import { Effect } from "effect"

/** What goes first when requests have to queue; the meaning of each is the caller's. */
export type Haste = 0 | 1 | 2 | 3

/** What is this hasty doesn't queue: it goes at once, and what is less hasty pays for it. */
const AT_ONCE: Haste = 1

interface Turn {
  readonly cost: number
  readonly haste: Haste
}

/** Each second in which more is wanted than allowed, a node tries this much more of the shared limit. */
const GROWTH = 0.15
const SHRINK = 0.75
/** Refusals this close together are one: requests sent before the first was heard. */
const ONE_REFUSAL_MS = 300
const LONGEST_NAP_MS = 200
/** Use is averaged over about this time. */
const USAGE_MS = 2_000
/** What all nodes together try to use: the rest is for whoever comes unexpectedly. */
const HEADROOM = 0.92

/** From the first share of a limit on, batching counts more than delay; from the second on, most. */
const CALM_LOAD = 0.35
const BUSY_LOAD = 0.5
/** A value between one for a calm service and one for a busy one, by how much of its limit is taken. */
export const byLoad = (load: number, calm: number, busy: number): number => {
  const share = Math.min(1, Math.max(0, (load - CALM_LOAD) / (BUSY_LOAD - CALM_LOAD)))
  return calm + share * (busy - calm)
}

/**
 * A limit on requests a second that all controllers share. Their needs are
 * uneven and nobody deals the limit out: each node takes what it needs, a
 * little more as time goes by, and yields when the service says 429.
 */
export class SharedPace {
  private rate: number
  private tokens: number
  private last: Moment
  private refusedAt: Moment
  private used = 0
  private usedAt: Moment
  private othersUse = 0
  private readonly waiting: Array<Turn> = []

  constructor(
    private readonly limit: number,
    private readonly nodes: number,
    private readonly burst: number,
    private readonly now: () => Moment,
  ) {
    this.rate = Math.min(limit, (1.5 * limit) / nodes)
    this.tokens = burst
    this.last = now()
    this.usedAt = this.last
    this.refusedAt = later(this.last, -ONE_REFUSAL_MS)
  }

  /** What this node takes a second, of late. */
  get usage(): number {
    this.fade(this.now())
    return this.used
  }
  /** Share of the limit that all nodes together take, as far as this one has heard. */
  get load(): number {
    return (this.usage + this.othersUse) / this.limit
  }
  /** What the other nodes say that they take together: the rest is ours. */
  others(perSecond: number): void {
    this.othersUse = perSecond
    this.rate = Math.min(this.rate, this.most)
  }
  /** Never less than a part of an even share, whatever the others say. */
  private get most(): number {
    return Math.max((0.6 * this.limit) / this.nodes, HEADROOM * this.limit - this.othersUse)
  }
  private spend(cost: number): void {
    this.fade(this.now())
    this.used += (1000 * cost) / USAGE_MS
  }
  private fade(now: Moment): void {
    this.used *= Math.exp(-(now - this.usedAt) / USAGE_MS)
    this.usedAt = now
  }

  take(cost: number, haste: Haste): Effect.Effect<void> {
    return Effect.suspend(() => {
      if (haste <= AT_ONCE) {
        this.refill(this.now())
        this.tokens = Math.max(-this.burst, this.tokens - cost)
        this.spend(cost)
        return Effect.void
      }
      const turn: Turn = { cost, haste }
      const behind = this.waiting.findIndex((t) => t.haste > haste)
      this.waiting.splice(behind < 0 ? this.waiting.length : behind, 0, turn)
      const leave = Effect.sync(() => {
        const at = this.waiting.indexOf(turn)
        if (at >= 0) this.waiting.splice(at, 1)
      })
      const step: Effect.Effect<void> = Effect.suspend(() => {
        const napMs = this.napMs(turn)
        if (napMs > 0) return Effect.andThen(Effect.sleep(napMs), step)
        this.waiting.shift()
        this.tokens -= cost
        this.spend(cost)
        return Effect.void
      })
      return Effect.onInterrupt(step, () => leave)
    })
  }

  /** The service said 429: others use more than we thought. */
  refused(): void {
    const now = this.now()
    this.refill(now)
    this.tokens = Math.min(this.tokens, 0)
    if (now < later(this.refusedAt, ONE_REFUSAL_MS)) return
    this.refusedAt = now
    this.rate = Math.max((0.5 * this.limit) / this.nodes, this.rate * SHRINK)
  }

  private napMs(turn: Turn): number {
    this.refill(this.now())
    // What costs more than a full bucket goes when the bucket is full.
    const missing = Math.min(turn.cost, this.burst) - this.tokens
    const first = this.waiting[0] === turn
    if (first && missing <= 1e-9) return 0
    return Math.max(5, Math.min(LONGEST_NAP_MS, first ? (missing / this.rate) * 1000 : 10))
  }
  private refill(now: Moment): void {
    const passedS = (now - this.last) / 1000
    this.last = now
    if (this.waiting.length > 0)
      this.rate = Math.min(this.most, this.rate + GROWTH * this.limit * Math.min(1, passedS))
    this.tokens = Math.min(this.burst, this.tokens + passedS * this.rate)
  }
}
