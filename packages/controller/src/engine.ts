import { JobState, type Placement } from "@sorreltally/jobs"
import { DEADLINE, partOf } from "@sorreltally/membership"
import {
  allowed,
  goesFirst,
  isReserved,
  lend,
  type Need,
  type Plan,
  type PlannedHire,
  plan,
  type QuotaNeed,
  type Reserve,
  shapeOf,
  slotsIn,
  spareCores,
  type TeamRoom,
} from "@sorreltally/planner"
import {
  type Change,
  type ChunkRecord,
  type Condition,
  type Entry,
  type FinalRecord,
  type JobRecord,
  keys,
  type MachineRecord,
} from "@sorreltally/state"
import {
  ABSENT,
  type Attempt,
  decodeReport,
  type HireName,
  type JobId,
  type JobRequest,
  later,
  type MachineId,
  type Moment,
  NEVER,
  type OrdersRequest,
  type Outgoing,
  type PartName,
  type Report,
  type Stamp,
  splitTaskId,
  type TaskId,
  type TeamName,
  taskId,
  urgencyRank,
} from "@sorreltally/wire"
import { type Introduction, type Outcome, WorkerSession } from "@sorreltally/workers"
import { Effect, Result } from "effect"
import { Arrivals } from "./arrivals.ts"
import type { EngineContext, PartView, Tenancy } from "./context.ts"
import { preempt } from "./preempt.ts"
import { Shares } from "./shares.ts"
import { Signal } from "./signal.ts"
import { jobViews, machineViews, quotaNeeds, runningTasks, startWithin, teamUse } from "./views.ts"

const PLAN_SPACING_MS = 60
const TICK_MS = 1_000
const ORDERS_TIMEOUT_MS = 3_000
const ORDERS_BACKOFF_MS = 4_000
/** A transaction may be 64 KiB; conditions and names take some of it. */
const TXN_BYTES = 52 * 1024
/** The cloud charges this much at least: an earlier return saves nothing. */
const LEAST_CHARGE_MS = 60_000
/** Times `startup_s` after which a machine that hasn't come up is given back. */
const NEVER_BOOTED = 2.5
/** How long a lent machine is taken off the borrower's need: until its next word has surely come. */
const GIVEN_COUNTS_MS = 1_500
const STATUS_EVERY = 15
/** Needs told to the other parts: the most urgent ones. */
const NEEDS_TOLD = 4
const ATTEMPTS_PER_EPOCH = 2 ** 20
/** A listed machine that no record knows may still be another node's rental under way. */
const ADOPT_AFTER_S = 10

/**
 * Everything one part's owner does: its jobs, its machines, and the loops
 * that bring what is closer to what is wanted. Lives from a take-over until
 * the part is lost.
 */
export class PartEngine implements PartView {
  readonly jobs = new Map<JobId, JobState>()
  readonly machines = new Map<MachineId, WorkerSession>()
  readonly tenancies = new Map<MachineId, Tenancy>()
  readonly hiring = new Map<HireName, PlannedHire>()
  private readonly holderOf = new Map<MachineId, JobId>()
  private readonly fencing = new Set<MachineId>()
  private readonly adopting = new Set<MachineId>()
  private readonly changedJobs = new Set<JobState>()
  private readonly planSignal = new Signal()
  private readonly commitSignal = new Signal()
  private readonly shares: Shares
  private readonly gifts: Array<{ readonly to: PartName; readonly slots: number; readonly until: Moment }> =
    []
  private readonly arrivals = new Arrivals()
  private reserveRank = Number.NEGATIVE_INFINITY
  private steadyWanted = false
  private attempts = 0
  private committing: ReadonlySet<Placement> = new Set()
  ready = false
  private over = false
  private deaf: () => void = () => {}
  /** Machines whose record was deleted; a lagging list may still show them. */
  private readonly deleted = new Set<MachineId>()

  constructor(
    readonly part: PartName,
    readonly epoch: Stamp,
    readonly ctx: EngineContext,
  ) {
    this.shares = new Shares(
      part,
      epoch,
      ctx.platform.facts.teams,
      ctx.membership.mirror,
      ctx.state,
      ctx.time.moment,
      () => this.planSignal.notify(),
    )
  }

  stop(): void {
    this.over = true
    this.ready = false
    this.deaf()
  }
  wake(): void {
    this.planSignal.notify()
  }
  private get active(): boolean {
    return !this.over && this.ctx.membership.entitled()
  }

  readonly run: Effect.Effect<void> = Effect.suspend(() =>
    Effect.gen({ self: this }, function* () {
      yield* this.load()
      yield* Effect.all([this.planLoop(), this.commitLoop(), this.fleetLoop()], {
        concurrency: "unbounded",
        discard: true,
      })
    }),
  )

  // --- taking the part over -------------------------------------------------

