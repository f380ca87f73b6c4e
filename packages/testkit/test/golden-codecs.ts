/**
 * The product's codecs as the golden tests use them, under names of their own:
 * a rename in the product touches this file alone. Each `again` decodes with the
 * product's decoder, encodes with its encoder where it has one, and gives the
 * text or the bytes that come out; it throws what the decoder says of a bad one.
 */
import {
  archiveFinalStates,
  cancelJob,
  EMPTY_PAGE,
  foldEnds,
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

/** Decodes a text and encodes what came out. */
type Again = (text: string) => string

const orThrow = <A>(result: Result.Result<A, { readonly message: string }>): A => {
  if (Result.isSuccess(result)) return result.success
  throw new Error(result.failure.message)
}

// --- bodies of requests and answers ---------------------------------------------

/** A worker's heartbeat in the short form in which controllers forward it. */
export const packedHeartbeat = (body: unknown): unknown => {
  const heartbeats = [{ id: 0, heartbeat: orThrow(decodeHeartbeat(body)) }]
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
/** What is wrong with a heartbeat; null for a good one. */
export const heartbeatError = (body: unknown): string | null => {
  const decoded = decodeHeartbeat(body)
  return Result.isSuccess(decoded) ? null : decoded.failure.message
}
/** A user's submission, as it goes into the store. */
export const submissionAgain: Again = (text) =>
  JSON.stringify(jobSpecToWire(orThrow(decodeJobSpec(JSON.parse(text)))))

/** A page of the cloud's list, from what its decoder made of it. */
const machinePageAgain: Again = (text) => {
  const wire = JSON.parse(text) as { readonly hosts: ReadonlyArray<{ readonly address?: string | null }> }
  const { machines, hasMore } = orThrow(decodeMachinePage(wire))
  const hosts = machines.map(({ id, machineType, zone, spot, status, ageS }, i) => ({
    id,
    // The service has no use for it, and doesn't decode it.
    ...("address" in wire.hosts[i]! ? { address: wire.hosts[i]!.address } : {}),
    build: machineType,
    site: zone,
    loaners: spot,
    status,
    held_s: ageS,
  }))
  return JSON.stringify({ hosts, more: hasMore })
}

/** Answers of the cloud, by kind of request. */
export const cloudAnswers: Record<string, Again> = {
  "cloud GET /catalog": (text) =>
    JSON.stringify({ builds: orThrow(decodeCatalog(JSON.parse(text))).map(machineTypeToWire) }),
  "cloud GET /machines": machinePageAgain,
  "cloud POST /machines": (text) => JSON.stringify({ hosts: orThrow(decodeRental(JSON.parse(text))) }),
}

// --- stored records ---------------------------------------------------------------

/** Any key of each family will do. */
const JOB_PAGE = keys.jobPage(0, 0)
const ENDS_PAGE = keys.endsPage("part-0" as ShardName, 0)
const ARCHIVE_PAGE = keys.archivePage(0, 0, 0)
const SLOT = keys.slot("part-0" as ShardName, 0)

const recordAgain =
  (key: StoreKey<unknown>): Again =>
  (text) =>
    JSON.stringify(encodeRecord(key, decodeRecord(key, JSON.parse(text))))
const pageOf = (text: string): JobPage => decodeRecord(JOB_PAGE, JSON.parse(text))
const textOf = (page: JobPage): string => JSON.stringify(encodeRecord(JOB_PAGE, page))
const jobPageAgain: Again = (text) => textOf(foldEnds(pageOf(text), () => null))
/** A job page as it is written when all its jobs have ended like this. */
export const jobPageFolded = (text: string, end: "done" | "withdrawn"): string =>
  textOf(foldEnds(pageOf(text), () => (end === "done" ? "done" : "cancelled")))
/** A job page as it is written when the user of its first job has cancelled it. */
export const jobPageCancelled = (text: string): string => {
  const page = pageOf(text)
  return textOf(cancelJob(page, page.jobs[0]!.spec.id))
}
/** Ends move from a job page that holds too many of them to a page of their own. */
const archiveAgain: Again = (text) => {
  const finals = decodeRecord(ARCHIVE_PAGE, JSON.parse(text))
  const { archived } = archiveFinalStates({ ...EMPTY_PAGE, ...finals }, 0)
  return JSON.stringify(encodeRecord(ARCHIVE_PAGE, archived))
}

const MAX_SLOT_KB = 64
const MAX_JOBS = 1_000
/** Any job will do for a slot's facts; it has as many tasks as they speak of. */
const jobOf = (id: JobId): JobState => {
  const spec = { id, taskCount: 1_000 } as JobRecord["spec"]
  return new JobState(id, { spec, submittedAt: 0, cancelled: false }, JOB_PAGE, 0 as ModRevision)
}
/** Takes a slot over as a new owner does, and writes its facts once more. */
const slotAgain: Again = (text) => {
  const record = decodeRecord(SLOT, JSON.parse(text))
  const jobs = new Map<JobId, JobState>()
  const known = (id: JobId): JobState => {
    const job = jobs.get(id) ?? jobOf(id)
    jobs.set(id, job)
    return job
  }
  new PlacementLedger({ valueKb: MAX_SLOT_KB }).restore({
    slot: 0,
    modRevision: 1 as ModRevision,
    record,
    jobOf: known,
    restoredAt: 0 as MonotonicTime,
  })
  const placements = record.placed.flatMap(
    ({ jobId }): Array<Placement> => [...known(jobId).placements.values()],
  )
  const jobsWithFinishes = record.finished.map(({ jobId }) => known(jobId))
  for (const job of jobsWithFinishes)
    for (let index = 0; index < job.taskCount; index++)
      if (job.isFinished(index)) job.unsavedFinishes.add(index)
  const { epoch, number } = record.writeId
  const ledger = new PlacementLedger({ valueKb: MAX_SLOT_KB })
  const request = { starts: placements, jobsWithFinishes, maxJobs: MAX_JOBS, epoch }
  // Each write has the next number.
  for (let n = 1; n < number; n++) ledger.prepareWrite(request)
  const write = ledger.prepareWrite(request)
  return JSON.stringify(encodeRecord(SLOT, write?.record))
}

/** Stored values, by kind of key. */
export const records: Record<string, Again> = {
  "s/live": recordAgain(keys.node("host-0" as NodeName)),
  "s/part": recordAgain(keys.shard("part-0" as ShardName)),
  "s/block": recordAgain(keys.machineBlock("part-0~small~a~spot", 1)),
  "s/job": jobPageAgain,
  "s/ends": recordAgain(ENDS_PAGE),
  "s/quota": recordAgain(keys.quota("red")),
  "s/catalog": recordAgain(keys.catalog),
  final: archiveAgain,
  place: slotAgain,
}

// --- settings ---------------------------------------------------------------------

/** The platform's settings file. */
export const platformAgain: Again = (text) => {
  const platform = orThrow(parsePlatform(text, "settings.json"))
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
/** The operators' file: every setting, by section and field. */
export const operatorsOf = (text: string): unknown => orThrow(parseOperators(text, "operators.sexp"))

// --- frames between controllers -----------------------------------------------------

/** A frame as plain data. */
export interface FrameContent {
  readonly t: string
  readonly from: string
  readonly to: string
  readonly kind?: string
  readonly body?: unknown
  readonly receives?: ReadonlyArray<string>
  readonly hears?: ReadonlyArray<string>
}
/** Reads a frame without the product's help. */
export const contentOf = (frame: Uint8Array): FrameContent => unpack(frame) as FrameContent

const SILENT: Log = { error: () => {}, info: () => {}, debug: () => {} }

/** One node's channel to others whose frames are caught. */
const openChannel = (self: string, others: ReadonlyArray<string>) => {
  const sent: Array<{ readonly to: string; readonly frame: Uint8Array }> = []
  let receive: (frame: Uint8Array) => void = () => {}
  const links: Links = {
    send: (to, frame) => sent.push({ to, frame: Uint8Array.from(frame) }),
    receive: (handler) => {
      receive = handler
    },
  }
  const opening = makePeerChannel(self as NodeName, others as ReadonlyArray<NodeName>, links, SILENT)
  return { channel: Effect.runSync(opening), sent, receive: (frame: Uint8Array) => receive(frame) }
}

/** The frame by which a node sends another this message. */
const messageAgain = ({ from, to, kind, body }: FrameContent): Uint8Array => {
  const { channel, sent } = openChannel(from, [to])
  channel.send(decodeMessage({ kind: kind!, body })!, to as NodeName)
  return sent[0]!.frame
}
/** The ping of a node that has heard from others what the frame says that it has. */
const pingAgain = async ({ from, to, receives, hears }: FrameContent): Promise<Uint8Array> => {
  const others = [...new Set([...receives!, ...hears!, to])].sort()
  const { channel, sent, receive } = openChannel(from, others)
  for (const other of receives!) {
    const theirs = hears!.includes(other) ? [from] : []
    receive(pack({ t: "ping", from: other, to: from, receives: theirs, hears: [] }))
  }
  sent.length = 0
  const stop = Effect.runCallback(channel.serve(() => {}))
  await new Promise(setImmediate)
  stop()
  return sent.find((one) => one.to === to)!.frame
}
/** The same frame, made by the product. */
export const frameAgain = (content: FrameContent): Promise<Uint8Array> =>
  content.t === "ping" ? pingAgain(content) : Promise.resolve(messageAgain(content))
/** What a node's handler is handed of a frame. */
export const frameReceived = async (frame: Uint8Array): Promise<FrameContent | null> => {
  const { t, from, to } = contentOf(frame)
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

const bodyAgain = (kind: string) => (body: unknown) => encodeMessage(decodeMessage({ kind, body })!).body
/** Bodies of messages, by the kind that frames name. */
export const messageBodies: Record<string, (body: never) => unknown> = Object.fromEntries(
  ["answers", "commands", "counts", "job", "list", "load", "machines", "replies", "reports", "wants"].map(
    (kind) => [kind, bodyAgain(kind)],
  ),
)
/** The bytes of a body, as they stand in a frame. */
export const bodyBytes = (body: unknown): Uint8Array => pack(body)
