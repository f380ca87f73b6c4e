/**
 * Codec of the messages between controllers. During a rolling upgrade, controllers of the previous and the
 * present version exchange messages, so the kinds and the field names of bodies must not change.
 */
import type {
  Address,
  AgentEpoch,
  ImageName,
  JobId,
  MachineId,
  ModRevision,
  SequenceNumber,
  ShardName,
  ZoneName,
} from "@sorreltally/protocol"
import {
  decodeRecord,
  type Entry,
  encodeRecord,
  type JobPage,
  type MachineBlock,
  type StoreKey,
} from "@sorreltally/store"
import type { MachineHandoff } from "@sorreltally/workers"
import { decodeDemand, encodeDemand, type WireDemand } from "./codec-demand.ts"
import {
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
import type { JobProgressMessage, MachineHandoffMessage, NodeLoad, PeerMessage } from "./messages.ts"

/** Wire form of a message: the kind and body that a frame carries. */
export interface EncodedMessage {
  readonly kind: string
  readonly body: unknown
}

// --- wire forms of bodies -------------------------------------------------------

type WireListedMachine = readonly [MachineId, status: string, ZoneName]
interface WireNodeLoad {
  readonly well: boolean
  readonly changes: number
  readonly reports: number
  readonly sharesReports: boolean
}
interface WireEntry<A = unknown> {
  readonly path: StoreKey<A>
  readonly v: unknown
  readonly stamp: ModRevision
}
interface WireHandoff {
  readonly address: Address
  readonly tenure: AgentEpoch
  readonly tick: SequenceNumber
  readonly silentMs: number
  readonly images: ReadonlyArray<readonly [ImageName, gb: number]>
}
interface WireMachineHandoffs {
  readonly part: ShardName
  readonly block: WireEntry<MachineBlock>
  readonly machines: ReadonlyArray<readonly [MachineId, WireHandoff]>
}
interface WireJobProgress {
  readonly counts: ReadonlyArray<readonly [JobId, done: number, running: number]>
  readonly ends: ReadonlyArray<readonly [JobId, "done" | "withdrawn"]>
}

// --- codecs ---------------------------------------------------------------------

const encodeEntry = <A>({ key, value, modRevision }: Entry<A>): WireEntry<A> => ({
  path: key,
  v: encodeRecord(key, value),
  stamp: modRevision,
})
const decodeEntry = <A>({ path, v, stamp }: WireEntry<A>): Entry<A> => ({
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

/** Encodes a message as its wire kind and body. */
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
        body: message.machines.map(({ id, status, zone }): WireListedMachine => [id, status, zone]),
      }
    case "nodeLoad":
      return { kind: "load", body: encodeLoad(message.load) }
    case "jobChanged":
      return { kind: "job", body: encodeEntry(message.page) }
    case "demand":
      return { kind: "wants", body: message.demands.map(encodeDemand) }
    case "machineHandoff": {
      const { shard, block, machines } = message
      const body: WireMachineHandoffs = {
        part: shard,
        block: encodeEntry(block),
        machines: machines.map(({ machineId, handoff }) => [machineId, encodeHandoff(handoff)]),
      }
      return { kind: "machines", body }
    }
    case "jobProgress": {
      const body: WireJobProgress = {
        counts: message.counts.map(({ jobId, done, running }) => [jobId, done, running]),
        ends: message.ends.map(({ id, status }) => [id, status === "done" ? "done" : "withdrawn"]),
      }
      return { kind: "counts", body }
    }
  }
}

const decodeProgress = ({ counts, ends }: WireJobProgress): JobProgressMessage => ({
  kind: "jobProgress",
  counts: counts.map(([jobId, done, running]) => ({ jobId, done, running })),
  ends: ends.map(([id, status]) => ({ id, status: status === "done" ? "done" : "cancelled" })),
})
const decodeHandoffs = ({ part, block, machines }: WireMachineHandoffs): MachineHandoffMessage => ({
  kind: "machineHandoff",
  shard: part,
  block: decodeEntry(block),
  machines: machines.map(([machineId, handoff]) => ({ machineId, handoff: decodeHandoff(handoff) })),
})

/** Decoders by wire kind. Bodies are not validated, as they come only from controllers. */
const decoders: Readonly<Record<string, (body: never) => PeerMessage>> = {
  reports: (body: PackedHeartbeats) => unpackHeartbeats(body),
  answers: (body: PackedReplies) => unpackReplies(body),
  commands: (body: PackedCommands) => unpackCommands(body),
  replies: (body: PackedResults) => unpackResults(body),
  list: (body: ReadonlyArray<WireListedMachine>) => ({
    kind: "machineList",
    machines: body.map(([id, status, zone]) => ({ id, status, zone })),
  }),
  load: (body: WireNodeLoad) => ({ kind: "nodeLoad", load: decodeLoad(body) }),
  job: (body: WireEntry<JobPage>) => ({ kind: "jobChanged", page: decodeEntry(body) }),
  wants: (body: ReadonlyArray<WireDemand>) => ({ kind: "demand", demands: body.map(decodeDemand) }),
  machines: decodeHandoffs,
  counts: decodeProgress,
}

/** Decodes a message; returns null for an unknown kind, which a later version may send. */
export const decodeMessage = ({ kind, body }: EncodedMessage): PeerMessage | null => {
  const decode = Object.hasOwn(decoders, kind) ? decoders[kind] : undefined
  return decode === undefined ? null : decode(body as never)
}
