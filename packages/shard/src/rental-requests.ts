/**
 * Scale out: carries one shard's rental requests out at the cloud and has the rented machines recorded. Decides
 * nothing about what to rent: that is the plan's.
 */
import type { PlannedRental } from "@sorreltally/planner"
import type { JobId, MachineId, RentalRequestId, WallTime } from "@sorreltally/protocol"
import type { MachineRecordWriter } from "@sorreltally/provisioning"
import { Effect, Result } from "effect"
import type { ShardView } from "./shard-context.ts"

/** Requests under one id at most; what they may have rented all the same is adopted from the cloud's list. */
const MAX_RENTAL_ATTEMPTS = 20
const RENTAL_RETRY_MS = 400
/** The cloud's status for a request that it can't carry out: repeating it is of no use. */
const BAD_REQUEST = 400

/** What the rental requests use of their shard. */
export interface RentalRequestsOptions {
  readonly shard: ShardView
  readonly machineRecords: MachineRecordWriter
  /** Machines whose records are being written; shared with adoption, so that neither records the other's. */
  readonly recording: Set<MachineId>
  /** The node has lost the shard. */
  readonly isStopped: () => boolean
  /** A rental ended: there may be something to plan. */
  readonly changed: () => void
}

/** The rental requests of one shard that are under way. */
export class RentalRequests {
  /** By request id, from the decision to rent until the machines are recorded or the request has failed. */
  readonly pending = new Map<RentalRequestId, PlannedRental>()
  private readonly assignedJobs = new Map<MachineId, JobId>()

  constructor(private readonly options: RentalRequestsOptions) {}

  /** The job that a machine just recorded was rented for; null: rented for none, or not by this owner. */
  takeAssignedJob(id: MachineId): JobId | null {
    const assignedJob = this.assignedJobs.get(id) ?? null
    this.assignedJobs.delete(id)
    return assignedJob
  }

  /**
   * Starts a rental. Its fiber is the node's, not the shard's: a request that the cloud may have carried out is
   * followed to its response also when the shard is lost meanwhile, and then sent no more.
   */
  start(rental: PlannedRental): void {
    const { node } = this.options.shard
    const requestId = node.nextRentalRequestId()
    const { type, zone, spot } = rental.offer
    const answered = node.inventory.trackRequest(type.name, zone, spot)
    this.pending.set(requestId, rental)
    const settled = Effect.sync(() => {
      answered()
      this.pending.delete(requestId)
      this.options.changed()
    })
    node.fork(Effect.ensuring(this.rent(requestId, rental, answered), settled))
  }

  private rent(requestId: RentalRequestId, rental: PlannedRental, answered: () => void) {
    return Effect.gen({ self: this }, function* () {
      // The request id is the idempotency key: repeated until there is a response, it rents nothing twice.
      // (A loop in place of a Schedule: it ends by the shard's state, and each attempt takes its own time.)
      for (let attempt = 0; attempt < MAX_RENTAL_ATTEMPTS && !this.options.isStopped(); attempt++) {
        const settled = yield* this.attempt(requestId, rental, answered)
        if (settled) return
      }
    })
  }

  /** Whether the rental needs no further attempt. */
  private attempt(requestId: RentalRequestId, rental: PlannedRental, answered: () => void) {
    return Effect.gen({ self: this }, function* () {
      const { isStopped, shard } = this.options
      const { cloud, clocks, inventory } = shard.node
      const { type, zone, spot } = rental.offer
      const request = { requestId, machineType: type.name, zone, spot, count: rental.count }
      const isStillWanted = () => !isStopped() && !inventory.isRefused(type.name, zone, spot)
      const rentedAt = clocks.wallNow()
      const response = yield* Effect.result(cloud.rent(request, isStillWanted))
      if (Result.isFailure(response)) {
        if (response.failure.status === BAD_REQUEST) return true
        yield* Effect.sleep(RENTAL_RETRY_MS)
        return false
      }
      const outcome = response.success
      if (outcome.kind === "dropped") return true
      const ids = outcome.kind === "rented" ? outcome.machines : []
      this.noteOutcome(requestId, rental, ids)
      answered()
      if (ids.length > 0) yield* this.record(requestId, rental, ids, rentedAt)
      return true
    })
  }

  /** What a response says of the cloud's capacity: fewer machines than requested means that it has no more. */
  private noteOutcome(
    requestId: RentalRequestId,
    { offer: { type, zone, spot }, count, assignedJob }: PlannedRental,
    ids: ReadonlyArray<MachineId>,
  ): void {
    const { inventory, log } = this.options.shard.node
    if (ids.length < count) inventory.recordRefusal(type.name, zone, spot)
    else inventory.clearRefusal(type.name, zone, spot)
    const logRental = ids.length > 0 ? log.info : log.debug
    logRental("machines rented", {
      requestId,
      type: type.name,
      zone,
      spot,
      requested: count,
      rented: ids.length,
      assignedJob,
    })
  }

  private record(
    requestId: RentalRequestId,
    { offer, assignedJob }: PlannedRental,
    ids: ReadonlyArray<MachineId>,
    rentedAt: WallTime,
  ) {
    return Effect.gen({ self: this }, function* () {
      const { machineRecords, recording } = this.options
      for (const id of ids) {
        if (assignedJob !== null) this.assignedJobs.set(id, assignedJob)
        recording.add(id)
      }
      // Until they are recorded they count as pending under this request.
      this.pending.set(requestId, { offer, count: ids.length, assignedJob })
      yield* Effect.callback<void>((resume) => {
        const { type, zone, spot } = offer
        const machines = { machineType: type.name, zone, spot, rentedAt, ids }
        machineRecords.add(machines, false, () => resume(Effect.void))
      })
      for (const id of ids) recording.delete(id)
    })
  }
}
