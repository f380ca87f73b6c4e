/** What `/ready` answers a load balancer: the node's health with a delay, so that short faults don't show. */
import { addMs, type Clocks, EARLIEST_TIME, type MonotonicTime } from "@sorreltally/protocol"

/** The health of this node and, as far as it is known here, of the others. */
export interface HealthSource {
  /** Whether this node can serve users now. */
  readonly isHealthy: () => boolean
  /** Whether some other node can; null: no other node is reachable. */
  readonly areOthersHealthy: () => boolean | null
}

const GRACE_OTHERS_HEALTHY_MS = 2_500
const GRACE_OTHERS_UNREACHABLE_MS = 7_000
const GRACE_NOBODY_HEALTHY_MS = 30_000

/**
 * For how long a node that isn't healthy stays ready: the load balancer doubles its pause at each removal.
 * Where others could serve the users instead, they should soon; where nobody can, it makes no difference.
 */
const graceMs = (areOthersHealthy: boolean | null): number => {
  if (areOthersHealthy === null) return GRACE_OTHERS_UNREACHABLE_MS
  return areOthersHealthy ? GRACE_OTHERS_HEALTHY_MS : GRACE_NOBODY_HEALTHY_MS
}

/** Ready while healthy and for a grace period afterwards; not ready before it was healthy once. */
export const makeReadiness = (health: HealthSource, clocks: Clocks): (() => boolean) => {
  let healthyAt: MonotonicTime = EARLIEST_TIME
  return () => {
    const now = clocks.monotonicNow()
    if (health.isHealthy()) healthyAt = now
    return now < addMs(healthyAt, graceMs(health.areOthersHealthy()))
  }
}
