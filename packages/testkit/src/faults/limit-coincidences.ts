/** Counts faults that coincide with teams at their CPU limits. It only observes the deployment. */
import type { Deployment } from "../simulation/deployment.ts"

/**
 * A new leader acts within some tens of milliseconds after a change; the state at the change must be
 * observed before that.
 */
const LEADER_CHECK_INTERVAL_MS = 20
const OVERLOAD_CHECK_INTERVAL_MS = 500

/**
 * Counts how often faults coincided with teams at their CPU limits, so that a scenario can assert that the
 * coincidence it tests took place. It reads the simulated services only: running tasks, machines that hang
 * or are cut off, and the owner of the leader's shard.
 */
export class LimitCoincidences {
  readonly count = {
    /** Changes of the leader while every team with a limit was at it and had jobs waiting. */
    leaderChangesAtLimit: 0,
    /** Tasks of jobs with a cancel request, on unreachable machines, at a change of the leader. */
    cancelledOutOfReach: 0,
    /** Jobs with a cancel request sent after a leader crashed and before the next one acquired its shard. */
    cancelledBetweenLeaders: 0,
    /** Periodic checks at which both urgent and other jobs were waiting while links were slow. */
    overloadedOnSlowLinks: 0,
  }
  private leader: string | null = null
  private ownerIncarnation: string | null = null
  private cancelRequestedAtCrash: ReadonlySet<string> | null = null

  constructor(private readonly deployment: Deployment) {
    this.repeat(LEADER_CHECK_INTERVAL_MS, () => this.checkLeader())
    this.repeat(OVERLOAD_CHECK_INTERVAL_MS, () => {
      if (deployment.network.maxExtraDelayMs > 0 && this.urgentAndOtherJobsWait())
        this.count.overloadedOnSlowLinks++
    })
  }
  private repeat(intervalMs: number, check: () => void): void {
    this.deployment.simulation.after(intervalMs, () => {
      check()
      this.repeat(intervalMs, check)
    })
  }

  /** A controller is about to crash. */
  controllerCrashed(name: string): void {
    if (this.leader !== name || this.cancelRequestedAtCrash !== null) return
    this.cancelRequestedAtCrash = new Set(this.deployment.invariants.users.cancelRequested)
  }

  private checkLeader(): void {
    const owner = this.deployment.state.entries.get("s/part/deadline")?.value as
      | { readonly owner: string; readonly incarnation: string }
      | undefined
    if (owner === undefined || owner.incarnation === this.ownerIncarnation) return
    const isFirst = this.ownerIncarnation === null
    this.ownerIncarnation = owner.incarnation
    this.leader = owner.owner
    if (!isFirst) this.leaderChanged()
  }

  private leaderChanged(): void {
    const { users } = this.deployment.invariants
    if (this.deployment.invariants.limitedTeams().every((team) => this.isAtLimit(team)))
      this.count.leaderChangesAtLimit++
    for (const { job, machine } of this.deployment.invariants.placedTasks())
      if (users.cancelRequested.has(job) && this.isUnreachable(machine)) this.count.cancelledOutOfReach++
    const beforeCrash = this.cancelRequestedAtCrash
    this.cancelRequestedAtCrash = null
    if (beforeCrash === null) return
    for (const job of users.cancelRequested) if (!beforeCrash.has(job)) this.count.cancelledBetweenLeaders++
  }

  /** Whether the team has jobs waiting and its limit allows none of them to start a task. */
  private isAtLimit(team: string): boolean {
    let fewestCores = Number.POSITIVE_INFINITY
    for (const { owner, cores } of this.waitingJobs())
      if (owner === team) fewestCores = Math.min(fewestCores, cores)
    const { invariants } = this.deployment
    return (
      Number.isFinite(fewestCores) && invariants.cpusUsedBy(team) + fewestCores > invariants.cpuLimitOf(team)
    )
  }
  private urgentAndOtherJobsWait(): boolean {
    let hasUrgent = false
    let hasOther = false
    for (const { urgency } of this.waitingJobs()) {
      if (urgency === "high" || urgency === "production") hasUrgent = true
      else hasOther = true
    }
    return hasUrgent && hasOther
  }
  /** Accepted jobs without a cancel request that have tasks neither running nor finished. */
  private *waitingJobs() {
    const { invariants } = this.deployment
    const runningByJob = new Map<string, number>()
    for (const { job } of invariants.placedTasks()) runningByJob.set(job, (runningByJob.get(job) ?? 0) + 1)
    for (const [job, request] of invariants.submitted) {
      if (!invariants.users.isAccepted(job) || invariants.users.cancelRequested.has(job)) continue
      if (invariants.users.finishedTasks(job) + (runningByJob.get(job) ?? 0) < request.pieces) yield request
    }
  }
  private isUnreachable(machine: string): boolean {
    const { cloud, network, names } = this.deployment
    return (
      cloud.machines.get(machine)?.isHung === true ||
      names.every((node) => network.isSeparated(machine, node))
    )
  }
}
