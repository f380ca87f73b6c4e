/**
 * The agent lease under which a worker runs its tasks, as tracked by the owner, which renews it by replies to
 * heartbeats. A lease that the worker may still hold must never be reported as expired.
 */
import { addMs, type MonotonicTime } from "@sorreltally/protocol"
import type { LeaseTimes } from "./model.ts"
import { recencyCutoff } from "./reachability.ts"

/** Bound on the relative drift between two monotonic clocks; each of them may drift by half of it. */
const CLOCK_DRIFT = 2 * 0.0005
const LEASE_MARGIN_MS = 1_000

/** Tracks when the worker's lease may last have been renewed, and whether it has provably expired. */
export class WorkerLease {
  private lastAnsweredAt: MonotonicTime

  constructor(
    private readonly times: LeaseTimes,
    now: MonotonicTime,
  ) {
    // A former owner may have replied to a heartbeat just before the failover.
    this.lastAnsweredAt = now
  }

  /** Called before the reply to a heartbeat is sent, and at the first message of a session. */
  renew(now: MonotonicTime): void {
    this.lastAnsweredAt = now
  }
  wasRecentlyRenewed(now: MonotonicTime): boolean {
    return this.lastAnsweredAt > recencyCutoff(this.times, now)
  }
  /**
   * Whether the worker's lease has expired: a full lease duration, with the margins for drift, has passed
   * since the last reply to a heartbeat. The worker counts its lease from when it sent that heartbeat, which
   * was earlier.
   */
  isExpired(now: MonotonicTime): boolean {
    return now > addMs(this.lastAnsweredAt, this.times.leaseS * 1000 * (1 + CLOCK_DRIFT) + LEASE_MARGIN_MS)
  }
}
