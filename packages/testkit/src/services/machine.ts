import type { WireCommand, WireHeartbeat, WireJob, WireMachineType } from "@sorreltally/protocol"
import type { Invariants } from "../invariants/invariants.ts"
import type { Network } from "../simulation/network.ts"
import type { Simulation } from "../simulation/simulation.ts"

/** A task on a machine, as plain data. */
export interface TaskDump extends Omit<Task, "cancelTimer"> {}
/** A machine and its worker, as plain data. Times are in milliseconds. */
export interface MachineDump {
  readonly id: string
  readonly type: string
  readonly zone: string
  readonly spot: boolean
  readonly status: Machine["status"]
  readonly rented: number
  readonly tenure: number
  readonly tick: number
  readonly baton: number
  readonly lastAnswered: number
  readonly images: ReadonlyArray<string>
  readonly tasks: ReadonlyArray<TaskDump>
}

interface Task {
  readonly job: string
  readonly index: number
  readonly attempt: number
  status: string
  cause: string | null
  stored: boolean
  progressS: number
  since: number
  cancelTimer: () => void
}
/** A task that takes room on a machine. */
export interface Occupant {
  readonly job: string
  readonly index: number
}
export interface WorkerTimes {
  readonly report_s: number
  readonly lease_s: number
}

/** How soon after its start a task fails whose job has a mistake, or whose machine is faulty. */
const FAILS_AFTER_MS = 1_000
const SHOWN_RUNNING_MS = 30_000
/** Whoever sent a request to a worker has given up by then. */
const GIVEN_UP_MS = 3_000

/** A stand-in of one machine and its worker. */
export class Machine {
  status: "booting" | "running" | "failed" = "booting"
  tenure = 1
  private tick = 0
  private baton = 0
  private tasks = new Map<string, Task>()
  private readonly images = new Set<string>()
  private lastAnswered: number
  private node = 0
  private inFlight = false
  private again = false
  private lastSent = Number.NEGATIVE_INFINITY
  private timer: () => void = () => {}
  private hung = false
  private life = 0
  private deferred: Array<() => void> = []
  warningUntil: number | null = null
  gone = false
  /** Every task that runs here fails soon. */
  faulty = false
  /** Task run times are the estimates times this. */
  speed = 1
  rented: number

  constructor(
    readonly id: string,
    readonly type: WireMachineType,
    readonly zone: string,
    readonly spot: boolean,
    private readonly simulation: Simulation,
    private readonly network: Network,
    private readonly invariants: Invariants,
    private readonly times: WorkerTimes,
    private readonly nodes: ReadonlyArray<string>,
    /** Where checkpoints are kept: outside of the machine. */
    private readonly saved: Map<string, number>,
  ) {
    this.rented = simulation.now
    this.lastAnswered = simulation.now
    this.node = Math.floor(simulation.random.next() * nodes.length)
  }

  boot(): void {
    if (this.gone) return
    this.status = "running"
    this.lastAnswered = this.simulation.now
    this.network.listen(
      this.id,
      (request, _from, answer) => {
        const came = this.simulation.now
        this.whenAwake(() => {
          if (request.path === "/inspect") return answer({ status: 200, body: this.body() })
          const { baton, tenure, orders } = request.body as {
            baton?: number
            tenure?: number
            orders: Array<WireCommand>
          }
          if (baton === undefined || tenure === undefined) return answer({ status: 400, body: {} })
          if (baton < this.baton || tenure !== this.tenure) {
            this.simulation.occurrences.count(
              baton < this.baton
                ? "commands of a deposed leader refused"
                : "commands of an earlier session refused",
            )
            return answer({ status: 409, body: this.body() })
          }
          if (this.simulation.now - came > GIVEN_UP_MS)
            this.simulation.occurrences.count("commands carried out on resuming")
          this.hear(baton)
          this.execute(orders)
          answer({ status: 200, body: this.body() })
        })
      },
      true,
    )
    this.schedule(0)
    this.checkLease(this.life)
  }

