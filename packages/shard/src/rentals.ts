import { Signal } from "@sorreltally/concurrency"
import { DEADLINE_SHARD } from "@sorreltally/membership"
import {
  allowed,
  type MachineDemand,
  type PlannedRental,
  type Reserve,
  slotsIn,
  spareCores,
} from "@sorreltally/planner"
import {
  addMs,
  type JobId,
  type ListedMachine,
  type MachineId,
  type MonotonicTime,
  NEVER,
  type RentalRequestId,
  type ShardName,
} from "@sorreltally/protocol"
import { ADOPTED, type MachineRecordWriter, originFor } from "@sorreltally/provisioning"
import type { WorkerSession } from "@sorreltally/workers"
import { Effect, Result } from "effect"
import { machineViews } from "./planner-input.ts"
import type { ShardView } from "./shard-context.ts"

const TICK_MS = 1_000
/** The most that the cloud rents, and takes back, in one call. */
export const RENTAL_SIZE = 50
const RETURN_SIZE = 100
/** The cloud charges this much at least: an earlier return saves nothing. */
const LEAST_CHARGE_MS = 60_000
/** Times `startup_s` after which a machine that hasn't come up is given back. */
const NEVER_BOOTED = 2.5
/**
 * A listed machine that no record knows may still be another node's rental
 * under way; hardly so once it is up. (Taken too early, one of the two records
 * of it is refused.)
 */
const ADOPT_AFTER_S = 10
/** Reports come as often as the settings say, give or take a quarter. */
const REPORT_OVERDUE = 1.35
/** A machine that can't be made to show that it hears us this long is given back. */
const RECEIVES_NOTHING_MS = 12_000

export interface RentalEvents {
  readonly changed: () => void
  /** The cloud's answer proves that the machine and all on it are gone. */
  readonly deleted: (session: WorkerSession) => void
  readonly lend: (session: WorkerSession, to: ShardName, needs: ReadonlyArray<MachineDemand>) => void
  readonly onDemandNeeded: () => boolean
  readonly reserve: () => Reserve
  /** Did the last plan find no use for this empty machine? */
  readonly isIdle: (id: MachineId) => boolean
  /** Jobs that it found held back by their teams' limits. */
  readonly heldBack: () => ReadonlySet<JobId>
}

/** One part's dealings with the cloud: what it rents, adopts, and gives back. */
export class Rentals {
  readonly pendingRentals = new Map<RentalRequestId, PlannedRental>()
  private readonly recording = new Set<MachineId>()
  private readonly assignedJobOf = new Map<MachineId, NonNullable<PlannedRental["assignedJob"]>>()
  private readonly leaving = new Map<MachineId, WorkerSession>()
  private readonly leave = new Signal()

  constructor(
    private readonly of: ShardView,
    private readonly blocks: MachineRecordWriter,
    private readonly active: () => boolean,
    private readonly over: () => boolean,
    private readonly events: RentalEvents,
  ) {}

  readonly run: Effect.Effect<void> = Effect.suspend(() =>
    Effect.all([this.returnLoop(), this.watchLoop()], { concurrency: "unbounded", discard: true }),
  )

  /** Whom a machine that just came on record was rented for. */
  takeAssignedJob(id: MachineId): PlannedRental["assignedJob"] {
    const assignedJob = this.assignedJobOf.get(id) ?? null
    this.assignedJobOf.delete(id)
    return assignedJob
  }
  /** Rented by this very owner: nobody had it before. */
  isOurs(id: MachineId): boolean {
    return this.recording.has(id)
  }

  // --- renting ------------------------------------------------------------------

  rental(rental: PlannedRental): void {
    const { node } = this.of
    const name = node.nextRentalRequestId()
    const { type, zone, spot } = rental.offer
    const answered = node.inventory.asking(type.name, zone, spot)
    this.pendingRentals.set(name, rental)
    const settled = Effect.sync(() => {
      answered()
      this.pendingRentals.delete(name)
      this.events.changed()
    })
    node.fork(Effect.ensuring(this.carryOut(name, rental, answered), settled))
  }

