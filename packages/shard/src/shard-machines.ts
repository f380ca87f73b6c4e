/**
 * Machines of one shard according to the machine index, with a worker session and an assignment for each.
 * Entries are added and removed by changes of the index only; a session is never taken as proof that a
 * machine is gone.
 */

import { addMs, type JobId, type MachineId, type ModRevision } from "@sorreltally/protocol"
import { type ClearedCause, type MachineEntry, WorkerSession } from "@sorreltally/workers"
import type { MachineAssignment, ShardView } from "./shard-context.ts"

/** Options of the shard's machines. */
export interface ShardMachinesOptions {
  readonly shard: Pick<ShardView, "name" | "node" | "jobs" | "failures">
  /** Shard epoch: the lowest fencing token of the shard's commands. */
  readonly epoch: ModRevision
  /**
   * Whether this owner rented or adopted the machine and its record is not confirmed yet; no heartbeat of
   * such a machine can be older than its rental or adoption.
   */
  readonly isRecording: (id: MachineId) => boolean
  /** Returns the job that this owner rented the machine for, or null, and removes the entry. */
  readonly takeAssignedJob: (id: MachineId) => JobId | null
  /** The machine was deleted or moved to another shard, so no task of this shard is on it. */
  readonly onMachineRemoved: (session: WorkerSession, cause: ClearedCause) => void
  /** Requests a plan, after a change that may allow or require one. */
  readonly requestPlan: () => void
}

/** Machines that one shard owns. */
export class ShardMachines {
  readonly sessions = new Map<MachineId, WorkerSession>()
  readonly assignments = new Map<MachineId, MachineAssignment>()

  constructor(private readonly options: ShardMachinesOptions) {}

  /** Handles a change of the machine index, for a machine of any shard; `entry` is null if it was deleted. */
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
      ownedSince: now,
      isReleasing: false,
      isDrainingForRelease: false,
      isMoving: false,
    })
    this.options.requestPlan()
  }

  private remove(session: WorkerSession, cause: ClearedCause): void {
    this.sessions.delete(session.id)
    this.assignments.delete(session.id)
    this.options.shard.failures.removeMachine(session.id)
    this.options.onMachineRemoved(session, cause)
  }

  /** Makes the machines that are assigned to a job available to all jobs; called when the job has ended. */
  unassign(job: JobId): void {
    for (const assignment of this.assignments.values())
      if (assignment.assignedJob === job) assignment.assignedJob = null
  }
}
