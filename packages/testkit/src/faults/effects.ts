/**
 * Effects of faults as observed from outside the controllers. Random days place a second fault inside the
 * effect of a first one. The names of effects are those of the scenario format.
 */
import type { Deployment } from "../simulation/deployment.ts"
import type { MembershipFaults } from "./membership-faults.ts"
import type { UserFaults } from "./user-faults.ts"

/**
 * Temporary effects of faults on a deployment. Random days place a second fault inside such an effect of a
 * first one, and a run records whether the effect was present when the second fault began.
 */
export const faultEffects = [
  "lease-lapses",
  "failover",
  "state-outage",
  "cloud-outage",
  "network-cut",
  "messages-unreliable",
  "machines-silent",
  "work-lost",
  "cancelling",
  "user-pressure",
  "fast-boots",
  "after-recovery",
  "store-limits-lowered",
] as const
/** Name of an effect. */
export type FaultEffect = (typeof faultEffects)[number]

/** A second fault that was placed inside an effect of a first one. */
export interface DrawnPair {
  readonly first: string
  readonly effect: FaultEffect
  readonly second: string
  /** Whether the effect was present when the second fault began. */
  readonly met: boolean
}

/** A healthy node renews its lease long before this share of the lease's time to live has elapsed. */
const OVERDUE_LEASE_SHARE = 0.45
/** A failover counts as in progress for this long after a shard was acquired. */
const FAILOVER_MS = 5_000
/** Effects of a host or service coming back count as present for this long. */
const RETURN_EFFECTS_MS = 10_000
/** Effects of lost tasks count as present for this long. */
const WORK_LOST_EFFECTS_MS = 30_000
/** Effects of lowered limits of the state service count as present for this long. */
const STORE_LIMITS_EFFECTS_MS = 20_000
/** A worker whose last answered heartbeat is older than this has missed one or two heartbeats. */
const MAX_UNANSWERED_MS = 5_000

/** The deployment with the fault injectors that the observer reads. */
interface ObservedDeployment extends Deployment {
  readonly userFaults: UserFaults
  readonly membershipFaults: MembershipFaults
  readonly lastReturnAt: number
}

/** Determines which effects are present in a simulated deployment at the current time. */
export class EffectObserver {
  constructor(private readonly deployment: ObservedDeployment) {}

  /** Whether the effect is present now. */
  has(effect: FaultEffect): boolean {
    return this.checks[effect]()
  }

  private readonly checks: Record<FaultEffect, () => boolean> = {
    "lease-lapses": () => this.leaseIsOverdue(),
    failover: () => this.shardIsWithoutOwner() || this.shardWasJustAcquired(),
    "state-outage": () => this.deployment.state.isDown(),
    "cloud-outage": () => this.deployment.cloud.isDown(),
    "network-cut": () => this.deployment.network.isCut(),
    "messages-unreliable": () =>
      this.deployment.network.isUnreliable() || this.deployment.state.faults.areActive(),
    "machines-silent": () => this.machineIsSilent(),
    "work-lost": () => this.isWithin(this.deployment.invariants.workLostAt, WORK_LOST_EFFECTS_MS),
    cancelling: () => this.deployment.invariants.hasCancellationInProgress(),
    "user-pressure": () =>
      this.deployment.userFaults.areActive() || this.deployment.membershipFaults.areActive(),
    "fast-boots": () => this.deployment.cloud.settings.bootWithinMs !== null,
    "store-limits-lowered": () =>
      this.isWithin(this.deployment.state.limitsLoweredAt, STORE_LIMITS_EFFECTS_MS),
    "after-recovery": () => this.isWithin(this.lastReturn(), RETURN_EFFECTS_MS),
  }

  private isWithin(startMs: number, durationMs: number): boolean {
    return this.deployment.simulation.now <= startMs + durationMs
  }
  private recordsUnder(prefix: string) {
    return [...this.deployment.state.entries].filter(([path]) => path.startsWith(prefix))
  }
  private leaseIsOverdue(): boolean {
    return this.recordsUnder("s/live/").some(
      ([, { leaseId }]) => this.deployment.state.leaseShareElapsed(leaseId) > OVERDUE_LEASE_SHARE,
    )
  }
  private shardIsWithoutOwner(): boolean {
    const liveIncarnations = new Set(
      this.recordsUnder("s/live/").map(([, { value }]) => (value as { incarnation: string }).incarnation),
    )
    return this.recordsUnder("s/part/").some(([, { value }]) => {
      const { incarnation } = value as { incarnation: string | null }
      return incarnation === null || !liveIncarnations.has(incarnation)
    })
  }
  private shardWasJustAcquired(): boolean {
    return this.isWithin(this.deployment.state.lastChangeAt("s/part/"), FAILOVER_MS)
  }
  private machineIsSilent(): boolean {
    return [...this.deployment.cloud.machines.values()].some(
      (machine) => machine.unansweredForMs() > MAX_UNANSWERED_MS,
    )
  }
  private lastReturn(): number {
    const { network, state, cloud, simulation } = this.deployment
    return Math.max(
      network.lastHealedAt,
      state.lastBackAt,
      cloud.lastBackAt,
      simulation.lastResumedAt,
      this.deployment.lastReturnAt,
    )
  }
}
