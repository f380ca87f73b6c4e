/**
 * The tasks on one simulated worker: images are pulled, tasks run, save a
 * checkpoint when they are stopped in time, and exit. It reports every start
 * and end to the invariants, and never decides when the worker loses its tasks.
 */
import type { JobId, WireJob } from "@sorreltally/protocol"
import type { Invariants } from "../invariants/invariants.ts"
import type { Simulation } from "../simulation/simulation.ts"

/** `checkpointing` is `flushing` on the wire; a `gone` task was lost with its worker's lease or machine. */
export type TaskPhase = "pulling" | "running" | "checkpointing" | "exited" | "gone"

/** A task as a worker knows it. */
export interface WorkerTask {
  readonly job: string
  readonly index: number
  readonly attempt: number
  phase: TaskPhase
  exitReason: string | null
  /** It saved its progress before it exited. */
  checkpointed: boolean
  /** When its image began to be pulled, or it began to run. Milliseconds. */
  since: number
  /** Stops the timer of its present phase. */
  cancelTimer: () => void
}
/** A task that takes room on a machine. */
export interface Occupant {
  readonly job: string
  readonly index: number
}

/** What of a machine its tasks depend on. */
export interface TaskHost {
  readonly id: string
  readonly zone: string
  readonly spot: boolean
  readonly type: { readonly name: string; readonly cores: number; readonly pull_gb_per_s: number }
  /** Every task that runs here fails soon. */
  readonly faulty: boolean
  /** Its power is off for good. */
  readonly gone: boolean
  /** Runs it at once, or when the machine no longer hangs. */
  whenAwake(run: () => void): void
  /** Has a heartbeat sent soon, as something changed. */
  requestHeartbeat(): void
}
/** What tasks need beside their machine. */
export interface TaskSurroundings {
  readonly simulation: Simulation
  readonly invariants: Invariants
  /** Progress saved by task id, in seconds: kept outside of the machine. */
  readonly checkpoints: Map<string, number>
}

/** How soon after its start a task fails whose job has a mistake, or whose machine is faulty. */
const FAILS_AFTER_MS = 1_000

/** The id of a task on the wire. */
const taskIdOf = ({ job, index }: Occupant): string => `${job}/${index}`

/** The tasks of one worker, by their ids. */
export class WorkerTasks {
  private readonly byId = new Map<string, WorkerTask>()
  private readonly images = new Set<string>()
  private readonly simulation: Simulation
  private readonly invariants: Invariants

  constructor(
    private readonly host: TaskHost,
    private readonly surroundings: TaskSurroundings,
  ) {
    this.simulation = surroundings.simulation
    this.invariants = surroundings.invariants
  }

  get(taskId: string): WorkerTask | undefined {
    return this.byId.get(taskId)
  }
  all(): Iterable<readonly [taskId: string, task: WorkerTask]> {
    return this.byId
  }
  get size(): number {
    return this.byId.size
  }
  get cachedImages(): Iterable<string> {
    return this.images
  }
  /** Tasks that run or save. */
  get runningCount(): number {
    let count = 0
    for (const { phase } of this.byId.values()) if (phase === "running" || phase === "checkpointing") count++
    return count
  }
  /** Tasks that take room, those whose image is being pulled included. */
  *occupants(): Iterable<Occupant> {
    for (const { job, index, phase } of this.byId.values()) if (phase !== "exited") yield { job, index }
  }

  /** All tasks are lost, wherever they stood; images stay. */
  dropAll(): void {
    for (const task of this.byId.values()) this.drop(task)
    this.byId.clear()
  }
  /** As `dropAll`, and the images are lost too. */
  reset(): void {
    this.dropAll()
    this.images.clear()
  }
  /** The commanding node knows of the exit: the task need not be kept any more. */
  purge(taskId: string): void {
    if (this.byId.get(taskId)?.phase === "exited") this.byId.delete(taskId)
  }

  start(taskId: string, attempt: number): void {
    const known = this.byId.get(taskId)
    if (known !== undefined && (known.attempt === attempt || known.phase !== "exited")) return
    const task = newTask(taskId, attempt, this.simulation.now)
    this.byId.set(taskId, task)
    const request = this.invariants.submitted.get(task.job)
    if (request === undefined) return this.exit(task, "unknown")
    if (!this.hasRoom()) return this.exit(task, "no_room")
    const { pull_gb_per_s } = this.host.type
    const pullS = this.images.has(request.bundle) ? 0 : request.image_gb / pull_gb_per_s
    this.setTimer(task, pullS * 1000, () => this.begin(task, request))
  }
  /** The tasks that take room, with one just added, fit on the machine. */
  private hasRoom(): boolean {
    let cores = this.host.type.cores
    for (const { job } of this.occupants()) cores -= this.invariants.submitted.get(job)?.cores ?? 0
    return cores >= -1e-6
  }
  private setTimer(task: WorkerTask, ms: number, run: () => void): void {
    task.cancelTimer = this.simulation.after(ms, () => this.host.whenAwake(run))
  }

