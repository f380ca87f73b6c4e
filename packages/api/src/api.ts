import { allowed } from "@sorreltally/planner"
import {
  type Clocks,
  decodeHeartbeat,
  decodeJobSpec,
  encodeJobView,
  type Heartbeat,
  type IncomingRequest,
  type JobId,
  JobId as JobIdSchema,
  type JobSpec,
  type MachineType,
  type MachineTypeName,
  type OutgoingResponse,
  type Respond,
} from "@sorreltally/protocol"
import type { Operators, Platform } from "@sorreltally/settings"
import type { FinalStatus, JobRecord, StoreError } from "@sorreltally/store"
import { Effect, Option, Result, Schema } from "effect"
import { Limiter } from "./concurrency-limiter.ts"

type Found =
  | { readonly kind: "live"; readonly record: JobRecord }
  | { readonly kind: "final"; readonly status: FinalStatus }
  | { readonly kind: "none" }

/** All jobs of the deployment. What is found is not older than the question. */
export interface JobService {
  readonly find: (id: JobId) => Effect.Effect<Found, StoreError>
  /** Durably; what is found otherwise was accepted before. */
  readonly accept: (record: JobRecord) => Effect.Effect<Found | { readonly kind: "accepted" }, StoreError>
  /** Durably: what is live then is cancelled. A job that is over stays as it is. */
  readonly cancel: (id: JobId) => Effect.Effect<Found, StoreError>
}

/** What the users' side asks of the controller behind it. */
export interface ApiBackend {
  readonly ready: () => boolean
  readonly catalog: () => ReadonlyMap<MachineTypeName, MachineType> | null
  readonly jobs: JobService
  readonly counts: (id: JobId) => { readonly done: number; readonly running: number }
  readonly report: (body: Heartbeat, answer: Respond) => void
}

/** Users wait 5 s for a submission and 2 s for a poll; a final "no" in time is worth more than silence. */
const SUBMIT_MS = 3_500
const POLL_MS = 1_500
/** Where workers report. */
export const REPORT_PATH = "/v1/report"
const isJobId = Schema.is(JobIdSchema)

/** The HTTP interface for users, workers and health checks, apart from the sockets. */
export class Api {
  private readonly limiter: Limiter

  constructor(
    private readonly platform: Platform,
    private readonly operators: Operators,
    private readonly backend: ApiBackend,
    private readonly clocks: Clocks,
  ) {
    const { admission } = operators
    this.limiter = new Limiter({ least: admission.minInProgress, most: admission.maxInProgress })
  }

  handle(request: IncomingRequest): Effect.Effect<OutgoingResponse> {
    const path = request.path.split("?")[0] ?? request.path
    if (path === "/ready") return this.only("GET", request, () => Effect.succeed(this.ready()))
    if (path === REPORT_PATH) return this.only("POST", request, () => this.reported(request.body))
    if (path === "/v1/jobs")
      return this.only("POST", request, () => this.admitted(this.submit(request), SUBMIT_MS))
    const job = /^\/v1\/jobs\/([^/]+)(\/cancel)?$/.exec(path)
    if (job === null) return Effect.succeed({ status: 404, body: { error: "no such path" } })
    const id = job[1] ?? ""
    return job[2] === undefined
      ? this.only("GET", request, () => this.admitted(this.poll(id), POLL_MS))
      : this.only("POST", request, () => this.admitted(this.cancel(id), SUBMIT_MS))
  }

  private only(
    method: string,
    request: IncomingRequest,
    run: () => Effect.Effect<OutgoingResponse>,
  ): Effect.Effect<OutgoingResponse> {
    return request.method === method
      ? run()
      : Effect.succeed({ status: 405, body: { error: `only ${method}` } })
  }

  private ready(): OutgoingResponse {
    return this.backend.ready() ? { status: 200, body: {} } : { status: 503, body: {} }
  }

  private reported(body: string): Effect.Effect<OutgoingResponse> {
    return Effect.callback<OutgoingResponse>((resume) =>
      this.report(body, (outgoing) => resume(Effect.succeed(outgoing))),
    )
  }
  /** Answers a worker's report. No fiber is made for it: reports are by far the most of a node's requests. */
  report(body: string, answer: Respond): void {
    const report = decodeHeartbeat(parse(body))
    if (Result.isFailure(report)) answer({ status: 400, body: { error: report.failure.message } })
    else this.backend.report(report.success, answer)
  }

  private later(status: 429 | 503, error: string): OutgoingResponse {
    return { status, body: { error }, retryAfterS: this.operators.admission.retryAfterS }
  }

