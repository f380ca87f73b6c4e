/** Periodic checks of a shard's machines that depend on time only: agent leases and preemption notices. */
import type { MachineId } from "@sorreltally/protocol"
import type { Outcome, WorkerSession } from "@sorreltally/workers"
import type { ShardView } from "./shard-context.ts"

/** Time in s for a stop to reach its worker (a heartbeat and the command), in addition to the checkpoint. */
const STOP_DELAY_S = 3

/** Options and callbacks of the checks. */
export interface MachineChecksOptions {
  readonly shard: ShardView
  /** Applies the outcomes that the expiry of an agent lease proves. */
  readonly applyOutcomes: (session: WorkerSession, outcomes: ReadonlyArray<Outcome>) => void
  /** Marks a machine that needs commands before its next heartbeat. */
  readonly markCommandsDue: (machine: MachineId) => void
}

/** Checks the machines of one shard. */
export class MachineChecks {
  constructor(private readonly options: MachineChecksOptions) {}

  /** Runs all checks once. */
  run(): void {
    this.expireLeases()
    this.checkPreemptionNotices()
  }

  /** Requeues the tasks of workers whose agent lease has certainly expired, since they killed their tasks. */
  private expireLeases(): void {
    const { shard, applyOutcomes } = this.options
    const now = shard.node.clocks.monotonicNow()
    for (const session of shard.machines.values()) {
      if ((!session.isUp && session.placements.size === 0) || !session.isLeaseExpired(now)) continue
      shard.node.log.info("agent lease expired", { machine: session.id, tasks: session.placements.size })
      applyOutcomes(session, session.expireLease())
    }
  }

  /**
   * On machines with a preemption notice, stops the tasks with checkpoints early enough to save one; the
   * others run until the preemption.
   */
  private checkPreemptionNotices(): void {
    const { shard } = this.options
    const now = shard.node.clocks.monotonicNow()
    for (const session of shard.machines.values()) {
      if (session.preemptionAt === null) continue
      const remainingS = (session.preemptionAt - now) / 1000
      for (const placement of session.placements.values()) {
        const { checkpointIntervalS, checkpointSaveS } = placement.job.spec
        if (placement.stop !== null || checkpointIntervalS === 0) continue
        // The stop reaches the worker only after a heartbeat and the command.
        if (remainingS >= checkpointSaveS + STOP_DELAY_S) continue
        const gracePeriodS = Math.max(checkpointSaveS, remainingS)
        placement.job.stop(placement, { reason: "drain", gracePeriodS, since: now })
        this.options.markCommandsDue(session.id)
      }
    }
  }
}
