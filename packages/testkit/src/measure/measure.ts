/**
 * Measures the resource usage of a deployment of real controller processes: `npm run measure`. The simulated
 * state service, cloud, workers and users run in this process, in real time, on loopback.
 *
 *     node target/measure.js FOLDER [--seconds N] [--load NAME] [--scale N] [--filling] [--allocation]
 *         [--quick]
 *     node target/measure.js FOLDER --old FILE [--load NAME] [--scale N]
 *
 * `--filling` also profiles the filling of an empty deployment, `--allocation` adds a profile of allocated
 * bytes, and `--quick` leaves out the loss of the leader and of all controllers. `--old` measures nothing: it
 * replaces controllers of another build, the bundle FILE, by those of the current build and lets both serve
 * together (version-replacement.ts). The exit code is 1 if a check fails.
 *
 * Prints processor time and memory of each node and the traffic in each phase, and for a profiled phase the
 * share of each component. The profiles stay in FOLDER and can be opened in the Chrome developer tools.
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
import { CURRENT_BUILD, freePort, MeasuredController, nodeFlags } from "./measured-controllers.ts"
import {
  formatMegabytes,
  formatSeconds,
  type ProfileKind,
  printLine,
  printProfile,
  printTraffic,
  printUsage,
  readUsages,
} from "./report.ts"
import { replaceVersions } from "./version-replacement.ts"

const NODES = 5
const ZONES = ["a", "b", "c"]
const SIMULATION_STEP_MS = 2
const WORKER_SETTINGS = { report_s: 5, lease_s: 27, cancel_s: 47 }
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
const loadKinds = LOADS[values.load]
if (loadKinds === undefined)
  throw new Error(`--load ${values.load}: must be one of ${Object.keys(LOADS).join(", ")}`)
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
const machineTypes = [machineType("small", 8, 0.6), machineType("large", 32, 3)]
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
const storeLimits = { rps: 150, write_rps: 15, value_kb: 8, txn_ops: 8 }

const simulation = new Simulation(1)
const network = new LoopbackNetwork(simulation)
const invariants = new Invariants(simulation, invariantTeams, machineTypes, WORKER_SETTINGS.cancel_s)
const nodeNames = Array.from({ length: NODES }, (_, i) => `host-${i}` as NodeName)
new StateService(simulation, network, storeLimits)
const cloud = new Cloud(simulation, network, invariants, {
  types: machineTypes,
  capacity: 300 * scale,
  listLagMs: 3_000,
  nodes: nodeNames,
  times: WORKER_SETTINGS,
  neverBoots: 0,
  bootWithinMs: null,
})
const users = new Users(simulation, network, invariants.users, nodeNames)

const clockStartMs = performance.now()
setInterval(() => simulation.runUntil(performance.now() - clockStartMs), SIMULATION_STEP_MS)
const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms))

const createControllers = async (): Promise<ReadonlyArray<MeasuredController>> => {
  const flags = nodeFlags("deploy/service.toml")
  const ports: Array<readonly [number, number]> = []
  for (const name of nodeNames) {
    ports.push([await freePort(), await freePort()])
    network.setPort(name, ports.at(-1)![0])
  }
  const address = (port: number) => `127.0.0.1:${port}`
  return nodeNames.map((name, i) => {
    const [listen, back] = ports[i]!
    const settings = {
      node_name: name,
      area: ZONES[i % ZONES.length],
      listen: address(listen),
      back: address(back),
      peers: nodeNames.flatMap((peer, j) =>
        j === i ? [] : [{ node_name: peer, area: ZONES[j % ZONES.length], peer_addr: address(ports[j]![1]) }],
      ),
      outside: { cloud: address(network.portOf("cloud")), state: address(network.portOf("state")) },
      facts: {
        nodes: NODES,
        zones: ZONES,
        teams,
        objectives: [{ kind: "wait", class: "bulk", within_s: 70, share: 0.9 }],
        workers: { ...WORKER_SETTINGS, gang_wait_s: 40, gang_peer_s: 6 },
        state: storeLimits,
        cloud: { rps: 6, list_lag_s: 3 },
        machine_limits: { cores: 0.1, mem_mb: 204, fd_limit: 2_500 },
        time_bound_ms: 1_000,
      },
    }
    return new MeasuredController(name, listen, settings, folder, flags)
  })
}

let jobCount = 0
const submit = (kind: LoadKind): void => {
  const id = `run-${String(++jobCount).padStart(6, "0")}`
  users.submit(
    jobRequest(id, {
      lane: kind.jobClass,
      owner: kind.team,
      urgency: kind.isUrgent ? "high" : "standard",
      pieces: kind.taskCount,
      cores: kind.cores,
      mem_gb: kind.cores,
      bundle: `img-${jobCount % 12}`,
      expected_s: kind.durationS,
      due_s: kind.dueS,
    }),
  )
}
let isSubmitting = true
const keepSubmitting = (kind: LoadKind): void => {
  if (!isSubmitting) return
  submit(kind)
  simulation.after(60_000 / (kind.jobsPerMinute * scale), () => keepSubmitting(kind))
}

const startProfiles = (
  nodes: ReadonlyArray<MeasuredController>,
  profileKind: ProfileKind,
): Promise<unknown> => Promise.all(nodes.map((node) => node.askProbe({ kind: "profile", profileKind })))

/** Stops profiling, writes the profiles of all nodes to files, and prints those of the nodes in `printed`. */
const finishProfiles = async (
  name: string,
  nodes: ReadonlyArray<MeasuredController>,
  profileKind: ProfileKind,
  printed: ReadonlyArray<MeasuredController>,
): Promise<void> => {
  for (const node of nodes) {
    const extension = profileKind === "processor" ? "cpuprofile" : "heapprofile"
    const file = `${folder}/${name}-${node.name}.${extension}`
    await node.askProbe({ kind: "finish", file })
    if (printed.includes(node))
      printProfile(`${name}, ${node.name}, ${profileKind}`, readFileSync(file, "utf8"), profileKind)
  }
}
const profileFor = async (
  name: string,
  nodes: ReadonlyArray<MeasuredController>,
  profileKind: ProfileKind,
  ms: number,
): Promise<void> => {
  await startProfiles(nodes, profileKind)
  await pause(ms)
  await finishProfiles(name, nodes, profileKind, nodes)
}

