/**
 * Users' requests about jobs: submissions, polls and cancellations. Job states in responses are durable and
 * at least as recent as the request: they are read from `JobService`, never from a cache of this node.
 */
import {
  type Clocks,
  decodeJobSpec,
  encodeJobView,
  type JobId,
  JobId as JobIdSchema,
  type JobSpec,
  type OutgoingResponse,
} from "@sorreltally/protocol"
import type { Platform } from "@sorreltally/settings"
import type { StoreError } from "@sorreltally/store"
import { Effect, Result, Schema } from "effect"
import { judgeAdmissibility } from "./admissibility.ts"
import type { ApiBackend, JobLookup } from "./backend.ts"
import { badRequest, notFound, parseJson, unavailable, unprocessable } from "./responses.ts"

const isJobId = Schema.is(JobIdSchema)
const NO_SUCH_JOB = Effect.succeed(notFound("no such job"))

type JobResponse = Effect.Effect<OutgoingResponse, StoreError>

/** Answers users' requests about jobs. Fails with `StoreError` if the store is unavailable. */
export class JobRequests {
  constructor(
    private readonly platform: Platform,
    private readonly backend: ApiBackend,
    private readonly clocks: Clocks,
    private readonly retryAfterS: number,
  ) {}

  /** Submits a job. A repeated submission gets the state of the job that was accepted before. */
  submit(body: string): JobResponse {
    const json = parseJson(body)
    if (json === undefined) return Effect.succeed(badRequest("not JSON"))
    if (typeof json !== "object" || json === null || Array.isArray(json))
      return Effect.succeed(badRequest("not an object"))
    const decoded = decodeJobSpec(json)
    if (Result.isFailure(decoded)) return Effect.succeed(badRequest(decoded.failure.message))
    const spec = decoded.success
    const { deployment } = this.platform
    const verdict = judgeAdmissibility(spec, deployment, this.backend.machineTypes())
    switch (verdict.kind) {
      case "admissible":
        return this.accept(spec)
      case "inadmissible":
        return this.existingJobOr(spec.id, unprocessable(verdict.reason))
      case "undecided":
        return this.existingJobOr(spec.id, unavailable(503, verdict.reason, this.retryAfterS))
    }
  }

  /** Responds with the job if it was accepted before, even if its submission would now be refused. */
  private existingJobOr(id: JobId, refusal: OutgoingResponse): JobResponse {
    return Effect.map(this.backend.jobs.find(id), (found) =>
      found.kind === "none" ? refusal : this.viewResponse(id, found),
    )
  }

  private accept(spec: JobSpec): JobResponse {
    return Effect.suspend(() => {
      const record = { spec, submittedAt: this.clocks.wallNow(), cancelled: false }
      return Effect.map(this.backend.jobs.accept(record), (found) => {
        switch (found.kind) {
          case "accepted":
            return { status: 201, body: encodeJobView({ id: spec.id, status: "queued" }) }
          case "tooLarge":
            return unprocessable("the job's description is too large to be stored")
          case "none":
            return unavailable(503, "the job's state can't be read now", this.retryAfterS)
          default:
            return this.viewResponse(spec.id, found)
        }
      })
    })
  }

  /** Responds with a job's status, and with its task counts while it is live. */
  poll(id: string): JobResponse {
    if (!isJobId(id)) return NO_SUCH_JOB
    return Effect.map(this.backend.jobs.find(id), (found) => this.viewResponse(id, found))
  }

  /** Cancels a job. For a job that has ended, responds with its final state. */
  cancel(id: string): JobResponse {
    if (!isJobId(id)) return NO_SUCH_JOB
    return Effect.map(this.backend.jobs.cancel(id), (found) =>
      found.kind === "live"
        ? { status: 200, body: encodeJobView({ id, status: "cancelled" }) }
        : this.viewResponse(id, found),
    )
  }

  private viewResponse(id: JobId, found: JobLookup): OutgoingResponse {
    if (found.kind === "none") return notFound("no such job")
    if (found.kind === "final") return { status: 200, body: encodeJobView({ id, status: found.status }) }
    if (found.record.cancelled) return { status: 200, body: encodeJobView({ id, status: "cancelled" }) }
    const counts = this.backend.taskCounts(id)
    const status = counts.running > 0 ? "running" : "queued"
    return { status: 200, body: encodeJobView({ id, status, ...counts }) }
  }
}
