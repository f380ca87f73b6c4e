/** Requests of users that come close to each other, in bursts, or that no node may accept. */
import type { JobId, NodeName, WireJob } from "@sorreltally/protocol"
import type { Invariants } from "../invariants/invariants.ts"
import type { Refusal } from "../invariants/user-invariants.ts"
import type { UserEvent, Users } from "../services/users.ts"
import { type JobFields, uncheckedJob } from "../services/wire-builders.ts"
import type { Simulation } from "../simulation/simulation.ts"

/** After an event, all nodes are asked this much later each time. */
const CLOSE_POLLS_MS = [0, 0.3, 1, 2, 4, 8, 15, 30, 60, 120]
/** An answer so soon after the event met its effects. */
const CLOSE_MS = 150
/** Of jobs that are cancelled soon: how soon after they were accepted. */
const CANCELLED_WITHIN_MS = 10_000
const BURST_WITHIN_MS = 200
/** A task has long to go if this much of its estimate is left. */
const LONG_TO_GO_S = 15
const MAX_HUNG = 8
const FAR_APART_MS = 15_000
const ODD_REQUEST_EVERY_MS = 700

/** Requests of users that meet each other, or are odd; each can be counted. */
export class UserFaults {
  private closePollsUntil = 0
  /** Of the jobs accepted meanwhile, the share that is cancelled at once. */
  private cancelledAtOnce = 0
  private cancelSoon = { share: 0, until: 0 }
  private cancelAtEnd = { share: 0, until: 0 }
  private oddUntil = 0
  private oddJobs = 0
  readonly count = {
    /** Answers within a moment of an acceptance, a confirmed cancellation, and the end of a job's last task. */
    closeAfterAccepted: 0,
    closeAfterCancelled: 0,
    closeAfterEnd: 0,
    /** Of the jobs that were cancelled as their last task ended: how the user was answered. */
    endsCancelled: 0,
    endsTold: 0,
    /** Jobs whose tasks ended on both sides of a controller's end, many seconds apart. */
    endsFarApart: 0,
    burst: 0,
    burstHung: 0,
    odd: 0,
    oddRefused: 0,
  }

  constructor(
    private readonly simulation: Simulation,
    private readonly users: Users,
    private readonly invariants: Invariants,
  ) {
    users.listeners.push((event, job) => this.changed(event, job))
    invariants.onComplete.push((job) => this.completed(job as JobId))
  }

  areOn(): boolean {
    return this.simulation.now < Math.max(this.closePollsUntil, this.cancelAtEnd.until, this.oddUntil)
  }
  /** All nodes are polled within milliseconds of each event, and submissions repeated. */
  closePolls(forMs: number, cancelledAtOnce: number): void {
    this.cancelledAtOnce = cancelledAtOnce
    this.closePollsUntil = Math.max(this.closePollsUntil, this.simulation.now + forMs)
  }
  private changed(event: UserEvent, job: JobId): void {
    if (event === "accepted") this.cancelLater(job)
    if (this.simulation.now >= this.closePollsUntil) return
    if (event === "cancelled") return this.askAll(job, () => this.count.closeAfterCancelled++)
    this.askAll(job, () => this.count.closeAfterAccepted++)
    if (this.simulation.random.chance(this.cancelledAtOnce)) this.users.cancel(job)
  }
  private askAll(job: JobId, met: () => void): void {
    const event = this.simulation.now
    const answered = (status: number) => {
      if (status === 200 && this.simulation.now <= event + CLOSE_MS) met()
    }
    for (const ms of CLOSE_POLLS_MS) {
      for (const node of this.users.nodes)
        this.simulation.after(ms, () => this.users.pollAt(job, node, answered))
    }
    for (const ms of [1, 20, 90]) this.simulation.after(ms, () => this.users.resubmit(job))
  }

  /** That share of the jobs accepted meanwhile is cancelled soon after. */
  cancelSome(share: number, forMs: number): void {
    this.cancelSoon = { share, until: this.simulation.now + forMs }
  }
  private cancelLater(job: JobId): void {
    const { share, until } = this.cancelSoon
    if (this.simulation.now >= until || !this.simulation.random.chance(share)) return
    this.simulation.after(this.simulation.random.between(0, CANCELLED_WITHIN_MS), () =>
      this.users.cancel(job),
    )
  }
  /** That share of the jobs that end is cancelled as the last task does. */
  cancelAtEnds(share: number, forMs: number): void {
    this.cancelAtEnd = { share, until: this.simulation.now + forMs }
  }
  private completed(job: JobId): void {
    if (this.simulation.now < this.closePollsUntil) this.askAll(job, () => this.count.closeAfterEnd++)
    const first = this.invariants.users.firstFinishedAt.get(job) ?? this.simulation.now
    const { lastCrashAt } = this.invariants
    if (first < lastCrashAt && first + FAR_APART_MS < this.simulation.now) this.count.endsFarApart++
    const { share, until } = this.cancelAtEnd
    if (this.simulation.now >= until || !this.simulation.random.chance(share)) return
    this.users.cancel(job, (_, state) => {
      if (state === "done") this.count.endsTold++
      else this.count.endsCancelled++
    })
  }