  private carryOut(
    name: RentalRequestId,
    { offer, count, assignedJob }: PlannedRental,
    answered: () => void,
  ) {
    return Effect.gen({ self: this }, function* () {
      const { node } = this.of
      const { type, zone, spot } = offer
      const request = { requestId: name, machineType: type.name, zone, spot, count }
      // The same name until it is answered: a lost answer then rents nothing twice.
      for (let tries = 0; tries < 20 && !this.over(); tries++) {
        const rented = node.clocks.wallNow()
        const stillWanted = () => !this.over() && !node.inventory.isRefused(type.name, zone, spot)
        const answer = yield* Effect.result(node.cloud.rent(request, stillWanted))
        if (Result.isFailure(answer)) {
          if (answer.failure.status === 400) return
          yield* Effect.sleep(400)
          continue
        }
        const outcome = answer.success
        if (outcome.kind === "dropped") return
        const got = outcome.kind === "rented" ? outcome.machines : []
        if (got.length < count) node.inventory.refuse(type.name, zone, spot)
        else node.inventory.granted(type.name, zone, spot)
        const note = got.length > 0 ? node.log.info : node.log.debug
        note("machines rented", {
          requestId: name,
          type: type.name,
          zone,
          spot,
          requested: count,
          rented: got.length,
          assignedJob,
        })
        answered()
        if (got.length === 0) return
        for (const id of got) {
          if (assignedJob !== null) this.assignedJobOf.set(id, assignedJob)
          this.recording.add(id)
        }
        // Until they are on record they count as coming by this request.
        this.pendingRentals.set(name, { offer, count: got.length, assignedJob })
        yield* Effect.callback<void>((resume) => {
          const machines = { machineType: type.name, zone, spot, rentedAt: rented, ids: got }
          this.blocks.add(machines, false, () => resume(Effect.void))
        })
        for (const id of got) this.recording.delete(id)
        return
      }
    })
  }

  /** Machines that the cloud lists and no record knows: rented by a node that died, or there from the start. */
  private adopt() {
    return Effect.gen({ self: this }, function* () {
      const { inventory, membership, clocks, machineIndex, log } = this.of.node
      const unknown = (m: ListedMachine) =>
        !this.recording.has(m.id) &&
        machineIndex.get(m.id) === undefined &&
        !machineIndex.gone.has(m.id) &&
        (m.ageS >= ADOPT_AFTER_S || m.status === "running")
      if (!inventory.listedHere.some(unknown)) return
      const fresh = yield* Effect.result(membership.readBarrier.wait)
      if (Result.isFailure(fresh)) return
      const groups = new Map<string, Array<ListedMachine>>()
      for (const listed of inventory.listedHere) {
        if (!unknown(listed)) continue
        const group = originFor(ADOPTED, listed)
        const of = groups.get(group)
        if (of === undefined) groups.set(group, [listed])
        else of.push(listed)
      }
      for (const group of groups.values()) {
        const { machineType, zone, spot, ageS } = group[0]!
        const ids = group.map((m) => m.id)
        for (const id of ids) this.recording.add(id)
        log.info("machines adopted", { count: ids.length, machineType, zone, spot, first: ids[0] })
        const rentedAt = clocks.wallNow() - ageS * 1000
        this.blocks.add({ machineType, zone, spot, rentedAt, ids }, true, () => {
          for (const id of ids) this.recording.delete(id)
        })
      }
    })
  }

  // --- giving back ----------------------------------------------------------------

  release(session: WorkerSession, reason: string): void {
    const assignment = this.of.assignments.get(session.id)
    if (assignment === undefined || assignment.returning) return
    assignment.returning = true
    this.of.node.log.info("machine released", { machine: session.id, reason, tasks: session.placements.size })
    this.leaving.set(session.id, session)
    this.leave.notify()
  }

  private returnLoop() {
    return Effect.gen({ self: this }, function* () {
      for (;;) {
        if (this.leaving.size === 0) yield* this.leave.wait(TICK_MS)
        if (this.over()) return
        if (this.leaving.size === 0 || !this.active()) {
          yield* Effect.sleep(100)
          continue
        }
        const batch = [...this.leaving.values()].slice(0, RETURN_SIZE)
        const gone = yield* Effect.result(this.of.node.cloud.remove(batch.map((s) => s.id)))
        if (this.over()) return
        if (Result.isFailure(gone)) {
          yield* Effect.sleep(400)
          continue
        }
        for (const session of batch) {
          this.leaving.delete(session.id)
          // Whether we gave it back or the cloud took it: its place is free now.
          const { machineType: build, zone: site, spot: loaners } = session.entry
          this.of.node.inventory.granted(build, site, loaners)
          this.events.deleted(session)
          this.blocks.edit(session.id, { kind: "remove" })
        }
        this.events.changed()
      }
    })
  }

  private watchLoop() {
    return Effect.gen({ self: this }, function* () {
      for (;;) {
        yield* Effect.sleep(TICK_MS)
        if (this.over()) return
        if (!this.active()) continue
        this.check()
        if (this.of.name === DEADLINE_SHARD) yield* this.adopt()
      }
    })
  }

