/** Periodic checks of a shard's machines by the clock: workers' leases and preemption notices. */
import type { MachineId } from "@sorreltally/protocol"
import type { Outcome, WorkerSession } from "@sorreltally/workers"
import type { ReleaseReason } from "./machine-release.ts"
import type { ShardView } from "./shard-context.ts"

/** Time in s that a stop needs to reach its worker, beside the checkpoint: a heartbeat and the command. */
const STOP_DELAY_S = 3

/** What the checks have their shard do. */
export interface MachineChecksOptions {
  readonly shard: ShardView
  /** Applies what a lease's expiry proves of the machine's tasks. */
  readonly apply: (session: WorkerSession, outcomes: ReadonlyArray<Outcome>) => void
  /** Releases a machine, whatever runs on it. */
  readonly release: (session: WorkerSession, reason: ReleaseReason) => void
  /** The machine needs commands before its next heartbeat. */
  readonly commandsDue: (machine: MachineId) => void
}

/** Checks one shard's machines. */
export class MachineChecks {
  constructor(private readonly options: MachineChecksOptions) {}

  /** Runs all checks once. */
  run(): void {
    this.expireLeases()
    this.checkPreemptionNotices()
  }

  /** A worker whose lease has surely run out has killed its tasks: they are queued again. */
  private expireLeases(): void {
    const { shard, apply, release } = this.options
    const now = shard.node.clocks.monotonicNow()
    for (const session of shard.machines.values()) {
      if ((!session.isUp && session.placements.size === 0) || !session.isLeaseExpired(now)) continue
      const tasks = session.placements.size
      const ended = session.expireLease()
      if (ended.length > 0 || tasks === 0)
        shard.node.log.info("agent lease expired", { machine: session.id, tasks })
      apply(session, ended)
      // What is left may still start there: only the machine's deletion proves at once that it can't.
      if (session.placements.size > 0) release(session, "lease expired with a start in flight")
    }
  }

  /** Machines with a preemption notice: tasks that checkpoint do so in time, the others run on until the end. */
  private checkPreemptionNotices(): void {
    const { shard } = this.options
    const now = shard.node.clocks.monotonicNow()
    for (const session of shard.machines.values()) {
      if (session.preemptionAt === null) continue
      const leftS = (session.preemptionAt - now) / 1000
      for (const placement of session.placements.values()) {
        const { checkpointIntervalS, checkpointSaveS } = placement.job.spec
        if (placement.stop !== null || checkpointIntervalS === 0) continue
        // Heartbeats, and the stop itself, take time too.
        if (leftS >= checkpointSaveS + STOP_DELAY_S) continue
        const gracePeriodS = Math.max(checkpointSaveS, leftS)
        placement.job.stop(placement, { reason: "drain", gracePeriodS, since: now })
        this.options.commandsDue(session.id)
      }
    }
  }
}