  /** Within the limit on requests in progress, and with an answer in time whatever happens. */
  private admitted(
    work: Effect.Effect<OutgoingResponse, StoreError>,
    withinMs: number,
  ): Effect.Effect<OutgoingResponse> {
    return Effect.suspend(() => {
      const leave = this.limiter.enter(this.clocks.monotonicNow())
      if (leave === null) return Effect.succeed(this.later(429, "too many requests in progress"))
      return work.pipe(
        Effect.timeoutOption(withinMs),
        Effect.map(Option.getOrElse(() => this.later(503, "the state service did not answer"))),
        Effect.catchTag("StoreError", () =>
          Effect.succeed(this.later(503, "the state service can't be used now")),
        ),
        Effect.ensuring(Effect.sync(() => leave(this.clocks.monotonicNow()))),
      )
    })
  }

  // --- submissions ------------------------------------------------------------

  private submit(incoming: IncomingRequest): Effect.Effect<OutgoingResponse, StoreError> {
    return Effect.gen({ self: this }, function* () {
      const body = parse(incoming.body)
      if (body === undefined) return bad("not JSON")
      if (typeof body !== "object" || body === null || Array.isArray(body)) return bad("not an object")
      const decoded = decodeJobSpec(body)
      if (Result.isFailure(decoded)) return bad(decoded.failure.message)
      const request = decoded.success
      const refusal = this.refusal(request)
      if (refusal !== null) {
        // A job once accepted stays accepted, whatever we would say to it today.
        const found = yield* this.backend.jobs.find(request.id)
        if (found.kind !== "none") return this.view(request.id, found)
        return refusal
      }
      const record: JobRecord = { spec: request, submittedAt: this.clocks.wallNow(), cancelled: false }
      const found = yield* this.backend.jobs.accept(record)
      if (found.kind === "accepted")
        return { status: 201, body: encodeJobView({ id: request.id, status: "queued" }) }
      if (found.kind === "none") return this.later(503, "the job's state can't be read now")
      return this.view(request.id, found)
    })
  }

  /** Null: the job can run. */
  private refusal(request: JobSpec): OutgoingResponse | null {
    const { teams, zones } = this.platform.deployment
    const team = teams.find((t) => t.name === request.team)
    if (team === undefined) return never(`unknown team ${request.team}`)
    if (request.cores > team.maxCpus || request.accelerators > team.maxGpus) {
      return never(`a task needs more than the limit of team ${team.name}`)
    }
    const catalog = this.backend.catalog()
    if (catalog === null) return this.later(503, "the machine types aren't known yet")
    const places = new Set<string>()
    for (const type of catalog.values()) {
      for (const zone of type.zones) {
        if (zones.includes(zone) && allowed(request, { type, zone, spot: false })) places.add(zone)
      }
    }
    if (places.size === 0) return never("a task fits no allowed machine type")
    if (request.spreadZones && request.taskCount > 1 && (request.singleZone || places.size < 2)) {
      return never("its tasks can't be scattered over the allowed zones")
    }
    return null
  }

  // --- polls and cancellations --------------------------------------------------

  private view(id: JobId, found: Found): OutgoingResponse {
    if (found.kind === "none") return { status: 404, body: { error: "no such job" } }
    if (found.kind === "final") return { status: 200, body: encodeJobView({ id, status: found.status }) }
    if (found.record.cancelled) return { status: 200, body: encodeJobView({ id, status: "cancelled" }) }
    const counts = this.backend.counts(id)
    const status = counts.running > 0 ? "running" : "queued"
    return { status: 200, body: encodeJobView({ id, status, ...counts }) }
  }

  private poll(id: string): Effect.Effect<OutgoingResponse, StoreError> {
    if (!isJobId(id)) return Effect.succeed({ status: 404, body: { error: "no such job" } })
    return Effect.map(this.backend.jobs.find(id), (found) => this.view(id, found))
  }

  private cancel(id: string): Effect.Effect<OutgoingResponse, StoreError> {
    if (!isJobId(id)) return Effect.succeed({ status: 404, body: { error: "no such job" } })
    return Effect.map(this.backend.jobs.cancel(id), (found) => {
      const cancelled = found.kind === "live"
      return cancelled
        ? { status: 200, body: encodeJobView({ id, status: "cancelled" }) }
        : this.view(id, found)
    })
  }
}

const bad = (error: string): OutgoingResponse => ({ status: 400, body: { error } })
const never = (error: string): OutgoingResponse => ({ status: 422, body: { error } })
const parse = (text: string): unknown => {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
