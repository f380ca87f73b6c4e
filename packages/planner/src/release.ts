/** Releases of machines by jobs to the shared pool, one machine at a time. */
import type { JobId, MachineId } from "@sorreltally/protocol"
import { type Bin, isIdle } from "./bins.ts"
import { slotsIn } from "./capacity.ts"
import { canRelease } from "./deadline.ts"
import type { JobView } from "./input.ts"

/** Task counts of a job after the placement pass. */
interface TaskCounts {
  readonly queued: number
  readonly running: number
}

/** Releases the job's least busy machine if no task is queued, or if the deadline is met without it. */
export const releaseMachine = (
  job: JobView,
  assignedBins: ReadonlyArray<Bin>,
  { queued, running }: TaskCounts,
  assignedJobs: Map<MachineId, JobId | null>,
): void => {
  let leastBusy: Bin | null = null
  let freeSlots = 0
  for (const bin of assignedBins) {
    freeSlots += slotsIn(job.spec, bin.free)
    const { state, busyTasks } = bin.machine
    if (state === "ready" && (leastBusy === null || busyTasks < leastBusy.machine.busyTasks)) leastBusy = bin
  }
  if (leastBusy === null) return
  const input = {
    pendingTasks: queued,
    resources: running + freeSlots,
    executionTime: job.executionS,
    timeLeft: job.timeLeftS ?? Number.POSITIVE_INFINITY,
  }
  if (queued === 0 || canRelease(input, slotsIn(job.spec, leastBusy.machine.type)))
    assignedJobs.set(leastBusy.machine.id, null)
}

/** Releases an idle machine of a job that its team's limit keeps from using it. */
export const releaseIdleMachine = (
  assignedBins: ReadonlyArray<Bin>,
  assignedJobs: Map<MachineId, JobId | null>,
): void => {
  const idle = assignedBins.find(isIdle)
  if (idle !== undefined) assignedJobs.set(idle.machine.id, null)
}