  dump(): MachineDump {
    const { id, type, zone, spot, status, rented, tenure, tick, baton, lastAnswered } = this
    const tasks = [...this.tasks.values()].map(({ cancelTimer: _, ...task }) => task)
    const images = [...this.images]
    const facts = { id, zone, spot, status, rented, tenure, tick, baton, lastAnswered }
    return { ...facts, type: type.name, images, tasks }
  }
  /** Goes on where the machine of the dump stood; what it was saving, it begins to save anew. */
  restore(dump: MachineDump): void {
    this.rented = dump.rented
    if (dump.status !== "running") return
    this.tenure = dump.tenure
    this.tick = dump.tick
    this.baton = dump.baton
    for (const image of dump.images) this.images.add(image)
    this.boot()
    this.lastAnswered = dump.lastAnswered
    for (const task of dump.tasks) this.restoreTask({ ...task, cancelTimer: () => {} })
  }
  private restoreTask(task: Task): void {
    this.tasks.set(`${task.job}/${task.index}`, task)
    if (task.status === "exited") return
    const { status, since } = task
    const request = this.invariants.submitted.get(task.job)!
    const ranS = (this.simulation.now - since) / 1000
    if (status === "pulling") {
      const leftMs = Math.max(0, (request.image_gb / this.type.pull_gb_per_s - ranS) * 1000)
      task.cancelTimer = this.simulation.after(leftMs, () => this.whenAwake(() => this.begin(task, request)))
      return
    }
    task.status = "pulling"
    this.begin(task, request)
    task.since = since
    task.cancelTimer()
    const piece = `${task.job}/${task.index}`
    const leftS = Math.max(0, request.expected_s - (this.saved.get(piece) ?? 0) - ranS)
    task.cancelTimer = this.simulation.after(leftS * 1000, () => this.whenAwake(() => this.complete(task)))
    if (status === "flushing") this.stop(task, request.flush_s)
  }

  hang(on: boolean): void {
    this.hung = on
    if (on) return
    this.simulation.lastResumedAt = this.simulation.now
    const deferred = this.deferred
    this.deferred = []
    for (const run of deferred) run()
  }
  /** Off and on again: it knows nothing of its former self, whatever it cached or ran. */
  reboot(afterMs: number): void {
    if (this.gone || this.status !== "running") return
    this.network.close(this.id)
    this.timer()
    for (const task of this.tasks.values()) this.drop(task)
    this.tasks.clear()
    this.images.clear()
    this.tenure = 1
    this.tick = 0
    this.baton = 0
    this.life++
    this.inFlight = false
    this.deferred = []
    this.hung = false
    this.simulation.after(afterMs, () => this.boot())
  }
  get lastTick(): number {
    return this.tick
  }
  /** How long ago the last answered report was sent, if the machine has tasks to lose. */
  unansweredForMs(): number {
    const running = this.status === "running" && this.tasks.size > 0
    return running ? this.simulation.now - this.lastAnswered : 0
  }
  get isHung(): boolean {
    return this.hung
  }
  /** Tasks that run or save. */
  get runningTasks(): number {
    let count = 0
    for (const { status } of this.tasks.values()) if (status === "running" || status === "flushing") count++
    return count
  }
  /** Tasks that take room here, fetching ones included. */
  *occupants(): Iterable<Occupant> {
    for (const { job, index, status } of this.tasks.values()) if (status !== "exited") yield { job, index }
  }
  /** The highest attempt of a task that this machine knows. */
  attemptOf(piece: string): number {
    return this.tasks.get(piece)?.attempt ?? 0
  }
  private whenAwake(run: () => void): void {
    if (this.gone) return
    if (this.hung) this.deferred.push(() => this.whenAwake(run))
    else run()
  }
  /** It stops on its own; the cloud lists it as running for a while, then as failed. */
  die(): void {
    const { gone } = this
    this.remove()
    if (!gone) this.simulation.after(SHOWN_RUNNING_MS, () => (this.status = "failed"))
  }
  /** Power off: nothing runs, nothing answers. */
  remove(): void {
    if (this.gone) return
    this.gone = true
    this.network.close(this.id)
    this.timer()
    for (const task of this.tasks.values()) this.drop(task)
    this.tasks.clear()
  }
  private drop(task: Task): void {
    task.cancelTimer()
    if (task.status === "running" && this.invariants.submitted.get(task.job)?.site != null)
      this.simulation.occurrences.count("tasks of jobs bound to a zone lost")
    if (task.status === "running" || task.status === "flushing") {
      this.invariants.workLostAt = this.simulation.now
      this.invariants.ended(task.job, task.index, this.id)
    }
    task.status = "gone"
  }

