/**
 * The HTTP interface for users, workers and health checks (protocol, "Users -> controller nodes" and "Workers
 * -> controller nodes"), without the sockets: routes requests, limits the concurrent requests of users, and
 * bounds the response time of each. Decisions about jobs and machines are left to `ApiBackend`.
 */
import {
  type Clocks,
  decodeHeartbeat,
  type IncomingRequest,
  type OutgoingResponse,
  type Respond,
} from "@sorreltally/protocol"
import type { AdmissionSettings, Operators, Platform } from "@sorreltally/settings"
import type { StoreError } from "@sorreltally/store"
import { Effect, Option, Result } from "effect"
import { PrometheusMetrics } from "effect/observability"
import type { ApiBackend } from "./backend.ts"
import { ConcurrencyLimiter } from "./concurrency-limiter.ts"
import { JobRequests } from "./job-requests.ts"
import { badRequest, notFound, parseJson, unavailable } from "./responses.ts"

/**
 * Users wait 5 s for a submission and 2 s for a poll: a 503 before that is more useful to them than a
 * time-out.
 */
const SUBMIT_TIMEOUT_MS = 3_500
const POLL_TIMEOUT_MS = 1_500
/** Path to which workers POST their heartbeats. */
export const HEARTBEAT_PATH = "/v1/report"
const METRICS_PATH = "/metrics"
const METRICS_CONTENT_TYPE = "text/plain; version=0.0.4"
const JOB_PATH = /^\/v1\/jobs\/([^/]+)(\/cancel)?$/

/** All metrics of the process in the Prometheus text format. */
const metricsResponse: Effect.Effect<OutgoingResponse> = Effect.map(PrometheusMetrics.format(), (text) => ({
  status: 200,
  body: text,
  contentType: METRICS_CONTENT_TYPE,
}))

/** Serves requests. No method throws or fails: every outcome is a response. */
export class Api {
  private readonly admission: AdmissionSettings
  private readonly limiter: ConcurrencyLimiter
  private readonly jobs: JobRequests

  constructor(
    platform: Platform,
    operators: Operators,
    private readonly backend: ApiBackend,
    private readonly clocks: Clocks,
  ) {
    const { minInProgress, maxInProgress, retryAfterS } = operators.admission
    this.admission = operators.admission
    this.limiter = new ConcurrencyLimiter({ minLimit: minInProgress, maxLimit: maxInProgress })
    this.jobs = new JobRequests(platform, backend, clocks, retryAfterS)
  }

  /**
   * Handles any request. Interruption abandons the request but doesn't undo what it has already written to
   * the store.
   */
  handle(request: IncomingRequest): Effect.Effect<OutgoingResponse> {
    const path = request.path.split("?")[0] ?? request.path
    if (path === "/ready") return allowOnlyMethod("GET", request, () => Effect.succeed(this.readiness()))
    if (path === METRICS_PATH) return allowOnlyMethod("GET", request, () => metricsResponse)
    if (path === HEARTBEAT_PATH)
      return allowOnlyMethod("POST", request, () => this.heartbeatResponse(request.body))
    if (path === "/v1/jobs")
      return allowOnlyMethod("POST", request, () =>
        this.admit(() => this.jobs.submit(request.body), SUBMIT_TIMEOUT_MS),
      )
    const [, id, cancel] = JOB_PATH.exec(path) ?? []
    if (id === undefined) return Effect.succeed(notFound("no such path"))
    return cancel === undefined
      ? allowOnlyMethod("GET", request, () => this.admit(() => this.jobs.poll(id), POLL_TIMEOUT_MS))
      : allowOnlyMethod("POST", request, () => this.admit(() => this.jobs.cancel(id), SUBMIT_TIMEOUT_MS))
  }

  /**
   * Answers a worker's heartbeat, without creating a fiber: heartbeats are by far the most frequent requests.
   * @param body The request's raw text.
   */
  receiveHeartbeat(body: string, respond: Respond): void {
    const heartbeat = decodeHeartbeat(parseJson(body))
    if (Result.isFailure(heartbeat)) respond(badRequest(heartbeat.failure.message))
    else this.backend.receiveHeartbeat(heartbeat.success, respond)
  }
  private heartbeatResponse(body: string): Effect.Effect<OutgoingResponse> {
    return Effect.callback<OutgoingResponse>((resume) =>
      this.receiveHeartbeat(body, (outgoing) => resume(Effect.succeed(outgoing))),
    )
  }

  private readiness(): OutgoingResponse {
    return { status: this.backend.isReady() ? 200 : 503, body: {} }
  }

  /**
   * Runs a request within the limit on requests in progress, and responds within the time-out in every case.
   * A request that is not admitted is not started; its body is not decoded either.
   */
  private admit(
    respond: () => Effect.Effect<OutgoingResponse, StoreError>,
    timeoutMs: number,
  ): Effect.Effect<OutgoingResponse> {
    return Effect.suspend(() => {
      const release = this.limiter.tryAcquire(this.clocks.monotonicNow())
      if (release === null) return Effect.succeed(this.retryLater(429, "too many requests in progress"))
      return Effect.suspend(respond).pipe(
        Effect.timeoutOption(timeoutMs),
        Effect.map(Option.getOrElse(() => this.retryLater(503, "the state service did not answer"))),
        Effect.catchTag("StoreError", () =>
          Effect.succeed(this.retryLater(503, "the state service can't be used now")),
        ),
        Effect.ensuring(Effect.sync(() => release(this.clocks.monotonicNow()))),
      )
    })
  }
  private retryLater(status: 429 | 503, error: string): OutgoingResponse {
    return unavailable(status, error, this.admission.retryAfterS)
  }
}

/** Responds 405 to any method other than `method`. */
const allowOnlyMethod = (
  method: IncomingRequest["method"],
  request: IncomingRequest,
  respond: () => Effect.Effect<OutgoingResponse>,
): Effect.Effect<OutgoingResponse> =>
  request.method === method ? respond() : Effect.succeed({ status: 405, body: { error: `only ${method}` } })
