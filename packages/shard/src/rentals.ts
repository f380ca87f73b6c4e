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

const CHECK_INTERVAL_MS = 1_000
/** Machines that the cloud rents in one request at most. */
export const MAX_MACHINES_PER_RENTAL = 50
/** Machines that the cloud deletes in one request at most. */
const MAX_MACHINES_PER_RELEASE = 100
/** Time that the cloud bills at least for a machine: an earlier release saves nothing. */
const MIN_BILLED_MS = 60_000
/** A machine that hasn't come up after this many times its type's boot time is released. */
const BOOT_OVERDUE_FACTOR = 2.5
/**
 * A listed machine without a record may be another node's rental that is still being recorded; hardly so at
 * this age, or once it runs. (Adopted too early, one of its two records is refused.)
 */
const MIN_ADOPTION_AGE_S = 10
/** Heartbeat intervals after which a heartbeat is overdue: the interval varies by a quarter. */
const HEARTBEAT_OVERDUE_FACTOR = 1.35
/** A machine that stays unreachable this long is released. */
const MAX_UNREACHABLE_MS = 12_000

export interface RentalEvents {
  readonly changed: () => void
  /** The cloud's response proves that the machine and all tasks on it are gone. */
  readonly deleted: (session: WorkerSession) => void
  readonly lend: (session: WorkerSession, to: ShardName, demands: ReadonlyArray<MachineDemand>) => void
  readonly onDemandNeeded: () => boolean
  readonly reserve: () => Reserve
  /** Did the last plan find no use for this empty machine? */
  readonly isIdle: (id: MachineId) => boolean
  /** Jobs that it found held back by their teams' limits. */
  readonly heldBack: () => ReadonlySet<JobId>
}

/** One shard's machines at the cloud: rents, adopts and releases them. */
export class Rentals {
  readonly pendingRentals = new Map<RentalRequestId, PlannedRental>()
  private readonly recording = new Set<MachineId>()
  private readonly assignedJobs = new Map<MachineId, NonNullable<PlannedRental["assignedJob"]>>()
  private readonly releasing = new Map<MachineId, WorkerSession>()
  private readonly releaseSignal = new Signal()

  constructor(
    private readonly shard: ShardView,
    private readonly machineRecords: MachineRecordWriter,
    private readonly mayAct: () => boolean,
    private readonly isStopped: () => boolean,
    private readonly events: RentalEvents,
  ) {}

  readonly run: Effect.Effect<void> = Effect.suspend(() =>
    Effect.all([this.releaseLoop(), this.checkLoop()], { concurrency: "unbounded", discard: true }),
  )

  /** The job that a machine just recorded was rented for. */
  takeAssignedJob(id: MachineId): PlannedRental["assignedJob"] {
    const assignedJob = this.assignedJobs.get(id) ?? null
    this.assignedJobs.delete(id)
    return assignedJob
  }
  /** Is the machine rented or adopted by this very owner, and its record not yet confirmed? */
  isOurs(id: MachineId): boolean {
    return this.recording.has(id)
  }

  // --- scale out ------------------------------------------------------------------

  scaleOut(rental: PlannedRental): void {
    const { node } = this.shard
    const requestId = node.nextRentalRequestId()
    const { type, zone, spot } = rental.offer
    const answered = node.inventory.asking(type.name, zone, spot)
    this.pendingRentals.set(requestId, rental)
    const settled = Effect.sync(() => {
      answered()
      this.pendingRentals.delete(requestId)
      this.events.changed()
    })
    node.fork(Effect.ensuring(this.rentMachines(requestId, rental, answered), settled))
  }

  private rentMachines(
    requestId: RentalRequestId,
    { offer, count, assignedJob }: PlannedRental,
    answered: () => void,
  ) {
    return Effect.gen({ self: this }, function* () {
      const { node } = this.shard
      const { type, zone, spot } = offer
      const request = { requestId, machineType: type.name, zone, spot, count }
      // The request id is the idempotency key: repeated until there is a response, it rents nothing twice.
      for (let attempts = 0; attempts < 20 && !this.isStopped(); attempts++) {
        const rentedAt = node.clocks.wallNow()
        const stillWanted = () => !this.isStopped() && !node.inventory.isRefused(type.name, zone, spot)
        const answer = yield* Effect.result(node.cloud.rent(request, stillWanted))
        if (Result.isFailure(answer)) {
          if (answer.failure.status === 400) return
          yield* Effect.sleep(400)
          continue
        }
        const outcome = answer.success
        if (outcome.kind === "dropped") return
        const rentedIds = outcome.kind === "rented" ? outcome.machines : []
        if (rentedIds.length < count) node.inventory.refuse(type.name, zone, spot)
        else node.inventory.granted(type.name, zone, spot)
        const logRental = rentedIds.length > 0 ? node.log.info : node.log.debug
        logRental("machines rented", {
          requestId,
          type: type.name,
          zone,
          spot,
          requested: count,
          rented: rentedIds.length,
          assignedJob,
        })
        answered()
        if (rentedIds.length === 0) return
        for (const id of rentedIds) {
          if (assignedJob !== null) this.assignedJobs.set(id, assignedJob)
          this.recording.add(id)
        }
        // Until they are recorded they count as pending under this request.
        this.pendingRentals.set(requestId, { offer, count: rentedIds.length, assignedJob })
        yield* Effect.callback<void>((resume) => {
          const machines = { machineType: type.name, zone, spot, rentedAt, ids: rentedIds }
          this.machineRecords.add(machines, false, () => resume(Effect.void))
        })
        for (const id of rentedIds) this.recording.delete(id)
        return
      }
    })
  }

