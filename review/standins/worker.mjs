/**
 * A worker of PROTOCOL, "Workers -> controller nodes" and "Controller nodes -> workers". Tasks save no
 * checkpoints. `world` holds what all workers share: `jobs` (descriptions by id), `nodes` (name and port of
 * each controller), `times` (`report_s`, `lease_s`), `results` (tasks that completed), `runS` (true run time of
 * a job's tasks), and the callbacks `onStart` and `onExit`.
 */
import { LOOPBACK, listen, makeClient } from "./http.mjs"

const REPORT_TIMEOUT_MS = 4_000
const MIN_REPORT_GAP_MS = 500
const NEXT_NODE_MS = 1_000
const CHECK_MS = 50

const keyOf = (piece, attempt) => `${piece}#${attempt}`

export class Worker {
  tenure = 1
  baton = 0
  /** Tasks by piece and attempt. */
  tasks = new Map()
  images = new Set()
  nodeIndex = 0
  isReporting = false
  isClosed = false
  hasChanged = true

  constructor({ machine, type, world, record }) {
    Object.assign(this, { machine, type, world, record })
    this.tick = world.firstTick ?? 1n
    this.nodeIndex = Math.floor(Math.random() * world.nodes.length)
    this.client = makeClient(2)
    this.renewedAt = performance.now()
    this.reportedAt = Number.NEGATIVE_INFINITY
    this.tokenReportedAt = Number.NEGATIVE_INFINITY
    this.nextReportAt = performance.now()
  }
  async start() {
    this.listener = await listen((method, path, body) => this.serve(method, path, body))
    this.timer = setInterval(() => this.check(), CHECK_MS)
    this.address = `${LOOPBACK}:${this.listener.port}`
    return this.address
  }
  /** The machine is gone, and all that ran on it. */
  close() {
    this.isClosed = true
    clearInterval(this.timer)
    this.listener?.close()
    this.client.close()
    this.killAll("machine gone")
  }

  // --- reports

  check() {
    const now = performance.now()
    if (now - this.renewedAt > this.world.times.lease_s * 1000) this.beginSession()
    const isDue = now >= this.nextReportAt || (this.hasChanged && now >= this.reportedAt + MIN_REPORT_GAP_MS)
    if (isDue && !this.isReporting && now >= (this.pausedUntil ?? 0)) this.report(now)
  }
  beginSession() {
    this.record.add(`${this.machine.id}: lease over, session ${this.tenure + 1}`)
    this.killAll("lease over")
    this.tasks.clear()
    this.tenure++
    this.renewedAt = performance.now()
    this.hasChanged = true
  }
  /** The text of a report; its tick is written as an integer of any size. */
  body() {
    const { id, build, site, loaners } = this.machine
    const pieces = [...this.tasks.values()].map(({ piece, attempt, status, cause }) => ({
      piece,
      try: attempt,
      status,
      ...(cause === undefined ? {} : { cause }),
    }))
    const report = {
      host: id,
      address: this.address,
      build,
      site,
      loaners,
      tenure: this.tenure,
      tick: `${this.tick++}`,
      baton: this.baton,
      warning_s: null,
      pieces,
    }
    return JSON.stringify(report).replace(/"tick":"(\d+)"/, '"tick":$1')
  }
  async report(now) {
    const { times, nodes } = this.world
    this.isReporting = true
    this.hasChanged = false
    this.reportedAt = now
    this.nextReportAt = now + times.report_s * 1000 * (0.75 + Math.random() / 2)
    const { tenure } = this
    const node = nodes[this.nodeIndex % nodes.length]
    const answer = await this.client.call(node.port, "POST", "/v1/report", this.body(), REPORT_TIMEOUT_MS)
    this.isReporting = false
    if (this.isClosed) return
    this.world.onReport?.(this, node, answer)
    if (answer?.status === 200) this.accept(answer.body, tenure, now)
    else if (answer?.status === 421) this.redirect(answer.body?.steward, node)
    else this.goToNextNode()
  }
  accept(body, tenure, sentAt) {
    if (tenure !== this.tenure || !(body?.baton >= this.baton)) return
    this.raiseToken(body.baton)
    this.renewedAt = sentAt
    this.execute(body.orders ?? [])
  }
  redirect(steward, node) {
    const index = this.world.nodes.findIndex(({ name }) => name === steward)
    if (index < 0 || steward === node.name) return this.goToNextNode()
    this.nodeIndex = index
    this.nextReportAt = performance.now() + Math.random() * 500
  }
  goToNextNode() {
    this.nodeIndex = (this.nodeIndex + 1) % this.world.nodes.length
    this.pausedUntil = performance.now() + NEXT_NODE_MS
    this.nextReportAt = this.pausedUntil
  }
  raiseToken(baton) {
    if (baton <= this.baton) return
    this.baton = baton
    const now = performance.now()
    if (now < this.tokenReportedAt + this.world.times.lease_s * 500) return
    this.tokenReportedAt = now
    this.hasChanged = true
  }

