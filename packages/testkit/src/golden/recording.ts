/**
 * Records what simulated days put on the wire and into the store: a few samples
 * of every kind, chosen so that every field and every short word occurs. It
 * looks on only: a day runs the same whether it is recorded or not.
 */
import { bucketOf } from "@sorreltally/jobs"
import type { JobId, WireJob } from "@sorreltally/protocol"
import { unpack } from "msgpackr"
import { jobRequest } from "../services/wire-builders.ts"
import { type DeploymentDump, dumpDeployment } from "../simulation/deployment-dump.ts"
import type { Request } from "../simulation/network.ts"
import type { SimulatedDeployment } from "../simulation/simulated-deployment.ts"
import { readScenario } from "./scenario.ts"

/** A request and its answer; bodies are JSON text as sent, `null` for none. */
export interface ExchangeSample {
  readonly kind: string
  readonly path: string
  readonly request: string
  readonly status: number
  readonly answer: string
}
/** A stored value as JSON text. */
export interface RecordSample {
  readonly kind: string
  readonly path: string
  readonly text: string
}
/** A frame between controllers: its bytes in base64. */
export interface FrameSample {
  readonly kind: string
  readonly bytes: string
}
/** The platform's settings file of one controller, and an operators' file that names every section. */
export interface SettingsSamples {
  readonly platform: string
  readonly operators: string
}
/** All samples of all days. */
export interface Recording {
  readonly exchanges: ReadonlyArray<ExchangeSample>
  readonly records: ReadonlyArray<RecordSample>
  readonly frames: ReadonlyArray<FrameSample>
  readonly settings: SettingsSamples
}

/** The first samples of a kind are taken whatever they show. */
const TAKEN_ANYWAY = 2
/** A kind has at most so many samples, however much new they show. */
const MAX_SAMPLES_PER_KIND = 24
/** Larger bodies show nothing that smaller ones don't. */
const MAX_SAMPLE_BYTES = 6_000
/** A string that may be one of a fixed set, such as a status. */
const WORD = /^[a-z][a-z_]{2,19}$/

/**
 * Days that between them bring about every kind of message and record: jobs of
 * all options, cancelled, mistaken and refused ones; lost, hung and faulty
 * machines, spot notices, preemption with checkpoints, orphaned tasks; heartbeats and
 * commands that nodes pass on for each other; ends of nodes and outages.
 */
const DAYS: ReadonlyArray<string> = [
  `(scenario "all kinds of jobs and of trouble" (seed 5) (until 260) (nodes 3) (capacity 6) (team-limit 48) (never-boots 0.05)
    (at 1 (submit pieces 10 cores 4 run 60 urgency best_effort snapshot 5 flush 2)
          (submit pieces 6 cores 4 run 40 owner blue due 120 snapshot 10 flush 3 build large)
          (submit pieces 4 cores 2 run 30 zone a spot no) (submit pieces 4 cores 2 run 15 together yes)
          (submit pieces 5 cores 2 run 15 scatter yes owner guest))
    (at 3 (odd-requests 60) (adopt-strays 2)) (at 20 (ask-about-nobody))
    (at 30 (submit pieces 8 cores 4 run 20 urgency production due 60) (submit pieces 2 cores 1 run 9 mistake yes))
    (at 18 (take-spot 3 10)) (at 40 (take-spot 2 8) (faulty 1)) (at 62 (submit pieces 8 cores 2 run 40 snapshot 5 flush 2 owner guest)) (at 78 (take-spot 4 10)) (at 45 (cancel 0)) (at 50 (hang 2 20)) (at 55 (reboot 1))
    (at 60 (crash host-1 4) (resubmit 1)) (at 70 (stream 20 40 pieces 3 cores 2 run 8 due 60))
    (at 80 (cloud-outage 8)) (at 90 (state-outage 5)) (at 110 (late-reports 0.3 10)) (at 114 (late-commands 1 20)) (at 120 (crash host-0 3))
    (at 130 (cancel 6) (die 2)) (at 150 (cut-orders 10)) (at 160 (lose-messages 0.1 10)))`,
  `(scenario "nodes receive reports and send commands for each other" (seed 91) (until 110) (nodes 5) (cores 0.004)
    (capacity 12) (zones a b c) (team-limit 400)
    (at 1 (stream 24 60 pieces 8 cores 4 run 20 due 120) (stream 12 60 pieces 6 cores 4 run 15 owner blue snapshot 5 flush 2))
    (at 12 (submit pieces 12 cores 4 run 70 snapshot 5 flush 2)) (at 30 (take-spot 6 10)) (at 35 (crash host-2 4)) (at 45 (take-spot 6 10)) (at 50 (isolate host-3 12)) (at 60 (cancel 3) (cancel 9))
    (at 70 (crash host-0 4)) (at 20 (cancel 4)) (at 75 (cut-orders 8)) (at 85 (refuse-peers 8)))`,
]

