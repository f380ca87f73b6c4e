/** A small deployment: state service, cloud with workers, users, and the project's controllers. */
import { mkdtempSync, rmSync } from "node:fs"
import { tmpdir } from "node:os"
import { join } from "node:path"
import { Cloud } from "./cloud.mjs"
import { Controller, settingsOf } from "./controllers.mjs"
import { freePorts } from "./http.mjs"
import { Record } from "./record.mjs"
import { StateService } from "./state-service.mjs"
import { Users } from "./users.mjs"

export const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms))

/** Facts of a deployment of Lahore's size; `changes` replace some. */
export const lahoreFacts = (zones, teams, changes = {}) => ({
  nodes: 3,
  zones,
  teams,
  objectives: [{ kind: "deadline", class: "urgent-reissue", share: 0.96, times: 1.0 }],
  workers: { report_s: 3, lease_s: 27, gang_wait_s: 40, gang_peer_s: 6, cancel_s: 47 },
  state: { rps: 150, write_rps: 15, value_kb: 8, txn_ops: 8 },
  cloud: { rps: 6, list_lag_s: 3 },
  machine_limits: { cores: 0.34, mem_mb: 306, fd_limit: 2500 },
  time_bound_ms: 1000,
  ...changes,
})

export class Deployment {
  record = new Record()
  folder = mkdtempSync(join(tmpdir(), "sorreltally-review-"))
  /** Tasks that are on a machine: piece -> set of machine ids. */
  running = new Map()
  /** Number of starts of each piece. */
  starts = new Map()
  /** Starts and exits of the tasks of these jobs are counted, not recorded one by one. */
  countedJobs = new Set()
  counts = { starts: 0, exits: new Map() }

  constructor({ facts, builds, capacity, bootS, runS, nodeCount = 3 }) {
    Object.assign(this, { facts, nodeCount })
    this.world = {
      jobs: new Map(),
      nodes: [],
      times: facts.workers,
      results: new Set(),
      runS,
      onStart: (worker, task) => this.noteStart(worker, task),
      onExit: (worker, task, wasRunning) => this.noteExit(worker, task, wasRunning),
    }
    this.state = new StateService(facts.state)
    const listLagS = facts.cloud.list_lag_s
    this.cloud = new Cloud({ builds, capacity, bootS, listLagS, world: this.world, record: this.record })
    this.users = new Users({ nodes: this.world.nodes, record: this.record })
  }

  /** Starts everything, and returns once all controllers are ready. */
  async start() {
    const { facts, folder, nodeCount, world } = this
    const services = { state: await this.state.start(), cloud: await this.cloud.start() }
    const flat = await freePorts(2 * nodeCount)
    const ports = Array.from({ length: nodeCount }, (_, i) => [flat[2 * i], flat[2 * i + 1]])
    const names = ports.map((_, i) => `host-${i}`)
    this.controllers = names.map((name, i) => {
      const controller = new Controller(name, ports[i][0], folder)
      controller.configure(settingsOf(i, names, ports, facts.zones, services, facts))
      return controller
    })
    for (const { name, port } of this.controllers) world.nodes.push({ name, port })
    for (const controller of this.controllers) controller.start()
    await Promise.all(this.controllers.map((controller) => controller.waitUntilReady()))
    this.record.add("all controllers are ready")
  }
  /** Ends every process and listener that the deployment started. */
  async close() {
    await Promise.all((this.controllers ?? []).map((controller) => controller.kill()))
    this.users.close()
    this.cloud.close()
    this.state.close()
    if (process.env.KEEP !== "1") rmSync(this.folder, { recursive: true, force: true })
    else process.stdout.write(`logs in ${this.folder}\n`)
  }

  /** A user's submission; the description is uploaded for the workers first. */
  submit(job) {
    this.world.jobs.set(job.id, job)
    return this.users.submit(job)
  }

  isCounted(piece) {
    return this.countedJobs.size > 0 && this.countedJobs.has(piece.split("/")[0])
  }
  noteStart(worker, { piece, attempt }) {
    const machines = this.running.get(piece) ?? new Set()
    if (this.isCounted(piece)) this.counts.starts++
    else this.record.add(`${worker.machine.id}: starts ${piece} try ${attempt}`)
    this.starts.set(piece, (this.starts.get(piece) ?? 0) + 1)
    this.onStart?.(worker, piece, machines)
    machines.add(worker.machine.id)
    this.running.set(piece, machines)
  }
  noteExit(worker, { piece, attempt, cause }, wasRunning) {
    if (this.isCounted(piece)) this.counts.exits.set(cause, (this.counts.exits.get(cause) ?? 0) + 1)
    else this.record.add(`${worker.machine.id}: ${piece} try ${attempt} exits: ${cause}`)
    this.onExit?.(worker, piece, cause, wasRunning)
    if (wasRunning) this.running.get(piece)?.delete(worker.machine.id)
  }
}

/** A job of one class; `fields` replace some. */
export const job = (number, fields) => ({
  id: `run-${String(number).padStart(6, "0")}`,
  lane: "urgent-reissue",
  owner: "legal-review",
  shape: "batch",
  urgency: "high",
  pieces: 1,
  cores: 4,
  accelerators: 0,
  mem_gb: 7.4,
  bundle: "img-01",
  image_gb: 0.2,
  builds: null,
  site: null,
  together: false,
  scatter: false,
  loaners: true,
  expected_s: 10,
  snapshot_s: 0,
  flush_s: 0,
  due_s: 60,
  ...fields,
})