  private checkLease(life: number): void {
    if (this.gone || life !== this.life) return
    // Also while it hangs: it can resume within its lease only, and runs nothing until then.
    this.expire()
    this.simulation.after(250, () => this.checkLease(life))
  }
  private expire(): void {
    if (this.simulation.now - this.lastAnswered <= this.times.lease_s * 1000) return
    this.simulation.occurrences.count("tasks lost by their lease", this.runningTasks)
    for (const task of this.tasks.values()) this.drop(task)
    this.tasks.clear()
    this.tenure++
    this.lastAnswered = this.simulation.now
    this.change()
  }

  private body(): WireHeartbeat {
    const pieces = [...this.tasks.entries()].map(([piece, t]) => ({
      piece,
      try: t.attempt,
      status: t.status,
      ...(t.cause === null ? {} : { cause: t.cause, stored: t.stored }),
    }))
    return {
      host: this.id,
      address: `${this.id}:9000`,
      build: this.type.name,
      site: this.zone,
      loaners: this.spot,
      tenure: this.tenure,
      tick: ++this.tick,
      baton: this.baton,
      warning_s:
        this.warningUntil === null ? null : Math.max(0, (this.warningUntil - this.simulation.now) / 1000),
      pieces,
    } as unknown as WireHeartbeat
  }
  private hear(token: number): void {
    if (token <= this.baton) return
    this.baton = token
    this.change()
  }
  change(): void {
    this.again = true
    this.schedule(Math.max(0, this.lastSent + 500 - this.simulation.now))
  }
  private schedule(ms: number): void {
    this.timer()
    this.timer = this.simulation.after(ms, () => this.whenAwake(() => this.report()))
  }

  private report(): void {
    if (this.inFlight) return
    this.inFlight = true
    this.again = false
    const sent = this.simulation.now
    const { tenure, life } = this
    this.lastSent = sent
    const to = this.nodes[this.node]!
    let over = false
    const finish = (next: () => void) => {
      if (over || this.gone || life !== this.life) return
      over = true
      this.inFlight = false
      next()
    }
    const tryNext = () => {
      this.node = (this.node + 1) % this.nodes.length
      this.schedule(1000)
    }
    this.simulation.after(4000, () => this.whenAwake(() => finish(tryNext)))
    this.network.request(this.id, to, { method: "POST", path: "/v1/report", body: this.body() }, (answer) => {
      this.whenAwake(() => {
        if (this.simulation.now - sent >= 4000) return
        finish(() => {
          if (answer?.status === 421) {
            const steward = (answer.body as { steward?: string } | null)?.steward
            const at = this.nodes.indexOf(steward ?? "")
            if (at < 0 || at === this.node) return tryNext()
            this.node = at
            return this.schedule(this.simulation.random.between(0, 500))
          }
          if (answer?.status !== 200) return tryNext()
          const { baton, orders } = answer.body as { baton?: number; orders: Array<WireCommand> }
          if (tenure === this.tenure && baton !== undefined && baton >= this.baton) {
            this.lastAnswered = sent
            this.hear(baton)
            this.execute(orders)
          }
          const regular = this.times.report_s * 1000 * this.simulation.random.between(0.75, 1.25)
          this.schedule(this.again ? Math.max(0, this.lastSent + 500 - this.simulation.now) : regular)
        })
      })
    })
  }

