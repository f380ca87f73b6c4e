/**
 * Scale out: sends one shard's rental requests to the cloud and has the rented machines recorded. What to
 * rent is decided by the plan.
 */
import type { PlannedRental } from "@sorreltally/planner"
import type { JobId, MachineId, RentalRequestId, WallTime } from "@sorreltally/protocol"
import type { MachineRecordWriter } from "@sorreltally/provisioning"
import { Effect, Result } from "effect"
import type { ShardView } from "./shard-context.ts"

/** Requests under one id at most; machines rented without a response are adopted from the cloud's list. */
const MAX_RENTAL_ATTEMPTS = 20
const RENTAL_RETRY_MS = 400
/** Status for a request that the cloud can't carry out, so a retry would fail too. */
const HTTP_BAD_REQUEST = 400

/** Options of a shard's rental requests. */
export interface RentalRequestsOptions {
  readonly shard: ShardView
  readonly machineRecords: MachineRecordWriter
  /** Machines whose records are being written; shared with adoption, so that none is recorded by both. */
  readonly machinesBeingRecorded: Set<MachineId>
  /** Whether the node has lost the shard. */
  readonly isStopped: () => boolean
  /** Requests a new plan, because a rental request has ended. */
  readonly requestPlan: () => void
}

/** The rental requests in progress of one shard. */
export class RentalRequests {
  /** By request id, from the plan's decision until the machines are recorded or the request has failed. */
  readonly pending = new Map<RentalRequestId, PlannedRental>()
  private readonly assignedJobs = new Map<MachineId, JobId>()

  constructor(private readonly options: RentalRequestsOptions) {}

  /** The job that a newly recorded machine was rented for; null: for no job, or not by this owner. */
  takeAssignedJob(id: MachineId): JobId | null {
    const assignedJob = this.assignedJobs.get(id) ?? null
    this.assignedJobs.delete(id)
    return assignedJob
  }

  /**
   * Starts a rental. The node owns its fiber, not the shard: if the shard is lost while a request is in
   * flight, which the cloud may already have carried out, its response is still processed, but the request
   * isn't retried.
   */
  start(rental: PlannedRental): void {
    const { node } = this.options.shard
    const requestId = node.nextRentalRequestId()
    const { type, zone, spot } = rental.offer
    const endRequest = node.inventory.trackRequest(type.name, zone, spot)
    this.pending.set(requestId, rental)
    const cleanUp = Effect.sync(() => {
      endRequest()
      this.pending.delete(requestId)
      this.options.requestPlan()
    })
    node.fork(Effect.ensuring(this.rent(requestId, rental, endRequest), cleanUp))
  }

  private rent(requestId: RentalRequestId, rental: PlannedRental, endRequest: () => void) {
    return Effect.gen({ self: this }, function* () {
      // The request id is the idempotency key: retries until there is a response never rent twice.
      // A loop instead of a Schedule, because the shard's state ends it and attempts differ in duration.
      for (let attempt = 0; attempt < MAX_RENTAL_ATTEMPTS && !this.options.isStopped(); attempt++) {
        const isSettled = yield* this.attempt(requestId, rental, endRequest)
        if (isSettled) return
      }
    })
  }

  /** Makes one attempt; true: the rental needs no further one. */
  private attempt(requestId: RentalRequestId, rental: PlannedRental, endRequest: () => void) {
    return Effect.gen({ self: this }, function* () {
      const { isStopped, shard } = this.options
      const { cloud, clocks, inventory } = shard.node
      const { type, zone, spot } = rental.offer
      const request = { requestId, machineType: type.name, zone, spot, count: rental.count }
      const isStillWanted = () => !isStopped() && !inventory.isRefused(type.name, zone, spot)
      const rentedAt = clocks.wallNow()
      const response = yield* Effect.result(cloud.rent(request, isStillWanted))
      if (Result.isFailure(response)) {
        if (response.failure.status === HTTP_BAD_REQUEST) return true
        yield* Effect.sleep(RENTAL_RETRY_MS)
        return false
      }
      const outcome = response.success
      if (outcome.kind === "dropped") return true
      const ids = outcome.kind === "rented" ? outcome.machines : []
      this.applyOutcome(requestId, rental, ids)
      endRequest()
      if (ids.length > 0) yield* this.recordMachines(requestId, rental, ids, rentedAt)
      return true
    })
  }

  /** Updates the inventory from a response: fewer machines than requested means that the pool has no more. */
  private applyOutcome(
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

  private recordMachines(
    requestId: RentalRequestId,
    { offer, assignedJob }: PlannedRental,
    ids: ReadonlyArray<MachineId>,
    rentedAt: WallTime,
  ) {
    return Effect.gen({ self: this }, function* () {
      const { machineRecords, machinesBeingRecorded } = this.options
      for (const id of ids) {
        if (assignedJob !== null) this.assignedJobs.set(id, assignedJob)
        machinesBeingRecorded.add(id)
      }
      // The machines count as pending under this request until they are recorded.
      this.pending.set(requestId, { offer, count: ids.length, assignedJob })
      yield* Effect.callback<void>((resume) => {
        const { type, zone, spot } = offer
        const machines = { machineType: type.name, zone, spot, rentedAt, ids }
        machineRecords.add(machines, false, () => resume(Effect.void))
      })
      for (const id of ids) machinesBeingRecorded.delete(id)
    })
  }
}
