import {
  type Attempt,
  Attempt as AttemptSchema,
  GrantId,
  Incarnation,
  JobRequest,
  MachineId,
  type MachineType,
  NodeName,
  PartName,
  Tenure,
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
export const keys = {
  live: (node: NodeName) => `s/live/${node}`,
  part: (part: PartName) => `s/part/${part}`,
  machine: (machine: MachineId) => `s/machine/${machine}`,
  job: (id: string) => `s/job/${id}`,
  quota: (team: string) => `s/quota/${team}`,
  catalog: "s/catalog",
  final: (id: string) => `final/${id}`,
  places: "place/",
  place: (id: string, chunk: number) => `place/${id}/${String(chunk).padStart(6, "0")}`,
}

export const LiveRecord = Schema.Struct({ incarnation: Incarnation, grant: GrantId })
export type LiveRecord = typeof LiveRecord.Type

/** The stamp of this record is the part's epoch: it is written at take-overs and releases only. */
export const PartRecord = Schema.Struct({
  owner: Schema.NullOr(NodeName),
  incarnation: Schema.NullOr(Incarnation),
})
export type PartRecord = typeof PartRecord.Type

/** The stamp of this record is the epoch of the machine's last move, or of its last re-fencing. */
export const MachineRecord = Schema.Struct({
  part: PartName,
  build: TypeName,
  site: ZoneName,
  loaners: Schema.Boolean,
  /** Time of day of the rental, by the renter's clock. */
  rented: Schema.Finite,
})
export type MachineRecord = typeof MachineRecord.Type

export const JobRecord = Schema.Struct({
  request: JobRequest,
  /** Time of day at which it was submitted, by the accepting node's clock. */
  submitted: Schema.Finite,
  /** How many tasks a placement record of this job covers. */
  chunk: Schema.Int,
  withdrawn: Schema.optionalKey(Schema.Boolean),
})
export type JobRecord = typeof JobRecord.Type

export interface FinalRecord {
  readonly status: "done" | "withdrawn"
}

/** Team's limit in CPUs and GPUs, divided among the parts. */
export const QuotaRecord = Schema.Struct({
  shares: Schema.Record(Schema.String, Schema.Struct({ cpus: Schema.Finite, gpus: Schema.Finite })),
})
export type QuotaRecord = typeof QuotaRecord.Type

export interface CatalogRecord {
  readonly builds: ReadonlyArray<MachineType>
}

/** Where one task may be: machine, its tenure then, and the attempt. */
export type PlacedAt = readonly [MachineId, Tenure, Attempt]
export const ChunkRecord = Schema.Struct({
  /** Finished tasks of the chunk, as [first, count] runs from the chunk's first task. */
  done: Schema.Array(Schema.Tuple([Schema.Int, Schema.Int])),
  at: Schema.Record(Schema.String, Schema.Tuple([MachineId, Tenure, AttemptSchema])),
})
export type ChunkRecord = typeof ChunkRecord.Type
