/**
 * A stand-in of the users. They only do what the protocol lets them, and hand every answer
 * to the invariants.
 */
import type { JobId, NodeName, WireJob } from "@sorreltally/protocol"
import type { UserInvariants, UserRequestKind } from "../invariants/user-invariants.ts"
import type { Network } from "../simulation/network.ts"
import type { Simulation } from "../simulation/simulation.ts"

/** A user's request was answered; status 0: not in time. */
type Answered = (status: number, state: string | null) => void
/** A user received a first answer that says so. */
export type UserEvent = "accepted" | "cancelled"

const ANSWER_MS: Record<UserRequestKind, number> = { submit: 5_000, poll: 2_000, cancel: 5_000 }
const RETRY_MS = 1_000
const POLL_EVERY_MS = 5_000

/** A stand-in of the users: they submit, poll and cancel jobs as the protocol says, at any node. */
export class Users {
  readonly jobs: Array<JobId> = []
  /** Called as soon as a user received such an answer. */
  readonly listeners: Array<(event: UserEvent, job: JobId) => void> = []

  constructor(
    private readonly simulation: Simulation,
    private readonly network: Network,
    private readonly invariants: UserInvariants,
    readonly nodes: ReadonlyArray<NodeName>,
  ) {}

  /** Asks one node, any by default. */
  ask(kind: UserRequestKind, job: string, body: unknown, done: Answered, at?: NodeName): void {
    const asked = this.simulation.now
    let over = false
    const finish = (status: number, state: string | null) => {
      if (over) return
      over = true
      this.invariants.recordAnswer(job, kind, status, state, asked)
      done(status, state)
    }
    this.invariants.recordRequest(job)
    this.simulation.after(ANSWER_MS[kind], () => finish(0, null))
    const request = { method: kind === "poll" ? "GET" : "POST", path: pathOf(kind, job), body }
    this.network.request("users", at ?? this.simulation.random.pick(this.nodes), request, (answer) =>
      finish(answer?.status ?? 0, stateOf(answer?.body)),
    )
  }

  submit(request: WireJob): void {
    this.invariants.recordSubmission(request)
    this.jobs.push(request.id)
    this.attempt(request)
  }
  /** Goes on with jobs that were submitted to an earlier deployment, and that the invariants know. */
  resume(jobs: Iterable<JobId>): void {
    for (const id of jobs) {
      this.jobs.push(id)
      if (this.invariants.isAccepted(id)) this.poll(id)
      else this.attempt(this.invariants.submitted.get(id)!)
      if (this.invariants.cancelRequested.has(id) && this.invariants.finalState(id) === null) this.cancel(id)
    }
  }
  private attempt(request: WireJob): void {
    const attempt = () =>
      this.ask("submit", request.id, request, (status) => {
        if (status === 200 || status === 201) this.accepted(request.id)
        else if (status !== 400 && status !== 422) this.simulation.after(RETRY_MS, attempt)
      })
    attempt()
  }
  private accepted(id: JobId): void {
    this.poll(id)
    this.notify("accepted", id)
  }
  /** A repeated submission, at any later time. */
  resubmit(id: JobId, at?: NodeName): void {
    this.ask("submit", id, this.invariants.submitted.get(id), () => {}, at)
  }
  /** One question at one node. */
  pollAt(id: JobId, at: NodeName, done: Answered = () => {}): void {
    this.ask("poll", id, null, done, at)
  }
  private poll(id: JobId): void {
    const again = () => this.ask("poll", id, null, () => this.simulation.after(POLL_EVERY_MS, again))
    this.simulation.after(this.simulation.random.between(500, 5_000), again)
  }
  /** Repeated until it is answered. */
  cancel(id: JobId, done: Answered = () => {}, at?: NodeName): void {
    this.invariants.recordCancelRequest(id)
    const answered: Answered = (status, state) => {
      if (status !== 200) return this.simulation.after(RETRY_MS, () => this.cancel(id, done))
      if (state === "withdrawn") this.notify("cancelled", id)
      done(status, state)
    }
    this.ask("cancel", id, {}, answered, at)
  }
  /** A cancellation that comes too late: the user has the answer that the job is done. */
  cancelDone(id: JobId): void {
    this.ask("cancel", id, {}, () => {})
  }
  pollUnknownJob(): void {
    this.ask("poll", "run-999999", null, () => {})
  }
  private notify(event: UserEvent, job: JobId): void {
    for (const listener of this.listeners) listener(event, job)
  }

  counts(): { readonly done: number; readonly cancelled: number; readonly jobs: number } {
    const states = this.jobs.map((id) => this.invariants.state(id))
    const done = states.filter((s) => s === "done").length
    return { done, cancelled: states.filter((s) => s === "withdrawn").length, jobs: this.jobs.length }
  }
}

const pathOf = (kind: UserRequestKind, job: string): string => {
  if (kind === "submit") return "/v1/jobs"
  return kind === "poll" ? `/v1/jobs/${job}` : `/v1/jobs/${job}/cancel`
}
const stateOf = (body: unknown): string | null => (body as { status?: string } | null)?.status ?? null
