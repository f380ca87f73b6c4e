/**
 * Adapter between the golden tests and the codecs of the product, so that a rename in the product changes
 * this file alone. Each `reencode...` function decodes with the decoder of the product, encodes with its
 * encoder where there is one, and returns the resulting text or bytes. For invalid input it throws the
 * message of the decoder.
 */
import {
  archiveFinalStates,
  cancelJob,
  compactPage,
  EMPTY_PAGE,
  JobState,
  type Placement,
  PlacementLedger,
} from "@sorreltally/jobs"
import { decodeMessage, encodeMessage, type Links, makePeerChannel } from "@sorreltally/peers"
import {
  decodeCatalog,
  decodeHeartbeat,
  decodeJobSpec,
  decodeMachinePage,
  decodeRental,
  type JobId,
  jobSpecToWire,
  type Log,
  type ModRevision,
  type MonotonicTime,
  machineTypeToWire,
  type NodeName,
  type ShardName,
} from "@sorreltally/protocol"
import { parseOperators, parsePlatform } from "@sorreltally/settings"
import {
  decodeRecord,
  encodeRecord,
  type JobPage,
  type JobRecord,
  keys,
  type StoreKey,
} from "@sorreltally/store"
import { Effect, Result } from "effect"
import { pack, unpack } from "msgpackr"

/** Decodes a text and encodes the result. */
type RoundTrip = (text: string) => string

const getOrThrow = <A>(result: Result.Result<A, { readonly message: string }>): A => {
  if (Result.isSuccess(result)) return result.success
  throw new Error(result.failure.message)
}

// --- bodies of requests and answers ---------------------------------------------

/** Encodes a worker's heartbeat in the short form in which controllers forward it. */
export const shortHeartbeat = (body: unknown): unknown => {
  const heartbeats = [{ id: 0, heartbeat: getOrThrow(decodeHeartbeat(body)) }]
  const message = encodeMessage({
    kind: "heartbeats",
    senderStartedAt: 0,
    sentAt: 0,
    heartbeats,
    repeats: [],
  })
  const { reports } = message.body as { readonly reports: ReadonlyArray<readonly [number, unknown]> }
  return reports[0]![1]
}
/** Error message of the decoder for a heartbeat; null if it is valid. */
export const heartbeatError = (body: unknown): string | null => {
  const decoded = decodeHeartbeat(body)
  return Result.isSuccess(decoded) ? null : decoded.failure.message
}
/** Decodes a user's submission and encodes it as it is stored. */
export const reencodeSubmission: RoundTrip = (text) =>
  JSON.stringify(jobSpecToWire(getOrThrow(decodeJobSpec(JSON.parse(text)))))

/** Rebuilds a page of the cloud's machine list from its decoded form. */
const reencodeMachinePage: RoundTrip = (text) => {
  const wire = JSON.parse(text) as { readonly hosts: ReadonlyArray<{ readonly address?: string | null }> }
  const { machines, hasMore } = getOrThrow(decodeMachinePage(wire))
  const hosts = machines.map(({ id, machineType, zone, spot, status, ageS }, i) => ({
    id,
    // The decoder ignores the address, as the service does not use it.
    ...("address" in wire.hosts[i]! ? { address: wire.hosts[i]!.address } : {}),
    build: machineType,
    site: zone,
    loaners: spot,
    status,
    held_s: ageS,
  }))
  return JSON.stringify({ hosts, more: hasMore })
}

/** Round trips of the cloud's answers, by kind of request. */
export const cloudAnswerRoundTrips: Record<string, RoundTrip> = {
  "cloud GET /catalog": (text) =>
    JSON.stringify({ builds: getOrThrow(decodeCatalog(JSON.parse(text))).map(machineTypeToWire) }),
  "cloud GET /machines": reencodeMachinePage,
  "cloud POST /machines": (text) => JSON.stringify({ hosts: getOrThrow(decodeRental(JSON.parse(text))) }),
}

// --- stored records ---------------------------------------------------------------

/** The codec depends only on the family of a key; any key of the family serves. */
const JOB_PAGE = keys.jobPage(0, 0)
const ENDS_PAGE = keys.endsPage("part-0" as ShardName, 0)
const ARCHIVE_PAGE = keys.archivePage(0, 0, 0)
const SLOT = keys.slot("part-0" as ShardName, 0)

const reencodeRecord =
  (key: StoreKey<unknown>): RoundTrip =>
  (text) =>
    JSON.stringify(encodeRecord(key, decodeRecord(key, JSON.parse(text))))
