/**
 * Measures what a deployment of real controller processes uses: `npm run measure`. The stand-ins of the
 * state service, the cloud, the workers and the users run in this process, in real time, on loopback.
 *
 *     node target/measure.js FOLDER [--seconds N] [--load NAME] [--scale N] [--filling] [--allocation] [--quick]
 *     node target/measure.js FOLDER --old FILE [--load NAME] [--scale N]
 *
 * `--filling` profiles the filling of an empty deployment too, `--allocation` adds a profile of allocated
 * bytes, and `--quick` leaves out the loss of the leader and of all controllers.
 * `--old` measures nothing: it replaces controllers of another build, the bundle FILE, by this one and lets both
 * serve together (version-replacement.ts). Exit code 1 if a check fails.
 *
 * Prints processor time and memory by node in each phase, what was asked of the nodes meanwhile, and for a
 * profiled phase the share of each concern. The profiles stay in FOLDER, to be opened in a browser's tools.
 */
import { mkdirSync, readFileSync } from "node:fs"
import { parseArgs } from "node:util"
import type { NodeName, TeamName, WireMachineType } from "@sorreltally/protocol"
import { NO_LIMIT } from "@sorreltally/settings"
import { Invariants } from "../invariants/invariants.ts"
import { Cloud } from "../services/cloud.ts"
import { StateService } from "../services/state-service.ts"
import { Users } from "../services/users.ts"
import { jobRequest, machineTypeOffer } from "../services/wire-builders.ts"
import { LoopbackNetwork } from "../simulation/loopback-network.ts"
import { Simulation } from "../simulation/simulation.ts"
import { LOADS, type LoadKind } from "./loads.ts"
import { freePort, MeasuredController, PRESENT_BUILD, runFlags } from "./measured-controllers.ts"
import {
  megabytes,
  type ProfileKind,
  printProfile,
  printTraffic,
  printUsage,
  say,
  secondsOf,
  usages,
} from "./report.ts"
import { replaceVersions } from "./version-replacement.ts"

const NODES = 5
const ZONES = ["a", "b", "c"]
const TURN_MS = 2
const TIMES = { report_s: 5, lease_s: 27, cancel_s: 47 }
const FILL_S = 45
const FAILOVER_S = 12

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: {
    seconds: { type: "string", default: "30" },
    scale: { type: "string", default: "1" },
    allocation: { type: "boolean", default: false },
    filling: { type: "boolean", default: false },
    quick: { type: "boolean", default: false },
    load: { type: "string", default: "mixed" },
    old: { type: "string" },
  },
})
const folder = positionals[0] ?? "target/measure"
const seconds = Number(values.seconds)
const scale = Number(values.scale)
const load = LOADS[values.load]
if (load === undefined) throw new Error(`--load is one of ${Object.keys(LOADS).join(", ")}`)
mkdirSync(folder, { recursive: true })

const machineType = (name: string, cores: number, hourly: number): WireMachineType =>
  machineTypeOffer({
    name,
    cores,
    mem_gb: cores * 4,
    cache_gb: 60,
    hourly,
    spot_price: hourly / 5,
    sites: ZONES,
  })
const types = [machineType("small", 8, 0.6), machineType("large", 32, 3)]
const teams = ["red", "blue"].map((name) => ({
  name,
  cpus: 5_000 * scale,
  cpus_max: 25_000 * scale,
  gpus: 0,
  gpus_max: NO_LIMIT,
}))
const invariantTeams = teams.map(({ name, cpus, cpus_max, gpus, gpus_max }) => ({
  name: name as TeamName,
  cpus,
  maxCpus: cpus_max,
  gpus,
  maxGpus: gpus_max,
}))
const limits = { rps: 150, write_rps: 15, value_kb: 8, txn_ops: 8 }

const simulation = new Simulation(1)
const network = new LoopbackNetwork(simulation)
const invariants = new Invariants(simulation, invariantTeams, types, TIMES.cancel_s)
const names = Array.from({ length: NODES }, (_, i) => `host-${i}` as NodeName)
new StateService(simulation, network, limits)
const cloud = new Cloud(simulation, network, invariants, {
  types,
  capacity: 300 * scale,
  listLagMs: 3_000,
  nodes: names,
  times: TIMES,
  neverBoots: 0,
  bootWithinMs: null,
})
const users = new Users(simulation, network, invariants.users, names)

const began = performance.now()
setInterval(() => simulation.runUntil(performance.now() - began), TURN_MS)
const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms))

const makeControllers = async (): Promise<ReadonlyArray<MeasuredController>> => {
  const flags = runFlags("deploy/service.toml")
  const ports: Array<readonly [number, number]> = []
  for (const name of names) {
    ports.push([await freePort(), await freePort()])
    network.setPort(name, ports.at(-1)![0])
  }
  const address = (port: number) => `127.0.0.1:${port}`
  return names.map((name, i) => {
    const [listen, back] = ports[i]!
    const settings = {
      node_name: name,
      area: ZONES[i % ZONES.length],
      listen: address(listen),
      back: address(back),
      peers: names.flatMap((peer, j) =>
        j === i ? [] : [{ node_name: peer, area: ZONES[j % ZONES.length], peer_addr: address(ports[j]![1]) }],
      ),
      outside: { cloud: address(network.portOf("cloud")), state: address(network.portOf("state")) },
      facts: {
        nodes: NODES,
        zones: ZONES,
        teams,
        objectives: [{ kind: "wait", class: "bulk", within_s: 70, share: 0.9 }],
        workers: { ...TIMES, gang_wait_s: 40, gang_peer_s: 6 },
        state: limits,
        cloud: { rps: 6, list_lag_s: 3 },
        machine_limits: { cores: 0.1, mem_mb: 204, fd_limit: 2_500 },
        time_bound_ms: 1_000,
      },
    }
    return new MeasuredController(name, listen, settings, folder, flags)
  })
}