  private load() {
    return Effect.gen({ self: this }, function* () {
      const { mirror } = this.ctx.membership
      // Every job and machine of this part that a former owner acted on is in
      // the mirror once it has reached our epoch.
      while (mirror.revision < this.epoch || this.ctx.fleet.catalog() === null) yield* Effect.sleep(20)
      let entries: ReadonlyArray<Entry> = []
      for (;;) {
        const read = yield* Effect.result(this.ctx.state.list(keys.places))
        if (Result.isSuccess(read)) {
          entries = read.success.items
          break
        }
        yield* Effect.sleep(200)
      }
      if (this.over) return
      const now = this.ctx.time.moment()
      for (const entry of mirror.under("s/machine/")) this.machineChanged(entry.path, entry)
      for (const entry of mirror.under("s/job/")) this.jobChanged(entry.path, entry)
      const unknown: Array<Entry> = []
      for (const entry of entries) {
        const [, id, chunk] = entry.path.split("/")
        const job = this.jobs.get(id as JobId)
        if (job !== undefined) job.restore(Number(chunk), entry.v as ChunkRecord, entry.stamp, now)
        else if (mirror.get(keys.job(id ?? "")) === null) unknown.push(entry)
      }
      for (const job of this.jobs.values()) {
        for (const placement of [...job.placements.values()]) {
          const session = this.machines.get(placement.machine)
          // A record is deleted only once the machine's deletion was answered,
          // and a machine moves only when no task can be on it.
          if (session === undefined) job.clear(placement)
          else session.placements.set(placement.task, placement)
          if (job.withdrawn) placement.stop = { why: "withdrawn", leewayS: 0, since: now }
        }
        this.settleJob(job)
      }
      this.deaf = mirror.listen((path, entry) => {
        if (path.startsWith("s/job/")) this.jobChanged(path, entry)
        else if (path.startsWith("s/machine/")) this.machineChanged(path, entry)
      })
      // Jobs that came while the placements were read.
      for (const entry of mirror.under("s/job/")) this.jobChanged(entry.path, entry)
      for (const entry of mirror.under("s/machine/")) this.machineChanged(entry.path, entry)
      this.ready = true
      this.ctx.log.info("part ready", {
        part: this.part,
        epoch: this.epoch,
        jobs: this.jobs.size,
        machines: this.machines.size,
        leftovers: unknown.length,
      })
      if (this.part === DEADLINE) this.ctx.fork(this.tidy(unknown))
      this.planSignal.notify()
    })
  }

  /** Placements of jobs that are over, left by an owner that died between two transactions. */
  private tidy(leftovers: ReadonlyArray<Entry>) {
    return Effect.gen({ self: this }, function* () {
      for (const entry of leftovers) {
        if (this.over) return
        yield* Effect.ignore(
          this.ctx.state.multi([{ path: entry.path, stamp: entry.stamp }], [{ delete: entry.path }], 3),
        )
      }
    })
  }

  private jobChanged(path: string, entry: Entry | null): void {
    const id = path.slice("s/job/".length) as JobId
    const known = this.jobs.get(id)
    if (entry === null) return
    const record = entry.v as JobRecord
    if (partOf(id, record.request.due_s != null, this.ctx.nodes) !== this.part) return
    if (known === undefined) {
      this.jobs.set(id, new JobState(id, record, entry.stamp))
      this.arrived(record.request)
      this.planSignal.notify()
      return
    }
    if (entry.stamp > known.stamp) known.stamp = entry.stamp
    if (record.withdrawn === true && !known.withdrawn) this.withdraw(known)
  }

  private arrived(request: JobRequest): void {
    const within = startWithin(this, request.lane, request.expected_s)
    let soonestBoot = Number.POSITIVE_INFINITY
    for (const type of this.ctx.fleet.catalog()?.values() ?? [])
      soonestBoot = Math.min(soonestBoot, type.startup_s)
    if (within === null || within >= soonestBoot) return
    this.arrivals.learn(request.pieces * request.cores, request.bundle, this.ctx.time.moment())
    this.reserveRank = Math.max(this.reserveRank, urgencyRank[request.urgency])
  }

  private reserve(): Reserve {
    return {
      rank: this.reserveRank,
      cores: this.arrivals.reserveCores(this.ctx.time.moment()),
      images: this.arrivals.images(),
    }
  }

  private withdraw(job: JobState): void {
    job.withdrawn = true
    const since = this.ctx.time.moment()
    for (const placement of [...job.placements.values()]) {
      if (!placement.durable && !this.committing.has(placement)) this.unplace(placement)
      else placement.stop = { why: "withdrawn", leewayS: 0, since }
    }
    this.settleJob(job)
    this.pushOrders()
  }

  private unplace(placement: Placement): void {
    this.machines.get(placement.machine)?.placements.delete(placement.task)
    placement.job.clear(placement)
  }

  /** A job whose end is to be written down, or whose tasks changed. */
  private settleJob(job: JobState): void {
    if (job.complete || (job.withdrawn && job.placements.size === 0) || job.dirty.size > 0) {
      this.changedJobs.add(job)
      this.commitSignal.notify()
    }
  }