const decodeJobPage = (text: string): JobPage => decodeRecord(JOB_PAGE, JSON.parse(text))
const encodeJobPage = (page: JobPage): string => JSON.stringify(encodeRecord(JOB_PAGE, page))
const reencodeJobPage: RoundTrip = (text) => encodeJobPage(compactPage(decodeJobPage(text), () => null))
/** A job page as it is written when all its jobs have ended with the given state. */
export const compactJobPage = (text: string, end: "done" | "withdrawn"): string =>
  encodeJobPage(compactPage(decodeJobPage(text), () => (end === "done" ? "done" : "cancelled")))
/** A job page as it is written when its first job has been cancelled. */
export const cancelFirstJob = (text: string): string => {
  const page = decodeJobPage(text)
  return encodeJobPage(cancelJob(page, page.jobs[0]!.spec.id))
}
/** Moves final states from a job page that holds too many of them to an archive page, and encodes that. */
const reencodeArchivePage: RoundTrip = (text) => {
  const finalStates = decodeRecord(ARCHIVE_PAGE, JSON.parse(text))
  const { archived } = archiveFinalStates({ ...EMPTY_PAGE, ...finalStates }, 0)
  return JSON.stringify(encodeRecord(ARCHIVE_PAGE, archived))
}

const MAX_SLOT_KB = 64
const MAX_JOBS = 1_000
/** A job for the placements and finishes of a slot, with more tasks than they refer to. */
const makeJob = (id: JobId): JobState => {
  const spec = { id, taskCount: 1_000 } as JobRecord["spec"]
  return new JobState(id, { spec, submittedAt: 0, cancelled: false }, JOB_PAGE, 0 as ModRevision)
}
/** Restores a slot of the placement ledger as a new owner does, and writes the same record again. */
const reencodeSlot: RoundTrip = (text) => {
  const record = decodeRecord(SLOT, JSON.parse(text))
  const jobs = new Map<JobId, JobState>()
  const findOrMakeJob = (id: JobId): JobState => {
    const job = jobs.get(id) ?? makeJob(id)
    jobs.set(id, job)
    return job
  }
  new PlacementLedger().restore({
    slot: 0,
    modRevision: 1 as ModRevision,
    record,
    jobOf: findOrMakeJob,
    restoredAt: 0 as MonotonicTime,
  })
  const placements = record.placed.flatMap(
    ({ jobId }): Array<Placement> => [...findOrMakeJob(jobId).placements.values()],
  )
  const jobsWithFinishes = record.finished.map(({ jobId }) => findOrMakeJob(jobId))
  for (const job of jobsWithFinishes)
    for (let index = 0; index < job.taskCount; index++)
      if (job.isFinished(index)) job.unsavedFinishes.add(index)
  const { epoch, number } = record.writeId
  const ledger = new PlacementLedger()
  const request = {
    starts: placements,
    jobsWithFinishes,
    maxJobs: MAX_JOBS,
    valueKb: MAX_SLOT_KB,
    limitsWereLowered: false,
    epoch,
  }
  // Write numbers are consecutive: advances the ledger to the number before that of the record.
  for (let n = 1; n < number; n++) ledger.prepareWrite(request)
  const write = ledger.prepareWrite(request)
  return JSON.stringify(encodeRecord(SLOT, write?.record))
}

/** Round trips of stored values, by kind of key. */
export const recordRoundTrips: Record<string, RoundTrip> = {
  "s/live": reencodeRecord(keys.node("host-0" as NodeName)),
  "s/part": reencodeRecord(keys.shard("part-0" as ShardName)),
  "s/block": reencodeRecord(keys.machineBlock("part-0~small~a~spot", 1)),
  "s/job": reencodeJobPage,
  "s/ends": reencodeRecord(ENDS_PAGE),
  "s/quota": reencodeRecord(keys.quota("red")),
  "s/catalog": reencodeRecord(keys.catalog),
  final: reencodeArchivePage,
  place: reencodeSlot,
}

// --- settings ---------------------------------------------------------------------

