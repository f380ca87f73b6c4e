/**
 * Codec of the messages between controllers. Controllers of the former and the present version send messages
 * to each other while they are replaced one by one, so kinds and bodies keep the names that they had.
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
import { decodeRecord, type Entry, encodeRecord, type StoreKey } from "@sorreltally/store"
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
  readonly path: StoreKey<unknown>
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
