/**
 * Messages between controllers, and their codec. Controllers of the former and the present version talk
 * to each other while they are replaced one by one, so kinds and bodies keep the names that they had.
 */
import type { MachineDemand, QuotaDemand, ShardDemand, TaskShape, TeamClaim } from "@sorreltally/planner"
import type {
  Address,
  AgentEpoch,
  ImageName,
  JobId,
  MachineId,
  MachineTypeName,
  ModRevision,
  SequenceNumber,
  ShardName,
  TeamName,
  ZoneName,
} from "@sorreltally/protocol"
import { decodeRecord, type Entry, encodeRecord, type JobEnd } from "@sorreltally/store"
import type { MachineHandoff } from "@sorreltally/workers"
import {
  type CommandResults,
  type ForwardedCommands,
  type ForwardedHeartbeats,
  type ForwardedReplies,
  type PackedCommands,
  type PackedHeartbeats,
  type PackedReplies,
  type PackedResults,
  packCommands,
  packHeartbeats,
  packReplies,
  packResults,
  unpackCommands,
  unpackHeartbeats,
  unpackReplies,
  unpackResults,
} from "./codec-heartbeats.ts"

/** A machine of the cloud's list, as far as every node needs to know it. */
export interface ListedMachineState {
  readonly id: MachineId
  readonly status: string
  readonly zone: ZoneName
}
/** The cloud's list, as the leader publishes it. */
export interface MachineListMessage {
  readonly kind: "machineList"
  readonly machines: ReadonlyArray<ListedMachineState>
}

/** One node's load, as it publishes it. */
export interface NodeLoad {
  /** It can act for its shards and answer users. */
  readonly healthy: boolean
  /** Writes to the store that it makes a second. */
  readonly writesPerSecond: number
  /** Heartbeats of workers that come to it a second. */
  readonly heartbeatsPerSecond: number
  /** It has more workers than it should answer alone: the others forward their heartbeats to it. */
  readonly sharesHeartbeats: boolean
}
/** One node's load. */
export interface NodeLoadMessage {
  readonly kind: "nodeLoad"
  readonly load: NodeLoad
}

/** A job page that was written: the job's owner should know before the watch brings it. */
export interface JobChangedMessage {
  readonly kind: "jobChanged"
  readonly page: Entry
}

/** What a shard lacks, as its owner publishes it. */
export interface PublishedDemand {
  readonly shard: ShardName
  readonly demand: ShardDemand
}
/** What the sender's shards lack. */
export interface DemandMessage {
  readonly kind: "demand"
  readonly demands: ReadonlyArray<PublishedDemand>
}

/** Machines that moved to a shard of the receiver, and the record that says so. */
export interface MachineHandoffMessage {
  readonly kind: "machineHandoff"
  readonly shard: ShardName
  readonly block: Entry
  readonly machines: ReadonlyArray<{ readonly machineId: MachineId; readonly handoff: MachineHandoff }>
}

/** A job's tasks that are done and that run, for display. */
export interface TaskCounts {
  readonly jobId: JobId
  readonly done: number
  readonly running: number
}
/** How far the sender's jobs are, and which have ended. */
export interface JobProgressMessage {
  readonly kind: "jobProgress"
  readonly counts: ReadonlyArray<TaskCounts>
  readonly ends: ReadonlyArray<JobEnd>
}

/** All that controllers tell one another. None is answered, and each may be lost, late or repeated. */
export type PeerMessage =
  | ForwardedHeartbeats
  | ForwardedReplies
  | ForwardedCommands
  | CommandResults
  | MachineListMessage
  | NodeLoadMessage
  | JobChangedMessage
  | DemandMessage
  | MachineHandoffMessage
  | JobProgressMessage

/** A message as a frame carries it. */
export interface EncodedMessage {
  readonly kind: string
  readonly body: unknown
}

// --- bodies' forms --------------------------------------------------------------

