/**
 * The protocol's invariants about tasks: where and how often they run, within which
 * limits, and not after a cancellation. It judges what the stand-ins saw, never what
 * controllers say.
 */
import type { WireJob, WireMachineType } from "@sorreltally/protocol"
import { isLimited, type Team } from "@sorreltally/settings"
import type { Simulation } from "../simulation/simulation.ts"
import { UserInvariants } from "./user-invariants.ts"

/** The machine on which a task runs. */
export interface MachineOfTask {
  readonly machine: string
  readonly type: string
  readonly zone: string
  readonly spot: boolean
}

/** How long after a confirmed cancellation a task may still start, with no fault on or just over. */
const LATE_START_MS = 3_000
const FAULT_AFTERMATH_MS = 30_000

/** Checks the protocol's rules at every step of a simulated day. */
export class Invariants {
  readonly broken: Array<string> = []
  readonly users: UserInvariants
  private readonly places = new Map<string, MachineOfTask & { readonly since: number }>()
  /** CPUs by team. */
  private readonly used = new Map<string, number>()
  starts = 0
  /** When a machine last lost a running task without a command to stop it. */
  workLostAt = Number.NEGATIVE_INFINITY
  private readonly startsByJob = new Map<string, number>()
  /** Starts of jobs that a user already had confirmed as cancelled. */
  startsAfterCancellation = 0
  /** No fault is under way after this. */
  quietFrom = 0
  /** When a controller last ended. */
  lastCrashAt = Number.NEGATIVE_INFINITY
  readonly begunAt = new Map<string, number>()
  /** Jobs submitted with a mistake: their tasks fail on every machine. */
  readonly mistaken = new Set<string>()
  /** Called when a job's last task has completed, at that very moment. */
  readonly onComplete: Array<(job: string) => void> = []

  constructor(
    private readonly simulation: Simulation,
    private readonly teams: ReadonlyArray<Team>,
    private readonly types: ReadonlyArray<WireMachineType>,
    private readonly cancelS: number,
  ) {
    this.users = new UserInvariants(simulation, (rule, what) => this.report(rule, what))
  }

  get submitted(): ReadonlyMap<string, WireJob> {
    return this.users.submitted
  }

  /** An invariant is broken. */
  report(rule: string, what: string): void {
    this.broken.push(`${rule} at ${(this.simulation.now / 1000).toFixed(1)} s: ${what}`)
  }

  /** The task has its image and runs from now on. */
  began(job: string, index: number, at: MachineOfTask): void {
    this.starts++
    this.startsByJob.set(job, this.startsOf(job) + 1)
    if (!this.begunAt.has(job)) this.begunAt.set(job, this.simulation.now)
    const request = this.submitted.get(job)!
    const task = `${job}/${index}`
    const other = this.places.get(task)
    if (other !== undefined) this.report("ran_twice", `${task} on ${at.machine} while on ${other.machine}`)
    this.checkCancelled(task, job)
    this.checkStart(task, job)
    this.checkPlace(request, index, at)
    this.places.set(task, { ...at, since: this.simulation.now })
    this.addUsage(request, other === undefined ? request.cores : 0)
  }
  /** A task runs on a machine that its job allows, in one zone or spread over zones as the job asks. */
  private checkPlace(request: WireJob, index: number, at: MachineOfTask): void {
    const isAllowed =
      (request.builds == null || request.builds.some((type) => type === at.type)) &&
      (request.site == null || request.site === at.zone) &&
      (!at.spot || request.loaners) &&
      this.types.some(({ name }) => name === at.type)
    const zones = this.zonesOf(request, index, at.zone)
    const isTooClose = request.scatter && zones.get(at.zone)! > Math.ceil(request.pieces / 2)
    if (isAllowed && !(request.together && zones.size > 1) && !isTooClose) return
    const place = `${at.type}, ${at.zone}, ${at.spot ? "spot" : "on-demand"}`
    this.report("wrong_place", `${request.id}/${index} on ${at.machine} (${place})`)
  }
  /** Tasks of a job that cares for zones, by zone, with one that begins in this zone. */
  private zonesOf(request: WireJob, index: number, zone: string): ReadonlyMap<string, number> {
    const zones = new Map([[zone, 1]])
    if (!request.together && !request.scatter) return zones
    for (let i = 0; i < request.pieces; i++) {
      const place = i === index ? undefined : this.places.get(`${request.id}/${i}`)
      if (place !== undefined) zones.set(place.zone, (zones.get(place.zone) ?? 0) + 1)
    }
    return zones
  }
  private addUsage({ owner }: WireJob, cores: number): void {
    const used = this.usedBy(owner) + cores
    this.used.set(owner, used)
    const team = this.teams.find(({ name }) => name === owner)!
    if (used > team.maxCpus + 1e-6) this.report("quota", `${team.name} uses ${used} of ${team.maxCpus}`)
  }
  ended(job: string, index: number, machine: string): void {
    if (this.places.get(`${job}/${index}`)?.machine !== machine) return
    this.places.delete(`${job}/${index}`)
    const { owner, cores } = this.submitted.get(job)!
    this.used.set(owner, this.used.get(owner)! - cores)
  }
  finished(job: string, index: number): void {
    const before = this.users.isComplete(job)
    this.users.finished(job, index)
    if (before || !this.users.isComplete(job)) return
    for (const listener of this.onComplete) listener(job)
  }
  /** Tasks of a job that ever began, repetitions included. */
  startsOf(job: string): number {
    return this.startsByJob.get(job) ?? 0
  }
  /** Accepted, and neither over nor asked to be cancelled. */
  isLive(job: string): boolean {
    const { users } = this
    return users.isAccepted(job) && users.finalState(job) === null && !users.askedToCancel.has(job)
  }
  limitOf(team: string): number {
    return this.teams.find(({ name }) => name === team)?.maxCpus ?? 0
  }
  isFinished(job: string, index: number): boolean {
    return this.users.isFinished(job, index)
  }
  /** Every task that is on a machine. */
  *placed(): Iterable<{ readonly job: string; readonly machine: string }> {
    for (const [task, { machine }] of this.places) yield { job: task.slice(0, task.indexOf("/")), machine }
  }
  /** CPUs that a team's tasks use. */
  usedBy(team: string): number {
    return this.used.get(team) ?? 0
  }
  /** Teams that have a limit. */
  limitedTeams(): ReadonlyArray<string> {
    return this.teams.filter(({ maxCpus }) => isLimited(maxCpus)).map(({ name }) => name)
  }
  /** Machines on which tasks of the job are. */
  machinesOf(job: string): ReadonlySet<string> {
    const on = [...this.places].filter(([task]) => task.startsWith(`${job}/`))
    return new Set(on.map(([, { machine }]) => machine))
  }

