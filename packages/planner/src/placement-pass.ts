/** The first half of a plan: places queued tasks of all jobs on ready machines, in scheduling order. */
import type { JobId, ZoneName } from "@sorreltally/protocol"
import type { ReadyCapacity } from "./fleet.ts"
import { canWait, groupConsecutive } from "./image-affinity.ts"
import type { JobView, Snapshot } from "./input.ts"
import type { PlannedPlacement } from "./output.ts"
import { placeJob } from "./placement.ts"
import { countBoostedTasks, isOverdue } from "./starvation.ts"

/** Task counts of a job, updated as the pass places tasks. */
export interface JobProgress {
  queued: number
  running: number
  /**
   * Number of uncleared tasks by zone. Includes tasks placed earlier in the pass, since a job may be
   * considered more than once.
   */
  tasksByZone: ReadonlyMap<ZoneName, number>
}

/** Placements of the pass, and the task counts that it leaves. */
export interface PlacementResult {
  readonly placements: ReadonlyArray<PlannedPlacement>
  readonly progress: ReadonlyMap<JobId, JobProgress>
}

/**
 * Places some tasks of overdue jobs first, then all tasks tier by tier. Within consecutive jobs that can
 * wait, each first takes the machines that have its image cached.
 */
export const placeQueuedTasks = (
  tiers: ReadonlyArray<ReadonlyArray<JobView>>,
  ready: ReadyCapacity,
  snapshot: Snapshot,
): PlacementResult => {
  const jobs = tiers.flat()
  const placements: Array<PlannedPlacement> = []
  const progress = new Map<JobId, JobProgress>(
    jobs.map(({ id, queued, running, tasksByZone }) => [id, { queued, running, tasksByZone }]),
  )
  const place = (job: JobView, taskLimit: number, cachedOnly = false) => {
    const jobProgress = progress.get(job.id)!
    if (!job.mayStart || jobProgress.queued === 0) return
    const tasksByZone = new Map(jobProgress.tasksByZone)
    jobProgress.tasksByZone = tasksByZone
    const maxTasks = Math.min(jobProgress.queued, taskLimit)
    const placed = placeJob({ job, maxTasks, cachedOnly, tasksByZone }, ready, snapshot, placements)
    jobProgress.queued -= placed
    jobProgress.running += placed
  }
  const placeGroup = (group: ReadonlyArray<JobView>) => {
    if (group.length > 1) for (const job of group) place(job, job.queued, true)
    for (const job of group) place(job, job.queued)
  }
  for (const job of jobs) if (isOverdue(job)) place(job, countBoostedTasks(job))
  for (const tier of tiers) for (const group of groupConsecutive(tier, canWait)) placeGroup(group)
  return { placements, progress }
}