let jobs = 0
const submit = (kind: LoadKind): void => {
  const id = `run-${String(++jobs).padStart(6, "0")}`
  users.submit(
    jobRequest(id, {
      lane: kind.jobClass,
      owner: kind.team,
      urgency: kind.isUrgent ? "high" : "standard",
      pieces: kind.taskCount,
      cores: kind.cores,
      mem_gb: kind.cores,
      bundle: `img-${jobs % 12}`,
      expected_s: kind.run,
      due_s: kind.due,
    }),
  )
}
let isSubmitting = true
const keepSubmitting = (kind: LoadKind): void => {
  if (!isSubmitting) return
  submit(kind)
  simulation.after(60_000 / (kind.perMinute * scale), () => keepSubmitting(kind))
}

const beginProfiles = (nodes: ReadonlyArray<MeasuredController>, of: ProfileKind): Promise<unknown> =>
  Promise.all(nodes.map((node) => node.ask({ kind: "profile", of })))

/** Ends the nodes' profiles, and prints those of some of them. */
const finishProfiles = async (
  name: string,
  nodes: ReadonlyArray<MeasuredController>,
  of: ProfileKind,
  printed: ReadonlyArray<MeasuredController>,
): Promise<void> => {
  for (const node of nodes) {
    const file = `${folder}/${name}-${node.name}.${of === "processor" ? "cpuprofile" : "heapprofile"}`
    await node.ask({ kind: "finish", file })
    if (printed.includes(node)) printProfile(`${name}, ${node.name}, ${of}`, readFileSync(file, "utf8"), of)
  }
}
const profiled = async (
  name: string,
  nodes: ReadonlyArray<MeasuredController>,
  of: ProfileKind,
  ms: number,
): Promise<void> => {
  await beginProfiles(nodes, of)
  await pause(ms)
  await finishProfiles(name, nodes, of, nodes)
}

const phase = async (
  name: string,
  nodes: ReadonlyArray<MeasuredController>,
  work: () => Promise<unknown>,
): Promise<void> => {
  const before = await usages(nodes)
  const at = performance.now()
  network.traffic.clear()
  await work()
  const tookMs = performance.now() - at
  say(`${name}, ${secondsOf(tookMs)} s, ${cloud.machines.size} machines, ${users.jobs.length} jobs:`)
  printUsage(nodes, before, await usages(nodes), tookMs)
  printTraffic(network, tookMs)
}
const startAll = async (
  name: string,
  nodes: ReadonlyArray<MeasuredController>,
  program = PRESENT_BUILD,
): Promise<void> => {
  const at = performance.now()
  for (const node of nodes) node.start(program)
  const spent = await Promise.all(
    nodes.map(async (node) => {
      await node.untilReady()
      const { processorMs, resident } = await node.ask({ kind: "usage" })
      return { processorMs, resident, afterMs: performance.now() - at }
    }),
  )
  say(`${name}: from start to /ready`)
  for (const [i, { processorMs, resident, afterMs }] of spent.entries())
    say(
      `  ${nodes[i]!.name}: after ${secondsOf(afterMs)} s, ${secondsOf(processorMs)} s of processor time, ` +
        `${megabytes(resident)} MB resident`,
    )
}

const leaderOf = async (nodes: ReadonlyArray<MeasuredController>): Promise<number> => {
  const used = await usages(nodes)
  return used.reduce((most, is, i) => (is.processorMs > used[most]!.processorMs ? i : most), 0)
}

const submitLoad = (): void => {
  for (const kind of load) {
    for (let i = 0; i < kind.atStart * scale; i++) submit(kind)
    keepSubmitting(kind)
  }
}

const main = async (): Promise<void> => {
  await pause(100)
  const nodes = await makeControllers()
  process.on("SIGINT", () => void Promise.all(nodes.map((node) => node.end())).then(() => process.exit(130)))
  if (values.old !== undefined) {
    const stopSubmitting = () => {
      isSubmitting = false
    }
    const options = { folder, nodes, oldBuild: values.old, users, invariants, startAll }
    const held = await replaceVersions({ ...options, submitJobs: submitLoad, stopSubmitting })
    for (const node of nodes) await node.end()
    network.closeAll()
    process.exit(held ? 0 : 1)
  }
  await startAll("cold start", nodes)
  submitLoad()
  if (values.filling) await beginProfiles(nodes, "processor")
  await phase("filling", nodes, () => pause(1000 * FILL_S))
  const leader = await leaderOf(nodes)
  const other = (leader + 1) % NODES
  const looked = [nodes[leader]!, nodes[other]!]
  say(`the leader is ${nodes[leader]!.name}`)
  if (values.filling) await finishProfiles("filling", nodes, "processor", looked)
  await phase("steady", nodes, () => pause(1000 * seconds))
  await profiled("steady", looked, "processor", 1000 * seconds)
  if (values.allocation) await profiled("steady", looked, "allocation", 1000 * seconds)
  if (!values.quick) {
    await nodes[leader]!.end()
    const left = nodes.filter((_, i) => i !== leader)
    await phase("leader lost", left, () => pause(1000 * FAILOVER_S))
    for (const node of left) await node.end()
    await pause(4_000)
    await startAll("all lost", nodes)
    await phase("after the loss of all", nodes, () => pause(1000 * FAILOVER_S))
  }
  for (const node of nodes) await node.end()
  network.closeAll()
  process.exit(0)
}
await main()