const measurePhase = async (
  name: string,
  nodes: ReadonlyArray<MeasuredController>,
  work: () => Promise<unknown>,
): Promise<void> => {
  const before = await readUsages(nodes)
  const startMs = performance.now()
  network.traffic.clear()
  await work()
  const tookMs = performance.now() - startMs
  printLine(
    `${name}, ${formatSeconds(tookMs)} s, ${cloud.machines.size} machines, ${users.jobs.length} jobs:`,
  )
  printUsage(nodes, before, await readUsages(nodes), tookMs)
  printTraffic(network, tookMs)
}
const startAll = async (
  name: string,
  nodes: ReadonlyArray<MeasuredController>,
  program = CURRENT_BUILD,
): Promise<void> => {
  const startMs = performance.now()
  for (const node of nodes) node.start(program)
  const startups = await Promise.all(
    nodes.map(async (node) => {
      await node.waitUntilReady()
      const { processorMs, residentBytes } = await node.askProbe({ kind: "usage" })
      return { processorMs, residentBytes, afterMs: performance.now() - startMs }
    }),
  )
  printLine(`${name}: from start to /ready`)
  for (const [i, { processorMs, residentBytes, afterMs }] of startups.entries())
    printLine(
      `  ${nodes[i]!.name}: after ${formatSeconds(afterMs)} s, ` +
        `${formatSeconds(processorMs)} s of processor time, ${formatMegabytes(residentBytes)} MB resident`,
    )
}

/** Index of the node that has used the most processor time, which is taken to be the leader. */
const findLeader = async (nodes: ReadonlyArray<MeasuredController>): Promise<number> => {
  const usages = await readUsages(nodes)
  return usages.reduce(
    (busiest, usage, i) => (usage.processorMs > usages[busiest]!.processorMs ? i : busiest),
    0,
  )
}

const submitLoad = (): void => {
  for (const kind of loadKinds) {
    for (let i = 0; i < kind.jobsAtStart * scale; i++) submit(kind)
    keepSubmitting(kind)
  }
}

const main = async (): Promise<void> => {
  await pause(100)
  const nodes = await createControllers()
  process.on("SIGINT", () => void Promise.all(nodes.map((node) => node.kill())).then(() => process.exit(130)))
  if (values.old !== undefined) {
    const stopSubmitting = () => {
      isSubmitting = false
    }
    const options = { folder, nodes, oldBuild: values.old, users, invariants, startAll }
    const allChecksPassed = await replaceVersions({ ...options, submitJobs: submitLoad, stopSubmitting })
    for (const node of nodes) await node.kill()
    network.closeAll()
    process.exit(allChecksPassed ? 0 : 1)
  }
  await startAll("cold start", nodes)
  submitLoad()
  if (values.filling) await startProfiles(nodes, "processor")
  await measurePhase("filling", nodes, () => pause(1000 * FILL_S))
  const leader = await findLeader(nodes)
  const follower = (leader + 1) % NODES
  const profiledNodes = [nodes[leader]!, nodes[follower]!]
  printLine(`the leader is ${nodes[leader]!.name}`)
  if (values.filling) await finishProfiles("filling", nodes, "processor", profiledNodes)
  await measurePhase("steady", nodes, () => pause(1000 * seconds))
  await profileFor("steady", profiledNodes, "processor", 1000 * seconds)
  if (values.allocation) await profileFor("steady", profiledNodes, "allocation", 1000 * seconds)
  if (!values.quick) {
    await nodes[leader]!.kill()
    const remainingNodes = nodes.filter((_, i) => i !== leader)
    await measurePhase("leader lost", remainingNodes, () => pause(1000 * FAILOVER_S))
    for (const node of remainingNodes) await node.kill()
    await pause(4_000)
    await startAll("restart after the loss of all nodes", nodes)
    await measurePhase("after the loss of all nodes", nodes, () => pause(1000 * FAILOVER_S))
  }
  for (const node of nodes) await node.kill()
  network.closeAll()
  process.exit(0)
}
await main()
