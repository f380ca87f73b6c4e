/**
 * The lease under which a worker runs its tasks, seen from the owner that renews it by replies to
 * heartbeats. It must never call a lease expired that the worker may still hold.
 */
import { addMs, type MonotonicTime } from "@sorreltally/protocol"
import type { LeaseTimes } from "./model.ts"
import { recentSince } from "./reachability.ts"

/** Monotonic clocks drift apart by at most this share; both ends may. */
const DRIFT = 2 * 0.0005
const LEASE_MARGIN_MS = 1_000

/** When the worker's lease may have been renewed last, and whether it has surely expired. */
export class WorkerLease {
  private lastAnsweredAt: MonotonicTime

  constructor(
    private readonly times: LeaseTimes,
    now: MonotonicTime,
  ) {
    // A former owner may have replied to a heartbeat just before the failover.
    this.lastAnsweredAt = now
  }

  /** A reply to a heartbeat is about to be sent, or a session of the worker was first heard of. */
  renew(now: MonotonicTime): void {
    this.lastAnsweredAt = now
  }
  wasRecentlyRenewed(now: MonotonicTime): boolean {
    return this.lastAnsweredAt > recentSince(this.times, now)
  }
  /**
   * The worker's lease has expired when a full lease time has passed since we
   * last received a heartbeat that we answered: it was sent before that.
   */
  isExpired(now: MonotonicTime): boolean {
    return now > addMs(this.lastAnsweredAt, this.times.leaseS * 1000 * (1 + DRIFT) + LEASE_MARGIN_MS)
  }
}
