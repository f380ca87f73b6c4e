import {
  GrantId,
  Incarnation,
  type JobId,
  JobRequest,
  MachineId,
  type MachineType,
  NodeName,
  type PartName,
  type Stamp,
  Token,
  TypeName,
  ZoneName,
} from "@sorreltally/wire"
import { Schema } from "effect"

/**
 * What the service keeps in the state service. Keys that every controller
 * mirrors begin with `s/`, so that one watch brings them all in one order;
 * placements are read by their owner alone and lie outside of it.
 */
export const MIRRORED = "s/"
export const JOB_PAGES = "s/job/"
export const ENDS_PAGES = "s/ends/"
export const keys = {
  live: (node: NodeName) => `s/live/${node}`,
  part: (part: PartName) => `s/part/${part}`,
  block: (origin: string, n: number) => `s/block/${origin}.${String(n).padStart(9, "0")}`,
  jobPage: (bucket: number, page: number) => `s/job/${bucket}.${page}`,
  endsPage: (part: PartName, page: number) => `s/ends/${part}.${page}`,
  quota: (team: string) => `s/quota/${team}`,
  catalog: "s/catalog",
  archive: (bucket: number) => `final/${bucket}/`,
  archivePage: (bucket: number, page: number, n: number) =>
    `final/${bucket}/${page}.${String(n).padStart(6, "0")}`,
  slots: (part: PartName) => `place/${part}/`,
  slot: (part: PartName, slot: number) => `place/${part}/${String(slot).padStart(6, "0")}`,
}

export const LiveRecord = Schema.Struct({ incarnation: Incarnation, grant: GrantId })
export type LiveRecord = typeof LiveRecord.Type

/** The stamp of this record is the part's epoch: it is written at take-overs and releases only. */
export const PartRecord = Schema.Struct({
  owner: Schema.NullOr(NodeName),
  incarnation: Schema.NullOr(Incarnation),
})
export type PartRecord = typeof PartRecord.Type

/**
 * Machines of one kind that one part rented, or that were adopted. For each
 * part that has some of them: which, the token that each had to exceed at its
 * last move or fence, and how many seconds after `rented` it was rented.
 */
export const BlockRecord = Schema.Struct({
  build: TypeName,
  site: ZoneName,
  loaners: Schema.Boolean,
  /** Time of day of the first rental, by the renter's clock. */
  rented: Schema.Finite,
  at: Schema.Record(Schema.String, Schema.Array(Schema.Tuple([MachineId, Token, Schema.Int]))),
})
export type BlockRecord = typeof BlockRecord.Type

export const JobRecord = Schema.Struct({
  request: JobRequest,
  /** Time of day at which it was submitted, by the accepting node's clock. */
  submitted: Schema.Finite,
  withdrawn: Schema.optionalKey(Schema.Boolean),
})
export type JobRecord = typeof JobRecord.Type

export type FinalStatus = "done" | "withdrawn"

/** Jobs that are over, each as the digits of its id. */
export interface FinalStates {
  readonly done: ReadonlyArray<string>
  readonly withdrawn: ReadonlyArray<string>
}

/**
 * Jobs whose ids fall into one bucket: those accepted and not yet folded, and
 * the final states of earlier ones. Any controller writes it, on its stamp.
 */
export interface JobPage extends FinalStates {
  readonly jobs: ReadonlyArray<JobRecord>
  /** How many archive pages this page's older final states were moved to. */
  readonly archived: number
}

/** Ends of one part's jobs that job pages don't show yet; written by the part's owner. */
export type EndsPage = FinalStates

/** Final states moved out of a job page; written once, together with that page. */
export type ArchivePage = FinalStates

/** Team's limit in CPUs and GPUs, divided among the parts. */
export const QuotaRecord = Schema.Struct({
  shares: Schema.Record(Schema.String, Schema.Struct({ cpus: Schema.Finite, gpus: Schema.Finite })),
})
export type QuotaRecord = typeof QuotaRecord.Type

export interface CatalogRecord {
  readonly builds: ReadonlyArray<MachineType>
}

/** Placements and finishes of many jobs of one part; see the ledger in `jobs`. */
export interface SlotRecord {
  /** Which write this is: an owner that got no answer recognizes its own. */
  readonly w: readonly [Stamp, number]
  /** Attempts are counted from here. */
  readonly a: number
  readonly m: ReadonlyArray<MachineId>
  /** A job's id, then for each task its index, its machine's place in `m`, the tenure, the attempt. */
  readonly s: ReadonlyArray<readonly [JobId, ...Array<number>]>
  /** A job's id, then runs of finished tasks, each as its first and their count. */
  readonly d: ReadonlyArray<readonly [JobId, ...Array<number>]>
}
