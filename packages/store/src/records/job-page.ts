/** Records of accepted jobs and of the final states of ended jobs. */
import { type JobId, type JobSpec, jobSpecFromWire, jobSpecToWire, type WireJob } from "@sorreltally/protocol"
import type { RecordCodec } from "./record-codec.ts"

/** An accepted job. */
export interface JobRecord {
  readonly spec: JobSpec
  /** Time of day of the submission in milliseconds, by the accepting node's clock. */
  readonly submittedAt: number
  readonly cancelled: boolean
}

/** Final status of a job. */
export type FinalStatus = "done" | "cancelled"

/** A job that has ended, with its final status. */
export interface JobEnd {
  readonly id: JobId
  readonly status: FinalStatus
}

/**
 * Ended jobs by final status, each as the digits of its id. An ends page holds those not yet in job pages.
 */
export interface FinalStates {
  readonly done: ReadonlyArray<string>
  readonly cancelled: ReadonlyArray<string>
}

/**
 * Jobs of one bucket of job ids: accepted jobs whose final states are not on the page yet, and the final
 * states of earlier jobs. Any controller may write it, with a compare-and-swap on its mod revision.
 */
export interface JobPage extends FinalStates {
  readonly jobs: ReadonlyArray<JobRecord>
  /** Number of archive pages that older final states of this page were moved to. */
  readonly archivePageCount: number
}

interface StoredJob {
  readonly request: WireJob
  readonly submitted: number
  readonly withdrawn?: boolean
}
interface StoredFinalStates {
  readonly done: ReadonlyArray<string>
  readonly withdrawn: ReadonlyArray<string>
}
interface StoredJobPage extends StoredFinalStates {
  readonly jobs: ReadonlyArray<StoredJob>
  readonly archived: number
}

/** Codec of the final states in ends pages and archive pages. */
export const finalStatesCodec: RecordCodec<FinalStates, StoredFinalStates> = {
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
    archivePageCount: archived,
  }),
  encode: ({ jobs, done, cancelled, archivePageCount }) => ({
    jobs: jobs.map(encodeJob),
    done,
    withdrawn: cancelled,
    archived: archivePageCount,
  }),
}
