import { Schema } from "effect"
import { ImageName, JobId, LaneName, TeamName, TypeName, ZoneName } from "./ids.ts"

const amount = Schema.Finite.check(Schema.isGreaterThanOrEqualTo(0))
const positive = Schema.Finite.check(Schema.isGreaterThan(0))
const maybe = <S extends Schema.Top>(schema: S) => Schema.optionalKey(Schema.NullOr(schema))

export const Urgency = Schema.Literals(["production", "high", "standard", "best_effort"])
export type Urgency = typeof Urgency.Type
/** Higher goes first. */
export const urgencyRank: Record<Urgency, number> = { production: 3, high: 2, standard: 1, best_effort: 0 }

/** A job as its user submits it. */
export const JobRequest = Schema.Struct({
  id: JobId,
  lane: LaneName,
  owner: TeamName,
  shape: Schema.Literals(["batch"]),
  urgency: Urgency,
  pieces: Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: 100_000 })),
  cores: positive,
  accelerators: amount,
  mem_gb: amount,
  bundle: ImageName,
  image_gb: amount,
  builds: maybe(Schema.Array(TypeName)),
  site: maybe(ZoneName),
  together: Schema.Boolean,
  scatter: Schema.Boolean,
  loaners: Schema.Boolean,
  expected_s: positive,
  snapshot_s: amount,
  flush_s: amount,
  due_s: maybe(positive),
})
export type JobRequest = typeof JobRequest.Type
export const decodeJobRequest = Schema.decodeUnknownResult(JobRequest)

type JobStatus = "queued" | "running" | "done" | "withdrawn"
export interface JobView {
  readonly id: JobId
  readonly status: JobStatus
  readonly done?: number
  readonly running?: number
}
