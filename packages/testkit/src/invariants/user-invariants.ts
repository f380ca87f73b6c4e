/**
 * The protocol's invariants about answers to users: no node forgets an accepted job, reports a job that
 * was never submitted, or retracts a final state.
 */
import type { WireJob } from "@sorreltally/protocol"
import type { Simulation } from "../simulation/simulation.ts"

/** Kind of a user's request about a job. */
export type UserRequestKind = "submit" | "poll" | "cancel"
/** A job's final state, as the protocol writes it. */
export type FinalState = "done" | "withdrawn"
/** Reason for which a submission must be refused: malformed, or impossible to run for any machine or team. */
export type RefusalReason = "malformed" | "unfit"

/** State of an accepted job as any node reported it to users, and when each part was first received. */
interface ReportedState {
  readonly acceptedAt: number
  state: string
  final: { readonly state: FinalState; readonly at: number } | null
}

/**
 * Requests of users and the answers that they received, by job. Times are in milliseconds. Field names are
 * those of the stored fixtures.
 */
export interface UserInvariantsDump {
  readonly submitted: ReadonlyArray<readonly [job: string, request: WireJob]>
  readonly submittedAt: ReadonlyArray<readonly [job: string, at: number]>
  readonly askedToCancel: ReadonlyArray<string>
  readonly cancelledAt: ReadonlyArray<readonly [job: string, at: number]>
  readonly told: ReadonlyArray<readonly [job: string, state: ReportedState]>
  /** Indexes of the finished tasks. */
  readonly finishedTasks: ReadonlyArray<readonly [job: string, indexes: ReadonlyArray<number>]>
}

/** A request about an accepted job is answered within this time while no fault is active. */
const ANSWER_DEADLINE_MS = 75_000
const REFUSAL_STATUS: Record<RefusalReason, number> = { malformed: 400, unfit: 422 }
/** Statuses of a node that is unreachable (0), overloaded (429), or can't decide yet (503, 504). */
const INCONCLUSIVE_STATUSES: ReadonlySet<number> = new Set([0, 429, 503, 504])

/** Checks the answers to users about their jobs, across all nodes, in the order of simulated time. */
export class UserInvariants {
  readonly submitted = new Map<string, WireJob>()
  readonly submittedAt = new Map<string, number>()
  readonly cancelRequested = new Set<string>()
  /** When a user first received the confirmation that the job is cancelled. */
  readonly cancelledAt = new Map<string, number>()
  private readonly reported = new Map<string, ReportedState>()
  private readonly invalidJobs = new Map<string, RefusalReason>()
  /** When the first request about a job was sent since the last one was answered. */
  private readonly unansweredSince = new Map<string, number>()
  /** When the first task of a job finished. */
  readonly firstFinishedAt = new Map<string, number>()
  private readonly doneTasks = new Map<string, Set<number>>()

  constructor(
    private readonly simulation: Simulation,
    private readonly reportViolation: (rule: string, detail: string) => void,
  ) {}

  /** Returns the recorded requests and answers as plain data. */
  dump(): UserInvariantsDump {
    return {
      submitted: [...this.submitted],
      submittedAt: [...this.submittedAt],
      askedToCancel: [...this.cancelRequested],
      cancelledAt: [...this.cancelledAt],
      told: [...this.reported].map(([job, reported]) => [job, { ...reported }]),
      finishedTasks: [...this.doneTasks].map(([job, indexes]) => [job, [...indexes]]),
    }
  }
  /** Restores a dump, so that later answers are checked against those from before it, too. */
  restore(dump: UserInvariantsDump): void {
    for (const [job, request] of dump.submitted) this.submitted.set(job, request)
    for (const [job, at] of dump.submittedAt) this.submittedAt.set(job, at)
    for (const job of dump.askedToCancel) this.cancelRequested.add(job)
    for (const [job, at] of dump.cancelledAt) this.cancelledAt.set(job, at)
    for (const [job, reported] of dump.told) this.reported.set(job, { ...reported })
    for (const [job, indexes] of dump.finishedTasks) this.doneTasks.set(job, new Set(indexes))
  }

  /** Records that a user submits a valid job. */
  recordSubmission(request: WireJob): void {
    this.submitted.set(request.id, request)
    this.submittedAt.set(request.id, this.simulation.now)
  }
  /** Records that a user submits a job that every node must refuse. */
  recordInvalidSubmission(job: string, refusal: RefusalReason): void {
    this.invalidJobs.set(job, refusal)
  }
  recordCancelRequest(job: string): void {
    this.cancelRequested.add(job)
  }
  /** Records that a request about a job was sent to a node. */
  recordRequest(job: string): void {
    if (!this.unansweredSince.has(job)) this.unansweredSince.set(job, this.simulation.now)
  }