  private machineChanged(path: string, entry: Entry | null): void {
    const id = path.slice("s/machine/".length) as MachineId
    const session = this.machines.get(id)
    if (entry === null) {
      this.deleted.add(id)
      if (session !== undefined) this.dropMachine(session, "deleted")
      return
    }
    const record = entry.v as MachineRecord
    if (record.part !== this.part) {
      if (session !== undefined) this.dropMachine(session, "moved")
      return
    }
    if (session !== undefined) {
      session.record = record
      session.recordStamp = entry.stamp
      return
    }
    const type = this.ctx.fleet.catalog()?.get(record.build)
    if (type === undefined) return
    const now = this.ctx.time.moment()
    const { lease_s, report_s } = this.ctx.platform.facts.workers
    const fresh = new WorkerSession(
      id,
      record,
      entry.stamp,
      type,
      this.epoch,
      { leaseS: lease_s, reportS: report_s },
      now,
    )
    const age = Math.max(0, this.ctx.time.wall() - record.rented)
    this.machines.set(id, fresh)
    this.tenancies.set(id, {
      holder: this.holderOf.get(id) ?? null,
      rentedAt: later(now, -age),
      knownSince: now,
      returning: false,
      closing: false,
      moving: false,
    })
    this.holderOf.delete(id)
    this.planSignal.notify()
  }

  private dropMachine(session: WorkerSession, why: string): void {
    this.machines.delete(session.id)
    this.tenancies.delete(session.id)
    this.apply(session, session.clearAll(why))
  }

  // --- workers --------------------------------------------------------------

  /** The answer to a report of one of our machines; 503 when we may not act for it. */
  report(body: Report): Outgoing {
    const session = this.machines.get(body.host)
    if (!this.ready || !this.active || session === undefined || session.outdated(body))
      return { status: 503, body: {} }
    const now = this.ctx.time.moment()
    const outcomes = session.observe(body, "report", now)
    if (outcomes !== null) this.apply(session, outcomes)
    const orders = session.orders(now, (task) => this.finishIsDurable(task))
    session.answering(orders, now)
    this.afterBody(session)
    return { status: 200, body: { baton: session.token, orders } }
  }

  private finishIsDurable(task: TaskId): boolean {
    const { job, index } = splitTaskId(task)
    return this.jobs.get(job)?.finishIsDurable(index) ?? true
  }

  private afterBody(session: WorkerSession): void {
    if (session.needsFence()) this.fence(session)
    if (session.warningUntil !== null) this.planSignal.notify()
  }

  /** Raises the machine's token, so that a start that got lost can't take effect any more. */
  private fence(session: WorkerSession): void {
    if (this.fencing.has(session.id)) return
    this.fencing.add(session.id)
    const released = Effect.sync(() => this.fencing.delete(session.id))
    this.ctx.fork(Effect.ensuring(this.refence(session), released))
  }

  /** Writes the machine's record once more: its stamp, and so the machine's token, rises. */
  private refence(session: WorkerSession) {
    return Effect.gen({ self: this }, function* () {
      const path = keys.machine(session.id)
      const { mirror } = this.ctx.membership
      const when = [this.partCondition(), { path, stamp: session.recordStamp }]
      const done = yield* Effect.result(this.ctx.state.multi(when, [{ set: path, v: session.record }], 2))
      if (Result.isSuccess(done) && done.success.ok) {
        mirror.hint({ path, v: session.record, stamp: done.success.epoch })
        return
      }
      yield* this.lookUp(path)
      yield* Effect.sleep(300)
    })
  }

  /** What a mirrored key says now; the mirror learns of it. */
  private lookUp(path: string) {
    return Effect.tap(Effect.result(this.ctx.state.get(path)), (read) =>
      Effect.sync(() => {
        if (Result.isSuccess(read) && read.success !== null) this.ctx.membership.mirror.hint(read.success)
      }),
    )
  }

  private apply(session: WorkerSession, outcomes: ReadonlyArray<Outcome>): void {
    if (outcomes.length === 0) return
    const now = this.ctx.time.moment()
    for (const outcome of outcomes) {
      const { placement } = outcome
      const { job } = placement
      if (outcome.kind === "running") {
        const waitedS = (this.ctx.time.wall() - job.submitted) / 1000
        const fetchedS = (now - placement.placedAt) / 1000
        this.ctx.log.debug("task runs", {
          task: placement.task,
          lane: job.request.lane,
          machine: session.id,
          waitedS,
          fetchedS,
        })
        continue
      }
      if (outcome.kind === "done") {
        job.finish(placement.index)
        job.failures = 0
        job.notBefore = null
        if (placement.runningSince !== null && placement.stop === null) {
          this.ctx.estimates.learn(job.request, (now - placement.runningSince) / 1000)
        }
      } else {
        job.clear(placement)
        if (outcome.cause === "error" || outcome.cause === "no_room" || outcome.cause === "unknown") {
          job.failures++
          // A job that fails everywhere is tried ever less often.
          job.notBefore = later(now, Math.min(30_000, 250 * 2 ** Math.min(7, job.failures)))
        }
        this.ctx.log.debug("task cleared", {
          task: placement.task,
          machine: session.id,
          cause: outcome.cause,
        })
      }
      this.settleJob(job)
    }
    this.planSignal.notify()
  }

  /** Sends what can't wait for the next report straight to the workers. */
  private pushOrders(): void {
    if (!this.active) return
    const now = this.ctx.time.moment()
    for (const session of this.machines.values()) {
      if (session.ordersInFlight || session.address === null || session.tenure === null) continue
      if (now < session.ordersBadUntil) continue
      const orders = session.orders(now, (task) => this.finishIsDurable(task))
      if (!orders.some((o) => o.verb !== "forget")) continue
      this.ctx.fork(this.sendOrders(session))
    }
  }

