/** The first half of a plan: queued tasks of all jobs go to ready machines, in scheduling order. */
import type { JobId, ZoneName } from "@sorreltally/protocol"
import type { ReadyCapacity } from "./fleet.ts"
import { canWait, groupConsecutive } from "./image-affinity.ts"
import type { JobView, Snapshot } from "./input.ts"
import type { PlannedPlacement } from "./output.ts"
import { placeJob } from "./placement.ts"
import { countBoostedTasks, isOverdue } from "./starvation.ts"

/** A job's tasks once the pass placed some of them. */
export interface JobProgress {
  queued: number
  running: number
  /** Uncleared tasks by zone. A job may be looked at twice: those placed a moment ago count. */
  tasksByZone: ReadonlyMap<ZoneName, number>
}

/** What the pass decided, and what it left. */
export interface PlacementResult {
  readonly placements: ReadonlyArray<PlannedPlacement>
  readonly progress: ReadonlyMap<JobId, JobProgress>
}

/**
 * Jobs of which nothing began for long go first with some of their tasks; then tier after tier. In
 * a run of jobs that can wait, each first takes the machines that have its image.
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
  const place = (job: JobView, limit: number, cachedOnly = false) => {
    const jobProgress = progress.get(job.id)!
    if (!job.mayStart || jobProgress.queued === 0) return
    const tasksByZone = new Map(jobProgress.tasksByZone)
    jobProgress.tasksByZone = tasksByZone
    const maxTasks = Math.min(jobProgress.queued, limit)
    const placed = placeJob({ job, maxTasks, cachedOnly, tasksByZone }, ready, snapshot, placements)
    jobProgress.queued -= placed
    jobProgress.running += placed
  }
  const placeGroup = (group: ReadonlyArray<JobView>) => {
    if (group.length > 1) for (const job of group) place(job, job.queued, true)
    for (const job of group) place(job, job.queued)
  }
  for (const job of jobs) if (isOverdue(job)) place(job, countBoostedTasks(job))
  for (const tier of tiers) for (const run of groupConsecutive(tier, canWait)) placeGroup(run)
  return { placements, progress }
}
