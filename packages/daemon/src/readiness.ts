/** Readiness for load balancers (`/ready`): the node's health with a grace period that hides short faults. */
import { addMs, type Clocks, EARLIEST_TIME, type MonotonicTime } from "@sorreltally/protocol"

/** Health of this node and, as far as this node can observe it, of its peers. */
export interface HealthSource {
  /** Whether this node can serve users now. */
  readonly isHealthy: () => boolean
  /** Whether some peer can; null: no peer is reachable. */
  readonly hasHealthyPeer: () => boolean | null
}

const GRACE_HEALTHY_PEER_MS = 2_500
const GRACE_NO_REACHABLE_PEER_MS = 7_000
const GRACE_NO_HEALTHY_PEER_MS = 30_000

/**
 * How long an unhealthy node stays ready. Removals are delayed because the load balancer doubles its pause
 * with each one. The delay is short if a peer can serve users instead, and long if no node can, since a
 * removal would not help users then.
 */
const graceMs = (hasHealthyPeer: boolean | null): number => {
  if (hasHealthyPeer === null) return GRACE_NO_REACHABLE_PEER_MS
  return hasHealthyPeer ? GRACE_HEALTHY_PEER_MS : GRACE_NO_HEALTHY_PEER_MS
}

/**
 * Creates the readiness check. A node is ready while it is healthy and for a grace period afterwards, but not
 * before it has been healthy once.
 */
export const makeReadiness = (health: HealthSource, clocks: Clocks): (() => boolean) => {
  let healthyAt: MonotonicTime = EARLIEST_TIME
  return () => {
    const now = clocks.monotonicNow()
    if (health.isHealthy()) healthyAt = now
    return now < addMs(healthyAt, graceMs(health.hasHealthyPeer()))
  }
}
