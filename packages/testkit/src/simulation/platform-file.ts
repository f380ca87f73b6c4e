/**
 * Settings files of the controllers of a simulated deployment, and the machine
 * types of its cloud. Names are those of the settings file.
 */
import type { NodeName, WireMachineType } from "@sorreltally/protocol"
import {
  NO_LIMIT,
  type Platform,
  platformFromWire,
  type Team,
  teamFromWire,
  type WirePlatform,
} from "@sorreltally/settings"
import { machineTypeOffer } from "../services/wire-builders.ts"
import type { DeploymentSetup } from "./deployment.ts"

/** Default setup of scenarios. */
export const defaultSetup: DeploymentSetup = {
  seed: 1,
  nodes: 3,
  zones: ["a", "b"],
  capacity: 6,
  neverBoots: 0,
  teamMax: 64,
  stateRps: 200,
  stateWrites: 60,
  sockets: 2500,
  cores: 0.4,
  processorShare: null,
  workers: { report_s: 3, lease_s: 27, cancel_s: 47 },
}

const announcement = (next: DeploymentSetup["stateNext"]) => {
  if (next == null) return {}
  const [valueKb, txnOps, writeRps, rps] = next
  return { next: { value_kb: valueKb, txn_ops: txnOps, write_rps: writeRps, rps } }
}

/** The settings file of one controller. */
export const platformFileOf = (
  setup: DeploymentSetup,
  names: ReadonlyArray<NodeName>,
  index: number,
): WirePlatform => {
  const { zones, teamMax, stateRps, stateWrites, stateNext, sockets, cores } = setup
  const peers = names
    .filter((_, i) => i !== index)
    .map((name) => ({ node_name: name, area: zones[0]!, peer_addr: `${name}:1` }))
  return {
    node_name: names[index]!,
    area: zones[index % zones.length]!,
    listen: `${names[index]}:80`,
    back: `${names[index]}:1`,
    peers,
    outside: { cloud: "cloud:1", state: "state:1" },
    facts: {
      zones,
      teams: [
        { name: "red", cpus: teamMax / 2, cpus_max: teamMax, gpus: 0, gpus_max: 0 },
        { name: "blue", cpus: teamMax / 2, cpus_max: teamMax, gpus: 0, gpus_max: 0 },
        { name: "guest", cpus: 0, cpus_max: NO_LIMIT, gpus: 0, gpus_max: NO_LIMIT },
      ],
      objectives: [{ kind: "wait", class: "bulk", within_s: 60, share: 0.9 }],
      workers: setup.workers,
      state: { rps: stateRps, write_rps: stateWrites, value_kb: 4, txn_ops: 8, ...announcement(stateNext) },
      cloud: { rps: 6, list_lag_s: 3 },
      machine_limits: { cores, mem_mb: 300, fd_limit: sockets },
      time_bound_ms: 1000,
    },
  } as unknown as WirePlatform
}
/** Decodes a settings file. A limit of 0 means 0, as teams have no GPUs; only the guests have no limits. */
export const platformOf = (file: WirePlatform): Platform => {
  const platform = platformFromWire(file)
  const teams = file.facts.teams.map(({ name, cpus, cpus_max, gpus, gpus_max }): Team => {
    if (name === "guest") return teamFromWire({ name, cpus: 0, cpus_max: 0 })
    return { name, cpus: cpus!, maxCpus: cpus_max!, gpus: gpus!, maxGpus: gpus_max! }
  })
  return { ...platform, deployment: { ...platform.deployment, teams } }
}

/** A small and a large machine type that are offered in all zones. */
export const machineTypesIn = (sites: ReadonlyArray<string>): ReadonlyArray<WireMachineType> => [
  machineTypeOffer({ name: "small", cores: 8, mem_gb: 32, hourly: 0.6, spot_price: 0.12, sites }),
  machineTypeOffer({
    name: "large",
    cores: 32,
    mem_gb: 128,
    hourly: 3,
    spot_price: 0.6,
    startup_s: 12,
    sites,
  }),
]