  /** A task is on the machine whose job a user has confirmed as cancelled. */
  hasCancelledTask(machine: string): boolean {
    for (const [task, on] of this.places) {
      const job = task.slice(0, task.indexOf("/"))
      if (on.machine === machine && this.users.cancelledAt.has(job)) return true
    }
    return false
  }

  /** Running jobs of which some task should run on for this long, by what is left; nobody cancelled them. */
  jobsWithLongToGo(leastS: number): ReadonlyArray<string> {
    const left = new Map<string, number>()
    for (const [task, { since }] of this.places) {
      const job = task.slice(0, task.indexOf("/"))
      if (this.users.askedToCancel.has(job)) continue
      const leftS = this.submitted.get(job)!.expected_s - (this.simulation.now - since) / 1000
      if (leftS >= leastS) left.set(job, Math.max(leftS, left.get(job) ?? 0))
    }
    return [...left].sort(([, a], [, b]) => b - a).map(([job]) => job)
  }

  /** After a confirmed cancellation no task starts; what was under way to its machine is soon stopped. */
  private checkStart(task: string, job: string): void {
    const at = this.users.cancelledAt.get(job)
    if (at === undefined) return
    this.startsAfterCancellation++
    const quiet = this.simulation.now > this.quietFrom + FAULT_AFTERMATH_MS
    if (quiet && this.simulation.now > at + LATE_START_MS) this.report("started_cancelled", task)
  }
  private checkCancelled(task: string, job: string): void {
    const at = this.users.cancelledAt.get(job)
    if (at !== undefined && this.simulation.now > at + this.cancelS * 1000) this.report("ran_cancelled", task)
  }
  /** A job that somebody cancels isn't confirmed as over yet, or has tasks on machines. */
  cancellationUnderWay(): boolean {
    const { askedToCancel } = this.users
    if ([...askedToCancel].some((job) => this.users.finalState(job) === null)) return true
    return [...this.places.keys()].some((task) => askedToCancel.has(task.slice(0, task.indexOf("/"))))
  }
  /** A fault begins, and lasts that long. */
  faultLasts(forMs: number): void {
    this.quietFrom = Math.max(this.quietFrom, this.simulation.now + forMs)
  }
  /** To be called now and then. */
  check(): void {
    this.users.checkAnswered(this.quietFrom)
    for (const task of this.places.keys()) this.checkCancelled(task, task.slice(0, task.indexOf("/")))
  }
}