  private sendOrders(session: WorkerSession) {
    return Effect.suspend(() => {
      const now = this.ctx.time.moment()
      const { address, tenure, token } = session
      if (session.ordersInFlight || address === null || tenure === null || !this.active) return Effect.void
      const orders = session.orders(now, (task) => this.finishIsDurable(task))
      session.sending(orders)
      const body: OrdersRequest = { baton: token, tenure, orders }
      return Effect.gen({ self: this }, function* () {
        const reply = yield* Effect.result(
          this.ctx.exchange.call({
            address,
            method: "POST",
            path: "/orders",
            body,
            timeoutMs: ORDERS_TIMEOUT_MS,
          }),
        )
        const status = Result.isSuccess(reply) ? reply.success.status : 0
        session.sent(orders, token, status === 200 || status === 409)
        if (this.over || this.machines.get(session.id) !== session) return
        const decoded = Result.isSuccess(reply) ? decodeReport(reply.success.body) : null
        if (decoded === null || Result.isFailure(decoded)) {
          session.ordersBadUntil = later(this.ctx.time.moment(), ORDERS_BACKOFF_MS)
          return
        }
        const outcomes = session.observe(decoded.success, "direct", this.ctx.time.moment())
        if (outcomes !== null) this.apply(session, outcomes)
        this.afterBody(session)
        this.pushOrders()
      })
    })
  }

  // --- durable records ------------------------------------------------------

  private partCondition(): Condition {
    return { path: keys.part(this.part), stamp: this.epoch }
  }

  private commitLoop() {
    return Effect.gen({ self: this }, function* () {
      for (;;) {
        if (this.changedJobs.size === 0) yield* this.commitSignal.wait(TICK_MS)
        if (this.over) return
        if (this.changedJobs.size > 0 && this.active) yield* this.commit()
        else if (this.changedJobs.size > 0) yield* Effect.sleep(100)
      }
    })
  }

  /** One transaction for all that is ready. */
  private commit() {
    return Effect.gen({ self: this }, function* () {
      const { txn_ops } = this.ctx.platform.facts.state
      const when: Array<Condition> = [this.partCondition()]
      const apply: Array<Change> = []
      const chunks: Array<{ readonly job: JobState; readonly chunk: number; readonly saved: () => void }> = []
      const ended: Array<JobState> = []
      const inFlight = new Set<Placement>()
      let bytes = 0
      for (const job of this.changedJobs) {
        if (apply.length >= txn_ops) break
        const jobCondition = { path: keys.job(job.id), stamp: job.stamp }
        if (job.complete || (job.withdrawn && job.placements.size === 0)) {
          if (apply.length + 2 > txn_ops) break
          const status: FinalRecord = { status: job.withdrawn ? "withdrawn" : "done" }
          when.push(jobCondition, { path: keys.final(job.id), stamp: ABSENT })
          apply.push({ set: keys.final(job.id), v: status }, { delete: keys.job(job.id) })
          for (const chunk of job.storedChunks()) {
            if (apply.length < txn_ops) apply.push({ delete: keys.place(job.id, chunk) })
          }
          ended.push(job)
          continue
        }
        let first = true
        for (const chunk of job.dirty) {
          const { record, saved } = job.encode(chunk)
          const size = JSON.stringify(record).length
          if (apply.length >= txn_ops || (apply.length > 0 && bytes + size > TXN_BYTES)) break
          bytes += size
          if (first) when.push(jobCondition)
          first = false
          const path = keys.place(job.id, chunk)
          when.push({ path, stamp: job.chunkStamp(chunk) })
          apply.push({ set: path, v: record })
          chunks.push({ job, chunk, saved })
          for (const index of Object.keys(record.at)) {
            const placement = job.placements.get(chunk * job.chunkSize + Number(index))
            if (placement !== undefined) inFlight.add(placement)
          }
        }
      }
      for (const { job, chunk } of chunks) job.dirty.delete(chunk)
      for (const job of [...this.changedJobs]) {
        if (job.dirty.size === 0 && !ended.includes(job)) this.changedJobs.delete(job)
      }
      if (apply.length === 0) return
      this.committing = inFlight
      const done = yield* Effect.result(this.ctx.state.multi(when, apply, 2))
      this.committing = new Set()
      if (this.over) return
      if (Result.isSuccess(done) && done.success.ok) {
        for (const { job, chunk, saved } of chunks) {
          job.setChunkStamp(chunk, done.success.epoch)
          saved()
        }
        for (const job of ended) this.forgetJob(job, done.success.epoch)
        this.pushOrders()
        return
      }
      for (const { job, chunk } of chunks) {
        job.dirty.add(chunk)
        this.changedJobs.add(job)
      }
      if (Result.isFailure(done) && done.failure.outcome === "refused") {
        yield* Effect.sleep(150)
      } else if (Result.isFailure(done)) {
        this.ctx.log.info("transaction without an answer", { part: this.part })
        yield* this.reread(when.map((c) => c.path))
      } else if (!done.success.ok) {
        yield* this.reread(done.success.failed)
      }
      this.dropWithdrawn()
    })
  }