  taskFinished(job: string, index: number): void {
    if (!this.firstFinishedAt.has(job)) this.firstFinishedAt.set(job, this.simulation.now)
    const done = this.doneTasks.get(job) ?? new Set()
    this.doneTasks.set(job, done.add(index))
  }
  isFinished(job: string, index: number): boolean {
    return this.doneTasks.get(job)?.has(index) === true
  }
  finishedTasks(job: string): number {
    return this.doneTasks.get(job)?.size ?? 0
  }
  /** All tasks of the job have finished. */
  isComplete(job: string): boolean {
    return this.finishedTasks(job) >= (this.submitted.get(job)?.pieces ?? 0)
  }

  state(job: string): string | null {
    return this.reported.get(job)?.state ?? null
  }
  isAccepted(job: string): boolean {
    return this.reported.has(job)
  }
  finalState(job: string): FinalState | null {
    return this.reported.get(job)?.final?.state ?? null
  }

  /**
   * Checks and records an answer to a user. It must agree with all answers, of any node, that users had
   * received by `askedAt`, when this request was sent; answers received later don't bind it.
   */
  recordAnswer(
    job: string,
    kind: UserRequestKind,
    status: number,
    state: string | null,
    askedAt: number,
  ): void {
    const reported = this.reported.get(job)
    this.checkRefusal(job, kind, status)
    if (reported !== undefined && reported.acceptedAt <= askedAt) this.checkKnown(job, kind, status)
    if (status !== 200 && status !== 201) return
    this.unansweredSince.delete(job)
    if (!this.submitted.has(job) && !this.invalidJobs.has(job))
      this.reportViolation("invented", `${job}: never submitted`)
    if (state === "done" && !this.isComplete(job)) {
      this.reportViolation("not_done", `${job}: answered done with ${this.finishedTasks(job)} finished tasks`)
    }
    if (state === "withdrawn" && !this.cancelRequested.has(job))
      this.reportViolation("went_back", `${job}: answered withdrawn without a cancel request`)
    this.checkFinalState(job, state, reported, askedAt)
    this.recordState(job, state)
  }

  private checkRefusal(job: string, kind: UserRequestKind, status: number): void {
    const refusal = this.invalidJobs.get(job)
    if (refusal === undefined || kind !== "submit" || INCONCLUSIVE_STATUSES.has(status)) return
    if (status === 200 || status === 201)
      this.reportViolation("accepted_unfit", `${job}: ${refusal}, answered ${status}`)
    else if (status !== REFUSAL_STATUS[refusal])
      this.reportViolation("wrong_refusal", `${job}: ${refusal}, answered ${status}`)
  }
  private checkKnown(job: string, kind: UserRequestKind, status: number): void {
    const refused = kind === "submit" && (status === 400 || status === 422)
    if (status === 404 || refused) this.reportViolation("forgotten", `${job}: ${kind} answered ${status}`)
  }
  private checkFinalState(
    job: string,
    state: string | null,
    reported: ReportedState | undefined,
    askedAt: number,
  ): void {
    const final = reported?.final ?? null
    if (final === null || state === final.state) return
    const mustMatch = final.at <= askedAt || state === "done" || state === "withdrawn"
    if (mustMatch) this.reportViolation("went_back", `${job}: answered ${state} after ${final.state}`)
  }
  private recordState(job: string, state: string | null): void {
    const now = this.simulation.now
    const reported = this.reported.get(job) ?? { acceptedAt: now, state: "queued", final: null }
    this.reported.set(job, reported)
    if (reported.final !== null) return
    reported.state = state ?? "queued"
    if (state === "done" || state === "withdrawn") reported.final = { state, at: now }
    if (state === "withdrawn" && !this.cancelledAt.has(job)) this.cancelledAt.set(job, now)
  }

  /**
   * Reports accepted jobs with requests that were not answered within `ANSWER_DEADLINE_MS`, whether or not
   * other jobs' requests are answered. The time counts from the end of the last fault.
   */
  checkUnanswered(lastFaultEndsAt: number): void {
    for (const [job, since] of this.unansweredSince) {
      if (
        !this.reported.has(job) ||
        this.simulation.now <= Math.max(since, lastFaultEndsAt) + ANSWER_DEADLINE_MS
      )
        continue
      this.reportViolation("forgotten", `${job}: no answer for ${ANSWER_DEADLINE_MS / 1000} s`)
      this.unansweredSince.set(job, this.simulation.now)
    }
  }
}
