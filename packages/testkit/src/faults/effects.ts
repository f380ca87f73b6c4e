/**
 * Effects of faults as seen from outside, by which random days place a second fault inside
 * the effect of a first one. Names of effects are those of the scenario format.
 */
import type { Deployment } from "../simulation/deployment.ts"
import type { MembershipFaults } from "./membership-faults.ts"
import type { UserFaults } from "./user-faults.ts"

/**
 * What a fault does to the deployment for some time. Random days place a
 * second fault inside such an effect of a first one, and a run tells whether
 * the effect was really there by then.
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
] as const
/** One of the effects. */
export type FaultEffect = (typeof faultEffects)[number]

/** A second fault that was meant to meet an effect of a first one, and whether it did. */
export interface DrawnPair {
  readonly first: string
  readonly effect: FaultEffect
  readonly second: string
  readonly met: boolean
}

/** A node that can touches its lease long before this share of its time is over. */
const OVERDUE_SHARE = 0.45
const FAILOVER_LASTS_MS = 5_000
const RETURN_LASTS_MS = 10_000
const WORK_LOST_LASTS_MS = 30_000
/** A worker that was last answered longer ago than this has missed a heartbeat or two. */
const SILENT_MS = 5_000

/** What the effects are seen by, beside the deployment itself. */
interface ObservedDeployment extends Deployment {
  readonly userFaults: UserFaults
  readonly membershipFaults: MembershipFaults
  readonly lastReturnAt: number
}

/** Looks at a simulated deployment from outside: which effects there are at this moment. */
export class EffectObserver {
  constructor(private readonly deployment: ObservedDeployment) {}

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
    "work-lost": () => this.within(this.deployment.invariants.workLostAt, WORK_LOST_LASTS_MS),
    cancelling: () => this.deployment.invariants.cancellationUnderWay(),
    "user-pressure": () => this.deployment.userFaults.areOn() || this.deployment.membershipFaults.areOn(),
    "fast-boots": () => this.deployment.cloud.settings.bootWithinMs !== null,
    "after-recovery": () => this.within(this.lastReturn(), RETURN_LASTS_MS),
  }

  private within(sinceMs: number, lastsMs: number): boolean {
    return this.deployment.simulation.now <= sinceMs + lastsMs
  }
  private records(prefix: string) {
    return [...this.deployment.state.entries].filter(([path]) => path.startsWith(prefix))
  }
  private leaseIsOverdue(): boolean {
    return this.records("s/live/").some(
      ([, { leaseId }]) => this.deployment.state.leaseShareElapsed(leaseId) > OVERDUE_SHARE,
    )
  }
  private shardIsWithoutOwner(): boolean {
    const standing = new Set(
      this.records("s/live/").map(([, { value }]) => (value as { incarnation: string }).incarnation),
    )
    return this.records("s/part/").some(([, { value }]) => {
      const { incarnation } = value as { incarnation: string | null }
      return incarnation === null || !standing.has(incarnation)
    })
  }
  private shardWasJustAcquired(): boolean {
    return this.within(this.deployment.state.lastChangeAt("s/part/"), FAILOVER_LASTS_MS)
  }
  private machineIsSilent(): boolean {
    return [...this.deployment.cloud.machines.values()].some(
      (machine) => machine.unansweredForMs() > SILENT_MS,
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
