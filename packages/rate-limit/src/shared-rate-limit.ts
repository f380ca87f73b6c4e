/**
 * Rate limits shared by all controllers without a coordinator: each node takes what it needs and backs off
 * when the service rejects a request (additive increase, multiplicative decrease). A limiter decides only
 * when a request may be sent; callers send and retry it.
 */
import { addMs, type MonotonicTime } from "@sorreltally/protocol"
import { Effect } from "effect"
import { ContradictingRejections } from "./contradicting-rejections.ts"

/**
 * Priority of a request: lower numbers leave the queue first. Callers define what each number is used for.
 */
export type RequestPriority = 0 | 1 | 2 | 3

/**
 * Requests with this priority number or a lower one bypass the queue. They may overdraw the token bucket,
 * which delays the queued requests.
 */
const MAX_IMMEDIATE_PRIORITY: RequestPriority = 1

/** A request waiting in the queue. */
interface WaitingRequest {
  readonly cost: number
  readonly priority: RequestPriority
}

/** Fraction of the limit by which a node raises its rate per second while requests are queued. */
const RATE_INCREASE = 0.15
/** Factor applied to a node's rate after a rejection. */
const RATE_DECREASE = 0.75
/**
 * Rejections within this time of the first lower the rate only once: their requests were sent before the
 * first rejection was received.
 */
const REJECTION_COALESCING_MS = 300
/** Bounds of a queued request's pause between two checks for tokens. */
const MIN_PAUSE_MS = 5
const MAX_PAUSE_MS = 200
/** Pause of a request that is not at the head of the queue. */
const QUEUED_PAUSE_MS = 10
/** Time constant of the exponentially decaying average of usage. */
const USAGE_WINDOW_MS = 2_000
/** Fraction of the limit that all nodes together aim to use; the rest absorbs unexpected requests. */
const TARGET_UTILIZATION = 0.92
/** Initial rate of a node, as a multiple of its even share of the limit. */
const INITIAL_EVEN_SHARES = 1.5
/** Rate that a node may always use, as a fraction of its even share, whatever the other nodes report. */
const GUARANTEED_EVEN_SHARE = 0.6
/** Lower bound of a node's rate after rejections, as a fraction of its even share. */
const MIN_EVEN_SHARE = 0.5
/** Shortfall in tokens that is attributed to rounding. */
const TOKEN_EPSILON = 1e-9

/**
 * Up to the low load, short delays matter more than batching; from the high load on, batching matters most.
 */
const LOW_LOAD = 0.35
const HIGH_LOAD = 0.5
/**
 * Interpolates linearly between a value for a lightly loaded service and one for a heavily loaded service.
 * @param load Fraction of the service's limit in use.
 */
export const interpolateByLoad = (load: number, atLowLoad: number, atHighLoad: number): number => {
  const share = Math.min(1, Math.max(0, (load - LOW_LOAD) / (HIGH_LOAD - LOW_LOAD)))
  return atLowLoad + share * (atHighLoad - atLowLoad)
}

/** Options of a shared rate limit. */
export interface SharedRateLimitOptions {
  /** Requests, or other units of cost, per second for all nodes together. */
  readonly limit: number
  /** Number of controllers that share the limit, including this one. */
  readonly nodeCount: number
  /** Capacity of the token bucket: the cost that may be sent at once after an idle time. */
  readonly burst: number
  readonly now: () => MonotonicTime
}

/**
 * A limit on requests per second shared by all controllers. Their demand is uneven and the limit is not
 * divided among them in advance: the rate of each node's token bucket rises while requests are queued, and is
 * lowered when the service rejects one with 429.
 */
export class SharedRateLimit {
  private limit: number
  private readonly nodeCount: number
  private burst: number
  private readonly now: () => MonotonicTime
  private rate: number
  private tokens: number
  private refilledAt: MonotonicTime
  private rejectedAt: MonotonicTime
  private usagePerSecond = 0
  private usageAt: MonotonicTime
  private peerUsagePerSecond = 0
  private readonly waiting: Array<WaitingRequest> = []
  private readonly contradictions = new ContradictingRejections()

  constructor({ limit, nodeCount, burst, now }: SharedRateLimitOptions) {
    this.limit = limit
    this.nodeCount = nodeCount
    this.burst = burst
    this.now = now
    this.rate = Math.min(limit, (INITIAL_EVEN_SHARES * limit) / nodeCount)
    this.tokens = burst
    this.refilledAt = now()
    this.usageAt = this.refilledAt
    this.rejectedAt = addMs(this.refilledAt, -REJECTION_COALESCING_MS)
  }

