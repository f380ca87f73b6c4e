/**
 * The protocol's invariants about answers to users: nothing forgotten, invented or taken
 * back, whichever node answers.
 */
import type { WireJob } from "@sorreltally/protocol"
import type { Simulation } from "../simulation/simulation.ts"

/** What a user asked of a job. */
export type UserRequestKind = "submit" | "poll" | "cancel"
/** A job's final state, as the protocol writes it. */
export type FinalState = "done" | "withdrawn"
/** Why a submission has to be refused. */
export type Refusal = "malformed" | "unfit"

/** What any node answered users about an accepted job, and when that first arrived. */
interface ReportedState {
  readonly acceptedAt: number
  state: string
  final: { readonly state: FinalState; readonly at: number } | null
}

/** What users asked for and were answered, job by job. Times are in milliseconds; names are those of fixtures. */
export interface UserInvariantsDump {
  readonly submitted: ReadonlyArray<readonly [job: string, request: WireJob]>
  readonly submittedAt: ReadonlyArray<readonly [job: string, at: number]>
  readonly askedToCancel: ReadonlyArray<string>
  readonly cancelledAt: ReadonlyArray<readonly [job: string, at: number]>
  readonly told: ReadonlyArray<readonly [job: string, state: ReportedState]>
  /** Indexes of the tasks that completed. */
  readonly finishedTasks: ReadonlyArray<readonly [job: string, indexes: ReadonlyArray<number>]>
}

const FORGOTTEN_MS = 75_000
const REFUSAL_STATUS: Record<Refusal, number> = { malformed: 400, unfit: 422 }
/** A node that can't decide, or is too busy, may say so. */
const UNDECIDED: ReadonlySet<number> = new Set([0, 429, 503, 504])

/** Checks what users are answered about their jobs, across all nodes and by the millisecond. */
export class UserInvariants {
  readonly submitted = new Map<string, WireJob>()
  readonly submittedAt = new Map<string, number>()
  readonly askedToCancel = new Set<string>()
  /** When a user first received that the job is cancelled. */
  readonly cancelledAt = new Map<string, number>()
  private readonly reported = new Map<string, ReportedState>()
  private readonly refusable = new Map<string, Refusal>()
  /** First question about a job since one was answered. */
  private readonly unansweredSince = new Map<string, number>()
  /** When a job's first task completed. */
  readonly firstFinishedAt = new Map<string, number>()
  private readonly doneTasks = new Map<string, Set<number>>()

  constructor(
    private readonly simulation: Simulation,
    private readonly report: (rule: string, what: string) => void,
  ) {}

  /** What it knows, as plain data. */
  dump(): UserInvariantsDump {
    return {
      submitted: [...this.submitted],
      submittedAt: [...this.submittedAt],
      askedToCancel: [...this.askedToCancel],
      cancelledAt: [...this.cancelledAt],
      told: [...this.reported].map(([job, reported]) => [job, { ...reported }]),
      finishedTasks: [...this.doneTasks].map(([job, indexes]) => [job, [...indexes]]),
    }
  }
  /** Later answers are checked against those before the dump, too. */
  restore(dump: UserInvariantsDump): void {
    for (const [job, request] of dump.submitted) this.submitted.set(job, request)
    for (const [job, at] of dump.submittedAt) this.submittedAt.set(job, at)
    for (const job of dump.askedToCancel) this.askedToCancel.add(job)
    for (const [job, at] of dump.cancelledAt) this.cancelledAt.set(job, at)
    for (const [job, reported] of dump.told) this.reported.set(job, { ...reported })
    for (const [job, indexes] of dump.finishedTasks) this.doneTasks.set(job, new Set(indexes))
  }

  /** A user submits a job that can run. */
  submits(request: WireJob): void {
    this.submitted.set(request.id, request)
    this.submittedAt.set(request.id, this.simulation.now)
  }
  /** A user submits what no node may accept. */
  submitsInvalid(job: string, refusal: Refusal): void {
    this.refusable.set(job, refusal)
  }
  asksToCancel(job: string): void {
    this.askedToCancel.add(job)
  }
  /** A question about a job was sent to a node. */
  asked(job: string): void {
    if (!this.unansweredSince.has(job)) this.unansweredSince.set(job, this.simulation.now)
  }

  finished(job: string, index: number): void {
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
  /** All tasks of the job have completed. */
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
   * A user was answered. Whatever any node's answer had said by the time this
   * question was asked binds this answer; what came later doesn't.
   */
  answered(job: string, kind: UserRequestKind, status: number, state: string | null, asked: number): void {
    const reported = this.reported.get(job)
    this.checkRefused(job, kind, status)
    if (reported !== undefined && reported.acceptedAt <= asked) this.checkKnown(job, kind, status)
    if (status !== 200 && status !== 201) return
    this.unansweredSince.delete(job)
    if (!this.submitted.has(job) && !this.refusable.has(job)) this.report("invented", job)
    if (state === "done" && !this.isComplete(job)) {
      this.report("not_done", `${job}: ${this.doneTasks.get(job)?.size ?? 0} tasks are done`)
    }
    if (state === "withdrawn" && !this.askedToCancel.has(job))
      this.report("went_back", `${job}: nobody cancelled it`)
    this.checkOrder(job, state, reported, asked)
    this.remember(job, state)
  }

  private checkRefused(job: string, kind: UserRequestKind, status: number): void {
    const refusal = this.refusable.get(job)
    if (refusal === undefined || kind !== "submit" || UNDECIDED.has(status)) return
    if (status === 200 || status === 201)
      this.report("accepted_unfit", `${job}: ${refusal}, answered ${status}`)
    else if (status !== REFUSAL_STATUS[refusal])
      this.report("wrong_refusal", `${job}: ${refusal}, answered ${status}`)
  }
  private checkKnown(job: string, kind: UserRequestKind, status: number): void {
    const refused = kind === "submit" && (status === 400 || status === 422)
    if (status === 404 || refused) this.report("forgotten", `${job}: ${kind} answered ${status}`)
  }
  private checkOrder(
    job: string,
    state: string | null,
    reported: ReportedState | undefined,
    asked: number,
  ): void {
    const final = reported?.final ?? null
    if (final === null || state === final.state) return
    const bound = final.at <= asked || state === "done" || state === "withdrawn"
    if (bound) this.report("went_back", `${job}: ${final.state}, now ${state}`)
  }
  private remember(job: string, state: string | null): void {
    const now = this.simulation.now
    const reported = this.reported.get(job) ?? { acceptedAt: now, state: "queued", final: null }
    this.reported.set(job, reported)
    if (reported.final !== null) return
    reported.state = state ?? "queued"
    if (state === "done" || state === "withdrawn") reported.final = { state, at: now }
    if (state === "withdrawn" && !this.cancelledAt.has(job)) this.cancelledAt.set(job, now)
  }

  /**
   * Whoever asks about an accepted job has to get an answer in time, however
   * others fare; the time counts while no fault is on.
   */
  checkAnswered(quietFrom: number): void {
    for (const [job, since] of this.unansweredSince) {
      if (!this.reported.has(job) || this.simulation.now <= Math.max(since, quietFrom) + FORGOTTEN_MS)
        continue
      this.report("forgotten", `${job}: no answer for ${FORGOTTEN_MS / 1000} s`)
      this.unansweredSince.set(job, this.simulation.now)
    }
  }
}