  private forgetJob(job: JobState, epoch: Stamp): void {
    this.jobs.delete(job.id)
    this.changedJobs.delete(job)
    this.ctx.membership.mirror.apply(
      [{ path: keys.job(job.id), v: null, stamp: epoch, gone: true }],
      this.ctx.membership.mirror.revision,
    )
    for (const tenancy of this.tenancies.values()) if (tenancy.holder === job.id) tenancy.holder = null
    this.planSignal.notify()
  }

  /** After a failed or unanswered transaction: what do the keys say? */
  private reread(paths: ReadonlyArray<string>) {
    return Effect.gen({ self: this }, function* () {
      for (const path of paths) {
        const read = yield* Effect.result(this.ctx.state.get(path))
        if (Result.isFailure(read)) {
          yield* Effect.sleep(200)
          continue
        }
        if (this.over) return
        const entry = read.success
        const [head, id, chunk] = path.split("/")
        if (path === keys.part(this.part)) {
          if (entry === null || entry.stamp !== this.epoch) {
            if (entry !== null) this.ctx.membership.mirror.hint(entry)
            this.ctx.membership.disown(this.part)
            return
          }
        } else if (head === "place") {
          this.jobs.get(id as JobId)?.setChunkStamp(Number(chunk), entry?.stamp ?? ABSENT)
        } else if (path.startsWith("s/job/")) {
          const job = this.jobs.get(path.slice("s/job/".length) as JobId)
          if (entry !== null) {
            this.ctx.membership.mirror.hint(entry)
            this.jobChanged(path, entry)
          } else if (job !== undefined && (job.complete || job.withdrawn)) {
            // Our own transaction that ended it, unheard.
            this.forgetJob(job, this.ctx.membership.mirror.revision as number as Stamp)
          }
        }
      }
    })
  }

  private dropWithdrawn(): void {
    for (const job of this.changedJobs) {
      if (!job.withdrawn) continue
      for (const placement of [...job.placements.values()]) if (!placement.durable) this.unplace(placement)
      this.settleJob(job)
    }
  }

  // --- planning -------------------------------------------------------------

  private planLoop() {
    return Effect.gen({ self: this }, function* () {
      for (;;) {
        yield* this.planSignal.wait(TICK_MS)
        if (this.over) return
        if (this.active) {
          this.checkLeases()
          this.checkWarnings()
          this.planOnce()
          this.pushOrders()
        }
        yield* Effect.sleep(PLAN_SPACING_MS)
      }
    })
  }

  private checkLeases(): void {
    const now = this.ctx.time.moment()
    for (const session of this.machines.values()) {
      if (session.leaseOver(now) && (session.up || session.placements.size > 0)) {
        this.ctx.log.info("machine's lease is over", { machine: session.id, tasks: session.placements.size })
        this.apply(session, session.endTenure())
      }
    }
  }

  /** A machine about to be taken back: whatever can save does so in time, the rest runs on until the end. */
  private checkWarnings(): void {
    const now = this.ctx.time.moment()
    for (const session of this.machines.values()) {
      if (session.warningUntil === null) continue
      const leftS = (session.warningUntil - now) / 1000
      for (const placement of session.placements.values()) {
        const { snapshot_s, flush_s } = placement.job.request
        if (placement.stop !== null || snapshot_s === 0) continue
        // Reports, and the stop itself, need a moment too.
        if (leftS < flush_s + 3)
          placement.stop = { why: "drain", leewayS: Math.max(flush_s, leftS), since: now }
      }
    }
  }

  private planOnce(): void {
    const now = this.ctx.time.moment()
    const used = teamUse(this)
    const { needs, quotas } = this.ctx.wants(this.part)
    this.adjustShares(used, quotas)
    const teams = new Map<TeamName, TeamRoom>()
    for (const [team, u] of used) {
      const share = this.shares.share(team)
      teams.set(team, { cores: share.cpus - u.cores, accelerators: share.gpus - u.accelerators })
    }
    const jobs = jobViews(this, now)
    const share = this.shareOfFleet()
    const reserve = this.reserve()
    for (const { machine, to } of lend(
      machineViews(this, now),
      jobs,
      needs,
      share,
      this.given(now),
      reserve,
    )) {
      this.lendMachine(machine, to, needs)
    }
    const decided = plan({
      jobs,
      machines: machineViews(this, now),
      teams,
      types: [...(this.ctx.fleet.catalog()?.values() ?? [])],
      dearestSteady: this.ctx.operators.provisioning["dearest-steady"],
      reserve,
      running: runningTasks(this, now),
      market: this.ctx.fleet.market(),
      deploymentS: this.ctx.operators.provisioning["deployment-s"],
    })
    this.carryOut(decided, now)
    this.steadyWanted = decided.steadyWanted
    if (decided.steadyWanted) for (const tenancy of this.tenancies.values()) tenancy.closing = false
    preempt(this, decided, needs, share, this.given(now), now)
    this.ctx.publish(this.part, {
      needs: decided.unplaced.slice(0, NEEDS_TOLD).map(({ job, tasks, pressing }) => ({
        part: this.part,
        shape: shapeOf(job.request),
        rank: job.rank,
        tasks,
        pressing: job.withinGuarantee ? pressing : 0,
      })),
      quotas: quotaNeeds(this, jobs, teams),
    })
  }

