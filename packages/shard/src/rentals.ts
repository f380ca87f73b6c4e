/**
 * One shard's machines at the cloud: scale out, adoption, health checks, scale in and release, each in a module
 * of its own. Owns their loops; every machine is deleted through `MachineRelease` alone, and its record goes only
 * after the cloud's response.
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
/** Machines that the cloud rents in one request at most. */
export const MAX_MACHINES_PER_RENTAL = 50

/** What the rentals use of their shard and its planning. */
export interface RentalsOptions extends Omit<ScaleInOptions, "release"> {
  readonly machineRecords: MachineRecordWriter
  /** The shard's state is restored, and its node holds the lease to act for it. */
  readonly mayAct: () => boolean
  /** The node has lost the shard. */
  readonly isStopped: () => boolean
  /** There may be something to plan. */
  readonly changed: () => void
  /** The cloud's response proves that the machine and all tasks on it are gone. */
  readonly deleted: (session: WorkerSession) => void
}

/** One shard's machines at the cloud: rents, adopts, checks and releases them. */
export class Rentals {
  /** Machines whose records are being written. */
  private readonly recording = new Set<MachineId>()
  private readonly requests: RentalRequests
  private readonly adoption: MachineAdoption
  private readonly machineRelease: MachineRelease
  private readonly scaleIn: ScaleIn

  constructor(private readonly options: RentalsOptions) {
    const { shard, machineRecords } = options
    this.requests = new RentalRequests({ ...options, recording: this.recording })
    this.adoption = new MachineAdoption(shard, machineRecords, this.recording)
    this.machineRelease = new MachineRelease(options)
    this.scaleIn = new ScaleIn({ ...options, release: (session, reason) => this.release(session, reason) })
  }

  /** Rentals that are decided and whose machines aren't recorded yet. */
  get pendingRentals(): ReadonlyMap<RentalRequestId, PlannedRental> {
    return this.requests.pending
  }

  /** Checks and releases machines until the shard is lost. */
  readonly run: Effect.Effect<void> = Effect.suspend(() =>
    Effect.all([this.machineRelease.run, this.checkLoop()], { concurrency: "unbounded", discard: true }),
  )

  /** The job that a machine just recorded was rented for; null: rented for none, or not by this owner. */
  takeAssignedJob(id: MachineId): JobId | null {
    return this.requests.takeAssignedJob(id)
  }

  /** Is the machine rented or adopted by this very owner, and its record not yet confirmed? */
  isRecording(id: MachineId): boolean {
    return this.recording.has(id)
  }

  /** Rents machines as planned. */
  scaleOut(rental: PlannedRental): void {
    this.requests.start(rental)
  }

  /** Releases a machine, whatever runs on it. */
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

  /** Releases the machines that are gone or broken, and those of no use at the end of their billing windows. */
  private check(): void {
    const { shard } = this.options
    const now = shard.node.clocks.monotonicNow()
    const round = this.scaleIn.begin(now)
    for (const session of shard.machines.values()) {
      const assignment = shard.assignments.get(session.id)!
      if (assignment.isReleasing || assignment.isMoving) continue
      const reason = releaseReason(shard, session, assignment.rentedAt, now)
      if (reason !== null) this.release(session, reason)
      else if (session.isUp) this.scaleIn.consider(round, session, assignment)
    }
    this.scaleIn.finish(round)
  }
}
