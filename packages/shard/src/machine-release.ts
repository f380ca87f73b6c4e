/** Release: has the cloud delete machines. Decides nothing about which: that is health checks' and scale in's. */
import { Signal } from "@sorreltally/concurrency"
import type { MachineId } from "@sorreltally/protocol"
import type { MachineRecordWriter } from "@sorreltally/provisioning"
import type { WorkerSession } from "@sorreltally/workers"
import { Effect, Result } from "effect"
import type { ShardView } from "./shard-context.ts"

/** Machines that the cloud deletes in one request at most. */
const MAX_MACHINES_PER_RELEASE = 100
const MAX_WAIT_MS = 1_000
/** With nothing to release, or without the lease. */
const IDLE_PAUSE_MS = 100
const RELEASE_RETRY_MS = 400

/** Why a machine is released at once: it is gone, or its tasks can't go on there. Stands in the log as it is. */
export type FaultReason =
  /** Neither listed by the cloud nor heard, though it should be listed. */
  | "vanished"
  /** The cloud lists it as failed. */
  | "failed"
  /** Tasks fail on it that succeed elsewhere. */
  | "faulty"
  /** Its preemption notice has run out, and it is silent. */
  | "preempted"
  /** It takes far longer to boot than its type does. */
  | "never booted"
  /** Its worker doesn't receive what is sent to it. */
  | "unreachable"
  /** A direct start got no response before the lease expired: only the deletion proves that it takes no effect. */
  | "lease expired with a start in flight"

/** Why a machine is released; the last two of machines that are healthy. */
export type ReleaseReason =
  | FaultReason
  /** On-demand, it was to take no new tasks, and is empty. */
  | "drained"
  /** Of no use to any shard at the end of its billing window. */
  | "window end"

/** What the release of machines uses of its shard. */
export interface MachineReleaseOptions {
  readonly shard: ShardView
  readonly machineRecords: MachineRecordWriter
  /** The shard's state is restored, and its node holds the lease to act for it. */
  readonly mayAct: () => boolean
  /** The node has lost the shard. */
  readonly isStopped: () => boolean
  /** The cloud's response proves that the machine and all tasks on it are gone. */
  readonly deleted: (session: WorkerSession) => void
  /** Machines were deleted: there may be something to plan. */
  readonly changed: () => void
}

/** The machines of one shard that are being released. */
export class MachineRelease {
  private readonly releasing = new Map<MachineId, WorkerSession>()
  private readonly signal = new Signal()

  constructor(private readonly options: MachineReleaseOptions) {}

  /** Releases a machine, whatever runs on it. Repeated, it does nothing. */
  release(session: WorkerSession, reason: ReleaseReason): void {
    const { assignments, node } = this.options.shard
    const assignment = assignments.get(session.id)
    if (assignment === undefined || assignment.releasing) return
    assignment.releasing = true
    node.log.info("machine released", { machine: session.id, reason, tasks: session.placements.size })
    this.releasing.set(session.id, session)
    this.signal.notify()
  }

  /**
   * Deletes what is to be released until the shard is lost. Repeating a deletion is harmless: a machine that is
   * gone stays gone. (A loop in place of a Schedule: each round's batch and pause depend on the shard's state.)
   */
  readonly run: Effect.Effect<void> = Effect.suspend(() =>
    Effect.gen({ self: this }, function* () {
      const { isStopped, mayAct } = this.options
      for (;;) {
        if (this.releasing.size === 0) yield* this.signal.wait(MAX_WAIT_MS)
        if (isStopped()) return
        if (this.releasing.size > 0 && mayAct()) yield* this.deleteBatch()
        else yield* Effect.sleep(IDLE_PAUSE_MS)
      }
    }),
  )

  private deleteBatch() {
    return Effect.gen({ self: this }, function* () {
      const { isStopped, shard, changed } = this.options
      const batch = [...this.releasing.values()].slice(0, MAX_MACHINES_PER_RELEASE)
      const deleted = yield* Effect.result(shard.node.cloud.remove(batch.map((session) => session.id)))
      if (isStopped()) return
      if (Result.isFailure(deleted)) return yield* Effect.sleep(RELEASE_RETRY_MS)
      for (const session of batch) this.removeDeleted(session)
      changed()
    })
  }

  private removeDeleted(session: WorkerSession): void {
    const { deleted, machineRecords, shard } = this.options
    this.releasing.delete(session.id)
    // Whether we released it or the cloud preempted it: its capacity is free now.
    const { machineType, zone, spot } = session.entry
    shard.node.inventory.clearRefusal(machineType, zone, spot)
    deleted(session)
    machineRecords.edit(session.id, { kind: "remove" })
  }
}