  /** How much of the machines that could be lent to somebody is ours to lend. */
  private shareOfFleet(): number {
    let all = 0
    for (const entry of this.ctx.membership.mirror.under("s/machine/")) {
      if ((entry.v as MachineRecord).part !== DEADLINE || this.part === DEADLINE) all++
    }
    return all === 0 ? 1 : Math.min(1, this.machines.size / all)
  }

  /** Slots lent so lately that the borrower's need may not show it yet. */
  private given(now: Moment): ReadonlyMap<PartName, number> {
    while (this.gifts[0] !== undefined && this.gifts[0].until < now) this.gifts.shift()
    const given = new Map<PartName, number>()
    for (const { to, slots } of this.gifts) given.set(to, (given.get(to) ?? 0) + slots)
    return given
  }

  /** Hands an empty machine to another part, in one durable step that also raises its token. */
  private lendMachine(id: MachineId, to: PartName, needs: ReadonlyArray<Need>): void {
    const session = this.machines.get(id)
    const tenancy = this.tenancies.get(id)
    if (session === undefined || tenancy === undefined || tenancy.moving || tenancy.returning) return
    if (!session.empty((task) => this.finishIsDurable(task)) || this.fencing.has(id)) return
    if (this.ctx.membership.owner(to) === null) return
    tenancy.moving = true
    tenancy.holder = null
    const shape = needs.find((n) => n.part === to)?.shape
    if (shape !== undefined) {
      const until = later(this.ctx.time.moment(), GIVEN_COUNTS_MS)
      this.gifts.push({ to, slots: slotsIn(shape, session.type), until })
    }
    const path = keys.machine(id)
    const record: MachineRecord = { ...session.record, part: to }
    const when = [this.partCondition(), { path, stamp: session.recordStamp }]
    this.ctx.fork(
      Effect.gen({ self: this }, function* () {
        const done = yield* Effect.result(this.ctx.state.multi(when, [{ set: path, v: record }], 2))
        const { mirror } = this.ctx.membership
        if (Result.isSuccess(done) && done.success.ok) {
          const entry: Entry = { path, v: record, stamp: done.success.epoch }
          const introduction = session.introduction(this.ctx.time.moment())
          this.ctx.log.debug("machine lent", { machine: id, to })
          mirror.hint(entry)
          this.ctx.introduce(to, entry, introduction)
          return
        }
        // Without an answer the move may have happened, or may yet: until the
        // record says which, nothing is placed here.
        for (;;) {
          const read = yield* this.lookUp(path)
          if (Result.isSuccess(read) && read.success !== null) {
            const unknown = Result.isFailure(done) && done.failure.outcome === "unknown"
            // Rewriting the record stops a late copy of the move by its stamp.
            if (!unknown || read.success.stamp !== session.recordStamp) break
            yield* this.refence(session)
          }
          if (this.over || !this.machines.has(id)) return
          yield* Effect.sleep(300)
        }
        tenancy.moving = false
      }),
    )
  }

  /** The former owner tells us of a machine that is now ours. */
  introduced(id: MachineId, by: Introduction): void {
    this.machines.get(id)?.introduced(by, this.ctx.time.moment())
    this.planSignal.notify()
  }

  private adjustShares(used: ReadonlyMap<TeamName, TeamRoom>, quotas: ReadonlyArray<QuotaNeed>): void {
    const changes = this.shares.adjust((team) => {
      const u = used.get(team) ?? { cores: 0, accelerators: 0 }
      let cpus = u.cores
      let gpus = u.accelerators
      let rank = -1
      let since = Number.POSITIVE_INFINITY
      for (const job of this.jobs.values()) {
        if (job.request.owner !== team || job.withdrawn || job.queued === 0) continue
        cpus += job.queued * job.request.cores
        gpus += job.queued * job.request.accelerators
        const of = urgencyRank[job.request.urgency]
        if (of > rank) since = job.submitted
        else if (of === rank) since = Math.min(since, job.submitted)
        rank = Math.max(rank, of)
      }
      const own: QuotaNeed = { part: this.part, team, rank, since }
      const asking = quotas.filter((q) => q.team === team)
      const first = asking.some((q) => goesFirst(q, own))
      return {
        used: { cpus: u.cores, gpus: u.accelerators },
        wanted: { cpus, gpus },
        asked: asking.length === 0 ? "no" : first ? "first" : "after",
      }
    })
    for (const change of changes) this.ctx.fork(change)
  }

  private carryOut(decided: Plan, now: Moment): void {
    for (const { job: id, machine } of decided.placements) {
      const job = this.jobs.get(id)
      const session = this.machines.get(machine)
      if (job === undefined || session === undefined || session.tenure === null) continue
      const index = job.nextQueued()
      if (index === null) continue
      // The epoch makes attempts of different owners differ, the counter those of one.
      const attempt = (this.epoch * ATTEMPTS_PER_EPOCH + ++this.attempts) as Attempt
      const placement: Placement = {
        job,
        index,
        task: taskId(job.id, index),
        machine,
        tenure: session.tenure,
        attempt,
        durable: false,
        stop: null,
        placedAt: now,
        runningSince: null,
      }
      job.place(placement)
      session.placements.set(placement.task, placement)
      this.changedJobs.add(job)
    }
    if (decided.placements.length > 0) this.commitSignal.notify()
    for (const [machine, holder] of decided.holders) {
      const tenancy = this.tenancies.get(machine)
      if (tenancy !== undefined) tenancy.holder = holder
    }
    for (const hire of decided.hires) this.hire(hire)
  }