  private begin(task: WorkerTask, request: WireJob): void {
    if (task.phase !== "pulling" || this.host.gone) return
    this.images.add(request.bundle)
    task.phase = "running"
    task.since = this.simulation.now
    const { id, type, zone, spot } = this.host
    this.invariants.taskStarted(task.job, task.index, { machine: id, type: type.name, zone, spot })
    this.host.requestHeartbeat()
    if (this.host.faulty || this.invariants.failingJobs.has(task.job)) return this.failSoon(task)
    const isFinished = this.invariants.isFinished(task.job, task.index)
    const leftS = isFinished ? 0 : request.expected_s - this.savedS(task)
    this.setTimer(task, leftS * 1000, () => this.complete(task))
  }
  private failSoon(task: WorkerTask): void {
    this.simulation.occurrences.count(
      this.host.faulty ? "tasks failed by their machine" : "tasks failed by their job",
    )
    this.setTimer(task, FAILS_AFTER_MS, () => {
      if (task.phase === "running" && !this.host.gone) this.exit(task, "error")
    })
  }
  private complete(task: WorkerTask): void {
    if (task.phase !== "running" || this.host.gone) return
    this.invariants.taskFinished(task.job, task.index)
    this.exit(task, "done")
  }
  private savedS(task: WorkerTask): number {
    return this.surroundings.checkpoints.get(taskIdOf(task)) ?? 0
  }

  /** It saves its progress first if its job does so and the grace period is long enough. */
  stop(task: WorkerTask, gracePeriodS: number): void {
    if (task.phase === "exited") return
    const request = this.invariants.submitted.get(task.job)
    task.cancelTimer()
    const canSave =
      task.phase === "running" &&
      request !== undefined &&
      request.snapshot_s > 0 &&
      gracePeriodS >= request.flush_s
    if (!canSave) return this.exit(task, "stopped")
    task.phase = "checkpointing"
    const ranS = (this.simulation.now - task.since) / 1000
    this.setTimer(task, request.flush_s * 1000, () => {
      if (task.phase !== "checkpointing" || this.host.gone) return
      this.surroundings.checkpoints.set(taskIdOf(task), this.savedS(task) + ranS)
      task.checkpointed = true
      this.exit(task, "stopped")
    })
    this.host.requestHeartbeat()
  }
  private exit(task: WorkerTask, reason: string): void {
    if (task.phase === "running" || task.phase === "checkpointing")
      this.invariants.taskStopped(task.job, task.index, this.host.id)
    task.phase = "exited"
    task.exitReason = reason
    this.host.requestHeartbeat()
  }
  private drop(task: WorkerTask): void {
    task.cancelTimer()
    if (task.phase === "running" && this.invariants.submitted.get(task.job)?.site != null)
      this.simulation.occurrences.count("tasks of jobs bound to a zone lost")
    if (task.phase === "running" || task.phase === "checkpointing") {
      this.invariants.workLostAt = this.simulation.now
      this.invariants.taskStopped(task.job, task.index, this.host.id)
    }
    task.phase = "gone"
  }

  restoreImages(images: Iterable<string>): void {
    for (const image of images) this.images.add(image)
  }
  /** Goes on where the task stood; what it was saving, it begins to save anew. */
  restore(task: WorkerTask): void {
    this.byId.set(taskIdOf(task), task)
    if (task.phase === "exited") return
    const { phase, since } = task
    const request = this.invariants.submitted.get(task.job)!
    const elapsedS = (this.simulation.now - since) / 1000
    if (phase === "pulling") {
      const pullS = request.image_gb / this.host.type.pull_gb_per_s
      return this.setTimer(task, Math.max(0, (pullS - elapsedS) * 1000), () => this.begin(task, request))
    }
    task.phase = "pulling"
    this.begin(task, request)
    task.since = since
    task.cancelTimer()
    const leftS = Math.max(0, request.expected_s - this.savedS(task) - elapsedS)
    this.setTimer(task, leftS * 1000, () => this.complete(task))
    if (phase === "checkpointing") this.stop(task, request.flush_s)
  }
}

const newTask = (taskId: string, attempt: number, now: number): WorkerTask => {
  const slash = taskId.indexOf("/")
  return {
    job: taskId.slice(0, slash) as JobId,
    index: Number(taskId.slice(slash + 1)),
    attempt,
    phase: "pulling",
    exitReason: null,
    checkpointed: false,
    since: now,
    cancelTimer: () => {},
  }
}