type WireListedState = readonly [MachineId, status: string, ZoneName]
interface WireNodeLoad {
  readonly well: boolean
  readonly changes: number
  readonly reports: number
  readonly sharesReports: boolean
}
interface WireEntry {
  readonly path: string
  readonly v: unknown
  readonly stamp: ModRevision
}
interface WireTaskShape {
  readonly cores: number
  readonly accelerators: number
  readonly mem_gb: number
  readonly builds: ReadonlyArray<MachineTypeName> | null
  readonly site: ZoneName | null
  readonly loaners: boolean
  readonly together: boolean
  readonly scatter: boolean
  readonly bundle: ImageName
}
interface WireMachineDemand {
  readonly part: ShardName
  readonly shape: WireTaskShape
  readonly rank: number
  readonly tasks: number
  readonly pressing: number
  readonly since: number
}
interface WireQuotaDemand {
  readonly part: ShardName
  readonly team: TeamName
  readonly rank: number
  readonly since: number
}
interface WireTeamClaim {
  readonly part: ShardName
  readonly team: TeamName
  readonly cpus: number
  readonly gpus: number
}
interface WireDemand {
  readonly part: ShardName
  readonly wants: {
    readonly needs: ReadonlyArray<WireMachineDemand>
    readonly quotas: ReadonlyArray<WireQuotaDemand>
    readonly claims: ReadonlyArray<WireTeamClaim>
  }
}
interface WireHandoff {
  readonly address: Address
  readonly tenure: AgentEpoch
  readonly tick: SequenceNumber
  readonly silentMs: number
  readonly images: ReadonlyArray<readonly [ImageName, gb: number]>
}
interface WireMachines {
  readonly part: ShardName
  readonly block: WireEntry
  readonly machines: ReadonlyArray<readonly [MachineId, WireHandoff]>
}
interface WireProgress {
  readonly counts: ReadonlyArray<readonly [JobId, done: number, running: number]>
  readonly ends: ReadonlyArray<readonly [JobId, "done" | "withdrawn"]>
}

// --- codecs ---------------------------------------------------------------------

const encodeEntry = ({ key, value, modRevision }: Entry): WireEntry => ({
  path: key,
  v: encodeRecord(key, value),
  stamp: modRevision,
})
const decodeEntry = ({ path, v, stamp }: WireEntry): Entry => ({
  key: path,
  value: decodeRecord(path, v),
  modRevision: stamp,
})

const encodeLoad = (load: NodeLoad): WireNodeLoad => ({
  well: load.healthy,
  changes: load.writesPerSecond,
  reports: load.heartbeatsPerSecond,
  sharesReports: load.sharesHeartbeats,
})
const decodeLoad = (wire: WireNodeLoad): NodeLoad => ({
  healthy: wire.well,
  writesPerSecond: wire.changes,
  heartbeatsPerSecond: wire.reports,
  sharesHeartbeats: wire.sharesReports,
})

const encodeShape = (shape: TaskShape): WireTaskShape => ({
  cores: shape.cores,
  accelerators: shape.accelerators,
  mem_gb: shape.memGb,
  builds: shape.machineTypes ?? null,
  site: shape.zone ?? null,
  loaners: shape.spotAllowed,
  together: shape.singleZone,
  scatter: shape.spreadZones,
  bundle: shape.image,
})
const decodeShape = (wire: WireTaskShape): TaskShape => ({
  cores: wire.cores,
  accelerators: wire.accelerators,
  memGb: wire.mem_gb,
  machineTypes: wire.builds,
  zone: wire.site,
  spotAllowed: wire.loaners,
  singleZone: wire.together,
  spreadZones: wire.scatter,
  image: wire.bundle,
})
const encodeMachineDemand = ({ shard, shape, ...demand }: MachineDemand): WireMachineDemand => ({
  part: shard,
  shape: encodeShape(shape),
  rank: demand.rank,
  tasks: demand.tasks,
  pressing: demand.pressing,
  since: demand.since,
})
const decodeMachineDemand = ({ part, shape, ...demand }: WireMachineDemand): MachineDemand => ({
  shard: part,
  shape: decodeShape(shape),
  ...demand,
})
const encodeQuotaDemand = ({ shard, team, rank, since }: QuotaDemand): WireQuotaDemand => ({
  part: shard,
  team,
  rank,
  since,
})
const decodeQuotaDemand = ({ part, ...demand }: WireQuotaDemand): QuotaDemand => ({ shard: part, ...demand })
const encodeClaim = ({ shard, team, cpus, gpus }: TeamClaim): WireTeamClaim => ({
  part: shard,
  team,
  cpus,
  gpus,
})
const decodeClaim = ({ part, ...claim }: WireTeamClaim): TeamClaim => ({ shard: part, ...claim })
const encodeDemand = ({ shard, demand }: PublishedDemand): WireDemand => ({
  part: shard,
  wants: {
    needs: demand.machines.map(encodeMachineDemand),
    quotas: demand.quotas.map(encodeQuotaDemand),
    claims: demand.claims.map(encodeClaim),
  },
})
const decodeDemand = ({ part, wants }: WireDemand): PublishedDemand => ({
  shard: part,
  demand: {
    machines: wants.needs.map(decodeMachineDemand),
    quotas: wants.quotas.map(decodeQuotaDemand),
    claims: wants.claims.map(decodeClaim),
  },
})

