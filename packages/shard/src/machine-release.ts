/** Release: deletes machines at the cloud. Which ones is decided by the health checks and scale in. */
import { Signal } from "@sorreltally/concurrency"
import type { MachineId } from "@sorreltally/protocol"
import type { MachineRecordWriter } from "@sorreltally/provisioning"
import type { WorkerSession } from "@sorreltally/workers"
import { Effect, Result } from "effect"
import type { ShardView } from "./shard-context.ts"

/** Maximum machines that the cloud deletes in one request. */
export const MAX_MACHINES_PER_RELEASE = 100
const MAX_SIGNAL_WAIT_MS = 1_000
/** Pause of the loop while there is nothing to release, or the shard may not act. */
const IDLE_PAUSE_MS = 100
const RELEASE_RETRY_MS = 400

/** Why a machine is released at once: it is gone, or tasks can't run on it. Logged verbatim. */
export type FaultReason =
  /** The cloud doesn't list it although it should, and it sends no heartbeats. */
  | "vanished"
  /** The cloud lists it as failed. */
  | "failed"
  /** Tasks fail on it that succeed on other machines. */
  | "faulty"
  /** Its preemption notice has expired, and its heartbeat is overdue. */
  | "preempted"
  /** It takes far longer to boot than its type usually does. */
  | "never booted"
  /** Its worker doesn't receive the messages sent to it. */
  | "unreachable"

/** Why a machine is released: a fault, or one of two reasons for healthy machines. */
export type ReleaseReason =
  | FaultReason
  /** An on-demand machine that was draining and has become empty. */
  | "drained"
  /** No shard needs it at the end of its billing window. */
  | "window end"

/** Options of a shard's machine release. */
export interface MachineReleaseOptions {
  readonly shard: ShardView
  readonly machineRecords: MachineRecordWriter
  /** Whether the shard's state is restored and its node holds the node lease. */
  readonly mayAct: () => boolean
  /** Whether the node has lost the shard. */
  readonly isStopped: () => boolean
  /** Called when the cloud's response proves that a machine and all tasks on it are gone. */
  readonly onDeleted: (session: WorkerSession) => void
  /** Requests a new plan, because machines were deleted. */
  readonly requestPlan: () => void
}

/** Releases the machines of one shard. */
export class MachineRelease {
  private readonly releasing = new Map<MachineId, WorkerSession>()
  private readonly signal = new Signal()

  constructor(private readonly options: MachineReleaseOptions) {}

  /** Releases a machine, even if tasks run on it. Idempotent. */
  release(session: WorkerSession, reason: ReleaseReason): void {
    const { assignments, node } = this.options.shard
    const assignment = assignments.get(session.id)
    if (assignment === undefined || assignment.isReleasing) return
    assignment.isReleasing = true
    node.log.info("machine released", { machine: session.id, reason, tasks: session.placements.size })
    this.releasing.set(session.id, session)
    this.signal.notify()
  }

  /**
   * Deletes the machines to be released, until the shard is lost. Repeating a deletion is harmless: deleted
   * machines stay deleted. A loop instead of a Schedule, because the batch and the pause depend on the
   * shard's state.
   */
  readonly run: Effect.Effect<void> = Effect.suspend(() =>
    Effect.gen({ self: this }, function* () {
      const { isStopped, mayAct } = this.options
      for (;;) {
        if (this.releasing.size === 0) yield* this.signal.wait(MAX_SIGNAL_WAIT_MS)
        if (isStopped()) return
        if (this.releasing.size > 0 && mayAct()) yield* this.deleteBatch()
        else yield* Effect.sleep(IDLE_PAUSE_MS)
      }
    }),
  )

  private deleteBatch() {
    return Effect.gen({ self: this }, function* () {
      const { isStopped, shard, requestPlan } = this.options
      const batch = [...this.releasing.values()].slice(0, MAX_MACHINES_PER_RELEASE)
      const result = yield* Effect.result(shard.node.cloud.remove(batch.map((session) => session.id)))
      if (isStopped()) return
      if (Result.isFailure(result)) return yield* Effect.sleep(RELEASE_RETRY_MS)
      for (const session of batch) this.removeDeleted(session)
      requestPlan()
    })
  }

  private removeDeleted(session: WorkerSession): void {
    const { onDeleted, machineRecords, shard } = this.options
    this.releasing.delete(session.id)
    // Whether it was released or preempted by the cloud, its pool has free capacity now.
    const { machineType, zone, spot } = session.entry
    shard.node.inventory.clearRefusal(machineType, zone, spot)
    onDeleted(session)
    machineRecords.edit(session.id, { kind: "remove" })
  }
}
