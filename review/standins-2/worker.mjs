/** Stand-in of a machine with its worker (PROTOCOL, "Workers -> controller nodes"). */
import { call, listen, newAgent, now } from "./http.mjs"

const REPORT_TIMEOUT_MS = 4_000
const LEAST_GAP_MS = 500

export class Worker {
  /** `world` has `nodes` (name and port), `jobs` (id to request), `times`, and receives `taskStarted`, `taskEnded`. */
  constructor(world, { id, type, site, loaners }) {
    Object.assign(this, { world, id, type, site, loaners })
    this.status = "booting"
    this.rentedAt = now()
    this.pieces = new Map()
    this.images = new Map()
    this.tenure = 1
    this.tick = 0
    this.baton = 0
    this.node = Math.floor(Math.random() * world.nodes.length)
    this.agent = newAgent()
    this.isGone = false
    this.reportsRefused = 0
    /** Time before which no report is sent, e.g. while the machine is cut off. */
    this.hooks = {}
  }
  async boot() {
    const port = this.world.portFor?.(this)
    const listener = await listen(
      (method, path, body, answer) => this.whenAwake(() => this.serve(method, path, body, answer)),
      port,
    )
    this.listener = listener
    if (this.isGone) return listener.close()
    this.status = "running"
    this.answeredAt = now()
    this.lastSentAt = Number.NEGATIVE_INFINITY
    this.timer = setInterval(() => this.checkLease(), 100)
    this.schedule(0)
  }
  get address() {
    return `127.0.0.1:${this.listener?.port ?? 9}`
  }
  remove() {
    if (this.isGone) return
    this.isGone = true
    clearInterval(this.timer)
    clearTimeout(this.reportTimer)
    this.dropAll("machine gone")
    this.listener?.close()
    this.agent.destroy()
  }
  /** A hanging machine runs and answers nothing; it goes on later, unless its lease has expired. */
  hang(ms) {
    this.awakeAt = now() + ms
    for (const task of this.pieces.values()) if (task.status === "running") task.endsAt += ms
  }
  whenAwake(run) {
    const ms = (this.awakeAt ?? 0) - now()
    if (ms <= 0) run()
    else setTimeout(() => this.whenAwake(run), ms + 1)
  }
  dropAll(reason) {
    for (const task of this.pieces.values()) this.endTask(task, reason)
    this.pieces.clear()
  }
  /** The machine restarts: tasks, images, session and tick begin anew. It keeps the highest token if asked to. */
  restart({ keepsBaton }) {
    this.dropAll("restart")
    this.images.clear()
    this.tenure = 1
    this.tick = 0
    if (!keepsBaton) this.baton = 0
    this.bootCount = (this.bootCount ?? 0) + 1
    this.isReporting = false
    this.answeredAt = now()
    this.schedule(0)
  }
  checkLease() {
    if (now() - this.answeredAt <= this.world.times.lease_s * 1000) return
    this.world.leaseExpired?.(this)
    this.dropAll("lease")
    this.tenure++
    this.answeredAt = now()
    this.changed()
  }

  // --- reports ---
  schedule(ms) {
    clearTimeout(this.reportTimer)
    if (!this.isGone) this.reportTimer = setTimeout(() => this.whenAwake(() => this.report()), ms)
  }
  changed() {
    this.hasChanged = true
    if (!this.isReporting) this.schedule(Math.max(0, this.lastSentAt + LEAST_GAP_MS - now()))
  }
  body() {
    return {
      host: this.id,
      address: this.address,
      build: this.type.name,
      site: this.site,
      loaners: this.loaners,
      tenure: this.tenure,
      tick: ++this.tick,
      baton: this.baton,
      warning_s: null,
      pieces: [...this.pieces.values()].map(({ piece, attempt, status, cause, stored }) => ({
        piece,
        try: attempt,
        status,
        ...(cause === null ? {} : { cause }),
        ...(stored ? { stored } : {}),
      })),
    }
  }
  async report() {
    if (this.isReporting || this.isGone) return
    if (this.isMute) return this.schedule(1_000)
    this.isReporting = true
    this.hasChanged = false
    const sentAt = now()
    this.lastSentAt = sentAt
    const { tenure, bootCount } = this
    const node = this.world.nodes[this.node]
    const body = this.body()
    this.hooks.onReport?.(body)
    const answer = await call(node.port, "POST", "/v1/report", body, {
      timeoutMs: REPORT_TIMEOUT_MS,
      agent: this.agent,
    })
    if (this.isGone || bootCount !== this.bootCount) return
    this.isReporting = false
    if (now() < (this.awakeAt ?? 0) || this.isDeaf)
      return this.schedule(Math.max(1_000, (this.awakeAt ?? 0) - now()))
    this.world.reportAnswered?.(this, answer, body)
    this.handle(answer, tenure, sentAt)
  }
  handle(answer, tenure, sentAt) {
    if (answer?.status === 200) {
      const { baton, orders } = answer.body
      if (tenure === this.tenure && baton !== undefined && baton >= this.baton) {
        this.answeredAt = sentAt
        this.seeBaton(baton)
        this.execute(orders)
      }
      const interval = this.world.times.report_s * 1000 * (0.75 + Math.random() / 2)
      return this.schedule(this.hasChanged ? Math.max(0, sentAt + LEAST_GAP_MS - now()) : interval)
    }
    const steward =
      answer?.status === 421 ? this.world.nodes.findIndex(({ name }) => name === answer.body?.steward) : -1
    if (steward >= 0 && steward !== this.node) {
      this.node = steward
      return this.schedule(Math.random() * 500)
    }
    this.node = (this.node + 1) % this.world.nodes.length
    this.schedule(1_000)
  }
  seeBaton(baton) {
    if (baton <= this.baton) return
    this.baton = baton
    this.changed()
  }

