/**
 * The HTTP interface for users, workers and health checks (protocol, "Users -> controller nodes" and
 * "Workers -> controller nodes"), apart from the sockets: routes requests, admits those of users within a
 * limit, and sees that each is answered in time. It decides nothing about jobs or machines.
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
import type { ApiBackend } from "./backend.ts"
import { ConcurrencyLimiter } from "./concurrency-limiter.ts"
import { JobRequests } from "./job-requests.ts"
import { badRequest, notFound, parseJson, unavailable } from "./responses.ts"

/** Users wait 5 s for a submission and 2 s for a poll; a final "no" in time is worth more than silence. */
const SUBMIT_TIMEOUT_MS = 3_500
const POLL_TIMEOUT_MS = 1_500
/** Where workers send their heartbeats, with POST. */
export const HEARTBEAT_PATH = "/v1/report"
const JOB_PATH = /^\/v1\/jobs\/([^/]+)(\/cancel)?$/

/** Serves requests; none of its methods throws or fails, every outcome is a response. */
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

  /** The response to any request; interrupting it gives the request up, not what it has already written. */
  handle(request: IncomingRequest): Effect.Effect<OutgoingResponse> {
    const path = request.path.split("?")[0] ?? request.path
    if (path === "/ready") return onlyFor("GET", request, () => Effect.succeed(this.readiness()))
    if (path === HEARTBEAT_PATH) return onlyFor("POST", request, () => this.heartbeatResponse(request.body))
    if (path === "/v1/jobs")
      return onlyFor("POST", request, () =>
        this.admit(() => this.jobs.submit(request.body), SUBMIT_TIMEOUT_MS),
      )
    const [, id, cancel] = JOB_PATH.exec(path) ?? []
    if (id === undefined) return Effect.succeed(notFound("no such path"))
    return cancel === undefined
      ? onlyFor("GET", request, () => this.admit(() => this.jobs.poll(id), POLL_TIMEOUT_MS))
      : onlyFor("POST", request, () => this.admit(() => this.jobs.cancel(id), SUBMIT_TIMEOUT_MS))
  }

  /**
   * Answers a worker's heartbeat. No fiber is made for it: heartbeats are by far the most of a node's requests.
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
   * Within the limit on requests in progress, and with a response in time whatever happens. What isn't
   * admitted is never begun: not even its body is decoded.
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

/** 405 for any other method. */
const onlyFor = (
  method: IncomingRequest["method"],
  request: IncomingRequest,
  respond: () => Effect.Effect<OutgoingResponse>,
): Effect.Effect<OutgoingResponse> =>
  request.method === method ? respond() : Effect.succeed({ status: 405, body: { error: `only ${method}` } })
