/** Accepted jobs, and how earlier ones ended. */
import { type JobId, type JobSpec, jobSpecFromWire, jobSpecToWire, type WireJob } from "@sorreltally/protocol"
import type { RecordCodec } from "./record-codec.ts"

/** An accepted job. */
export interface JobRecord {
  readonly spec: JobSpec
  /** Time of day of the submission in milliseconds, by the accepting node's clock. */
  readonly submittedAt: number
  readonly cancelled: boolean
}

/** How a job ended. */
export type FinalStatus = "done" | "cancelled"

/** A job that ended, and how. */
export interface JobEnd {
  readonly id: JobId
  readonly status: FinalStatus
}

/** Jobs that are over, each as the digits of its id. An ends page holds those that job pages don't show yet. */
export interface FinalStates {
  readonly done: ReadonlyArray<string>
  readonly cancelled: ReadonlyArray<string>
}

/**
 * Jobs whose ids fall into one bucket: those accepted and not yet folded, and
 * the final states of earlier ones. Any controller writes it, on its revision.
 */
export interface JobPage extends FinalStates {
  readonly jobs: ReadonlyArray<JobRecord>
  /** How many archive pages this page's older final states were moved to. */
  readonly archivedPages: number
}

interface StoredJob {
  readonly request: WireJob
  readonly submitted: number
  readonly withdrawn?: boolean
}
interface StoredFinals {
  readonly done: ReadonlyArray<string>
  readonly withdrawn: ReadonlyArray<string>
}
interface StoredJobPage extends StoredFinals {
  readonly jobs: ReadonlyArray<StoredJob>
  readonly archived: number
}

/** Codec of final states: ends pages and archive pages. */
export const finalsCodec: RecordCodec<FinalStates, StoredFinals> = {
  decode: ({ done, withdrawn }) => ({ done, cancelled: withdrawn }),
  encode: ({ done, cancelled }) => ({ done, withdrawn: cancelled }),
}

const decodeJob = ({ request, submitted, withdrawn }: StoredJob): JobRecord => ({
  spec: jobSpecFromWire(request),
  submittedAt: submitted,
  cancelled: withdrawn === true,
})
const encodeJob = ({ spec, submittedAt, cancelled }: JobRecord): StoredJob => ({
  request: jobSpecToWire(spec),
  submitted: submittedAt,
  ...(cancelled ? { withdrawn: true } : {}),
})
/** Codec of job pages. */
export const jobPageCodec: RecordCodec<JobPage, StoredJobPage> = {
  decode: ({ jobs, done, withdrawn, archived }) => ({
    jobs: jobs.map(decodeJob),
    done,
    cancelled: withdrawn,
    archivedPages: archived,
  }),
  encode: ({ jobs, done, cancelled, archivedPages }) => ({
    jobs: jobs.map(encodeJob),
    done,
    withdrawn: cancelled,
    archived: archivedPages,
  }),
}
