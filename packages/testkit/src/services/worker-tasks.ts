/**
 * Tasks on one simulated worker: images are pulled, tasks run, save a checkpoint when
 * they are stopped with a sufficient grace period, and exit. Every start and end is
 * reported to the invariants. `Machine` decides when the worker loses its tasks.
 */
import type { JobId, WireJob } from "@sorreltally/protocol"
import type { Invariants } from "../invariants/invariants.ts"
import type { Simulation } from "../simulation/simulation.ts"

/** `checkpointing` is `flushing` on the wire; a `gone` task was lost with its worker's lease or machine. */
export type TaskPhase = "pulling" | "running" | "checkpointing" | "exited" | "gone"

/** State of a task on a worker. */
export interface WorkerTask {
  readonly job: string
  readonly index: number
  readonly attempt: number
  phase: TaskPhase
  exitReason: string | null
  /** Whether it saved its progress before it exited. */
  checkpointed: boolean
  /** Time at which the image pull began or, from then on, the task began to run. In milliseconds. */
  startedAt: number
  /** Cancels the timer of the present phase. */
  cancelTimer: () => void
}
/** A task that occupies resources of a machine. */
export interface Occupant {
  readonly job: string
  readonly index: number
}

/** Interface of a machine for its tasks. */
export interface TaskHost {
  readonly id: string
  readonly zone: string
  readonly spot: boolean
  readonly type: { readonly name: string; readonly cores: number; readonly pull_gb_per_s: number }
  /** Whether every task that runs on this machine fails soon after its start. */
  readonly faulty: boolean
  /** Whether the machine is powered off permanently. */
  readonly isPoweredOff: boolean
  /** Runs a function at once, or as soon as the machine no longer hangs. */
  runWhenAwake(run: () => void): void
  /** Schedules a heartbeat that reports a change. */
  requestHeartbeat(): void
}
/** Dependencies of tasks other than their machine. */
export interface TaskEnvironment {
  readonly simulation: Simulation
  readonly invariants: Invariants
  /** Saved progress by task id, in seconds; it is stored outside of the machine. */
  readonly checkpoints: Map<string, number>
}

/** Time from start to failure of a task whose job has a bug or whose machine is faulty. */
const FAILURE_DELAY_MS = 1_000

/** Id of a task on the wire. */
const taskIdOf = ({ job, index }: Occupant): string => `${job}/${index}`

/** Tasks of one worker by task id. */
export class WorkerTasks {
  private readonly byId = new Map<string, WorkerTask>()
  private readonly images = new Set<string>()
  private readonly simulation: Simulation
  private readonly invariants: Invariants

