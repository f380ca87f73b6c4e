/**
 * One shard's machines as the machine index lists them: a worker session and an assignment for each. Creates and
 * removes them by the index alone; never concludes from a session that a machine is gone.
 */

import { addMs, type JobId, type MachineId, type ModRevision } from "@sorreltally/protocol"
import { type ClearedCause, type MachineEntry, WorkerSession } from "@sorreltally/workers"
import type { MachineAssignment, ShardView } from "./shard-context.ts"

/** What the machines use of their shard. */
export interface ShardMachinesOptions {
  readonly shard: Pick<ShardView, "name" | "node" | "jobs" | "failures">
  /** The shard's epoch: the lowest fencing token of its commands. */
  readonly epoch: ModRevision
  /** Is the machine rented or adopted by this owner, so that no heartbeat of it can be older than that? */
  readonly isRecording: (id: MachineId) => boolean
  /** The job that the machine was rented for by this owner; null: none. */
  readonly takeAssignedJob: (id: MachineId) => JobId | null
  /** The machine was deleted or moved to another shard: no task of this shard is on it. */
  readonly removed: (session: WorkerSession, cause: ClearedCause) => void
  /** There may be something to plan. */
  readonly changed: () => void
}

/** The machines that one shard owns. */
export class ShardMachines {
  readonly sessions = new Map<MachineId, WorkerSession>()
  readonly assignments = new Map<MachineId, MachineAssignment>()

  constructor(private readonly options: ShardMachinesOptions) {}

  /** The machine index changed an entry, of any shard's machines; null: the machine was deleted. */
  machineChanged(id: MachineId, entry: MachineEntry | null): void {
    const session = this.sessions.get(id)
    if (entry === null || entry.shard !== this.options.shard.name) {
      if (session !== undefined) this.remove(session, entry === null ? "machine deleted" : "machine moved")
      return
    }
    if (session !== undefined) return session.updateEntry(entry)
    this.add(id, entry)
  }

  private add(id: MachineId, entry: MachineEntry): void {
    const { epoch, shard, isRecording, takeAssignedJob } = this.options
    const { clocks, inventory, platform } = shard.node
    const type = inventory.catalog()?.get(entry.machineType)
    if (type === undefined) return
    const now = clocks.monotonicNow()
    const { leaseS, heartbeatIntervalS } = platform.deployment.workers
    const times = { leaseS, heartbeatIntervalS }
    const rentedInEpoch = isRecording(id)
    const session = new WorkerSession({ entry, type, shardEpoch: epoch, times, rentedInEpoch, now })
    this.sessions.set(id, session)
    const ageMs = Math.max(0, clocks.wallNow() - entry.rentedAt)
    const assignedJob = takeAssignedJob(id)
    this.assignments.set(id, {
      assignedJob: assignedJob !== null && shard.jobs.has(assignedJob) ? assignedJob : null,
      rentedAt: addMs(now, -ageMs),
      knownSince: now,
      releasing: false,
      closing: false,
      moving: false,
    })
    this.options.changed()
  }

  private remove(session: WorkerSession, cause: ClearedCause): void {
    this.sessions.delete(session.id)
    this.assignments.delete(session.id)
    this.options.shard.failures.forgetMachine(session.id)
    this.options.removed(session, cause)
  }

  /** The job is over: machines assigned to it go back to the pool. */
  unassign(job: JobId): void {
    for (const assignment of this.assignments.values())
      if (assignment.assignedJob === job) assignment.assignedJob = null
  }
}
