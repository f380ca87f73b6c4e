/**
 * Rate limits that all controllers share without a coordinator: each node takes what it needs and
 * backs off when the service rejects a request (adaptive, AIMD). Owns when a request may be sent, and
 * never sends or repeats one itself.
 */
import { addMs, type MonotonicTime } from "@sorreltally/protocol"
import { Effect } from "effect"

/** Lower goes first when requests have to queue; the meaning of each is the caller's. */
export type RequestPriority = 0 | 1 | 2 | 3

/** Requests of this priority or a lower number don't queue: they go at once, at the expense of the others. */
const IMMEDIATE: RequestPriority = 1

interface WaitingRequest {
  readonly cost: number
  readonly priority: RequestPriority
}

/** Share of the limit by which a node raises its rate each second in which requests wait. */
const RATE_INCREASE = 0.15
/** Factor by which it lowers its rate after a rejection. */
const RATE_DECREASE = 0.75
/** Rejections this close together are one: requests sent before the first was heard. */
const SAME_REJECTION_MS = 300
const MIN_PAUSE_MS = 5
const MAX_PAUSE_MS = 200
/** Pause of a request that isn't the first of the queue. */
const QUEUED_PAUSE_MS = 10
/** Usage is averaged over about this time. */
const USAGE_WINDOW_MS = 2_000
/** Share of the limit that all nodes together try to use: the rest is for whoever comes unexpectedly. */
const HEADROOM = 0.92
/** A node starts with this many times an even share. */
const INITIAL_EVEN_SHARES = 1.5
/** A node may use this much of an even share, whatever the others report. */
const GUARANTEED_EVEN_SHARE = 0.6
/** Rejections lower a node's rate no further than to this much of an even share. */
const MIN_EVEN_SHARE = 0.5
/** Tokens missing because of rounding. */
const EPSILON = 1e-9

/** Load up to which delay counts more than batching, and from which on batching counts most. */
const CALM_LOAD = 0.35
const BUSY_LOAD = 0.5
/** A value between one for a calm service and one for a busy one; `load` is the share of its limit that is used. */
export const interpolateByLoad = (load: number, calm: number, busy: number): number => {
  const share = Math.min(1, Math.max(0, (load - CALM_LOAD) / (BUSY_LOAD - CALM_LOAD)))
  return calm + share * (busy - calm)
}

/** What a shared rate limit needs: the service's limit, and how many controllers share it. */
export interface SharedRateLimitOptions {
  /** Requests, or other units of cost, a second of all nodes together. */
  readonly limit: number
  /** Controllers that share the limit, this one included. */
  readonly nodes: number
  /** Cost that may go at once after a pause. */
  readonly burst: number
  readonly now: () => MonotonicTime
}

/**
 * A limit on requests a second that all controllers share. Their demand is
 * uneven and nobody divides the limit among them: a token bucket's rate rises
 * while requests wait, and is lowered when the service rejects one with 429.
 */
export class SharedRateLimit {
  private readonly limit: number
  private readonly nodes: number
  private readonly burst: number
  private readonly now: () => MonotonicTime
  private rate: number
  private tokens: number
  private refilledAt: MonotonicTime
  private rejectedAt: MonotonicTime
  private usagePerSecond = 0
  private usageAt: MonotonicTime
  private peerUsage = 0
  private readonly waiting: Array<WaitingRequest> = []

  constructor({ limit, nodes, burst, now }: SharedRateLimitOptions) {
    this.limit = limit
    this.nodes = nodes
    this.burst = burst
    this.now = now
    this.rate = Math.min(limit, (INITIAL_EVEN_SHARES * limit) / nodes)
    this.tokens = burst
    this.refilledAt = now()
    this.usageAt = this.refilledAt
    this.rejectedAt = addMs(this.refilledAt, -SAME_REJECTION_MS)
  }

  /** Cost a second that this node used, averaged over about two seconds. */
  get usage(): number {
    this.decayUsage(this.now())
    return this.usagePerSecond
  }
  /** Share of the limit that all nodes together use, by what the others last reported. */
  get load(): number {
    return (this.usage + this.peerUsage) / this.limit
  }
  /** Takes in the cost a second that the other nodes report to use together: the rest is ours. */
  setPeerUsage(perSecond: number): void {
    this.peerUsage = perSecond
    this.rate = Math.min(this.rate, this.maxRate)
  }
  private get maxRate(): number {
    return Math.max((GUARANTEED_EVEN_SHARE * this.limit) / this.nodes, HEADROOM * this.limit - this.peerUsage)
  }
  private recordUsage(cost: number): void {
    this.decayUsage(this.now())
    this.usagePerSecond += (1000 * cost) / USAGE_WINDOW_MS
  }
  private decayUsage(now: MonotonicTime): void {
    this.usagePerSecond *= Math.exp(-(now - this.usageAt) / USAGE_WINDOW_MS)
    this.usageAt = now
  }

  /** Waits until a request of this cost may be sent. Interrupted, it leaves the queue. */
  acquire(cost: number, priority: RequestPriority): Effect.Effect<void> {
    return Effect.suspend(() =>
      priority <= IMMEDIATE ? this.spendAtOnce(cost) : this.queue({ cost, priority }),
    )
  }
  private spendAtOnce(cost: number): Effect.Effect<void> {
    this.refill(this.now())
    this.tokens = Math.max(-this.burst, this.tokens - cost)
    this.recordUsage(cost)
    return Effect.void
  }
  private queue(request: WaitingRequest): Effect.Effect<void> {
    const behind = this.waiting.findIndex(({ priority }) => priority > request.priority)
    this.waiting.splice(behind < 0 ? this.waiting.length : behind, 0, request)
    const leave = Effect.sync(() => {
      const at = this.waiting.indexOf(request)
      if (at >= 0) this.waiting.splice(at, 1)
    })
    const step: Effect.Effect<void> = Effect.suspend(() => {
      const pauseMs = this.pauseMs(request)
      if (pauseMs > 0) return Effect.andThen(Effect.sleep(pauseMs), step)
      this.waiting.shift()
      this.tokens -= request.cost
      this.recordUsage(request.cost)
      return Effect.void
    })
    return Effect.onInterrupt(step, () => leave)
  }

  /** The service rejected a request with 429: the others use more than they reported. */
  rejected(): void {
    const now = this.now()
    this.refill(now)
    this.tokens = Math.min(this.tokens, 0)
    if (now < addMs(this.rejectedAt, SAME_REJECTION_MS)) return
    this.rejectedAt = now
    this.rate = Math.max((MIN_EVEN_SHARE * this.limit) / this.nodes, this.rate * RATE_DECREASE)
  }

  private pauseMs(request: WaitingRequest): number {
    this.refill(this.now())
    // What costs more than a full bucket goes when the bucket is full.
    const missing = Math.min(request.cost, this.burst) - this.tokens
    const first = this.waiting[0] === request
    if (first && missing <= EPSILON) return 0
    const wanted = first ? (missing / this.rate) * 1000 : QUEUED_PAUSE_MS
    return Math.max(MIN_PAUSE_MS, Math.min(MAX_PAUSE_MS, wanted))
  }
  private refill(now: MonotonicTime): void {
    const elapsedS = (now - this.refilledAt) / 1000
    this.refilledAt = now
    if (this.waiting.length > 0)
      this.rate = Math.min(this.maxRate, this.rate + RATE_INCREASE * this.limit * Math.min(1, elapsedS))
    this.tokens = Math.min(this.burst, this.tokens + elapsedS * this.rate)
  }
}