  /** Cancels jobs that run and have long to go, within a moment; returns machines of theirs, to hang. */
  cancelBurst(count: number): ReadonlyArray<string> {
    const jobs = this.invariants.jobsWithLongToGo(LONG_TO_GO_S).slice(0, count)
    const machines = new Set<string>()
    for (const job of jobs) {
      this.count.burst++
      for (const machine of this.invariants.machinesOf(job)) machines.add(machine)
      this.simulation.after(this.simulation.random.between(0, BURST_WITHIN_MS), () =>
        this.users.cancel(job as JobId),
      )
    }
    const hung = [...machines].slice(0, MAX_HUNG)
    this.count.burstHung += hung.length
    return hung
  }

  /** Repeated submissions of unfinished jobs, cancels of done ones, jobs that no node may accept. */
  oddRequests(forMs: number): void {
    const until = this.simulation.now + forMs
    this.oddUntil = Math.max(this.oddUntil, until)
    const next = () => {
      if (this.simulation.now >= until) return
      this.oddRequest()
      this.simulation.after(this.simulation.random.between(0.5, 1.5) * ODD_REQUEST_EVERY_MS, next)
    }
    next()
  }
  private oddRequest(): void {
    const { random } = this.simulation
    const finals = (done: boolean) =>
      this.users.jobs.filter((id) => (this.invariants.users.finalState(id) !== null) === done)
    const unfinished = finals(false).filter((id) => this.invariants.users.isAccepted(id))
    const done = finals(true).filter((id) => this.invariants.users.finalState(id) === "done")
    const kind = random.next()
    this.count.odd++
    if (kind < 0.25 && unfinished.length > 0) return this.users.resubmit(random.pick(unfinished))
    if (kind < 0.4 && done.length > 0) return this.users.cancelDone(random.pick(done))
    if (kind < 0.5) return this.users.pollUnknownJob()
    this.submitInvalid()
  }
  private submitInvalid(): void {
    const id = `run-${String(900_000 + ++this.oddJobs).padStart(6, "0")}` as JobId
    const { change, refusal } = this.simulation.random.pick(ODD_JOBS)
    const request = change(uncheckedJob(id, ODD_JOB_FIELDS))
    this.invariants.users.submitsInvalid(id, refusal)
    const attempt = (node?: NodeName) =>
      this.users.sendRequest(
        "submit",
        id,
        request,
        (status) => {
          if (status === 400 || status === 422) this.count.oddRefused++
        },
        node,
      )
    attempt()
    // At each node, some of which may not know the machine types yet.
    for (const node of this.users.nodes)
      this.simulation.after(this.simulation.random.between(1, 2_000), () => attempt(node))
    this.simulation.after(this.simulation.random.between(1, 20_000), () =>
      this.users.pollAt(id, this.users.nodes[0]!),
    )
  }
}

/** What each of them has in common, before something is wrong with it. */
const ODD_JOB_FIELDS: JobFields = { pieces: 2, cores: 2, expected_s: 5 }
const without =
  (field: keyof WireJob) =>
  (request: JobFields): JobFields => {
    const { [field]: _, ...rest } = request
    return rest
  }
const having =
  (fields: JobFields) =>
  (request: JobFields): JobFields => ({ ...request, ...fields })
const ODD_JOBS: ReadonlyArray<{
  readonly change: (request: JobFields) => JobFields
  readonly refusal: Refusal
}> = [
  { change: without("owner"), refusal: "malformed" },
  { change: without("lane"), refusal: "malformed" },
  { change: without("pieces"), refusal: "malformed" },
  { change: without("cores"), refusal: "malformed" },
  { change: without("mem_gb"), refusal: "malformed" },
  { change: without("bundle"), refusal: "malformed" },
  { change: without("loaners"), refusal: "malformed" },
  { change: without("expected_s"), refusal: "malformed" },
  { change: without("snapshot_s"), refusal: "malformed" },
  { change: without("together"), refusal: "malformed" },
  { change: having({ pieces: 0 }), refusal: "malformed" },
  { change: having({ pieces: 100_001 }), refusal: "malformed" },
  { change: having({ cores: "four" }), refusal: "malformed" },
  { change: having({ shape: "tree" }), refusal: "malformed" },
  { change: having({ urgency: "now" }), refusal: "malformed" },
  { change: having({ expected_s: -1 }), refusal: "malformed" },
  { change: having({ owner: "nobody" }), refusal: "unfit" },
  { change: having({ cores: 33 }), refusal: "unfit" },
  { change: having({ mem_gb: 4_000 }), refusal: "unfit" },
  { change: having({ accelerators: 1 }), refusal: "unfit" },
  { change: having({ builds: ["unheard-of"] }), refusal: "unfit" },
  { change: having({ builds: ["small"], cores: 16 }), refusal: "unfit" },
  { change: having({ builds: [] }), refusal: "unfit" },
  { change: having({ site: "nowhere" }), refusal: "unfit" },
]