  constructor(
    private readonly host: TaskHost,
    private readonly environment: TaskEnvironment,
  ) {
    this.simulation = environment.simulation
    this.invariants = environment.invariants
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
  /** Number of tasks that run or save a checkpoint. */
  get runningCount(): number {
    let count = 0
    for (const { phase } of this.byId.values()) if (phase === "running" || phase === "checkpointing") count++
    return count
  }
  /** Tasks that occupy resources, including those whose image is being pulled. */
  *occupants(): Iterable<Occupant> {
    for (const { job, index, phase } of this.byId.values()) if (phase !== "exited") yield { job, index }
  }

  /** Drops all tasks in whatever phase; cached images stay. */
  dropAll(): void {
    for (const task of this.byId.values()) this.drop(task)
    this.byId.clear()
  }
  /** Drops all tasks and the cached images. */
  reset(): void {
    this.dropAll()
    this.images.clear()
  }
  /** Removes an exited task: the node that sent the command has received its exit. */
  purge(taskId: string): void {
    if (this.byId.get(taskId)?.phase === "exited") this.byId.delete(taskId)
  }

  start(taskId: string, attempt: number): void {
    const existing = this.byId.get(taskId)
    if (existing !== undefined && (existing.attempt === attempt || existing.phase !== "exited")) return
    const task = newTask(taskId, attempt, this.simulation.now)
    this.byId.set(taskId, task)
    const request = this.invariants.submitted.get(task.job)
    if (request === undefined) return this.exit(task, "unknown")
    if (!this.hasRoom()) return this.exit(task, "no_room")
    const { pull_gb_per_s } = this.host.type
    const pullS = this.images.has(request.bundle) ? 0 : request.image_gb / pull_gb_per_s
    this.setTimer(task, pullS * 1000, () => this.run(task, request))
  }
  /** Whether all tasks, including the one just added, fit on the machine. */
  private hasRoom(): boolean {
    let cores = this.host.type.cores
    for (const { job } of this.occupants()) cores -= this.invariants.submitted.get(job)?.cores ?? 0
    return cores >= -1e-6
  }
  private setTimer(task: WorkerTask, ms: number, run: () => void): void {
    task.cancelTimer = this.simulation.after(ms, () => this.host.runWhenAwake(run))
  }

  private run(task: WorkerTask, request: WireJob): void {
    if (task.phase !== "pulling" || this.host.isPoweredOff) return
    this.images.add(request.bundle)
    task.phase = "running"
    task.startedAt = this.simulation.now
    const { id, type, zone, spot } = this.host
    this.invariants.taskStarted(task.job, task.index, { machine: id, type: type.name, zone, spot })
    this.host.requestHeartbeat()
    if (this.host.faulty || this.invariants.failingJobs.has(task.job)) return this.scheduleFailure(task)
    const isFinished = this.invariants.isFinished(task.job, task.index)
    const remainingS = isFinished ? 0 : request.expected_s - this.checkpointedS(task)
    this.setTimer(task, remainingS * 1000, () => this.complete(task))
  }
  private scheduleFailure(task: WorkerTask): void {
    this.simulation.occurrences.count(
      this.host.faulty ? "tasks failed because of their machine" : "tasks failed because of their job",
    )
    this.setTimer(task, FAILURE_DELAY_MS, () => {
      if (task.phase === "running" && !this.host.isPoweredOff) this.exit(task, "error")
    })
  }
  private complete(task: WorkerTask): void {
    if (task.phase !== "running" || this.host.isPoweredOff) return
    this.invariants.taskFinished(task.job, task.index)
    this.exit(task, "done")
  }
  private checkpointedS(task: WorkerTask): number {
    return this.environment.checkpoints.get(taskIdOf(task)) ?? 0
  }

  /** Stops a task. It first saves its progress if its job has checkpoints and the grace period suffices. */
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
    const elapsedS = (this.simulation.now - task.startedAt) / 1000
    this.setTimer(task, request.flush_s * 1000, () => {
      if (task.phase !== "checkpointing" || this.host.isPoweredOff) return
      this.environment.checkpoints.set(taskIdOf(task), this.checkpointedS(task) + elapsedS)
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
      this.simulation.occurrences.count("lost tasks of jobs bound to a zone")
    if (task.phase === "running" || task.phase === "checkpointing") {
      this.invariants.workLostAt = this.simulation.now
      this.invariants.taskStopped(task.job, task.index, this.host.id)
    }
    task.phase = "gone"
  }

  restoreImages(images: Iterable<string>): void {
    for (const image of images) this.images.add(image)
  }
  /** Resumes a task of a dump; a checkpoint that was being saved is started again. */
  restore(task: WorkerTask): void {
    this.byId.set(taskIdOf(task), task)
    if (task.phase === "exited") return
    const { phase, startedAt } = task
    const request = this.invariants.submitted.get(task.job)!
    const elapsedS = (this.simulation.now - startedAt) / 1000
    if (phase === "pulling") {
      const pullS = request.image_gb / this.host.type.pull_gb_per_s
      return this.setTimer(task, Math.max(0, (pullS - elapsedS) * 1000), () => this.run(task, request))
    }
    task.phase = "pulling"
    this.run(task, request)
    task.startedAt = startedAt
    task.cancelTimer()
    const remainingS = Math.max(0, request.expected_s - this.checkpointedS(task) - elapsedS)
    this.setTimer(task, remainingS * 1000, () => this.complete(task))
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
    startedAt: now,
    cancelTimer: () => {},
  }
}
