/**
 * A small deployment: controllers as separate processes, started with the command of the deploy file, and the
 * stand-ins around them. Records what is sent, answered and run.
 */
import { spawn } from "node:child_process"
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs"
import { createServer } from "node:net"
import { tmpdir } from "node:os"
import { dirname, join } from "node:path"
import { Cloud } from "./cloud.mjs"
import { call, LOOPBACK, newAgent, now, pause } from "./http.mjs"
import { State } from "./state.mjs"

export const hasTrouble = process.env.TROUBLE !== "0"
const ROOT = new URL("../../", import.meta.url).pathname

/** Below the range from which outgoing connections usually get theirs, so that none takes it before it is used. */
const PORTS = { first: 12_000, count: 20_000 }
const isFree = (port) =>
  new Promise((resolve) => {
    const server = createServer()
    server.on("error", () => resolve(false))
    server.listen(port, LOOPBACK, () => server.close(() => resolve(true)))
  })
const freePort = async () => {
  for (;;) {
    const port = PORTS.first + Math.floor(Math.random() * PORTS.count)
    if (await isFree(port)) return port
  }
}

export class Deployment {
  constructor(options) {
    this.options = options
    this.times = options.workers
    this.nodes = []
    this.jobs = new Map()
    this.done = new Set()
    /** Where each task is now: piece to machine id. */
    this.places = new Map()
    this.cancelledAt = new Map()
    this.violations = []
    this.lines = []
    this.agent = newAgent()
    this.processes = new Map()
    this.folder = mkdtempSync(join(tmpdir(), "sorreltally-case-"))
    this.state = new State(options.state, options.firstEpoch ?? 0)
    this.cloud = new Cloud(this, options.cloud)
    this.startedCount = 0
    this.durationMs = (task) => task.job.expected_s * 1000
    process.on("exit", () => this.killAll())
    Deployment.current = this
  }
  record(what, fields = {}) {
    this.lines.push(`${(now() / 1000).toFixed(3)} ${what} ${JSON.stringify(fields)}`)
  }
  violation(rule, fields) {
    this.violations.push(rule)
    this.record(`BROKEN ${rule}`, fields)
  }