  // --- machines -------------------------------------------------------------

  private hire(wanted: PlannedHire): void {
    const most = this.ctx.platform.facts.state.txn_ops - 1
    const hire: PlannedHire = { ...wanted, count: Math.min(wanted.count, most) }
    const name = this.ctx.nextHire()
    const { type, zone, spot } = hire.hireable
    const answered = this.ctx.fleet.asking(type.name, zone, spot)
    this.hiring.set(name, hire)
    const settled = Effect.sync(() => {
      answered()
      this.hiring.delete(name)
      this.planSignal.notify()
    })
    this.ctx.fork(Effect.ensuring(this.carryOutHire(name, hire), settled))
  }

  private carryOutHire(name: HireName, { hireable, count, holder }: PlannedHire) {
    return Effect.gen({ self: this }, function* () {
      const { type, zone, spot } = hireable
      const request = { hire: name, build: type.name, site: zone, loaners: spot, how_many: count }
      let rentedAt = this.ctx.time.wall()
      // The same name until it is answered: a lost answer then rents nothing twice.
      for (let tries = 0; tries < 20 && !this.over; tries++) {
        rentedAt = this.ctx.time.wall()
        const stillWanted = () => !this.over && !this.ctx.fleet.isRefused(type.name, zone, spot)
        const answer = yield* Effect.result(this.ctx.cloud.hire(request, stillWanted))
        if (Result.isFailure(answer)) {
          if (answer.failure.status === 400) return
          yield* Effect.sleep(400)
          continue
        }
        const outcome = answer.success
        if (outcome.kind === "dropped") return
        const got = outcome.kind === "rented" ? outcome.machines : []
        if (got.length < count) this.ctx.fleet.refuse(type.name, zone, spot)
        else this.ctx.fleet.granted(type.name, zone, spot)
        const note = got.length > 0 ? this.ctx.log.info : this.ctx.log.debug
        note("hired", {
          name,
          type: type.name,
          zone,
          spot,
          asked: count,
          got: got.length,
          for: holder,
        })
        if (holder !== null) for (const id of got) this.holderOf.set(id, holder)
        const record: MachineRecord = {
          part: this.part,
          build: type.name,
          site: zone,
          loaners: spot,
          rented: rentedAt,
        }
        if (got.length > 0) yield* this.recordMachines(got, record)
        return
      }
    })
  }

  /** Gives machines to this part. One that another node recorded first is left to it. */
  private recordMachines(ids: ReadonlyArray<MachineId>, record: MachineRecord) {
    return Effect.gen({ self: this }, function* () {
      for (const id of ids) this.adopting.add(id)
      const paths = ids.map(keys.machine)
      while (!this.over) {
        const when = [this.partCondition(), ...paths.map((path) => ({ path, stamp: ABSENT }))]
        const apply = paths.map((path) => ({ set: path, v: record }))
        const done = yield* Effect.result(this.ctx.state.multi(when, apply, 1))
        if (Result.isSuccess(done)) {
          if (done.success.ok) {
            const stamp = done.success.epoch
            for (const path of paths) this.ctx.membership.mirror.hint({ path, v: record, stamp })
            break
          }
          const { failed } = done.success
          if (failed.includes(keys.part(this.part))) break
          for (const path of failed) paths.splice(paths.indexOf(path), 1)
          if (paths.length === 0) break
          continue
        }
        yield* Effect.sleep(200)
      }
      for (const id of ids) this.adopting.delete(id)
    })
  }

  /** Once in a while, for those on call: where this part's room is and what waits for it. */
  private logStatus(): void {
    const machines = machineViews(this, this.ctx.time.moment()).map(
      (m) => `${m.id}:${m.state}:${m.busyTasks}:${m.free.cores}/${m.type.cores}`,
    )
    let queued = 0
    for (const job of this.jobs.values()) queued += job.withdrawn ? 0 : job.queued
    this.ctx.log.debug("part status", {
      part: this.part,
      jobs: this.jobs.size,
      queued,
      machines: machines.join(" "),
    })
  }

  private fleetLoop() {
    return Effect.gen({ self: this }, function* () {
      let rounds = 0
      for (;;) {
        yield* Effect.sleep(TICK_MS)
        if (this.over) return
        if (!this.active) continue
        this.checkMachines()
        if (++rounds % STATUS_EVERY === 0) this.logStatus()
        if (this.part === DEADLINE) this.adopt()
      }
    })
  }

