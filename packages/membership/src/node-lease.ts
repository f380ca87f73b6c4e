import {
  ABSENT,
  addMs,
  type Incarnation,
  type LeaseId,
  type Log,
  type ModRevision,
  type MonotonicTime,
  NEVER,
  type NodeName,
} from "@sorreltally/protocol"
import { type Entry, keys, type NodeRecord, put, type StoreClient } from "@sorreltally/store"
import { Effect, Random, Result } from "effect"

export interface NodeLeaseTimes {
  readonly leaseTtlMs: number
  readonly leaseMarginMs: number
}

/** One life of a controller under its name, and the grant that it lasts as long as. */
export interface MembershipLease {
  readonly incarnation: Incarnation
  readonly lease: LeaseId
  /** Revision of the live key, which goes when the grant ends. */
  readonly nodeRevision: ModRevision
}

/** Touches in a grant's ttl while all goes well; one or two may get lost. */
const TOUCHES_PER_TTL = 5
/** A touch that failed is repeated sooner. */
const RETRIES_PER_TTL = 10
const LONGEST_TOUCH_MS = 2_000

/** Obtains the node's grant and live key, and renews them until the grant has ended. */
export class NodeLeaseKeeper {
  private membershipLease: MembershipLease | null = null
  private validUntil: MonotonicTime = NEVER

  constructor(
    private readonly self: NodeName,
    private readonly times: NodeLeaseTimes,
    private readonly store: StoreClient,
    private readonly now: () => MonotonicTime,
    private readonly log: Log,
  ) {}

  get current(): MembershipLease | null {
    return this.membershipLease
  }
  /** Whether the grant surely lives. */
  holds(now: MonotonicTime): boolean {
    return this.membershipLease !== null && now < this.validUntil
  }

  /** Returns the live key as written. `items` is what a read has just found. */
  join(items: ReadonlyArray<Entry>) {
    return Effect.gen({ self: this }, function* () {
      const path = keys.node(this.self)
      const former = items.find((item) => item.key === path)
      if (former !== undefined) {
        // Whoever held this name is dead, for we run under it now. Ending its
        // grant frees its parts at once instead of when the grant runs out;
        // what it still has under way is fenced by the parts' new epochs.
        yield* this.store.revokeLease((former.value as NodeRecord).leaseId)
      }
      const incarnation = yield* this.newIncarnation()
      const asked = this.now()
      const lease = yield* this.store.createLease(this.times.leaseTtlMs)
      const record: NodeRecord = { incarnation, leaseId: lease }
      // A copy of this that is carried out late finds the key there, or the grant ended.
      const won = yield* this.store.compareAndSwap(
        [{ key: path, modRevision: ABSENT }],
        [put(path, record, lease)],
        0,
      )
      if (!won.ok) return yield* Effect.fail("the former grant still stands" as const)
      this.membershipLease = { incarnation, lease, nodeRevision: won.revision }
      this.extend(asked)
      return { key: path, value: record, modRevision: won.revision }
    })
  }
  private newIncarnation() {
    return Effect.gen({ self: this }, function* () {
      const high = yield* Random.nextInt
      const low = yield* Random.nextInt
      const digits = Math.abs(high).toString(36) + Math.abs(low).toString(36)
      return `${this.self}.${digits}` as Incarnation
    })
  }
  leave(): void {
    this.membershipLease = null
    this.validUntil = NEVER
  }

  /** Ends when the grant has. */
  readonly renew: Effect.Effect<void> = Effect.suspend(() =>
    Effect.gen({ self: this }, function* () {
      const { leaseTtlMs } = this.times
      const timeoutMs = Math.min(LONGEST_TOUCH_MS, leaseTtlMs / 3)
      let pauseMs = leaseTtlMs / TOUCHES_PER_TTL
      for (;;) {
        yield* Effect.sleep(pauseMs)
        if (this.membershipLease === null) return
        const sent = this.now()
        const touched = yield* Effect.result(this.store.keepAlive(this.membershipLease.lease, timeoutMs))
        if (Result.isFailure(touched)) {
          this.log.debug("lease keep-alive failed", { status: touched.failure.status })
          pauseMs = leaseTtlMs / RETRIES_PER_TTL
          continue
        }
        if (!touched.success) return
        this.extend(sent)
        pauseMs = leaseTtlMs / TOUCHES_PER_TTL
      }
    }),
  )
  /**
   * Counted from the sending of our own request, never from an outage's end:
   * the state service then gives the grant its full time again, but who was out of
   * touch may have missed cancellations meanwhile.
   */
  private extend(sent: MonotonicTime): void {
    this.validUntil = addMs(sent, this.times.leaseTtlMs - this.times.leaseMarginMs)
  }
}
