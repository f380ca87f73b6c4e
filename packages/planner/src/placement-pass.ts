/** The first half of a plan: queued tasks of all jobs go to ready machines, in scheduling order. */
import type { JobId, ZoneName } from "@sorreltally/protocol"
import type { ReadyCapacity } from "./fleet.ts"
import { canWait, runsOf } from "./image-affinity.ts"
import type { JobView, Snapshot } from "./input.ts"
import type { PlannedPlacement } from "./output.ts"
import { placeJob } from "./placement.ts"
import { isOverdue, tasksToBegin } from "./starvation.ts"

/** A job's tasks once the pass placed some of them. */
export interface JobProgress {
  queued: number
  running: number
  /** Uncleared tasks by zone. A job may be looked at twice: those placed a moment ago count. */
  zones: ReadonlyMap<ZoneName, number>
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
    jobs.map(({ id, queued, running, zones }) => [id, { queued, running, zones }]),
  )
  const place = (job: JobView, limit: number, cachedOnly = false) => {
    const tasks = progress.get(job.id)!
    if (!job.mayStart || tasks.queued === 0) return
    const zones = new Map(tasks.zones)
    tasks.zones = zones
    const maxTasks = Math.min(tasks.queued, limit)
    const placed = placeJob({ job, maxTasks, cachedOnly, zones }, ready, snapshot, placements)
    tasks.queued -= placed
    tasks.running += placed
  }
  const placeRun = (run: ReadonlyArray<JobView>) => {
    if (run.length > 1) for (const job of run) place(job, job.queued, true)
    for (const job of run) place(job, job.queued)
  }
  for (const job of jobs) if (isOverdue(job)) place(job, tasksToBegin(job))
  for (const tier of tiers) for (const run of runsOf(tier, canWait)) placeRun(run)
  return { placements, progress }
}