  // --- commands ---
  serve(method, path, body, answer) {
    if (method === "GET" && path === "/inspect") return answer(200, this.body())
    if (path !== "/orders") return answer(400, {})
    if (this.isDeaf) return
    const lateMs = this.hooks.lateMs?.() ?? null
    if (lateMs !== null) return setTimeout(() => this.isGone || this.obey(body, () => {}), lateMs)
    this.hooks.onServed?.(body)
    this.obey(body, answer)
  }
  obey(body, answer) {
    this.hooks.onOrders?.(body)
    if (body?.baton === undefined || body.tenure === undefined) return answer(400, {})
    if (body.baton < this.baton || body.tenure !== this.tenure) return answer(409, this.body())
    this.seeBaton(body.baton)
    this.execute(body.orders)
    answer(200, this.body())
  }
  execute(orders) {
    for (const order of orders) {
      const key = `${order.piece}#${order.try}`
      const task = this.pieces.get(key)
      if (order.verb === "start") this.start(key, order)
      else if (task === undefined) continue
      else if (order.verb === "stop") this.stop(task, order.leeway_s)
      else if (task.status === "exited") this.pieces.delete(key)
    }
    if (orders.length > 0) this.changed()
  }
  start(key, { piece, try: attempt }) {
    if (this.pieces.has(key)) return
    const [jobId, index] = piece.split("/")
    const job = this.world.jobs.get(jobId)
    const task = {
      key,
      piece,
      jobId,
      index: Number(index),
      attempt,
      status: "pulling",
      cause: null,
      stored: false,
      job,
    }
    const present = [...this.pieces.values()].filter(({ status }) => status !== "exited")
    this.pieces.set(key, task)
    if (job === undefined || task.index >= job.pieces) return this.exit(task, "unknown")
    if (present.some((other) => other.piece === piece)) return this.exit(task, "in_use")
    let { cores, mem_gb } = this.type
    for (const other of present) {
      cores -= other.job.cores
      mem_gb -= other.job.mem_gb
    }
    if (cores + 1e-6 < job.cores || mem_gb + 1e-6 < job.mem_gb) return this.exit(task, "no_room")
    const fetchedAt = this.images.get(job.bundle) ?? now() + (job.image_gb / this.type.pull_gb_per_s) * 1000
    this.images.set(job.bundle, fetchedAt)
    task.timer = setTimeout(() => this.run(task), Math.max(0, fetchedAt - now()))
  }
  run(task) {
    if (task.status !== "pulling") return
    task.status = "running"
    this.world.taskStarted(this, task)
    task.endsAt = now() + (this.world.isDone(task.piece) ? 0 : this.world.durationMs(task))
    this.runOn(task)
    this.changed()
  }
  runOn(task) {
    task.timer = setTimeout(() => {
      if (task.status !== "running") return
      if (now() < task.endsAt - 1) return this.runOn(task)
      this.world.taskDone(task)
      this.exit(task, "done")
    }, task.endsAt - now())
  }
  stop(task, leewayS) {
    if (task.status === "exited") return
    clearTimeout(task.timer)
    const saves = task.status === "running" && task.job.snapshot_s > 0 && leewayS >= task.job.flush_s
    if (!saves) return this.exit(task, "stopped")
    task.status = "flushing"
    task.timer = setTimeout(() => {
      task.stored = true
      this.exit(task, "stopped")
    }, task.job.flush_s * 1000)
    this.changed()
  }
  exit(task, cause) {
    this.endTask(task, cause)
    task.status = "exited"
    task.cause = cause
    this.changed()
  }
  endTask(task, reason) {
    clearTimeout(task.timer)
    if (task.status === "running" || task.status === "flushing") this.world.taskEnded(this, task, reason)
    task.status = "exited"
  }
}
