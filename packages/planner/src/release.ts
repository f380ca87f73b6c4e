/** Machines that jobs give back to the pool, one at a time each. */
import type { JobId, MachineId } from "@sorreltally/protocol"
import { type Bin, isIdle } from "./bins.ts"
import { canRelease } from "./deadline.ts"
import { type JobView, slotsIn } from "./model.ts"

export const releaseMachine = (
  job: JobView,
  held: ReadonlyArray<Bin>,
  running: number,
  assignedJobs: Map<MachineId, JobId | null>,
  pending = 0,
): void => {
  let idlest: Bin | null = null
  let free = 0
  for (const slot of held) {
    free += slotsIn(job.spec, slot.free)
    const { state, busyTasks } = slot.machine
    if (state === "ready" && (idlest === null || busyTasks < idlest.machine.busyTasks)) idlest = slot
  }
  if (idlest === null) return
  const input = {
    pendingTasks: pending,
    resources: running + free,
    executionTime: job.executionS,
    timeLeft: job.timeLeftS ?? Number.POSITIVE_INFINITY,
  }
  if (pending === 0 || canRelease(input, slotsIn(job.spec, idlest.machine.type)))
    assignedJobs.set(idlest.machine.id, null)
}

/** A job held back by its team's limit gives back a machine on which the limit lets nothing run. */
export const releaseIdle = (held: ReadonlyArray<Bin>, assignedJobs: Map<MachineId, JobId | null>): void => {
  const idle = held.find(isIdle)
  if (idle !== undefined) assignedJobs.set(idle.machine.id, null)
}
