/**
 * Owns the judgement whether a failed task is due to its job, which may have
 * been submitted with a mistake and fails everywhere, or to its machine, which
 * may be faulty. Which jobs failed where, and which succeeded elsewhere since,
 * distinguishes them. It never stops a job or releases a machine itself.
 */

import { addMs, type JobId, type MachineId, type MonotonicTime } from "@sorreltally/protocol"
import type { JobState } from "./job-state.ts"

/** A job that failed on this many machines, and succeeded on none since, probably has a mistake. */
const SUSPECT_AFTER_MACHINES = 2
/** A machine on which this many jobs failed that succeeded elsewhere is faulty. */
const FAULTY_AFTER_JOBS = 2
/** Tasks of a suspect job that are tried at a time. */
const MAX_SUSPECT_TASKS = 1
/** Below the rank of any priority: a suspect job delays no other. */
export const SUSPECT_RANK = -1
/** A job leaves a machine on which it failed alone for this long, or until it is suspect itself. */
const MACHINE_AVOIDANCE_MS = 30_000
const INITIAL_BACKOFF_MS = 500
/** Bounded, so that a job that no longer fails is noticed. */
const MAX_BACKOFF_MS = 30_000

interface JobFailures {
  /** Where it failed since one of its tasks last succeeded, and when it last did so there. */
  readonly lastFailureByMachine: Map<MachineId, MonotonicTime>
  count: number
}

/** The failures of one shard's tasks, as far as they still distinguish jobs from machines. */
export class FailureTracker {
  private readonly failuresByJob = new Map<JobId, JobFailures>()
  /** Jobs that failed on a machine and succeeded on another since. */
  private readonly succeededElsewhere = new Map<MachineId, Set<JobId>>()

  /** A task of the job failed by itself. Returns how long the job has to pause, in ms; 0: it needn't. */
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

  /** A task of the job completed: the job has no mistake, and where it failed before is suspect. */
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

  /** Whether the job probably has a mistake. */
  isSuspect(job: JobId): boolean {
    return (this.failuresByJob.get(job)?.lastFailureByMachine.size ?? 0) >= SUSPECT_AFTER_MACHINES
  }

  /**
   * Whether the machine probably is faulty. Guards against machines that are
   * released for the errors of jobs with a mistake: those succeed nowhere.
   */
  isFaulty(machine: MachineId): boolean {
    return (this.succeededElsewhere.get(machine)?.size ?? 0) >= FAULTY_AFTER_JOBS
  }

  /** Machines on which the job failed a moment ago, unless it is suspect itself. */
  machinesToAvoid(job: JobId, now: MonotonicTime): ReadonlySet<MachineId> {
    const failures = this.failuresByJob.get(job)
    if (failures === undefined || this.isSuspect(job)) return NO_MACHINES
    const recent = [...failures.lastFailureByMachine].filter(
      ([, at]) => now < addMs(at, MACHINE_AVOIDANCE_MS),
    )
    return new Set(recent.map(([machine]) => machine))
  }

  /**
   * Queued tasks that machines, quota and rentals may be demanded for. Guards
   * against a job with a mistake for whose whole queue machines are rented
   * again and again.
   */
  startableCount(job: JobState, now: MonotonicTime): number {
    if (!this.isSuspect(job.id)) return job.queuedCount
    if (job.retryAfter !== null && now < job.retryAfter) return 0
    return Math.min(job.queuedCount, Math.max(0, MAX_SUSPECT_TASKS - job.placements.size))
  }

  /** The job is over: its failures no longer matter. */
  removeJob(job: JobId): void {
    this.failuresByJob.delete(job)
  }

  /** What failed on the machine no longer matters. */
  removeMachine(machine: MachineId): void {
    this.succeededElsewhere.delete(machine)
  }
}
const NO_MACHINES: ReadonlySet<MachineId> = new Set()