  private execute(orders: ReadonlyArray<WireCommand>): void {
    for (const order of orders) {
      const task = this.tasks.get(order.piece)
      if (order.verb === "start") this.start(order.piece, order.try)
      else if (task === undefined || task.attempt !== order.try) continue
      else if (order.verb === "forget") {
        if (task.status === "exited") this.tasks.delete(order.piece)
      } else this.stop(task, order.leeway_s)
    }
    if (orders.length > 0) this.change()
  }

  private start(piece: string, attempt: number): void {
    const known = this.tasks.get(piece)
    if (known?.attempt === attempt) return
    const at = piece.indexOf("/")
    const job = piece.slice(0, at)
    const index = Number(piece.slice(at + 1))
    const request = this.invariants.submitted.get(job)
    const task: Task = {
      job,
      index,
      attempt,
      status: "pulling",
      cause: null,
      stored: false,
      progressS: 0,
      since: this.simulation.now,
      cancelTimer: () => {},
    }
    if (known !== undefined && known.status !== "exited") return
    this.tasks.set(piece, task)
    if (request === undefined) return this.exit(task, "unknown")
    let cores = this.type.cores
    for (const other of this.tasks.values()) {
      if (other.status !== "exited") cores -= this.invariants.submitted.get(other.job)?.cores ?? 0
    }
    if (cores < -1e-6) return this.exit(task, "no_room")
    const pullS = this.images.has(request.bundle) ? 0 : request.image_gb / this.type.pull_gb_per_s
    task.cancelTimer = this.simulation.after(pullS * 1000, () =>
      this.whenAwake(() => this.begin(task, request)),
    )
  }
  private begin(task: Task, request: WireJob): void {
    if (task.status !== "pulling" || this.gone) return
    this.images.add(request.bundle)
    task.status = "running"
    task.since = this.simulation.now
    this.invariants.began(task.job, task.index, {
      machine: this.id,
      type: this.type.name,
      zone: this.zone,
      spot: this.spot,
    })
    this.change()
    if (this.faulty || this.invariants.mistaken.has(task.job)) {
      this.simulation.occurrences.count(
        this.faulty ? "tasks failed by their machine" : "tasks failed by their job",
      )
      task.cancelTimer = this.simulation.after(FAILS_AFTER_MS, () =>
        this.whenAwake(() => {
          if (task.status === "running" && !this.gone) this.exit(task, "error")
        }),
      )
      return
    }
    const piece = `${task.job}/${task.index}`
    const left = this.invariants.isFinished(task.job, task.index)
      ? 0
      : request.expected_s - (this.saved.get(piece) ?? 0)
    task.cancelTimer = this.simulation.after(left * 1000 * this.speed, () =>
      this.whenAwake(() => this.complete(task)),
    )
  }
  private complete(task: Task): void {
    if (task.status !== "running" || this.gone) return
    this.invariants.finished(task.job, task.index)
    this.exit(task, "done")
  }
  private exit(task: Task, cause: string): void {
    if (task.status === "running" || task.status === "flushing")
      this.invariants.ended(task.job, task.index, this.id)
    task.status = "exited"
    task.cause = cause
    this.change()
  }
  private stop(task: Task, leewayS: number): void {
    if (task.status === "exited") return
    const request = this.invariants.submitted.get(task.job)
    task.cancelTimer()
    if (
      task.status === "running" &&
      request !== undefined &&
      request.snapshot_s > 0 &&
      leewayS >= request.flush_s
    ) {
      task.status = "flushing"
      const ranS = (this.simulation.now - task.since) / 1000 / this.speed
      task.cancelTimer = this.simulation.after(request.flush_s * 1000, () =>
        this.whenAwake(() => {
          if (task.status !== "flushing" || this.gone) return
          const piece = `${task.job}/${task.index}`
          this.saved.set(piece, (this.saved.get(piece) ?? 0) + ranS)
          task.stored = true
          this.exit(task, "stopped")
        }),
      )
      this.change()
    } else this.exit(task, "stopped")
  }
}
