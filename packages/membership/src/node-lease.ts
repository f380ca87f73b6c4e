/**
 * The node's lease in the store, and the node key attached to it. Tracks until when this node may treat
 * its lease as valid; validity is only ever counted from when this node sent its own request.
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

/** Durations of a node lease, in milliseconds. */
export interface NodeLeaseTimes {
  /** Time after the last keep-alive at which the store ends the lease. */
  readonly leaseTtlMs: number
  /** The node treats its lease as expired this long before the TTL has elapsed. */
  readonly leaseMarginMs: number
}

/** An incarnation of a controller, and the node lease that bounds its lifetime. */
export interface MembershipLease {
  readonly incarnation: Incarnation
  readonly leaseId: LeaseId
  /** Revision of the node key, which the store deletes when the lease ends. */
  readonly nodeRevision: ModRevision
}

/**
 * The node key still exists, attached to the lease of an earlier incarnation of this node. The join was
 * refused; it may be retried once that lease has ended.
 */
export class NodeKeyExistsError extends Data.TaggedError("NodeKeyExistsError")<{
  readonly operation: "join"
  readonly outcome: "refused"
  readonly node: NodeName
}> {
  override get message(): string {
    return `join of ${this.node} refused: node key exists under an earlier lease; retry after it has ended`
  }
}

/** Options of a node lease. */
export interface NodeLeaseOptions {
  readonly self: NodeName
  readonly times: NodeLeaseTimes
  readonly store: StoreClient
  readonly now: () => MonotonicTime
  readonly log: Log
}

/** Keep-alives per TTL in normal operation; the lease survives the loss of one or two. */
const KEEP_ALIVES_PER_TTL = 5
/** Retries of a failed keep-alive per TTL; a retry is sent sooner than the next regular keep-alive. */
const RETRIES_PER_TTL = 10
const MAX_KEEP_ALIVE_TIMEOUT_MS = 2_000

/** Obtains the node lease and the node key, and keeps the lease alive until it ends. */
export class NodeLease {
  private membershipLease: MembershipLease | null = null
  private validUntil: MonotonicTime = EARLIEST_TIME

  constructor(private readonly options: NodeLeaseOptions) {}

  /** The lease obtained by the last join, whether or not it is still valid; null while not a member. */
  get current(): MembershipLease | null {
    return this.membershipLease
  }
  /** Whether the lease is certain not to have expired. */
  isValid(now: MonotonicTime): boolean {
    return this.membershipLease !== null && now < this.validUntil
  }

  /** Starts a new incarnation and returns its node key entry. `entries` is a recent read of the store. */
  join(entries: ReadonlyArray<Entry>) {
    return Effect.gen({ self: this }, function* () {
      const { self, store, times, now } = this.options
      const key = keys.node(self)
      const previousEntry = findEntry(entries, key)
      if (previousEntry !== undefined) {
        // The process that wrote this key is dead, since this process runs under the same node name. Revoking
        // its lease frees its shards immediately instead of on expiry; its in-flight writes are fenced by the
        // new shard epochs.
        yield* store.revokeLease(previousEntry.value.leaseId)
      }
      const incarnation = yield* this.newIncarnation()
      const sentAt = now()
      const leaseId = yield* store.createLease(times.leaseTtlMs)
      const record: NodeRecord = { incarnation, leaseId }
      // A delayed duplicate of this request is rejected: the key exists by then, or the lease has ended.
      const written = yield* store.compareAndSwap(
        [{ key, modRevision: ABSENT_KEY_REVISION }],
        [put(key, record, leaseId)],
        0,
      )
      if (!written.ok)
        return yield* new NodeKeyExistsError({ operation: "join", outcome: "refused", node: self })
      this.membershipLease = { incarnation, leaseId, nodeRevision: written.revision }
      this.extend(sentAt)
      return { key, value: record, modRevision: written.revision }
    })
  }
  private newIncarnation() {
    return Effect.gen({ self: this }, function* () {
      const high = yield* Random.nextInt
      const low = yield* Random.nextInt
      const suffix = Math.abs(high).toString(36) + Math.abs(low).toString(36)
      return `${this.options.self}.${suffix}` as Incarnation
    })
  }
  /** Discards the lease after it has ended; this node is not a member until it joins again. */
  leave(): void {
    this.membershipLease = null
    this.validUntil = EARLIEST_TIME
  }

  /**
   * Keeps the lease alive; returns when the store reports that it has ended. A loop rather than a
   * `Schedule`, because each pause depends on the result of the previous keep-alive.
   */
  readonly renew: Effect.Effect<void> = Effect.suspend(() =>
    Effect.gen({ self: this }, function* () {
      const { store, times, now, log } = this.options
      const { leaseTtlMs } = times
      const timeoutMs = Math.min(MAX_KEEP_ALIVE_TIMEOUT_MS, leaseTtlMs / 3)
      let pauseMs = leaseTtlMs / KEEP_ALIVES_PER_TTL
      for (;;) {
        yield* Effect.sleep(pauseMs)
        if (this.membershipLease === null) return
        const sentAt = now()
        const renewed = yield* Effect.result(store.keepAlive(this.membershipLease.leaseId, timeoutMs))
        if (Result.isFailure(renewed)) {
          log.debug("lease keep-alive failed", { status: renewed.failure.status })
          pauseMs = leaseTtlMs / RETRIES_PER_TTL
          continue
        }
        if (!renewed.success) return
        this.extend(sentAt)
        pauseMs = leaseTtlMs / KEEP_ALIVES_PER_TTL
      }
    }),
  )
  /**
   * Extends the validity, counted from when this node sent its request, never from the end of a store
   * outage: after an outage the store restarts the full TTL of every lease, but a node that was
   * disconnected may have missed cancellations in the meantime.
   */
  private extend(sentAt: MonotonicTime): void {
    const { leaseTtlMs, leaseMarginMs } = this.options.times
    this.validUntil = addMs(sentAt, leaseTtlMs - leaseMarginMs)
  }
}