/** Parses the platform's settings file and writes it in the same format. */
export const reencodePlatform: RoundTrip = (text) => {
  const platform = getOrThrow(parsePlatform(text, "settings.json"))
  const { deployment } = platform
  const { workers, store, cloud, machineLimits } = deployment
  return JSON.stringify({
    node_name: platform.nodeName,
    area: platform.zone,
    listen: platform.listenAddress,
    back: platform.peerListenAddress,
    peers: platform.peers.map(({ nodeName, zone, address }) => ({
      node_name: nodeName,
      area: zone,
      peer_addr: address,
    })),
    outside: { cloud: platform.services.cloud, state: platform.services.store },
    facts: {
      zones: deployment.zones,
      teams: deployment.teams.map(({ name, cpus, maxCpus, gpus, maxGpus }) => ({
        name,
        cpus,
        cpus_max: maxCpus,
        gpus,
        gpus_max: maxGpus,
      })),
      objectives: deployment.objectives.map(({ kind, jobClass, withinS, share }) => ({
        kind,
        class: jobClass,
        within_s: withinS,
        share,
      })),
      workers: {
        report_s: workers.heartbeatIntervalS,
        lease_s: workers.leaseS,
        cancel_s: workers.cancellationLimitS,
      },
      state: {
        rps: store.requestsPerSecond,
        write_rps: store.writesPerSecond,
        value_kb: store.valueKb,
        txn_ops: store.maxOperations,
      },
      cloud: { rps: cloud.requestsPerSecond, list_lag_s: cloud.listLagS },
      machine_limits: {
        cores: machineLimits.cores,
        mem_mb: machineLimits.memoryMb,
        fd_limit: machineLimits.fileDescriptors,
      },
      time_bound_ms: deployment.clockSkewMs,
    },
  })
}
/** All settings of an operators' file, by section and field. */
export const parseOperatorsFile = (text: string): unknown =>
  getOrThrow(parseOperators(text, "operators.sexp"))

// --- frames between controllers -----------------------------------------------------

/** Content of a frame as plain data, under the names of the wire format. */
export interface FrameContent {
  readonly t: string
  readonly from: string
  readonly to: string
  readonly kind?: string
  readonly body?: unknown
  readonly receives?: ReadonlyArray<string>
  readonly hears?: ReadonlyArray<string>
}
/** Decodes a frame independently of the product's codec. */
export const unpackFrame = (frame: Uint8Array): FrameContent => unpack(frame) as FrameContent

const SILENT_LOG: Log = { error: () => {}, info: () => {}, debug: () => {} }

/** Opens the channel of one node, and captures the frames that it sends to other nodes. */
const openChannel = (self: string, others: ReadonlyArray<string>) => {
  const sent: Array<{ readonly to: string; readonly frame: Uint8Array }> = []
  let receive: (frame: Uint8Array) => void = () => {}
  const links: Links = {
    send: (to, frame) => sent.push({ to, frame: Uint8Array.from(frame) }),
    receive: (handler) => {
      receive = handler
    },
  }
  const openedChannel = makePeerChannel(
    self as NodeName,
    others as ReadonlyArray<NodeName>,
    links,
    SILENT_LOG,
  )
  return { channel: Effect.runSync(openedChannel), sent, receive: (frame: Uint8Array) => receive(frame) }
}

/** The frame with which the product sends this message from one node to another. */
const reencodeMessage = ({ from, to, kind, body }: FrameContent): Uint8Array => {
  const { channel, sent } = openChannel(from, [to])
  channel.send(decodeMessage({ kind: kind!, body })!, to as NodeName)
  return sent[0]!.frame
}
/** The ping that a node sends after it has received pings that match the lists of the given frame. */
const reencodePing = async ({ from, to, receives, hears }: FrameContent): Promise<Uint8Array> => {
  const others = [...new Set([...receives!, ...hears!, to])].sort()
  const { channel, sent, receive } = openChannel(from, others)
  for (const other of receives!) {
    const otherReceives = hears!.includes(other) ? [from] : []
    receive(pack({ t: "ping", from: other, to: from, receives: otherReceives, hears: [] }))
  }
  sent.length = 0
  const stop = Effect.runCallback(channel.serve(() => {}))
  await new Promise(setImmediate)
  stop()
  return sent.find((one) => one.to === to)!.frame
}
/** Encodes the content of a frame with the product's codec. */
export const reencodeFrame = (content: FrameContent): Promise<Uint8Array> =>
  content.t === "ping" ? reencodePing(content) : Promise.resolve(reencodeMessage(content))
/** The message that a node's handler receives from a frame; null if it receives none. */
export const receiveFrame = async (frame: Uint8Array): Promise<FrameContent | null> => {
  const { t, from, to } = unpackFrame(frame)
  const { channel, receive } = openChannel(to, [from])
  let received: FrameContent | null = null
  const stop = Effect.runCallback(
    channel.serve((message, sender) => {
      received = { t, from: sender, to, ...encodeMessage(message) }
    }),
  )
  await new Promise(setImmediate)
  receive(frame)
  stop()
  return received
}

const reencodeBody = (kind: string) => (body: unknown) => encodeMessage(decodeMessage({ kind, body })!).body
/** Round trips of message bodies, by the kind named in the frame. */
export const messageBodyRoundTrips: Record<string, (body: never) => unknown> = Object.fromEntries(
  ["answers", "commands", "counts", "job", "list", "load", "machines", "replies", "reports", "wants"].map(
    (kind) => [kind, reencodeBody(kind)],
  ),
)
/** Bytes of a message body as in a frame. */
export const packBody = (body: unknown): Uint8Array => pack(body)
