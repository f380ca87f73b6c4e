/** Machines that jobs release to the pool, one at a time each. */
import type { JobId, MachineId } from "@sorreltally/protocol"
import { type Bin, isIdle } from "./bins.ts"
import { slotsIn } from "./capacity.ts"
import { canRelease } from "./deadline.ts"
import type { JobView } from "./input.ts"

/** Tasks of a job as the plan leaves them. */
interface TaskCounts {
  readonly queued: number
  readonly running: number
}

/** Releases the job's least busy machine if nothing is queued, or if one fewer still meets its deadline. */
export const releaseMachine = (
  job: JobView,
  assigned: ReadonlyArray<Bin>,
  { queued, running }: TaskCounts,
  assignedJobs: Map<MachineId, JobId | null>,
): void => {
  let leastBusy: Bin | null = null
  let freeSlots = 0
  for (const bin of assigned) {
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

/** A job held back by its team's limit releases a machine on which the limit lets nothing run. */
export const releaseIdleMachine = (
  assigned: ReadonlyArray<Bin>,
  assignedJobs: Map<MachineId, JobId | null>,
): void => {
  const idle = assigned.find(isIdle)
  if (idle !== undefined) assignedJobs.set(idle.machine.id, null)
}