  /** Records the machines that the cloud lists and no record names: rented by a node that ended, or there from the start. */
  private adopt() {
    return Effect.gen({ self: this }, function* () {
      const { inventory, membership, clocks, machineIndex, log } = this.shard.node
      const isUnknown = (machine: ListedMachine) =>
        !this.recording.has(machine.id) &&
        machineIndex.get(machine.id) === undefined &&
        !machineIndex.gone.has(machine.id) &&
        (machine.ageS >= MIN_ADOPTION_AGE_S || machine.status === "running")
      if (!inventory.listedHere.some(isUnknown)) return
      const barrier = yield* Effect.result(membership.readBarrier.since)
      if (Result.isFailure(barrier)) return
      const groups = new Map<string, Array<ListedMachine>>()
      for (const listed of inventory.listedHere) {
        if (!isUnknown(listed)) continue
        const group = originFor(ADOPTED, listed)
        const members = groups.get(group)
        if (members === undefined) groups.set(group, [listed])
        else members.push(listed)
      }
      for (const group of groups.values()) {
        const { machineType, zone, spot, ageS } = group[0]!
        const ids = group.map((machine) => machine.id)
        for (const id of ids) this.recording.add(id)
        log.info("machines adopted", { count: ids.length, machineType, zone, spot, first: ids[0] })
        const rentedAt = clocks.wallNow() - ageS * 1000
        this.machineRecords.add({ machineType, zone, spot, rentedAt, ids }, true, () => {
          for (const id of ids) this.recording.delete(id)
        })
      }
    })
  }

  // --- release ----------------------------------------------------------------

  release(session: WorkerSession, reason: string): void {
    const assignment = this.shard.assignments.get(session.id)
    if (assignment === undefined || assignment.returning) return
    assignment.returning = true
    this.shard.node.log.info("machine released", {
      machine: session.id,
      reason,
      tasks: session.placements.size,
    })
    this.releasing.set(session.id, session)
    this.releaseSignal.notify()
  }

  private releaseLoop() {
    return Effect.gen({ self: this }, function* () {
      for (;;) {
        if (this.releasing.size === 0) yield* this.releaseSignal.wait(CHECK_INTERVAL_MS)
        if (this.isStopped()) return
        if (this.releasing.size === 0 || !this.mayAct()) {
          yield* Effect.sleep(100)
          continue
        }
        const batch = [...this.releasing.values()].slice(0, MAX_MACHINES_PER_RELEASE)
        const removed = yield* Effect.result(this.shard.node.cloud.remove(batch.map((s) => s.id)))
        if (this.isStopped()) return
        if (Result.isFailure(removed)) {
          yield* Effect.sleep(400)
          continue
        }
        for (const session of batch) {
          this.releasing.delete(session.id)
          // Whether we released it or the cloud preempted it: its capacity is free now.
          const { machineType, zone, spot } = session.entry
          this.shard.node.inventory.granted(machineType, zone, spot)
          this.events.deleted(session)
          this.machineRecords.edit(session.id, { kind: "remove" })
        }
        this.events.changed()
      }
    })
  }

  private checkLoop() {
    return Effect.gen({ self: this }, function* () {
      for (;;) {
        yield* Effect.sleep(CHECK_INTERVAL_MS)
        if (this.isStopped()) return
        if (!this.mayAct()) continue
        this.check()
        if (this.shard.name === DEADLINE_SHARD) yield* this.adopt()
      }
    })
  }

