/** Requests of users that follow each other closely, come in bursts, or must be refused. */
import type { JobId, NodeName, WireJob } from "@sorreltally/protocol"
import type { Invariants } from "../invariants/invariants.ts"
import type { RefusalReason } from "../invariants/user-invariants.ts"
import type { UserEvent, Users } from "../services/users.ts"
import { type JobFields, uncheckedJob } from "../services/wire-builders.ts"
import type { Simulation } from "../simulation/simulation.ts"

/** Delays after an event at which all nodes are polled. */
const CLOSE_POLLS_MS = [0, 0.3, 1, 2, 4, 8, 15, 30, 60, 120]
/** An answer this soon after an event counts as close to it. */
const CLOSE_ANSWER_MS = 150
/** Longest delay from the acceptance of a job to its early cancellation. */
const MAX_CANCEL_DELAY_MS = 10_000
/** Cancellations of a burst are spread over this time. */
const BURST_SPREAD_MS = 200
/** Jobs cancelled in bursts have a task with at least this much of its estimate left. */
const MIN_TIME_LEFT_S = 15
const MAX_HUNG_MACHINES = 8
/** Tasks that finish more than this apart count as far apart. */
const FAR_APART_MS = 15_000
/** Mean time between unusual requests. */
const UNUSUAL_REQUEST_INTERVAL_MS = 700

/** Sends requests of users that follow each other closely or are unusual, and counts them. */
export class UserFaults {
  private immediatePollsUntil = 0
  /** Share of the jobs accepted during immediate polls that is cancelled at once. */
  private cancelledAtOnceShare = 0
  private earlyCancellations = { share: 0, until: 0 }
  private cancellationsAtEnd = { share: 0, until: 0 }
  private unusualRequestsUntil = 0
  private invalidJobCount = 0
  readonly count = {
    /** Answers soon after an acceptance, a confirmed cancellation, and the end of a job's last task. */
    closeAfterAccepted: 0,
    closeAfterCancelled: 0,
    closeAfterEnd: 0,
    /** Jobs cancelled as their last task ended, by the answer to the user: cancelled, or done. */
    endsCancelled: 0,
    endsDone: 0,
    /** Jobs with tasks that finished before and after a controller crash, many seconds apart. */
    endsFarApart: 0,
    /** Jobs cancelled in bursts, machines hung with them, unusual requests, and refusals of invalid jobs. */
    cancelledInBurst: 0,
    hungAfterBurst: 0,
    unusualRequests: 0,
    invalidJobsRefused: 0,
  }

  constructor(
    private readonly simulation: Simulation,
    private readonly users: Users,
    private readonly invariants: Invariants,
  ) {
    users.listeners.push((event, job) => this.jobChanged(event, job))
    invariants.onComplete.push((job) => this.jobCompleted(job as JobId))
  }

  /** Whether immediate polls, cancellations at job ends or unusual requests are under way. */
  areActive(): boolean {
    return (
      this.simulation.now <
      Math.max(this.immediatePollsUntil, this.cancellationsAtEnd.until, this.unusualRequestsUntil)
    )
  }
  /** Polls all nodes within milliseconds of each event, and repeats submissions, for `durationMs`. */
  pollImmediately(durationMs: number, cancelledAtOnceShare: number): void {
    this.cancelledAtOnceShare = cancelledAtOnceShare
    this.immediatePollsUntil = Math.max(this.immediatePollsUntil, this.simulation.now + durationMs)
  }
  private jobChanged(event: UserEvent, job: JobId): void {
    if (event === "accepted") this.cancelLater(job)
    if (this.simulation.now >= this.immediatePollsUntil) return
    if (event === "cancelled") return this.pollAllNodes(job, () => this.count.closeAfterCancelled++)
    this.pollAllNodes(job, () => this.count.closeAfterAccepted++)
    if (this.simulation.random.chance(this.cancelledAtOnceShare)) this.users.cancel(job)
  }
  private pollAllNodes(job: JobId, onCloseAnswer: () => void): void {
    const eventAt = this.simulation.now
    const answered = (status: number) => {
      if (status === 200 && this.simulation.now <= eventAt + CLOSE_ANSWER_MS) onCloseAnswer()
    }
    for (const ms of CLOSE_POLLS_MS) {
      for (const node of this.users.nodes)
        this.simulation.after(ms, () => this.users.pollAt(job, node, answered))
    }
    for (const ms of [1, 20, 90]) this.simulation.after(ms, () => this.users.resubmit(job))
  }

  /** Cancels that share of the jobs accepted within `durationMs`, soon after their acceptance. */
  cancelSome(share: number, durationMs: number): void {
    this.earlyCancellations = { share, until: this.simulation.now + durationMs }
  }
  private cancelLater(job: JobId): void {
    const { share, until } = this.earlyCancellations
    if (this.simulation.now >= until || !this.simulation.random.chance(share)) return
    this.simulation.after(this.simulation.random.between(0, MAX_CANCEL_DELAY_MS), () =>
      this.users.cancel(job),
    )
  }
  /** Cancels that share of the jobs that end within `durationMs`, at the end of their last task. */
  cancelAtEnds(share: number, durationMs: number): void {
    this.cancellationsAtEnd = { share, until: this.simulation.now + durationMs }
  }
  private jobCompleted(job: JobId): void {
    if (this.simulation.now < this.immediatePollsUntil)
      this.pollAllNodes(job, () => this.count.closeAfterEnd++)
    const firstFinishedAt = this.invariants.users.firstFinishedAt.get(job) ?? this.simulation.now
    const { lastCrashAt } = this.invariants
    if (firstFinishedAt < lastCrashAt && firstFinishedAt + FAR_APART_MS < this.simulation.now)
      this.count.endsFarApart++
    const { share, until } = this.cancellationsAtEnd
    if (this.simulation.now >= until || !this.simulation.random.chance(share)) return
    this.users.cancel(job, (_, state) => {
      if (state === "done") this.count.endsDone++
      else this.count.endsCancelled++
    })
  }