  /** Which machines are gone, broken or of no use any more? */
  private check(): void {
    const { of } = this
    const now = of.node.clocks.monotonicNow()
    const { machines: needs } = of.node.demandRegistry(of.name)
    const windowMs = of.node.operators.provisioning["window-s"] * 1000
    let spotUp = false
    for (const m of of.machines.values()) spotUp ||= m.entry.spot && m.up
    const wanted = this.queuedShapes()
    // Another part would rent a dear one of its own in its place.
    const wantedBy = ({ type, entry }: WorkerSession) => {
      const kind = { type, zone: entry.zone, spot: entry.spot }
      return needs.some((n) => n.pressing > 0 && allowed(n.shape, kind))
    }
    const due: Array<WorkerSession> = []
    for (const session of of.machines.values()) {
      const assignment = of.assignments.get(session.id)!
      if (assignment.returning || assignment.moving) continue
      const broken = this.brokenBy(session, assignment.rentedAt, now)
      if (broken !== null) {
        this.release(session, broken)
        continue
      }
      if (!session.up) continue
      const heldMs = now - assignment.rentedAt
      // Held to the end of its window; renewed when it is of use then.
      const within = heldMs < LEAST_CHARGE_MS - 2.5 * TICK_MS || heldMs % windowMs <= windowMs - 2.5 * TICK_MS
      if (within) {
        if (assignment.closing && session.placements.size === 0) this.release(session, "drained")
        continue
      }
      if (!session.entry.spot && spotUp && !this.events.onDemandNeeded() && !wantedBy(session))
        assignment.closing = true
      if (session.placements.size > 0 || assignment.assignedJob !== null) continue
      if (wanted.some((request) => slotsIn(request, session.type) > 0)) continue
      // Guards against holding machines for queued work of which a team's limit lets nothing start.
      if (this.events.heldBack().size > 0 && !this.events.isIdle(session.id)) continue
      due.push(session)
    }
    if (due.length === 0) return
    const reserve = this.events.reserve()
    const views = new Map(machineViews(of, now, reserve, false).map((v) => [v.id, v]))
    let spare = spareCores(views.values(), reserve)
    for (const session of due) {
      const view = views.get(session.id)
      if (view?.reserved === true) {
        // Without it, less room than the reserve would be left beside the reserve's images.
        if (spare < view.free.cores) continue
        spare -= view.free.cores
      }
      // Of no use here: another part may still want it before the cloud gets it back.
      const { zone: site, spot: loaners } = session.entry
      const shape = { type: session.type, zone: site, spot: loaners }
      const closing = of.assignments.get(session.id)!.closing
      const need = closing ? undefined : needs.find((n) => allowed(n.shape, shape))
      if (need === undefined) this.release(session, "window end")
      else this.events.lend(session, need.shard, needs)
    }
  }

  private brokenBy(session: WorkerSession, rentedAt: MonotonicTime, now: MonotonicTime): string | null {
    const { inventory, platform } = this.of.node
    const lagMs = platform.deployment.cloud.listLagS * 1000
    const listed = inventory.listed.get(session.id)
    const heldMs = now - rentedAt
    const listIsNew = inventory.listedAt > addMs(now, -3 * lagMs - 4_000 - inventory.pollMs)
    // Gone by the list and silent: asking for its deletion proves it gone, which the list alone does not.
    if (listed === undefined && listIsNew && session.silentMs(now) > 4_000) {
      const shouldBeListed =
        inventory.everListed.has(session.id) || heldMs > 4 * lagMs + 2_000 + inventory.pollMs
      if (shouldBeListed) return "vanished"
    }
    if (listed?.status === "failed") return "failed"
    if (this.of.failures.isFaulty(session.id)) return "faulty"
    // The time it was warned of is over, and its next report overdue: sooner known than by the lagging list.
    const { warningUntil } = session
    const overdueMs = REPORT_OVERDUE * 1000 * platform.deployment.workers.heartbeatIntervalS
    if (warningUntil !== null && now > warningUntil && session.silentMs(now) > overdueMs) return "preempted"
    // A new owner hasn't heard machines that are long up either: the list has to say that it still boots.
    const overdue = heldMs > session.type.bootS * NEVER_BOOTED * 1000
    if (overdue && session.lastHeard === NEVER && listed?.status === "booting" && listIsNew)
      return "never booted"
    if (session.unreachableSince !== null && now > addMs(session.unreachableSince, RECEIVES_NOTHING_MS))
      return "unreachable"
    return null
  }

  /** What of the queued work that no limit holds back an idle machine could take. */
  private queuedShapes() {
    const heldBack = this.events.heldBack()
    const now = this.of.node.clocks.monotonicNow()
    const shapes = []
    for (const job of this.of.jobs.values())
      if (this.of.failures.startable(job, now) > 0 && !job.cancelled && !heldBack.has(job.id))
        shapes.push(job.request)
    return shapes
  }
}