  /** Releases or lends the machines that are gone, broken or of no use any more. */
  private check(): void {
    const { shard } = this
    const now = shard.node.clocks.monotonicNow()
    const { machines: demands } = shard.node.demandRegistry(shard.name)
    const windowMs = shard.node.operators.provisioning["window-s"] * 1000
    let hasSpotUp = false
    for (const session of shard.machines.values()) hasSpotUp ||= session.entry.spot && session.up
    const queuedShapes = this.startableRequests()
    // Its shard would otherwise rent an on-demand machine of its own.
    const isDemanded = ({ type, entry }: WorkerSession) => {
      const kind = { type, zone: entry.zone, spot: entry.spot }
      return demands.some((demand) => demand.pressing > 0 && allowed(demand.shape, kind))
    }
    const due: Array<WorkerSession> = []
    for (const session of shard.machines.values()) {
      const assignment = shard.assignments.get(session.id)!
      if (assignment.returning || assignment.moving) continue
      const reason = this.releaseReason(session, assignment.rentedAt, now)
      if (reason !== null) {
        this.release(session, reason)
        continue
      }
      if (!session.up) continue
      const ageMs = now - assignment.rentedAt
      // Kept to the end of its window, which is renewed if the machine is of use then.
      const isWithinWindow =
        ageMs < MIN_BILLED_MS - 2.5 * CHECK_INTERVAL_MS ||
        ageMs % windowMs <= windowMs - 2.5 * CHECK_INTERVAL_MS
      if (isWithinWindow) {
        if (assignment.closing && session.placements.size === 0) this.release(session, "drained")
        continue
      }
      if (!session.entry.spot && hasSpotUp && !this.events.onDemandNeeded() && !isDemanded(session))
        assignment.closing = true
      if (session.placements.size > 0 || assignment.assignedJob !== null) continue
      if (queuedShapes.some((request) => slotsIn(request, session.type) > 0)) continue
      // Guards against holding machines for queued work of which a team's limit lets nothing start.
      if (this.events.heldBack().size > 0 && !this.events.isIdle(session.id)) continue
      due.push(session)
    }
    if (due.length === 0) return
    const reserve = this.events.reserve()
    const views = new Map(machineViews(shard, now, reserve, false).map((v) => [v.id, v]))
    let spare = spareCores(views.values(), reserve)
    for (const session of due) {
      const view = views.get(session.id)
      if (view?.reserved === true) {
        // Without it, less room than the reserve would be left beside the reserve's images.
        if (spare < view.free.cores) continue
        spare -= view.free.cores
      }
      // Of no use here: another shard may have demand for it before it is released.
      const { zone, spot } = session.entry
      const offer = { type: session.type, zone, spot }
      const closing = shard.assignments.get(session.id)!.closing
      const borrower = closing ? undefined : demands.find((demand) => allowed(demand.shape, offer))
      if (borrower === undefined) this.release(session, "window end")
      else this.events.lend(session, borrower.shard, demands)
    }
  }

  private releaseReason(session: WorkerSession, rentedAt: MonotonicTime, now: MonotonicTime): string | null {
    const { inventory, platform } = this.shard.node
    const listLagMs = platform.deployment.cloud.listLagS * 1000
    const listed = inventory.listed.get(session.id)
    const ageMs = now - rentedAt
    const isListFresh = inventory.listedAt > addMs(now, -3 * listLagMs - 4_000 - inventory.pollMs)
    // Neither listed nor heard: the response to its deletion proves it gone, which the list alone doesn't.
    if (listed === undefined && isListFresh && session.silentMs(now) > 4_000) {
      const shouldBeListed =
        inventory.everListed.has(session.id) || ageMs > 4 * listLagMs + 2_000 + inventory.pollMs
      if (shouldBeListed) return "vanished"
    }
    if (listed?.status === "failed") return "failed"
    if (this.shard.failures.isFaulty(session.id)) return "faulty"
    // Its preemption notice has run out and its heartbeat is overdue: known sooner than by the lagging list.
    const { warningUntil } = session
    const overdueMs = HEARTBEAT_OVERDUE_FACTOR * 1000 * platform.deployment.workers.heartbeatIntervalS
    if (warningUntil !== null && now > warningUntil && session.silentMs(now) > overdueMs) return "preempted"
    // A new owner hasn't heard machines that are long up either: the list has to show it as booting.
    const overdue = ageMs > session.type.bootS * BOOT_OVERDUE_FACTOR * 1000
    if (overdue && session.lastHeard === NEVER && listed?.status === "booting" && isListFresh)
      return "never booted"
    if (session.unreachableSince !== null && now > addMs(session.unreachableSince, MAX_UNREACHABLE_MS))
      return "unreachable"
    return null
  }

  /** Requests of the queued jobs that no limit holds back: an idle machine could take their tasks. */
  private startableRequests() {
    const heldBack = this.events.heldBack()
    const now = this.shard.node.clocks.monotonicNow()
    const shapes = []
    for (const job of this.shard.jobs.values())
      if (this.shard.failures.startable(job, now) > 0 && !job.cancelled && !heldBack.has(job.id))
        shapes.push(job.request)
    return shapes
  }
}
