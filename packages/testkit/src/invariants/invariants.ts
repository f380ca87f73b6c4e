/**
 * The protocol's invariants about tasks: their location, the number of concurrent runs, the CPU limits of
 * teams, and no runs after a cancellation. They are checked against what the simulated services observe,
 * never against what controllers report.
 */
import type { WireJob, WireMachineType } from "@sorreltally/protocol"
import { isLimited, type Team } from "@sorreltally/settings"
import type { Simulation } from "../simulation/simulation.ts"
import { UserInvariants } from "./user-invariants.ts"

/** The machine on which a task runs, with the properties that its job may restrict. */
export interface TaskLocation {
  readonly machine: string
  readonly type: string
  readonly zone: string
  readonly spot: boolean
}

/** Latest start of a task after a confirmed cancellation; not checked while a fault is active or recent. */
const LATE_START_MS = 3_000
/** A fault counts as recent for this long after its end. */
const FAULT_AFTERMATH_MS = 30_000

/** Checks the protocol's rules at every start and end of a task, and periodically. */
export class Invariants {
  /** Broken rules, each as `RULE at TIME s: DETAIL`. */
  readonly violations: Array<string> = []
  readonly users: UserInvariants
  private readonly placements = new Map<string, TaskLocation & { readonly since: number }>()
  /** CPUs used by each team's tasks. */
  private readonly usedCpus = new Map<string, number>()
  /** Number of task starts. */
  starts = 0
  /** When a machine last lost a running task without a stop command. */
  workLostAt = Number.NEGATIVE_INFINITY
  private readonly startsByJob = new Map<string, number>()
  /** Number of task starts of jobs whose cancellation had been confirmed to a user. */
  startsAfterCancellation = 0
  /** When the last fault recorded so far ends. Milliseconds. */
  lastFaultEndsAt = 0
  /** When a controller last crashed. */
  lastCrashAt = Number.NEGATIVE_INFINITY
  /** When the first task of a job started. */
  readonly firstStartAt = new Map<string, number>()
  /** Jobs whose tasks fail on every machine. */
  readonly failingJobs = new Set<string>()
  /** Called synchronously when the last task of a job finishes. */
  readonly onComplete: Array<(job: string) => void> = []

  constructor(
    private readonly simulation: Simulation,
    private readonly teams: ReadonlyArray<Team>,
    private readonly types: ReadonlyArray<WireMachineType>,
    private readonly cancelS: number,
  ) {
    this.users = new UserInvariants(simulation, (rule, detail) => this.reportViolation(rule, detail))
  }

  get submitted(): ReadonlyMap<string, WireJob> {
    return this.users.submitted
  }

  /** Records that a rule was broken. */
  reportViolation(rule: string, detail: string): void {
    this.violations.push(`${rule} at ${(this.simulation.now / 1000).toFixed(1)} s: ${detail}`)
  }