  // --- commands

  serve(method, path, body) {
    if (method === "GET" && path === "/inspect") return { status: 200, text: this.body() }
    if (method !== "POST" || path !== "/orders") return { status: 404, body: {} }
    const { baton, tenure, orders } = body ?? {}
    if (baton === undefined || tenure === undefined) return { status: 400, body: {} }
    if (baton < this.baton || tenure !== this.tenure) return { status: 409, text: this.body() }
    this.raiseToken(baton)
    this.execute(orders ?? [])
    return { status: 200, text: this.body() }
  }
  execute(orders) {
    for (const { verb, piece, try: attempt } of orders) {
      if (verb === "start") this.startTask(piece, attempt)
      else if (verb === "stop") this.stopTask(keyOf(piece, attempt))
      else if (verb === "forget") this.forgetTask(keyOf(piece, attempt))
    }
  }
  startTask(piece, attempt) {
    const key = keyOf(piece, attempt)
    if (this.tasks.has(key)) return
    const job = this.world.jobs.get(piece.split("/")[0])
    const task = { piece, attempt, job, status: "pulling" }
    this.tasks.set(key, task)
    this.hasChanged = true
    const refusal = this.refusalOf(task)
    if (refusal !== null) return this.exit(task, refusal)
    const pullS = this.images.has(job.bundle) ? 0 : job.image_gb / this.type.pull_gb_per_s
    task.timer = setTimeout(() => this.run(task), pullS * 1000)
  }
  refusalOf(task) {
    if (task.job === undefined) return "unknown"
    const others = [...this.tasks.values()].filter((other) => other !== task && other.status !== "exited")
    if (others.some(({ piece }) => piece === task.piece)) return "in_use"
    const used = (field) => others.reduce((sum, { job }) => sum + job[field], task.job[field])
    const hasRoom = used("cores") <= this.type.cores + 1e-6 && used("mem_gb") <= this.type.mem_gb + 1e-6
    return hasRoom ? null : "no_room"
  }
  run(task) {
    this.images.add(task.job.bundle)
    task.status = "running"
    this.hasChanged = true
    this.world.onStart(this, task)
    if (this.world.results.has(task.piece)) return this.exit(task, "done")
    task.timer = setTimeout(() => this.exit(task, "done"), this.world.runS(task.job) * 1000)
  }
  stopTask(key) {
    const task = this.tasks.get(key)
    if (task !== undefined && task.status !== "exited") this.exit(task, "stopped")
  }
  forgetTask(key) {
    if (this.tasks.get(key)?.status === "exited") this.tasks.delete(key)
  }
  exit(task, cause) {
    clearTimeout(task.timer)
    const wasRunning = task.status === "running"
    task.status = "exited"
    task.cause = cause
    this.hasChanged = true
    if (cause === "done") this.world.results.add(task.piece)
    this.world.onExit(this, task, wasRunning)
  }
  killAll(cause) {
    for (const task of this.tasks.values()) {
      clearTimeout(task.timer)
      if (task.status === "exited") continue
      const wasRunning = task.status === "running"
      task.status = "exited"
      task.cause = cause
      this.world.onExit(this, task, wasRunning)
    }
  }
}
