/**
 * Decides whether a task failed because of its job, which may have been submitted
 * with a mistake and fails on every machine, or because of its machine, which may
 * be faulty. It distinguishes them by the machines on which each job failed, and
 * by whether the job has succeeded on another machine since. It never stops a job
 * or releases a machine itself.
 */

import { addMs, type JobId, type MachineId, type MonotonicTime } from "@sorreltally/protocol"
import type { JobState } from "./job-state.ts"

/**
 * A job that failed on this many machines, and succeeded on none since, is
 * suspect: it probably has a mistake.
 */
const SUSPECT_AFTER_MACHINES = 2
/** A machine is faulty if this many jobs failed on it and have succeeded on another machine since. */
const FAULTY_AFTER_JOBS = 2
/** Number of tasks of a suspect job that may be placed at a time. */
const MAX_SUSPECT_TASKS = 1
/** Rank of suspect jobs, below that of any priority: a suspect job delays no other job. */
export const SUSPECT_RANK = -1
/** Time for which a job avoids a machine on which it failed, unless the job becomes suspect before. */
const MACHINE_AVOIDANCE_MS = 30_000
const INITIAL_BACKOFF_MS = 500
/** Limit of the back-off, so that a job that no longer fails is detected within this time. */
const MAX_BACKOFF_MS = 30_000

interface JobFailures {
  /** Times of the job's last failure on each machine, since one of its tasks last succeeded. */
  readonly lastFailureByMachine: Map<MachineId, MonotonicTime>
  count: number
}

/** Failures of one shard's tasks, kept while they help to tell jobs with a mistake from faulty machines. */
export class FailureTracker {
  private readonly failuresByJob = new Map<JobId, JobFailures>()
  /** By machine: the jobs that failed on it and have succeeded on another machine since. */
  private readonly succeededElsewhere = new Map<MachineId, Set<JobId>>()

  /**
   * Records that a task of the job failed on its own, not because it was
   * stopped. Returns the back-off of the job in ms; 0 if it may retry at once.
   */
  recordFailure(job: JobId, machine: MachineId, now: MonotonicTime): number {
    const failures = this.failuresByJob.get(job) ?? {
      lastFailureByMachine: new Map<MachineId, MonotonicTime>(),
      count: 0,
    }
    this.failuresByJob.set(job, failures)
    failures.lastFailureByMachine.set(machine, now)
    failures.count++
    if (!this.isSuspect(job)) return 0
    return Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** Math.min(10, failures.count))
  }

  /**
   * Records that a task of the job completed: the job has no mistake, and its
   * earlier failures count against the machines on which they happened.
   */
  recordSuccess(job: JobId, machine: MachineId): void {
    this.succeededElsewhere.delete(machine)
    for (const failedOn of this.failuresByJob.get(job)?.lastFailureByMachine.keys() ?? []) {
      if (failedOn === machine) continue
      const jobs = this.succeededElsewhere.get(failedOn)
      if (jobs === undefined) this.succeededElsewhere.set(failedOn, new Set([job]))
      else jobs.add(job)
    }
    this.failuresByJob.delete(job)
  }

  /** Whether the job is suspect, that is, probably has a mistake. */
  isSuspect(job: JobId): boolean {
    return (this.failuresByJob.get(job)?.lastFailureByMachine.size ?? 0) >= SUSPECT_AFTER_MACHINES
  }

  /**
   * Whether the machine is probably faulty. Failures of jobs that succeed on no
   * machine don't count, so that a healthy machine isn't released because of
   * jobs with a mistake.
   */
  isFaulty(machine: MachineId): boolean {
    return (this.succeededElsewhere.get(machine)?.size ?? 0) >= FAULTY_AFTER_JOBS
  }

  /** Machines on which the job failed within the avoidance time; none if the job is suspect. */
  machinesToAvoid(job: JobId, now: MonotonicTime): ReadonlySet<MachineId> {
    const failures = this.failuresByJob.get(job)
    if (failures === undefined || this.isSuspect(job)) return NO_MACHINES
    const recent = [...failures.lastFailureByMachine].filter(
      ([, at]) => now < addMs(at, MACHINE_AVOIDANCE_MS),
    )
    return new Set(recent.map(([machine]) => machine))
  }

  /**
   * Number of queued tasks for which machines, quota and rentals may be
   * requested. It is limited for a suspect job, so that machines aren't rented
   * again and again for the whole queue of a job with a mistake.
   */
  startableCount(job: JobState, now: MonotonicTime): number {
    if (!this.isSuspect(job.id)) return job.queuedCount
    if (job.retryAfter !== null && now < job.retryAfter) return 0
    return Math.min(job.queuedCount, Math.max(0, MAX_SUSPECT_TASKS - job.placements.size))
  }

  /** Discards the failures of a job that is over. */
  removeJob(job: JobId): void {
    this.failuresByJob.delete(job)
  }

  /** Discards the failures recorded against a machine. */
  removeMachine(machine: MachineId): void {
    this.succeededElsewhere.delete(machine)
  }
}
const NO_MACHINES: ReadonlySet<MachineId> = new Set()
