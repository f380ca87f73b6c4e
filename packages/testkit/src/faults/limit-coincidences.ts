/** Counts faults that meet while teams are at their limits. It only observes. */
import type { Deployment } from "../simulation/deployment.ts"

/** A new leader acts within some tens of milliseconds: what was so at the change has to be seen before. */
const LEADER_CHECK_INTERVAL_MS = 20
const OVERLOAD_CHECK_INTERVAL_MS = 500

/**
 * Counts how often faults met while teams were at their limits, so that a
 * scenario can assert that its meeting came about. Judged by what the
 * stand-ins know: tasks that run, machines that hang or are cut off, and who
 * owns the leader's shard.
 */
export class LimitCoincidences {
  readonly count = {
    /** Changes of the leader while every team was at its limit and had work waiting. */
    leaderChangesAtLimit: 0,
    /** Tasks of cancelled jobs on machines out of reach when the leader had changed. */
    cancelledOutOfReach: 0,
    /** Jobs whose cancellation was asked for after a leader had ended and before the next one owned its shard. */
    cancelledBetweenLeaders: 0,
    /** Looks at which urgent and other work waited in vain for room while links were slow. */
    overloadedOnSlowLinks: 0,
  }
  private leader: string | null = null
  private incarnation: string | null = null
  private cancelledAtEnd: ReadonlySet<string> | null = null

  constructor(private readonly deployment: Deployment) {
    this.every(LEADER_CHECK_INTERVAL_MS, () => this.checkLeader())
    this.every(OVERLOAD_CHECK_INTERVAL_MS, () => {
      if (deployment.network.maxExtraDelayMs > 0 && this.urgentAndOthersWait())
        this.count.overloadedOnSlowLinks++
    })
  }
  private every(ms: number, check: () => void): void {
    this.deployment.simulation.after(ms, () => {
      check()
      this.every(ms, check)
    })
  }

  /** A controller is about to end. */
  crashed(name: string): void {
    if (this.leader !== name || this.cancelledAtEnd !== null) return
    this.cancelledAtEnd = new Set(this.deployment.invariants.users.askedToCancel)
  }

  private checkLeader(): void {
    const owner = this.deployment.state.entries.get("s/part/deadline")?.value as
      | { readonly owner: string; readonly incarnation: string }
      | undefined
    if (owner === undefined || owner.incarnation === this.incarnation) return
    const first = this.incarnation === null
    this.incarnation = owner.incarnation
    this.leader = owner.owner
    if (!first) this.leaderChanged()
  }

  private leaderChanged(): void {
    const { users } = this.deployment.invariants
    if (this.deployment.invariants.limitedTeams().every((team) => this.isAtLimit(team)))
      this.count.leaderChangesAtLimit++
    for (const { job, machine } of this.deployment.invariants.placed())
      if (users.askedToCancel.has(job) && this.isOutOfReach(machine)) this.count.cancelledOutOfReach++
    const before = this.cancelledAtEnd
    this.cancelledAtEnd = null
    if (before === null) return
    for (const job of users.askedToCancel) if (!before.has(job)) this.count.cancelledBetweenLeaders++
  }

  /** Has it work waiting, of which its limit lets nothing start? */
  private isAtLimit(team: string): boolean {
    let smallest = Number.POSITIVE_INFINITY
    for (const { owner, cores } of this.waiting()) if (owner === team) smallest = Math.min(smallest, cores)
    const { invariants } = this.deployment
    return Number.isFinite(smallest) && invariants.usedBy(team) + smallest > invariants.limitOf(team)
  }
  private urgentAndOthersWait(): boolean {
    let urgent = false
    let other = false
    for (const { urgency } of this.waiting()) {
      if (urgency === "high" || urgency === "production") urgent = true
      else other = true
    }
    return urgent && other
  }
  /** Accepted jobs that aren't cancelled, with tasks that don't run. */
  private *waiting() {
    const { invariants } = this.deployment
    const placed = new Map<string, number>()
    for (const { job } of invariants.placed()) placed.set(job, (placed.get(job) ?? 0) + 1)
    for (const [job, request] of invariants.submitted) {
      if (!invariants.users.isAccepted(job) || invariants.users.askedToCancel.has(job)) continue
      if (invariants.users.finishedTasks(job) + (placed.get(job) ?? 0) < request.pieces) yield request
    }
  }
  private isOutOfReach(machine: string): boolean {
    const { cloud, network, names } = this.deployment
    return (
      cloud.machines.get(machine)?.isHung === true ||
      names.every((node) => network.isSeparated(machine, node))
    )
  }
}
