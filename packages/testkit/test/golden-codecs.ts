/**
 * The product's codecs as the golden tests use them, under names of their own:
 * a rename in the product touches this file alone. Each `again` decodes with the
 * product's decoder, encodes with its encoder where it has one, and gives the
 * text or the bytes that come out; it throws what the decoder says of a bad one.
 */
import {
  archiveFinals,
  EMPTY_PAGE,
  foldEnds,
  idOf,
  JobState,
  Ledger,
  type Placement,
  withdrawJob,
} from "@sorreltally/jobs"
import { type Links, makePeerChannel } from "@sorreltally/peers"
import { parseOperators, parsePlatform } from "@sorreltally/settings"
import {
  type ArchivePage,
  BlockRecord,
  type EndsPage,
  type JobPage,
  JobRecord,
  LiveRecord,
  PartRecord,
  QuotaRecord,
  type SlotRecord,
} from "@sorreltally/state"
import {
  Catalog,
  decodeJobRequest,
  decodeReport,
  HireAnswer,
  type JobId,
  type Log,
  MachinePage,
  type Moment,
  type NodeName,
  packRepeat,
  packReport,
  type RelayedReplies,
  type RelayedReports,
  type Report,
  type Stamp,
  unpackRepeat,
  unpackReport,
} from "@sorreltally/wire"
import { Effect, Result, Schema } from "effect"
import { pack, unpack } from "msgpackr"

/** Decodes a text and encodes what came out. */
type Again = (text: string) => string

const orThrow = <A>(result: Result.Result<A, { readonly message: string }>): A => {
  if (Result.isSuccess(result)) return result.success
  throw new Error(result.failure.message)
}
const bySchema = <A>(schema: Schema.Codec<A, unknown>): Again => {
  const decode = Schema.decodeUnknownResult(schema)
  return (text) => JSON.stringify(orThrow(decode(JSON.parse(text))))
}
const schemaAgain = (schema: unknown): Again => bySchema(schema as Schema.Codec<unknown, unknown>)

// --- bodies of requests and answers ---------------------------------------------

/** A worker's report in the short form in which controllers hand it on. */
export const reportPacked = (body: unknown): unknown => packReport(orThrow(decodeReport(body)))
/** What is wrong with a report; null for a good one. */
export const reportFault = (body: unknown): string | null => {
  const decoded = decodeReport(body)
  return Result.isSuccess(decoded) ? null : decoded.failure.message
}
/** A user's submission, as it goes into the store. */
export const submissionAgain: Again = (text) => JSON.stringify(orThrow(decodeJobRequest(JSON.parse(text))))

/** Answers of the cloud, by kind of request. */
export const cloudAnswers: Record<string, Again> = {
  "cloud GET /catalog": schemaAgain(Catalog),
  "cloud GET /machines": schemaAgain(MachinePage),
  "cloud POST /machines": schemaAgain(HireAnswer),
}

// --- stored records ---------------------------------------------------------------

const jobAgain = schemaAgain(JobRecord)
const jobPageAgain: Again = (text) => {
  const page = JSON.parse(text) as JobPage
  const jobs = page.jobs.map((job) => JSON.parse(jobAgain(JSON.stringify(job))) as JobPage["jobs"][number])
  return JSON.stringify(foldEnds({ ...page, jobs }, () => null))
}
/** A job page as it is written when all its jobs have ended like this. */
export const jobPageFolded = (text: string, end: "done" | "withdrawn"): string =>
  JSON.stringify(foldEnds(JSON.parse(text) as JobPage, () => end))
/** A job page as it is written when the user of its first job has cancelled it. */
export const jobPageCancelled = (text: string): string => {
  const page = JSON.parse(text) as JobPage
  return JSON.stringify(withdrawJob(page, page.jobs[0]!.request.id))
}
/** Ends move from a job page that holds too many of them to a page of their own. */
const archiveAgain: Again = (text) => {
  const { done, withdrawn } = JSON.parse(text) as ArchivePage
  return JSON.stringify(archiveFinals({ ...EMPTY_PAGE, done, withdrawn }, 0).archived)
}
const endsAgain: Again = (text) => {
  const { done, withdrawn } = JSON.parse(text) as EndsPage
  const digitsOf = (ids: ReadonlyArray<string>) => ids.map((digits) => idOf(digits).slice("run-".length))
  return JSON.stringify({ done: digitsOf(done), withdrawn: digitsOf(withdrawn) } satisfies EndsPage)
}

