/**
 * The node's lease in the store, and the node key attached to it. Owns for how long this node may believe
 * that its lease is valid; never counts a validity from anything but the sending of its own request.
 */
import {
  ABSENT_KEY_REVISION,
  addMs,
  EARLIEST_TIME,
  type Incarnation,
  type LeaseId,
  type Log,
  type ModRevision,
  type MonotonicTime,
  type NodeName,
} from "@sorreltally/protocol"
import { type Entry, findEntry, keys, type NodeRecord, put, type StoreClient } from "@sorreltally/store"
import { Data, Effect, Random, Result } from "effect"

/** How long a node's lease lasts, in milliseconds. */
export interface NodeLeaseTimes {
  /** The store ends the lease this long after its last keep-alive. */
  readonly leaseTtlMs: number
  /** The node stops believing in its lease this much earlier. */
  readonly leaseMarginMs: number
}

/** One life of a controller under its name, and the lease that it lasts as long as. */
export interface MembershipLease {
  readonly incarnation: Incarnation
  readonly leaseId: LeaseId
  /** Revision of the node key, which the store deletes when the lease ends. */
  readonly nodeRevision: ModRevision
}

/**
 * The node key still exists, attached to the lease of an earlier life of this
 * node: the join was refused and may be repeated once that lease has ended.
 */
export class NodeKeyExistsError extends Data.TaggedError("NodeKeyExistsError")<{
  readonly operation: "join"
  readonly outcome: "refused"
  readonly node: NodeName
}> {
  override get message(): string {
    return `join of ${this.node} refused: its node key still exists under an earlier lease; join again once that has ended`
  }
}

/** What a node lease needs. */
export interface NodeLeaseOptions {
  readonly self: NodeName
  readonly times: NodeLeaseTimes
  readonly store: StoreClient
  readonly now: () => MonotonicTime
  readonly log: Log
}

/** Keep-alives in a lease's TTL while all goes well; one or two may get lost. */
const KEEP_ALIVES_PER_TTL = 5
/** A keep-alive that failed is repeated sooner. */
const RETRIES_PER_TTL = 10
const MAX_KEEP_ALIVE_MS = 2_000

/** Obtains the node's lease and node key, and keeps the lease alive until it has ended. */
export class NodeLeaseKeeper {
  private membershipLease: MembershipLease | null = null
  private validUntil: MonotonicTime = EARLIEST_TIME

  constructor(private readonly options: NodeLeaseOptions) {}

  /** The lease since the last join, valid or not; null before and after. */
  get current(): MembershipLease | null {
    return this.membershipLease
  }
  /** Whether the lease surely lives. */
  holds(now: MonotonicTime): boolean {
    return this.membershipLease !== null && now < this.validUntil
  }

  /** Begins a new incarnation. Returns the node key as written; `entries` is what a read has just found. */
  join(entries: ReadonlyArray<Entry>) {
    return Effect.gen({ self: this }, function* () {
      const { self, store, times, now } = this.options
      const key = keys.node(self)
      const former = findEntry(entries, key)
      if (former !== undefined) {
        // The process that wrote this key is dead, for we run under its name now.
        // Ending its lease frees its shards at once instead of when the lease
        // expires; writes that it has under way are fenced by the shards' new epochs.
        yield* store.revokeLease(former.value.leaseId)
      }
      const incarnation = yield* this.newIncarnation()
      const sent = now()
      const leaseId = yield* store.createLease(times.leaseTtlMs)
      const record: NodeRecord = { incarnation, leaseId }
      // A copy of this that is carried out late finds the key there, or the lease ended.
      const written = yield* store.compareAndSwap(
        [{ key, modRevision: ABSENT_KEY_REVISION }],
        [put(key, record, leaseId)],
        0,
      )
      if (!written.ok)
        return yield* new NodeKeyExistsError({ operation: "join", outcome: "refused", node: self })
      this.membershipLease = { incarnation, leaseId, nodeRevision: written.revision }
      this.extend(sent)
      return { key, value: record, modRevision: written.revision }
    })
  }
  private newIncarnation() {
    return Effect.gen({ self: this }, function* () {
      const high = yield* Random.nextInt
      const low = yield* Random.nextInt
      const digits = Math.abs(high).toString(36) + Math.abs(low).toString(36)
      return `${this.options.self}.${digits}` as Incarnation
    })
  }
  /** The lease has ended: this node isn't a member until it joins again. */
  leave(): void {
    this.membershipLease = null
    this.validUntil = EARLIEST_TIME
  }

  /**
   * Keeps the lease alive; returns when the store says that it has ended. A
   * loop rather than a `Schedule`, as each pause depends on the keep-alive before it.
   */
  readonly renew: Effect.Effect<void> = Effect.suspend(() =>
    Effect.gen({ self: this }, function* () {
      const { store, times, now, log } = this.options
      const { leaseTtlMs } = times
      const timeoutMs = Math.min(MAX_KEEP_ALIVE_MS, leaseTtlMs / 3)
      let pauseMs = leaseTtlMs / KEEP_ALIVES_PER_TTL
      for (;;) {
        yield* Effect.sleep(pauseMs)
        if (this.membershipLease === null) return
        const sent = now()
        const renewed = yield* Effect.result(store.keepAlive(this.membershipLease.leaseId, timeoutMs))
        if (Result.isFailure(renewed)) {
          log.debug("lease keep-alive failed", { status: renewed.failure.status })
          pauseMs = leaseTtlMs / RETRIES_PER_TTL
          continue
        }
        if (!renewed.success) return
        this.extend(sent)
        pauseMs = leaseTtlMs / KEEP_ALIVES_PER_TTL
      }
    }),
  )
  /**
   * Counted from the sending of our own request, never from the end of an
   * outage: the store then gives the lease its full TTL again, but a node that
   * was cut off may have missed cancellations meanwhile.
   */
  private extend(sent: MonotonicTime): void {
    const { leaseTtlMs, leaseMarginMs } = this.options.times
    this.validUntil = addMs(sent, leaseTtlMs - leaseMarginMs)
  }
}
