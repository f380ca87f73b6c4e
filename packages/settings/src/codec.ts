/**
 * Codec of the platform's settings file (DEPLOY). Field names of the file are used only here and in error
 * messages.
 */
import { Address, NodeName, NonNegative, Positive, TeamName, ZoneName } from "@sorreltally/protocol"
import { Schema } from "effect"
import type { Objective, Platform, StoreLimitSettings, StoreSettings } from "./platform.ts"
import { NO_LIMIT, type Team } from "./teams.ts"

const optionalAmount = Schema.optionalKey(Schema.NullOr(NonNegative))

/** A team. An amount that is 0, null or absent means no guarantee or no limit. */
const WireTeam = Schema.Struct({
  name: TeamName,
  cpus: optionalAmount,
  cpus_max: optionalAmount,
  gpus: optionalAmount,
  gpus_max: optionalAmount,
})
type WireTeam = typeof WireTeam.Type

const WireObjective = Schema.Struct({
  kind: Schema.String,
  class: Schema.optionalKey(Schema.NullOr(Schema.String)),
  within_s: optionalAmount,
  share: optionalAmount,
  times: optionalAmount,
})
type WireObjective = typeof WireObjective.Type

const WireStoreLimits = Schema.Struct({
  rps: Positive,
  write_rps: Positive,
  value_kb: Positive,
  txn_ops: Positive,
})
type WireStoreLimits = typeof WireStoreLimits.Type

const optionalLimit = Schema.optionalKey(Schema.NullOr(Positive))
/** Announced limits of the store. One that is null or absent stays as it is. */
const WireNextStoreLimits = Schema.Struct({
  rps: optionalLimit,
  write_rps: optionalLimit,
  value_kb: optionalLimit,
  txn_ops: optionalLimit,
})
type WireNextStoreLimits = typeof WireNextStoreLimits.Type

const WireStore = Schema.Struct({
  ...WireStoreLimits.fields,
  next: Schema.optionalKey(Schema.NullOr(WireNextStoreLimits)),
})
type WireStore = typeof WireStore.Type

/** Schema of the file. Fields not listed here are ignored. */
export const WirePlatform = Schema.Struct({
  node_name: NodeName,
  area: ZoneName,
  listen: Address,
  back: Address,
  peers: Schema.Array(Schema.Struct({ node_name: NodeName, area: ZoneName, peer_addr: Address })),
  outside: Schema.Struct({ cloud: Address, state: Address }),
  facts: Schema.Struct({
    zones: Schema.Array(ZoneName),
    teams: Schema.Array(WireTeam),
    objectives: Schema.Array(WireObjective),
    workers: Schema.Struct({ report_s: Positive, lease_s: Positive, cancel_s: Positive }),
    state: WireStore,
    cloud: Schema.Struct({ rps: Positive, list_lag_s: NonNegative }),
    machine_limits: Schema.Struct({ cores: Positive, mem_mb: Positive, fd_limit: Positive }),
    time_bound_ms: NonNegative,
  }),
})
/** Decoded content of the file. */
export type WirePlatform = typeof WirePlatform.Type

/** A limit of 0 means no limit: taken literally, it would refuse every job of the team. */
const limitFromWire = (configured: number | null | undefined): number =>
  configured == null || configured === 0 ? NO_LIMIT : configured

/** Converts a team of the file. */
export const teamFromWire = ({ name, cpus, cpus_max, gpus, gpus_max }: WireTeam): Team => ({
  name,
  cpus: cpus ?? 0,
  maxCpus: limitFromWire(cpus_max),
  gpus: gpus ?? 0,
  maxGpus: limitFromWire(gpus_max),
})
const objectiveFromWire = (wire: WireObjective): Objective => ({
  kind: wire.kind,
  jobClass: wire.class ?? null,
  withinS: wire.within_s ?? null,
  share: wire.share ?? null,
  deadlineMultiple: wire.times ?? null,
})

const storeLimitsFromWire = ({ rps, write_rps, value_kb, txn_ops }: WireStoreLimits): StoreLimitSettings => ({
  requestsPerSecond: rps,
  writesPerSecond: write_rps,
  valueKb: value_kb,
  maxOperations: txn_ops,
})
const withNextLimits = (now: WireStoreLimits, next: WireNextStoreLimits): WireStoreLimits => ({
  rps: next.rps ?? now.rps,
  write_rps: next.write_rps ?? now.write_rps,
  value_kb: next.value_kb ?? now.value_kb,
  txn_ops: next.txn_ops ?? now.txn_ops,
})
const storeFromWire = ({ next, ...now }: WireStore): StoreSettings => ({
  ...storeLimitsFromWire(now),
  announced: next == null ? null : storeLimitsFromWire(withNextLimits(now, next)),
})

/** Converts the decoded file to the platform's settings. */
export const platformFromWire = ({ facts, ...wire }: WirePlatform): Platform => ({
  nodeName: wire.node_name,
  zone: wire.area,
  listenAddress: wire.listen,
  peerListenAddress: wire.back,
  peers: wire.peers.map(({ node_name, area, peer_addr }) => ({
    nodeName: node_name,
    zone: area,
    address: peer_addr,
  })),
  services: { cloud: wire.outside.cloud, store: wire.outside.state },
  deployment: {
    zones: facts.zones,
    teams: facts.teams.map(teamFromWire),
    objectives: facts.objectives.map(objectiveFromWire),
    workers: {
      heartbeatIntervalS: facts.workers.report_s,
      leaseS: facts.workers.lease_s,
      cancellationLimitS: facts.workers.cancel_s,
    },
    store: storeFromWire(facts.state),
    cloud: { requestsPerSecond: facts.cloud.rps, listLagS: facts.cloud.list_lag_s },
    machineLimits: {
      cores: facts.machine_limits.cores,
      memoryMb: facts.machine_limits.mem_mb,
      fileDescriptors: facts.machine_limits.fd_limit,
    },
    clockSkewMs: facts.time_bound_ms,
  },
})