const LARGEST_SLOT_KB = 64
const MOST_JOBS = 1_000
/** Any job will do for a slot's facts; it has as many tasks as they speak of. */
const jobOf = (id: JobId): JobState => {
  const request = { id, pieces: 1_000 } as JobRecord["request"]
  return new JobState(id, { request, submitted: 0 }, "", 0 as Stamp)
}
/** Takes a slot over as a new owner does, and writes its facts once more. */
const slotAgain: Again = (text) => {
  const record = JSON.parse(text) as SlotRecord
  const jobs = new Map<JobId, JobState>()
  const known = (id: JobId): JobState => {
    const job = jobs.get(id) ?? jobOf(id)
    jobs.set(id, job)
    return job
  }
  new Ledger(LARGEST_SLOT_KB).restore(0, 1 as Stamp, record, known, 0 as Moment)
  const placements = record.s.flatMap(([id]): Array<Placement> => [...known(id).placements.values()])
  const finished = record.d.map(([id]) => known(id))
  for (const job of finished)
    for (let index = 0; index < job.pieces; index++) if (job.isFinished(index)) job.unsaved.add(index)
  const [epoch, write] = record.w
  const ledger = new Ledger(LARGEST_SLOT_KB)
  // Each draft has the next write's number.
  for (let n = 1; n < write; n++) ledger.draft(placements, finished, MOST_JOBS, epoch)
  return JSON.stringify(ledger.draft(placements, finished, MOST_JOBS, epoch)?.record)
}

/** Stored values, by kind of key. */
export const records: Record<string, Again> = {
  "s/live": schemaAgain(LiveRecord),
  "s/part": schemaAgain(PartRecord),
  "s/block": schemaAgain(BlockRecord),
  "s/job": jobPageAgain,
  "s/ends": endsAgain,
  "s/quota": schemaAgain(QuotaRecord),
  "s/catalog": schemaAgain(Catalog),
  final: archiveAgain,
  place: slotAgain,
}

// --- settings ---------------------------------------------------------------------

/** The platform's settings file. */
export const platformAgain: Again = (text) => JSON.stringify(orThrow(parsePlatform(text, "settings.json")))
/** The operators' file: every setting, by section and name. */
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

/** The frame by which a node tells another this. */
const toldAgain = ({ from, to, kind, body }: FrameContent): Uint8Array => {
  const { channel, sent } = openChannel(from, [to])
  channel.tell(kind!, body, to as NodeName)
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
  content.t === "ping" ? pingAgain(content) : Promise.resolve(toldAgain(content))
/** What a node's handler is handed of a frame. */
export const frameReceived = async (frame: Uint8Array): Promise<FrameContent | null> => {
  const { t, from, to } = contentOf(frame)
  const { channel, receive } = openChannel(to, [from])
  let received: FrameContent | null = null
  const stop = Effect.runCallback(
    channel.serve((kind, body, sender) => {
      received = { t, from: sender, to, kind, body }
    }),
  )
  await new Promise(setImmediate)
  receive(frame)
  stop()
  return received
}

const relayedReports = (body: RelayedReports): RelayedReports => ({
  ...body,
  reports: body.reports.map(([n, report]) => [n, packReport(unpackReport(report))] as const),
  repeats: body.repeats.map(([n, repeat]) => {
    const { since, ...counters } = unpackRepeat(repeat)
    return [n, packRepeat(counters as Report, since)] as const
  }),
})
const relayedReplies = (body: RelayedReplies): RelayedReplies => ({
  ...body,
  replies: body.replies.map(
    ([n, status, report]) => [n, status, report === null ? null : packReport(unpackReport(report))] as const,
  ),
})
const storedAgain = (kind: string, value: unknown): unknown =>
  JSON.parse(records[kind]!(JSON.stringify(value)))
const hintAgain = (body: { readonly v: unknown }) => ({ ...body, v: storedAgain("s/job", body.v) })
const machinesAgain = (body: { readonly block: { readonly v: unknown } }) => ({
  ...body,
  block: { ...body.block, v: storedAgain("s/block", body.block.v) },
})
/** Bodies of messages that the product decodes, by kind. */
export const messageBodies: Record<string, (body: never) => unknown> = {
  reports: relayedReports,
  replies: relayedReplies,
  job: hintAgain,
  machines: machinesAgain,
}
/** The bytes of a body, as they stand in a frame. */
export const bodyBytes = (body: unknown): Uint8Array => pack(body)
