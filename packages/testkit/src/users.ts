import type { JobId, JobRequest, NodeName } from "@sorreltally/wire"
import type { Net } from "./net.ts"
import type { Rules } from "./rules.ts"
import type { Sim } from "./sim.ts"

/** A stand-in of the users: they submit, poll and cancel jobs as the protocol says, at any node. */
export class Users {
  readonly jobs: Array<JobId> = []

  constructor(
    private readonly sim: Sim,
    private readonly net: Net,
    private readonly rules: Rules,
    private readonly nodes: ReadonlyArray<NodeName>,
  ) {}

  private ask(
    method: string,
    path: string,
    body: unknown,
    done: (status: number, body: unknown, asked: number) => void,
  ): void {
    const asked = this.sim.now
    let over = false
    const finish = (status: number, answer: unknown) => {
      if (over) return
      over = true
      done(status, answer, asked)
    }
    this.sim.after(5_000, () => finish(0, null))
    this.net.request("users", this.sim.luck.pick(this.nodes), { method, path, body }, (answer) =>
      finish(answer?.status ?? 0, answer?.body),
    )
  }

  submit(request: JobRequest): void {
    this.rules.asksToRun(request)
    this.jobs.push(request.id)
    const attempt = () =>
      this.ask("POST", "/v1/jobs", request, (status, body, asked) => {
        this.rules.answered(request.id, "submit", status, stateOf(body), asked)
        if (status === 200 || status === 201) this.poll(request.id)
        else if (status !== 400 && status !== 422) this.sim.after(1_000, attempt)
      })
    attempt()
  }
  /** A repeated submission, at any later time. */
  resubmit(id: JobId): void {
    const request = this.rules.submitted.get(id)!
    this.ask("POST", "/v1/jobs", request, (status, body, asked) =>
      this.rules.answered(id, "submit", status, stateOf(body), asked),
    )
  }
  private poll(id: JobId): void {
    const again = () => {
      this.ask("GET", `/v1/jobs/${id}`, null, (status, body, asked) => {
        this.rules.answered(id, "poll", status, stateOf(body), asked)
        this.sim.after(5_000, again)
      })
    }
    this.sim.after(this.sim.luck.between(500, 5_000), again)
  }
  cancel(id: JobId): void {
    this.rules.asksToCancel(id)
    this.ask("POST", `/v1/jobs/${id}/cancel`, {}, (status, body, asked) => {
      this.rules.answered(id, "cancel", status, stateOf(body), asked)
      if (status !== 200) this.sim.after(1_000, () => this.cancel(id))
    })
  }
  askAboutNobody(): void {
    const id = "run-999999"
    this.ask("GET", `/v1/jobs/${id}`, null, (status, body, asked) =>
      this.rules.answered(id, "poll", status, stateOf(body), asked),
    )
  }
  counts(): { readonly done: number; readonly withdrawn: number; readonly jobs: number } {
    const states = this.jobs.map((id) => this.rules.state(id))
    const done = states.filter((s) => s === "done").length
    return { done, withdrawn: states.filter((s) => s === "withdrawn").length, jobs: this.jobs.length }
  }
}

const stateOf = (body: unknown): string | null => (body as { status?: string } | null)?.status ?? null