  /** Cancels running jobs with much time left, almost at once; returns machines of these jobs, to hang. */
  cancelBurst(count: number): ReadonlyArray<string> {
    const jobs = this.invariants.jobsWithTimeLeft(MIN_TIME_LEFT_S).slice(0, count)
    const machines = new Set<string>()
    for (const job of jobs) {
      this.count.cancelledInBurst++
      for (const machine of this.invariants.machinesOf(job)) machines.add(machine)
      this.simulation.after(this.simulation.random.between(0, BURST_SPREAD_MS), () =>
        this.users.cancel(job as JobId),
      )
    }
    const machinesToHang = [...machines].slice(0, MAX_HUNG_MACHINES)
    this.count.hungAfterBurst += machinesToHang.length
    return machinesToHang
  }

  /** Sends repeated submissions of unfinished jobs, cancellations of done jobs, and invalid jobs. */
  sendUnusualRequests(durationMs: number): void {
    const until = this.simulation.now + durationMs
    this.unusualRequestsUntil = Math.max(this.unusualRequestsUntil, until)
    const sendNext = () => {
      if (this.simulation.now >= until) return
      this.sendUnusualRequest()
      this.simulation.after(this.simulation.random.between(0.5, 1.5) * UNUSUAL_REQUEST_INTERVAL_MS, sendNext)
    }
    sendNext()
  }
  private sendUnusualRequest(): void {
    const { random } = this.simulation
    const jobsByOutcome = (isFinal: boolean) =>
      this.users.jobs.filter((id) => (this.invariants.users.finalState(id) !== null) === isFinal)
    const unfinished = jobsByOutcome(false).filter((id) => this.invariants.users.isAccepted(id))
    const done = jobsByOutcome(true).filter((id) => this.invariants.users.finalState(id) === "done")
    const draw = random.next()
    this.count.unusualRequests++
    if (draw < 0.25 && unfinished.length > 0) return this.users.resubmit(random.pick(unfinished))
    if (draw < 0.4 && done.length > 0) return this.users.cancelDone(random.pick(done))
    if (draw < 0.5) return this.users.pollUnknownJob()
    this.submitInvalid()
  }
  private submitInvalid(): void {
    const id = `run-${String(900_000 + ++this.invalidJobCount).padStart(6, "0")}` as JobId
    const { change, refusal } = this.simulation.random.pick(INVALID_JOBS)
    const request = change(uncheckedJob(id, VALID_JOB_FIELDS))
    this.invariants.users.recordInvalidSubmission(id, refusal)
    const submitTo = (node?: NodeName) =>
      this.users.sendRequest(
        "submit",
        id,
        request,
        (status) => {
          if (status === 400 || status === 422) this.count.invalidJobsRefused++
        },
        node,
      )
    submitTo()
    // Also at each node, some of which may not have received the machine types yet.
    for (const node of this.users.nodes)
      this.simulation.after(this.simulation.random.between(1, 2_000), () => submitTo(node))
    this.simulation.after(this.simulation.random.between(1, 20_000), () =>
      this.users.pollAt(id, this.users.nodes[0]!),
    )
  }
}

/** Fields of a valid job, from which the invalid jobs are derived. */
const VALID_JOB_FIELDS: JobFields = { pieces: 2, cores: 2, expected_s: 5 }
const withoutField =
  (field: keyof WireJob) =>
  (request: JobFields): JobFields => {
    const { [field]: _, ...rest } = request
    return rest
  }
const withFields =
  (fields: JobFields) =>
  (request: JobFields): JobFields => ({ ...request, ...fields })
const INVALID_JOBS: ReadonlyArray<{
  readonly change: (request: JobFields) => JobFields
  readonly refusal: RefusalReason
}> = [
  { change: withoutField("owner"), refusal: "malformed" },
  { change: withoutField("lane"), refusal: "malformed" },
  { change: withoutField("pieces"), refusal: "malformed" },
  { change: withoutField("cores"), refusal: "malformed" },
  { change: withoutField("mem_gb"), refusal: "malformed" },
  { change: withoutField("bundle"), refusal: "malformed" },
  { change: withoutField("loaners"), refusal: "malformed" },
  { change: withoutField("expected_s"), refusal: "malformed" },
  { change: withoutField("snapshot_s"), refusal: "malformed" },
  { change: withoutField("together"), refusal: "malformed" },
  { change: withFields({ pieces: 0 }), refusal: "malformed" },
  { change: withFields({ pieces: 100_001 }), refusal: "malformed" },
  { change: withFields({ cores: "four" }), refusal: "malformed" },
  { change: withFields({ shape: "tree" }), refusal: "malformed" },
  { change: withFields({ urgency: "now" }), refusal: "malformed" },
  { change: withFields({ expected_s: -1 }), refusal: "malformed" },
  { change: withFields({ owner: "nobody" }), refusal: "unfit" },
  { change: withFields({ cores: 33 }), refusal: "unfit" },
  { change: withFields({ mem_gb: 4_000 }), refusal: "unfit" },
  { change: withFields({ accelerators: 1 }), refusal: "unfit" },
  { change: withFields({ builds: ["unheard-of"] }), refusal: "unfit" },
  { change: withFields({ builds: ["small"], cores: 16 }), refusal: "unfit" },
  { change: withFields({ builds: [] }), refusal: "unfit" },
  { change: withFields({ site: "nowhere" }), refusal: "unfit" },
]
