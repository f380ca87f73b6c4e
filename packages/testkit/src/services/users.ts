/** Simulated users. They only do what the protocol allows, and pass every answer to the invariants. */
import type { JobId, NodeName, WireJob } from "@sorreltally/protocol"
import type { UserInvariants, UserRequestKind } from "../invariants/user-invariants.ts"
import type { Network } from "../simulation/network.ts"
import type { Simulation } from "../simulation/simulation.ts"

/** Receives the answer to a user's request; status 0: there was no answer in time. */
type AnswerCallback = (status: number, state: string | null) => void
/** Event for which a user has received a first answer. */
export type UserEvent = "accepted" | "cancelled"

const ANSWER_TIMEOUT_MS: Record<UserRequestKind, number> = { submit: 5_000, poll: 2_000, cancel: 5_000 }
const RETRY_DELAY_MS = 1_000
const POLL_INTERVAL_MS = 5_000

/** The simulated users. They submit, poll and cancel jobs at any node, as the protocol specifies. */
export class Users {
  readonly jobs: Array<JobId> = []
  /** Callbacks that receive every event as soon as a user has its answer. */
  readonly listeners: Array<(event: UserEvent, job: JobId) => void> = []

  constructor(
    private readonly simulation: Simulation,
    private readonly network: Network,
    private readonly invariants: UserInvariants,
    readonly nodes: ReadonlyArray<NodeName>,
  ) {}

  /** Sends a request to one node, by default to a random one. */
  sendRequest(
    kind: UserRequestKind,
    job: string,
    body: unknown,
    done: AnswerCallback,
    node?: NodeName,
  ): void {
    const askedAt = this.simulation.now
    let isOver = false
    const finish = (status: number, state: string | null) => {
      if (isOver) return
      isOver = true
      this.invariants.recordAnswer(job, kind, status, state, askedAt)
      done(status, state)
    }
    this.invariants.recordRequest(job)
    this.simulation.after(ANSWER_TIMEOUT_MS[kind], () => finish(0, null))
    const request = { method: kind === "poll" ? "GET" : "POST", path: pathOf(kind, job), body }
    this.network.request("users", node ?? this.simulation.random.pick(this.nodes), request, (answer) =>
      finish(answer?.status ?? 0, stateOf(answer?.body)),
    )
  }

  submit(request: WireJob): void {
    this.invariants.recordSubmission(request)
    this.jobs.push(request.id)
    this.submitUntilDecided(request)
  }
  /** Resumes jobs that were submitted to an earlier deployment; the invariants have their requests. */
  resume(jobs: Iterable<JobId>): void {
    for (const id of jobs) {
      this.jobs.push(id)
      if (this.invariants.isAccepted(id)) this.pollRegularly(id)
      else this.submitUntilDecided(this.invariants.submitted.get(id)!)
      if (this.invariants.cancelRequested.has(id) && this.invariants.finalState(id) === null) this.cancel(id)
    }
  }
  private submitUntilDecided(request: WireJob): void {
    const send = () =>
      this.sendRequest("submit", request.id, request, (status) => {
        if (status === 200 || status === 201) this.handleAccepted(request.id)
        else if (status !== 400 && status !== 422) this.simulation.after(RETRY_DELAY_MS, send)
      })
    send()
  }
  private handleAccepted(id: JobId): void {
    this.pollRegularly(id)
    this.notify("accepted", id)
  }
  /** Repeats the submission of a job, at any later time. */
  resubmit(id: JobId, node?: NodeName): void {
    this.sendRequest("submit", id, this.invariants.submitted.get(id), () => {}, node)
  }
  /** Polls a job once at one node. */
  pollAt(id: JobId, node: NodeName, done: AnswerCallback = () => {}): void {
    this.sendRequest("poll", id, null, done, node)
  }
  private pollRegularly(id: JobId): void {
    const pollOnce = () =>
      this.sendRequest("poll", id, null, () => this.simulation.after(POLL_INTERVAL_MS, pollOnce))
    this.simulation.after(this.simulation.random.between(500, 5_000), pollOnce)
  }
  /** Cancels a job; repeats the request until it is answered with 200. */
  cancel(id: JobId, done: AnswerCallback = () => {}, node?: NodeName): void {
    this.invariants.recordCancelRequest(id)
    const handleAnswer: AnswerCallback = (status, state) => {
      if (status !== 200) return this.simulation.after(RETRY_DELAY_MS, () => this.cancel(id, done))
      if (state === "withdrawn") this.notify("cancelled", id)
      done(status, state)
    }
    this.sendRequest("cancel", id, {}, handleAnswer, node)
  }
  /** Sends a cancellation for a job after the user was answered that it is done. */
  cancelDone(id: JobId): void {
    this.sendRequest("cancel", id, {}, () => {})
  }
  pollUnknownJob(): void {
    this.sendRequest("poll", "run-999999", null, () => {})
  }
  private notify(event: UserEvent, job: JobId): void {
    for (const listener of this.listeners) listener(event, job)
  }

  counts(): { readonly done: number; readonly cancelled: number; readonly jobs: number } {
    const states = this.jobs.map((id) => this.invariants.state(id))
    const done = states.filter((state) => state === "done").length
    return { done, cancelled: states.filter((state) => state === "withdrawn").length, jobs: this.jobs.length }
  }
}

const pathOf = (kind: UserRequestKind, job: string): string => {
  if (kind === "submit") return "/v1/jobs"
  return kind === "poll" ? `/v1/jobs/${job}` : `/v1/jobs/${job}/cancel`
}
const stateOf = (body: unknown): string | null => (body as { status?: string } | null)?.status ?? null