  private checkMachines(): void {
    const now = this.ctx.time.moment()
    const { fleet } = this.ctx
    const { needs } = this.ctx.wants(this.part)
    const lagMs = this.ctx.platform.facts.cloud.list_lag_s * 1000
    const windowMs = this.ctx.operators.provisioning["window-s"] * 1000
    for (const session of this.machines.values()) {
      const tenancy = this.tenancies.get(session.id)!
      if (tenancy.returning) continue
      const listed = fleet.listed.get(session.id)
      const heldMs = now - tenancy.rentedAt
      // Gone by the list and silent: asking for its deletion proves it gone, which the list alone does not.
      const shouldBeListed = fleet.everListed.has(session.id) || heldMs > 4 * lagMs + 2_000
      const listIsNew = fleet.listedAt > later(now, -3 * lagMs - 4_000)
      const vanished = listed === undefined && shouldBeListed && listIsNew && session.silentMs(now) > 4_000
      const failed = listed?.status === "failed"
      // A new owner hasn't heard machines that are long up either: the list has to say that it still boots.
      const neverUp =
        session.lastHeard === NEVER &&
        listed?.status === "booting" &&
        listIsNew &&
        heldMs > session.type.startup_s * NEVER_BOOTED * 1000
      if (vanished || failed || neverUp) {
        this.giveBack(session, vanished ? "vanished" : failed ? "failed" : "never came up")
        continue
      }
      // Held to the end of its window; renewed when it is of use then.
      const within = heldMs < LEAST_CHARGE_MS - 2.5 * TICK_MS || heldMs % windowMs <= windowMs - 2.5 * TICK_MS
      if (!session.up || within) {
        if (tenancy.closing && session.up && session.placements.size === 0) this.giveBack(session, "closed")
        continue
      }
      const ours = [...this.machines.values()].some((m) => m.record.loaners && m.up)
      if (!session.record.loaners && ours && !this.steadyWanted) tenancy.closing = true
      const idle = session.placements.size === 0 && tenancy.holder === null
      if (!idle || this.needed(session) || this.inReserve(session, now)) continue
      // Of no use here: another part may still want it before the cloud gets it back.
      const shape = { type: session.type, zone: session.record.site, spot: session.record.loaners }
      const need = tenancy.closing ? undefined : needs.find((n) => allowed(n.shape, shape))
      if (need === undefined) this.giveBack(session, "window over")
      else this.lendMachine(session.id, need.part, needs)
    }
  }

  /** Without it, less room than the reserve would be left beside the reserve's images. */
  private inReserve(session: WorkerSession, now: Moment): boolean {
    const reserve = this.reserve()
    const views = machineViews(this, now)
    const view = views.find((v) => v.id === session.id)
    if (view === undefined || !isReserved(view, reserve)) return false
    const rooms = views.map((machine) => ({ machine, free: machine.free }))
    return spareCores(rooms, reserve) < view.free.cores
  }

  /** Is there queued work that this idle machine could take? */
  private needed(session: WorkerSession): boolean {
    for (const job of this.jobs.values()) {
      if (job.queued > 0 && !job.withdrawn && slotsIn(job.request, session.type) > 0) return true
    }
    return false
  }

  private giveBack(session: WorkerSession, why: string): void {
    const tenancy = this.tenancies.get(session.id)
    if (tenancy === undefined || tenancy.returning) return
    tenancy.returning = true
    this.ctx.log.info("machine given back", { machine: session.id, why, tasks: session.placements.size })
    this.ctx.fork(
      Effect.gen({ self: this }, function* () {
        while (!this.over) {
          const gone = yield* Effect.result(this.ctx.cloud.remove([session.id]))
          if (Result.isSuccess(gone)) break
          yield* Effect.sleep(500)
        }
        if (this.over) return
        // The answer is the proof that nothing runs there any more.
        this.apply(session, session.clearAll("machine deleted"))
        const path = keys.machine(session.id)
        while (!this.over && this.machines.get(session.id) === session) {
          const when = [this.partCondition(), { path, stamp: session.recordStamp }]
          const done = yield* Effect.result(this.ctx.state.multi(when, [{ delete: path }], 3))
          if (Result.isSuccess(done) && done.success.ok) {
            const { mirror } = this.ctx.membership
            mirror.apply([{ path, v: null, stamp: done.success.epoch, gone: true }], mirror.revision)
            return
          }
          const read = yield* this.lookUp(path)
          if (Result.isSuccess(read) && read.success === null) return this.dropMachine(session, "deleted")
          yield* Effect.sleep(500)
        }
      }),
    )
  }

  /** Machines that the cloud lists and no record knows: rented by a node that died, or there from the start. */
  private adopt(): void {
    const { fleet, membership, time } = this.ctx
    for (const listed of fleet.listed.values()) {
      if (this.adopting.has(listed.id) || this.machines.has(listed.id)) continue
      if (membership.mirror.get(keys.machine(listed.id)) !== null) continue
      if (this.deleted.has(listed.id) || listed.held_s < ADOPT_AFTER_S) continue
      const rented = time.wall() - listed.held_s * 1000
      this.ctx.log.info("machine adopted", { machine: listed.id, held: listed.held_s })
      this.ctx.fork(
        this.recordMachines([listed.id], {
          part: this.part,
          build: listed.build,
          site: listed.site,
          loaners: listed.loaners,
          rented,
        }),
      )
    }
  }

  /** Tasks for display. */
  counts(id: JobId): { readonly done: number; readonly running: number } | null {
    const job = this.jobs.get(id)
    if (job === undefined) return null
    let running = 0
    for (const placement of job.placements.values()) if (placement.runningSince !== null) running++
    return { done: job.done, running }
  }
}
