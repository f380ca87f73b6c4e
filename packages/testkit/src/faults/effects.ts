import type { Deployment } from "../simulation/deployment.ts"
import type { MembershipTroubles } from "./membership-faults.ts"
import type { UserTroubles } from "./user-faults.ts"

/**
 * What a trouble does to the deployment for some time. Random days place a
 * second trouble inside such an effect of a first one, and a run tells whether
 * the effect was really there by then.
 */
export const troubleEffects = [
  "entitlement-lapses",
  "take-over",
  "state-outage",
  "cloud-outage",
  "network-cut",
  "messages-astray",
  "machines-silent",
  "work-lost",
  "cancelling",
  "user-pressure",
  "fast-boots",
  "after-return",
] as const
export type TroubleEffect = (typeof troubleEffects)[number]

/** A second trouble that was meant to meet an effect of a first one, and whether it did. */
export interface DrawnPair {
  readonly first: string
  readonly effect: TroubleEffect
  readonly second: string
  readonly met: boolean
}

/** A node that can touches its grant long before this share of its time is over. */
const OVERDUE_SHARE = 0.45
const TAKE_OVER_LASTS_MS = 5_000
const RETURN_LASTS_MS = 10_000
const WORK_LOST_LASTS_MS = 30_000
/** A worker that was last answered longer ago than this has missed a report or two. */
const SILENT_MS = 5_000

/** What the effects are seen by, beside the deployment itself. */
interface ObservedDeployment extends Deployment {
  readonly userTroubles: UserTroubles
  readonly membershipTroubles: MembershipTroubles
  readonly lastReturnAt: number
}

/** Looks at a simulated deployment from outside: which effects there are at this moment. */
export class EffectObserver {
  constructor(private readonly world: ObservedDeployment) {}

  has(effect: TroubleEffect): boolean {
    return this.checks[effect]()
  }

  private readonly checks: Record<TroubleEffect, () => boolean> = {
    "entitlement-lapses": () => this.grantIsOverdue(),
    "take-over": () => this.partIsWithoutOwner() || this.partWasJustTaken(),
    "state-outage": () => this.world.state.isDown(),
    "cloud-outage": () => this.world.cloud.isDown(),
    "network-cut": () => this.world.net.isCut(),
    "messages-astray": () => this.world.net.isUnreliable() || this.world.state.faults.areOn(),
    "machines-silent": () => this.machineIsSilent(),
    "work-lost": () => this.within(this.world.rules.workLostAt, WORK_LOST_LASTS_MS),
    cancelling: () => this.world.rules.cancellationUnderWay(),
    "user-pressure": () => this.world.userTroubles.areOn() || this.world.membershipTroubles.areOn(),
    "fast-boots": () => this.world.cloud.settings.bootWithinMs !== null,
    "after-return": () => this.within(this.lastReturn(), RETURN_LASTS_MS),
  }

  private within(sinceMs: number, lastsMs: number): boolean {
    return this.world.sim.now <= sinceMs + lastsMs
  }
  private records(prefix: string) {
    return [...this.world.state.keys].filter(([path]) => path.startsWith(prefix))
  }
  private grantIsOverdue(): boolean {
    return this.records("s/live/").some(
      ([, { permit }]) => this.world.state.grantShareOver(permit) > OVERDUE_SHARE,
    )
  }
  private partIsWithoutOwner(): boolean {
    const standing = new Set(
      this.records("s/live/").map(([, { v }]) => (v as { incarnation: string }).incarnation),
    )
    return this.records("s/part/").some(([, { v }]) => {
      const { incarnation } = v as { incarnation: string | null }
      return incarnation === null || !standing.has(incarnation)
    })
  }
  private partWasJustTaken(): boolean {
    return this.within(this.world.state.lastChangeAt("s/part/"), TAKE_OVER_LASTS_MS)
  }
  private machineIsSilent(): boolean {
    return [...this.world.cloud.machines.values()].some((machine) => machine.unansweredForMs() > SILENT_MS)
  }
  private lastReturn(): number {
    const { net, state, cloud, sim } = this.world
    return Math.max(
      net.lastHealedAt,
      state.lastBackAt,
      cloud.lastBackAt,
      sim.lastResumedAt,
      this.world.lastReturnAt,
    )
  }
}