  /** Cost per second used by this node, averaged over about two seconds. */
  get usage(): number {
    this.decayUsage(this.now())
    return this.usagePerSecond
  }
  /** Fraction of the limit used by all nodes together, from the other nodes' last reports. */
  get load(): number {
    return (this.usage + this.peerUsagePerSecond) / this.limit
  }
  /**
   * Sets the cost per second reported by all other nodes together; this node may use the rest of the limit.
   */
  setPeerUsage(perSecond: number): void {
    this.peerUsagePerSecond = perSecond
    this.rate = Math.min(this.rate, this.maxRate)
  }
  private get maxRate(): number {
    return Math.max(
      (GUARANTEED_EVEN_SHARE * this.limit) / this.nodeCount,
      TARGET_UTILIZATION * this.limit - this.peerUsagePerSecond,
    )
  }
  private recordUsage(cost: number): void {
    this.decayUsage(this.now())
    this.usagePerSecond += (1000 * cost) / USAGE_WINDOW_MS
  }
  private usageAfterDecay(now: MonotonicTime): number {
    return this.usagePerSecond * Math.exp(-(now - this.usageAt) / USAGE_WINDOW_MS)
  }
  private decayUsage(now: MonotonicTime): void {
    this.usagePerSecond = this.usageAfterDecay(now)
    this.usageAt = now
  }

  /** Waits until a request of this cost may be sent. An interrupted wait is removed from the queue. */
  acquire(cost: number, priority: RequestPriority): Effect.Effect<void> {
    return Effect.suspend(() =>
      priority <= MAX_IMMEDIATE_PRIORITY ? this.spendImmediately(cost) : this.waitInQueue({ cost, priority }),
    )
  }
  private spendImmediately(cost: number): Effect.Effect<void> {
    this.refill(this.now())
    this.tokens = Math.max(-this.burst, this.tokens - cost)
    this.recordUsage(cost)
    return Effect.void
  }
  private waitInQueue(request: WaitingRequest): Effect.Effect<void> {
    const insertAt = this.waiting.findIndex(({ priority }) => priority > request.priority)
    this.waiting.splice(insertAt < 0 ? this.waiting.length : insertAt, 0, request)
    const leaveQueue = Effect.sync(() => {
      const index = this.waiting.indexOf(request)
      if (index >= 0) this.waiting.splice(index, 1)
    })
    const sendOrWait: Effect.Effect<void> = Effect.suspend(() => {
      const pauseMs = this.pauseMs(request)
      if (pauseMs > 0) return Effect.andThen(Effect.sleep(pauseMs), sendOrWait)
      this.waiting.shift()
      this.tokens -= request.cost
      this.recordUsage(request.cost)
      return Effect.void
    })
    return Effect.onInterrupt(sendOrWait, () => leaveQueue)
  }

  /**
   * Lowers the rate after the service rejected a request with 429: other nodes use more than they reported.
   * Returns whether the service must be enforcing a lower limit than the one given.
   */
  recordRejection(): boolean {
    const now = this.now()
    this.refill(now)
    this.tokens = Math.min(this.tokens, 0)
    if (now < addMs(this.rejectedAt, REJECTION_COALESCING_MS)) return false
    this.rejectedAt = now
    this.rate = Math.max((MIN_EVEN_SHARE * this.limit) / this.nodeCount, this.rate * RATE_DECREASE)
    const load = (this.usageAfterDecay(now) + this.peerUsagePerSecond) / this.limit
    return this.contradictions.record(now, load)
  }

  /** Replaces the limit and the capacity of the token bucket, after the service has lowered its limit. */
  setLimit(limit: number, burst: number): void {
    this.refill(this.now())
    this.limit = limit
    this.burst = burst
    this.rate = Math.min(this.rate, this.maxRate)
    this.tokens = Math.min(this.burst, this.tokens)
  }

  private pauseMs(request: WaitingRequest): number {
    this.refill(this.now())
    // A request that costs more than the bucket's capacity is sent when the bucket is full.
    const missingTokens = Math.min(request.cost, this.burst) - this.tokens
    const isFirst = this.waiting[0] === request
    if (isFirst && missingTokens <= TOKEN_EPSILON) return 0
    const waitMs = isFirst ? (missingTokens / this.rate) * 1000 : QUEUED_PAUSE_MS
    return Math.max(MIN_PAUSE_MS, Math.min(MAX_PAUSE_MS, waitMs))
  }
  private refill(now: MonotonicTime): void {
    const elapsedS = (now - this.refilledAt) / 1000
    this.refilledAt = now
    if (this.waiting.length > 0)
      this.rate = Math.min(this.maxRate, this.rate + RATE_INCREASE * this.limit * Math.min(1, elapsedS))
    this.tokens = Math.min(this.burst, this.tokens + elapsedS * this.rate)
  }
}