/** In its middle, jobs of every state stand in the store, folded and archived job pages, ends, machines. */
const STORE_DAY = `(scenario "a rough day whose middle is kept" (seed 17) (until 151) (nodes 3) (capacity 6) (team-limit 40)
    (at 1 (submit pieces 8 cores 4 run 30 due 150) (submit pieces 6 cores 4 run 20 owner blue)
          (submit pieces 4 cores 2 run 25 owner guest spot no) (submit pieces 6 cores 2 run 90 snapshot 10 flush 2))
    (at 20 (stream 30 100 pieces 3 cores 2 run 8) (stream 12 90 pieces 2 cores 4 run 12 owner blue due 60))
    (at 40 (crash host-0 4)) (at 60 (die 1)) (at 75 (take-spot 2 6)) (at 80 (lose-messages 0.05 20))
    (at 100 (submit pieces 2 cores 1 run 10 mistake yes)) (at 105 (crash host-1 3)) (at 120 (hang 1 40))
    (at 125 (submit pieces 9 cores 4 run 35) (submit pieces 5 cores 4 run 20 owner blue urgency high due 90))
    (at 138 (submit pieces 6 cores 4 run 15 owner blue)) (at 140 (submit pieces 6 cores 2 run 60 due 200) (submit pieces 5 cores 2 run 50 owner blue snapshot 5 flush 2)) (at 149 (submit pieces 4 cores 2 run 10)))`
const STORE_DAY_KEPT_AT_MS = 149_800
/** Users cancel two jobs each time; at the last one their tasks are still on machines when the day is kept. */
const STORE_DAY_CANCELLATIONS_AT_MS = [50_000, 95_000, 149_000]
const CANCELLED_EACH_TIME = 2
/** So many final states of one bucket, with ids as long as may be, fill its share of a page. */
const JOBS_OF_ONE_BUCKET = 75
const FIRST_LONG_ID = 10n ** 19n

/** The operators' file of the samples: every section, in the form that operators write. */
const OPERATORS = `; A comment.
(provisioning (window-s 45) (dearest-steady 4.5))
(membership (grant-ttl-ms 9000)
  (grant-margin-ms 400))
(admission (least-in-progress 4) (retry-after-s 3))
`

/** A field's name; keys that carry a number are names of things, all alike. */
const fieldName = (key: string): string => (/[0-9]/.test(key) ? "*" : key)

/** Numbers that say something by themselves: none, "not sent", and statuses of answers. */
const isTelling = (value: number): boolean => value <= 0 || (value >= 400 && value < 600)
const numberFeature = (value: number): string =>
  isTelling(value) ? `=${value}` : Number.isInteger(value) ? ":integer" : ":fraction"

/** What a value shows: its fields with their types, and short words with their field. */
const featuresOf = (value: unknown, at = ""): ReadonlyArray<string> => {
  if (Array.isArray(value)) {
    if (value.length === 0) return [`${at}[]:empty`]
    return value.flatMap((item) => featuresOf(item, `${at}[]`))
  }
  if (typeof value === "object" && value !== null) {
    const entries = Object.entries(value)
    return entries.flatMap(([key, of]) => featuresOf(of, `${at}.${fieldName(key)}`))
  }
  if (typeof value === "string" && WORD.test(value)) return [`${at}=${value}`]
  if (typeof value === "number") return [`${at}${numberFeature(value)}`]
  if (typeof value === "boolean" || value === null) return [`${at}=${value}`]
  return [`${at}:${typeof value}`]
}

/** Keeps samples that show what none before them of their kind did. */
class Sampler<Sample extends { readonly kind: string }> {
  readonly taken: Array<Sample> = []
  private readonly shown = new Map<string, Set<string>>()
  private readonly counts = new Map<string, number>()

  offer(sample: Sample, shows: ReadonlyArray<unknown>, bytes: number): void {
    const { kind } = sample
    const count = this.counts.get(kind) ?? 0
    if (bytes > MAX_SAMPLE_BYTES || count >= MAX_SAMPLES_PER_KIND) return
    const shown = this.shown.get(kind) ?? new Set()
    const features = shows.flatMap((value, index) => featuresOf(value, `${index}`))
    if (count >= TAKEN_ANYWAY && features.every((feature) => shown.has(feature))) return
    this.shown.set(kind, new Set([...shown, ...features]))
    this.counts.set(kind, count + 1)
    this.taken.push(sample)
  }
  /** Samples side by side with others of their kind. */
  get samples(): ReadonlyArray<Sample> {
    return [...this.taken].sort((a, b) => (a.kind < b.kind ? -1 : a.kind > b.kind ? 1 : 0))
  }
}