  /** Records that a task, its image loaded, starts to run. */
  taskStarted(job: string, index: number, at: TaskLocation): void {
    this.starts++
    this.startsByJob.set(job, this.startsOfJob(job) + 1)
    if (!this.firstStartAt.has(job)) this.firstStartAt.set(job, this.simulation.now)
    const request = this.submitted.get(job)!
    const task = `${job}/${index}`
    const other = this.placements.get(task)
    if (other !== undefined)
      this.reportViolation("ran_twice", `${task} started on ${at.machine} while running on ${other.machine}`)
    this.checkRunAfterCancellation(task, job)
    this.checkStartAfterCancellation(task, job)
    this.checkLocation(request, index, at)
    this.placements.set(task, { ...at, since: this.simulation.now })
    this.addUsage(request, other === undefined ? request.cores : 0)
  }
  /** Checks that the job allows the machine, and that its tasks share or spread over zones as it requires. */
  private checkLocation(request: WireJob, index: number, at: TaskLocation): void {
    const isAllowed =
      (request.builds == null || request.builds.some((type) => type === at.type)) &&
      (request.site == null || request.site === at.zone) &&
      (!at.spot || request.loaners) &&
      this.types.some(({ name }) => name === at.type)
    const zones = this.zonesOf(request, index, at.zone)
    const isTooClose = request.scatter && zones.get(at.zone)! > Math.ceil(request.pieces / 2)
    if (isAllowed && !(request.together && zones.size > 1) && !isTooClose) return
    const place = `${at.type}, ${at.zone}, ${at.spot ? "spot" : "on-demand"}`
    this.reportViolation("wrong_place", `${request.id}/${index} on ${at.machine} (${place})`)
  }
  /** Tasks by zone of a job with zone constraints, with the one that starts in `zone`. */
  private zonesOf(request: WireJob, index: number, zone: string): ReadonlyMap<string, number> {
    const zones = new Map([[zone, 1]])
    if (!request.together && !request.scatter) return zones
    for (let i = 0; i < request.pieces; i++) {
      const place = i === index ? undefined : this.placements.get(`${request.id}/${i}`)
      if (place !== undefined) zones.set(place.zone, (zones.get(place.zone) ?? 0) + 1)
    }
    return zones
  }
  private addUsage({ owner }: WireJob, cores: number): void {
    const used = this.cpusUsedBy(owner) + cores
    this.usedCpus.set(owner, used)
    const team = this.teams.find(({ name }) => name === owner)!
    if (used > team.maxCpus + 1e-6)
      this.reportViolation("quota", `team ${team.name} uses ${used} of ${team.maxCpus} CPUs`)
  }
  /** Records that a task no longer runs on the machine, for whatever reason. */
  taskStopped(job: string, index: number, machine: string): void {
    if (this.placements.get(`${job}/${index}`)?.machine !== machine) return
    this.placements.delete(`${job}/${index}`)
    const { owner, cores } = this.submitted.get(job)!
    this.usedCpus.set(owner, this.usedCpus.get(owner)! - cores)
  }
  /** Records that a task finished its work. */
  taskFinished(job: string, index: number): void {
    const wasComplete = this.users.isComplete(job)
    this.users.taskFinished(job, index)
    if (wasComplete || !this.users.isComplete(job)) return
    for (const listener of this.onComplete) listener(job)
  }
  /** Number of task starts of a job, repetitions included. */
  startsOfJob(job: string): number {
    return this.startsByJob.get(job) ?? 0
  }
  /** The job is accepted, has no final state, and no user asked to cancel it. */
  isActive(job: string): boolean {
    const { users } = this
    return users.isAccepted(job) && users.finalState(job) === null && !users.cancelRequested.has(job)
  }
  /** Largest number of CPUs that a team's tasks may use; 0 for an unknown team. */
  cpuLimitOf(team: string): number {
    return this.teams.find(({ name }) => name === team)?.maxCpus ?? 0
  }
  isFinished(job: string, index: number): boolean {
    return this.users.isFinished(job, index)
  }
  /** Job and machine of every running task. */
  *placedTasks(): Iterable<{ readonly job: string; readonly machine: string }> {
    for (const [task, { machine }] of this.placements)
      yield { job: task.slice(0, task.indexOf("/")), machine }
  }
  /** CPUs that a team's tasks use now. */
  cpusUsedBy(team: string): number {
    return this.usedCpus.get(team) ?? 0
  }
  /** Names of the teams with a CPU limit. */
  limitedTeams(): ReadonlyArray<string> {
    return this.teams.filter(({ maxCpus }) => isLimited(maxCpus)).map(({ name }) => name)
  }
  /** Ids of the machines that run tasks of the job. */
  machinesOf(job: string): ReadonlySet<string> {
    const placements = [...this.placements].filter(([task]) => task.startsWith(`${job}/`))
    return new Set(placements.map(([, { machine }]) => machine))
  }

  /** Whether the machine runs a task of a job whose cancellation has been confirmed to a user. */
  hasCancelledTask(machine: string): boolean {
    for (const [task, placement] of this.placements) {
      const job = task.slice(0, task.indexOf("/"))
      if (placement.machine === machine && this.users.cancelledAt.has(job)) return true
    }
    return false
  }

  /**
   * Running jobs without a cancel request that have a task with at least `minLeftS` of its estimate left,
   * those with most time left first.
   */
  jobsWithTimeLeft(minLeftS: number): ReadonlyArray<string> {
    const left = new Map<string, number>()
    for (const [task, { since }] of this.placements) {
      const job = task.slice(0, task.indexOf("/"))
      if (this.users.cancelRequested.has(job)) continue
      const leftS = this.submitted.get(job)!.expected_s - (this.simulation.now - since) / 1000
      if (leftS >= minLeftS) left.set(job, Math.max(leftS, left.get(job) ?? 0))
    }
    return [...left].sort(([, a], [, b]) => b - a).map(([job]) => job)
  }

  /**
   * After a confirmed cancellation no task starts, except by a start command that was already sent; such a
   * task is soon stopped.
   */
  private checkStartAfterCancellation(task: string, job: string): void {
    const cancelledAt = this.users.cancelledAt.get(job)
    if (cancelledAt === undefined) return
    this.startsAfterCancellation++
    const noRecentFault = this.simulation.now > this.lastFaultEndsAt + FAULT_AFTERMATH_MS
    if (noRecentFault && this.simulation.now > cancelledAt + LATE_START_MS)
      this.reportViolation("started_cancelled", task)
  }
  private checkRunAfterCancellation(task: string, job: string): void {
    const cancelledAt = this.users.cancelledAt.get(job)
    if (cancelledAt !== undefined && this.simulation.now > cancelledAt + this.cancelS * 1000)
      this.reportViolation("ran_cancelled", task)
  }
  /** Whether a job with a cancel request has no confirmed final state yet, or still runs tasks. */
  hasCancellationInProgress(): boolean {
    const { cancelRequested } = this.users
    if ([...cancelRequested].some((job) => this.users.finalState(job) === null)) return true
    return [...this.placements.keys()].some((task) => cancelRequested.has(task.slice(0, task.indexOf("/"))))
  }
  /** Records that a fault begins and lasts for `durationMs`. */
  recordFault(durationMs: number): void {
    this.lastFaultEndsAt = Math.max(this.lastFaultEndsAt, this.simulation.now + durationMs)
  }
  /** Runs the checks that depend on time alone; to be called periodically. */
  check(): void {
    this.users.checkUnanswered(this.lastFaultEndsAt)
    for (const task of this.placements.keys())
      this.checkRunAfterCancellation(task, task.slice(0, task.indexOf("/")))
  }
}