  async start() {
    const { nodeCount, zones, teams, workers, state, cloud, objectives = [] } = this.options
    const cloudPort = await this.cloud.open()
    for (let i = 0; i < nodeCount; i++) {
      const name = `host-${i}`
      this.nodes.push({
        name,
        port: await freePort(),
        back: await freePort(),
        state: await this.state.open(name),
      })
    }
    for (const [i, node] of this.nodes.entries()) {
      const settings = {
        node_name: node.name,
        area: zones[i % zones.length],
        listen: `${LOOPBACK}:${node.port}`,
        back: `${LOOPBACK}:${node.back}`,
        peers: this.nodes.flatMap((peer, j) =>
          j === i
            ? []
            : [
                {
                  node_name: peer.name,
                  area: zones[j % zones.length],
                  peer_addr: `${LOOPBACK}:${peer.back}`,
                },
              ],
        ),
        outside: { cloud: `${LOOPBACK}:${cloudPort}`, state: `${LOOPBACK}:${node.state}` },
        facts: {
          nodes: nodeCount,
          zones,
          teams,
          objectives,
          workers: { ...workers, gang_wait_s: 40, gang_peer_s: 6 },
          state,
          cloud: { rps: 6, list_lag_s: cloud.lagS },
          machine_limits: { cores: 0.34, mem_mb: 306, fd_limit: 2_500 },
          time_bound_ms: 1_000,
        },
      }
      node.file = join(this.folder, `${node.name}.json`)
      writeFileSync(node.file, JSON.stringify(settings))
      this.startController(i)
    }
    for (const node of this.nodes) await this.untilReady(node)
    this.record("all controllers ready")
  }
  startController(i) {
    const present = this.processes.get(i)
    if (present !== undefined && present.exitCode === null && present.signalCode === null) return
    const run = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, "deploy/service.toml"), "utf8"))[1]
    const [program, ...args] = run.split(" ")
    const node = this.nodes[i]
    const log = openSync(join(this.folder, `${node.name}.log`), "a")
    const child = spawn(program === "node" ? process.execPath : program, [...args, node.file], {
      cwd: ROOT,
      stdio: ["ignore", "ignore", log],
    })
    this.processes.set(i, child)
    child.on("exit", (code, signal) => this.record("controller ended", { node: node.name, code, signal }))
    this.record("controller started", { node: node.name })
  }
  async untilReady(node) {
    for (let i = 0; i < 300; i++) {
      const answer = await call(node.port, "GET", "/ready", undefined, { timeoutMs: 1_000 })
      if (answer?.status === 200) return
      await pause(100)
    }
    throw new Error(`${node.name} does not become ready`)
  }
  signal(i, name) {
    this.record("signal", { node: this.nodes[i].name, signal: name })
    this.processes.get(i).kill(name)
  }
  /** Name of the owner of a shard according to the state service, which also tells operators. */
  ownerOf(shard) {
    return this.state.keys.get(`s/part/${shard}`)?.v.owner ?? null
  }
  indexOf(name) {
    return this.nodes.findIndex((node) => node.name === name)
  }
  killAll() {
    for (const child of this.processes.values()) child.kill("SIGKILL")
  }

  // --- users ---
  job(id, fields = {}) {
    return {
      id,
      lane: "batch",
      owner: this.options.teams[0].name,
      shape: "batch",
      urgency: "standard",
      pieces: 1,
      cores: 1,
      accelerators: 0,
      mem_gb: 1,
      bundle: "img",
      image_gb: 0.01,
      builds: null,
      site: null,
      together: false,
      scatter: false,
      loaners: true,
      expected_s: 5,
      snapshot_s: 0,
      flush_s: 0,
      due_s: null,
      ...fields,
    }
  }
  async ask(node, method, path, body, timeoutMs = 5_000) {
    const answer = await call(this.nodes[node].port, method, path, body, { timeoutMs, agent: this.agent })
    this.record(`${method} ${path}`, { node, status: answer?.status ?? null, body: answer?.body ?? null })
    return answer
  }
  /** Submits until it is accepted, as the pages say: again after a second, for a minute. */
  async submit(job, node = 0) {
    this.jobs.set(job.id, job)
    for (let i = 0; i < 30; i++) {
      const answer = await this.ask((node + i) % this.nodes.length, "POST", "/v1/jobs", job)
      if (answer !== null && [200, 201, 400, 422].includes(answer.status)) return answer
      await pause(1_000)
    }
    return null
  }
  async cancel(id, node = 0, seconds = 30) {
    const until = now() + seconds * 1000
    for (let i = 0; now() < until; i++) {
      const answer = await this.ask((node + i) % this.nodes.length, "POST", `/v1/jobs/${id}/cancel`)
      if (answer?.status === 200) {
        if (answer.body.status === "withdrawn") this.cancelledAt.set(id, now())
        return answer
      }
      await pause(1_000)
    }
    return null
  }

  // --- what workers report of their tasks ---
  isDone(piece) {
    return this.done.has(piece)
  }
  taskStarted(worker, { piece, jobId, attempt }) {
    this.startedCount++
    const elsewhere = this.places.get(piece)
    this.record("task starts", { piece, attempt, machine: worker.id })
    if (elsewhere !== undefined && elsewhere !== worker.id)
      this.violation("ran_twice", { piece, machines: [elsewhere, worker.id] })
    this.places.set(piece, worker.id)
    const cancelledAt = this.cancelledAt.get(jobId)
    if (cancelledAt !== undefined && now() - cancelledAt > this.times.cancel_s * 1000)
      this.violation("ran_cancelled", { piece, machine: worker.id, afterS: (now() - cancelledAt) / 1000 })
  }
  taskDone({ piece }) {
    this.done.add(piece)
  }
  taskEnded(worker, { piece }, reason) {
    this.record("task ends", { piece, machine: worker.id, reason })
    if (this.places.get(piece) === worker.id) this.places.delete(piece)
  }

  /** Writes `record.txt` beside the script that runs. */
  writeRecord() {
    writeFileSync(join(dirname(process.argv[1]), "record.txt"), `${this.lines.join("\n")}\n`)
  }
  /** Ends everything and exits: 1 if a rule was broken, 0 if not. */
  finish(summary) {
    this.killAll()
    const broken = this.violations.length > 0
    this.record(broken ? "RESULT broken" : "RESULT held", summary)
    this.writeRecord()
    if (process.env.KEEP === undefined) rmSync(this.folder, { recursive: true, force: true })
    else process.stderr.write(`${this.folder}\n`)
    process.stdout.write(`${this.lines.at(-1)}\n`)
    process.exit(broken ? 1 : 0)
  }
}

/** Runs a case; an error, or a case that takes too long, means that it could not run (2). */
export const runCase = (main) => {
  const fail = (cause) => {
    process.stderr.write(`${cause.stack ?? cause}\n`)
    Deployment.current?.writeRecord()
    process.exit(2)
  }
  setTimeout(() => fail(new Error("the case takes too long")), 117_000)
  main().catch(fail)
}

export const machineType = (name, cores, fields = {}) => ({
  name,
  cores,
  accelerators: 0,
  mem_gb: cores * 4,
  cache_gb: 60,
  pull_gb_per_s: 0.2,
  hourly: 0.6,
  spot_price: 0.12,
  startup_s: 3,
  sites: ["a", "b", "c"],
  ...fields,
})
export const smallDeployment = (fields = {}) => ({
  nodeCount: 3,
  zones: ["a", "b", "c"],
  teams: [{ name: "desk", cpus: 128, cpus_max: 384, gpus: 0, gpus_max: 0 }],
  workers: { report_s: 3, lease_s: 27, cancel_s: 47 },
  state: { rps: 150, write_rps: 15, value_kb: 8, txn_ops: 8 },
  cloud: { types: [machineType("desk-box", 8)], lagS: 3, rps: 6, capacity: 28 },
  ...fields,
})