/** Requests with the same answerer, method and form of path are of one kind. */
const exchangeKind = (to: string, { method, path }: Request): string => {
  const bare = path.split("?")[0]!
  const form = bare
    .replace(/^\/kv\/.+/, "/kv/{path}")
    .replace(/run-[^/]*/, "{job}")
    .replace(/\/[0-9]+/, "/{id}")
  const answerer = to === "cloud" || to === "state" ? to : to.startsWith("i-") ? "worker" : "controller"
  return `${answerer} ${method} ${form}`
}
/** Records whose paths differ only in the last segment are of one kind. */
export const recordKind = (path: string): string => {
  const [first, second] = path.split("/")
  return first === "s" ? `s/${second}` : first!
}

/** Looks on at deployments and takes samples. */
class Recorder {
  private readonly exchanges = new Sampler<ExchangeSample>()
  private readonly records = new Sampler<RecordSample>()
  private readonly frames = new Sampler<FrameSample>()
  private platform = ""

  readonly watch = (deployment: SimulatedDeployment): void => {
    this.platform = JSON.stringify(deployment.platformFile(1))
    this.watchRequests(deployment)
    deployment.state.listeners.push((path, value) => {
      if (value === null) return
      const text = JSON.stringify(value)
      this.records.offer({ kind: recordKind(path), path, text }, [value], text.length)
    })
    deployment.onFrame.push((frame) => this.frame(frame))
  }
  private watchRequests({ network }: SimulatedDeployment): void {
    const send = network.request.bind(network)
    network.request = (from, to, request, done) => {
      const text = JSON.stringify(request.body ?? null)
      send(from, to, request, (answer) => {
        if (answer !== null) this.exchange(to, request, text, answer.status, answer.body)
        done(answer)
      })
    }
  }
  private exchange(to: string, request: Request, text: string, status: number, body: unknown): void {
    const answer = JSON.stringify(body ?? null)
    const sample = { kind: exchangeKind(to, request), path: request.path, request: text, status, answer }
    const shows = [JSON.parse(text), `status_${status}`, body]
    this.exchanges.offer(sample, shows, text.length + answer.length)
  }
  private frame(frame: Uint8Array): void {
    const message = unpack(frame) as { readonly t: string; readonly kind?: string }
    const kind = message.kind ?? message.t
    const bytes = Buffer.from(frame).toString("base64")
    this.frames.offer({ kind, bytes }, [message], frame.length)
  }

  get recording(): Recording {
    return {
      exchanges: this.exchanges.samples,
      records: this.records.samples,
      frames: this.frames.samples,
      settings: { platform: this.platform, operators: OPERATORS },
    }
  }
}

/** A job that is soon over, and whose id is as long as may be. */
const longIdJob = (id: JobId): WireJob =>
  jobRequest(id, { owner: "guest", pieces: 1, cores: 0.25, mem_gb: 0.5, expected_s: 1 })

const idsOfOneBucket = (): ReadonlyArray<JobId> => {
  const idAt = (n: bigint) => `run-${n}` as JobId
  const bucket = bucketOf(idAt(FIRST_LONG_ID))
  const ids: Array<JobId> = []
  for (let n = FIRST_LONG_ID; ids.length < JOBS_OF_ONE_BUCKET; n++)
    if (bucketOf(idAt(n)) === bucket) ids.push(idAt(n))
  return ids
}
/** Small jobs of one bucket come one after the other, so that its page has to be archived. */
const fillOneBucket = (deployment: SimulatedDeployment): void => {
  for (const [n, id] of idsOfOneBucket().entries())
    deployment.simulation.after(10_000 + n * 1_700, () => deployment.users.submit(longIdJob(id)))
}

/** Users cancel some of the largest jobs that aren't over. */
const cancelLiveJobs = ({ invariants, users }: SimulatedDeployment): void => {
  const piecesOf = (id: JobId): number => invariants.submitted.get(id)!.pieces
  const live = users.jobs.filter((id) => invariants.isLive(id)).sort((a, b) => piecesOf(b) - piecesOf(a))
  for (const id of live.slice(0, CANCELLED_EACH_TIME)) users.cancel(id)
}

/** What the days and the deployment in the middle of one of them show. */
export const record = (): { readonly recording: Recording; readonly dump: DeploymentDump } => {
  const recorder = new Recorder()
  for (const day of DAYS) readScenario(day).run({ prepare: recorder.watch })
  let dump: DeploymentDump | null = null
  const prepare = (deployment: SimulatedDeployment) => {
    recorder.watch(deployment)
    fillOneBucket(deployment)
    for (const atMs of STORE_DAY_CANCELLATIONS_AT_MS)
      deployment.simulation.after(atMs, () => cancelLiveJobs(deployment))
    deployment.simulation.after(STORE_DAY_KEPT_AT_MS, () => {
      dump = JSON.parse(JSON.stringify(dumpDeployment(deployment))) as DeploymentDump
    })
  }
  readScenario(STORE_DAY).run({ prepare })
  return { recording: recorder.recording, dump: dump! }
}
