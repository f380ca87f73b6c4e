/**
 * Lifecycle of one shard's machines at the cloud: scale out, adoption, health checks, scale in and release,
 * each in a module of its own, whose loops run here. Machines are deleted through `MachineRelease` only, and
 * a machine's record is removed only after the cloud's response.
 */
import { DEADLINE_SHARD } from "@sorreltally/membership"
import type { PlannedRental } from "@sorreltally/planner"
import type { JobId, MachineId, RentalRequestId } from "@sorreltally/protocol"
import type { MachineRecordWriter } from "@sorreltally/provisioning"
import type { WorkerSession } from "@sorreltally/workers"
import { Effect } from "effect"
import { MachineAdoption } from "./machine-adoption.ts"
import { releaseReason } from "./machine-health.ts"
import { MachineRelease, type ReleaseReason } from "./machine-release.ts"
import { RentalRequests } from "./rental-requests.ts"
import { ScaleIn, type ScaleInOptions } from "./scale-in.ts"

const CHECK_INTERVAL_MS = 1_000
/** Maximum machines that the cloud rents in one request. */
export const MAX_MACHINES_PER_RENTAL = 50

/** Options of a shard's rentals. */
export interface RentalsOptions extends Omit<ScaleInOptions, "release"> {
  readonly machineRecords: MachineRecordWriter
  /** Whether the shard's state is restored and its node holds the node lease. */
  readonly mayAct: () => boolean
  /** Whether the node has lost the shard. */
  readonly isStopped: () => boolean
  /** Requests a new plan, because a rental ended or machines were deleted. */
  readonly requestPlan: () => void
  /** Called when the cloud's response proves that a machine and all tasks on it are gone. */
  readonly onDeleted: (session: WorkerSession) => void
}

/** Rents, adopts, checks and releases one shard's machines. */
export class Rentals {
  /** Machines whose records are being written. */
  private readonly machinesBeingRecorded = new Set<MachineId>()
  private readonly requests: RentalRequests
  private readonly adoption: MachineAdoption
  private readonly machineRelease: MachineRelease
  private readonly scaleIn: ScaleIn

  constructor(private readonly options: RentalsOptions) {
    const { shard, machineRecords } = options
    this.requests = new RentalRequests({ ...options, machinesBeingRecorded: this.machinesBeingRecorded })
    this.adoption = new MachineAdoption(shard, machineRecords, this.machinesBeingRecorded)
    this.machineRelease = new MachineRelease(options)
    this.scaleIn = new ScaleIn({ ...options, release: (session, reason) => this.release(session, reason) })
  }

  /** Rentals decided by plans whose machines aren't recorded yet. */
  get pendingRentals(): ReadonlyMap<RentalRequestId, PlannedRental> {
    return this.requests.pending
  }

  /** Checks and releases machines until the shard is lost. */
  readonly run: Effect.Effect<void> = Effect.suspend(() =>
    Effect.all([this.machineRelease.run, this.checkLoop()], { concurrency: "unbounded", discard: true }),
  )

  /** The job that a newly recorded machine was rented for; null: for no job, or not by this owner. */
  takeAssignedJob(id: MachineId): JobId | null {
    return this.requests.takeAssignedJob(id)
  }

  /** Whether this owner has rented or adopted the machine and its record isn't confirmed yet. */
  isRecording(id: MachineId): boolean {
    return this.machinesBeingRecorded.has(id)
  }

  /** Rents machines as planned. */
  scaleOut(rental: PlannedRental): void {
    this.requests.start(rental)
  }

  /** Releases a machine, even if tasks run on it. */
  release(session: WorkerSession, reason: ReleaseReason): void {
    this.machineRelease.release(session, reason)
  }

  private checkLoop() {
    return Effect.gen({ self: this }, function* () {
      const { isStopped, mayAct, shard } = this.options
      for (;;) {
        yield* Effect.sleep(CHECK_INTERVAL_MS)
        if (isStopped()) return
        if (!mayAct()) continue
        this.check()
        if (shard.name === DEADLINE_SHARD) yield* this.adoption.adopt
      }
    })
  }

  /** Releases machines that are gone or faulty, and those not needed at the end of their billing windows. */
  private check(): void {
    const { shard } = this.options
    const now = shard.node.clocks.monotonicNow()
    const round = this.scaleIn.beginRound(now)
    for (const session of shard.machines.values()) {
      const assignment = shard.assignments.get(session.id)!
      if (assignment.isReleasing || assignment.isMoving) continue
      const reason = releaseReason(shard, session, assignment.rentedAt, now)
      if (reason !== null) this.release(session, reason)
      else if (session.isUp) this.scaleIn.checkMachine(round, session, assignment)
    }
    this.scaleIn.finishRound(round)
  }
}