const encodeHandoff = (handoff: MachineHandoff): WireHandoff => ({
  address: handoff.address,
  tenure: handoff.agentEpoch,
  tick: handoff.sequence,
  silentMs: handoff.silentMs,
  images: handoff.images,
})
const decodeHandoff = (wire: WireHandoff): MachineHandoff => ({
  address: wire.address,
  agentEpoch: wire.tenure,
  sequence: wire.tick,
  silentMs: wire.silentMs,
  images: wire.images,
})

/** The kind and body that a frame carries for a message. */
export const encodeMessage = (message: PeerMessage): EncodedMessage => {
  switch (message.kind) {
    case "heartbeats":
      return { kind: "reports", body: packHeartbeats(message) }
    case "heartbeatReplies":
      return { kind: "answers", body: packReplies(message) }
    case "commands":
      return { kind: "commands", body: packCommands(message) }
    case "commandResults":
      return { kind: "replies", body: packResults(message) }
    case "machineList":
      return {
        kind: "list",
        body: message.machines.map(({ id, status, zone }): WireListedState => [id, status, zone]),
      }
    case "nodeLoad":
      return { kind: "load", body: encodeLoad(message.load) }
    case "jobChanged":
      return { kind: "job", body: encodeEntry(message.page) }
    case "demand":
      return { kind: "wants", body: message.demands.map(encodeDemand) }
    case "machineHandoff": {
      const { shard, block, machines } = message
      const body: WireMachines = {
        part: shard,
        block: encodeEntry(block),
        machines: machines.map(({ machineId, handoff }) => [machineId, encodeHandoff(handoff)]),
      }
      return { kind: "machines", body }
    }
    case "jobProgress": {
      const body: WireProgress = {
        counts: message.counts.map(({ jobId, done, running }) => [jobId, done, running]),
        ends: message.ends.map(({ id, status }) => [id, status === "done" ? "done" : "withdrawn"]),
      }
      return { kind: "counts", body }
    }
  }
}

const decodeProgress = ({ counts, ends }: WireProgress): JobProgressMessage => ({
  kind: "jobProgress",
  counts: counts.map(([jobId, done, running]) => ({ jobId, done, running })),
  ends: ends.map(([id, status]) => ({ id, status: status === "done" ? "done" : "cancelled" })),
})
const decodeHandoffs = ({ part, block, machines }: WireMachines): MachineHandoffMessage => ({
  kind: "machineHandoff",
  shard: part,
  block: decodeEntry(block),
  machines: machines.map(([machineId, handoff]) => ({ machineId, handoff: decodeHandoff(handoff) })),
})

/** Decoders by the kind that a frame names; bodies come from controllers of this program alone. */
const decoders: Readonly<Record<string, (body: never) => PeerMessage>> = {
  reports: (body: PackedHeartbeats) => unpackHeartbeats(body),
  answers: (body: PackedReplies) => unpackReplies(body),
  commands: (body: PackedCommands) => unpackCommands(body),
  replies: (body: PackedResults) => unpackResults(body),
  list: (body: ReadonlyArray<WireListedState>) => ({
    kind: "machineList",
    machines: body.map(([id, status, zone]) => ({ id, status, zone })),
  }),
  load: (body: WireNodeLoad) => ({ kind: "nodeLoad", load: decodeLoad(body) }),
  job: (body: WireEntry) => ({ kind: "jobChanged", page: decodeEntry(body) }),
  wants: (body: ReadonlyArray<WireDemand>) => ({ kind: "demand", demands: body.map(decodeDemand) }),
  machines: decodeHandoffs,
  counts: decodeProgress,
}

/** The message that a frame carries; null for a kind of a later version. */
export const decodeMessage = ({ kind, body }: EncodedMessage): PeerMessage | null => {
  const decode = Object.hasOwn(decoders, kind) ? decoders[kind] : undefined
  return decode === undefined ? null : decode(body as never)
}
