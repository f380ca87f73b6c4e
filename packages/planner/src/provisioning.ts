/** How many machines a job needs beyond those that it has: the deadline formula, or the base fleet. */

import type { MachineGroup } from "./bins.ts"
import { extraResources, newMachinesComeInTime } from "./deadline.ts"
import { allowed, EPSILON, type JobView, minus, type Snapshot, slotsIn } from "./model.ts"

/** What a job counts on beyond the machines that are up, in slots. */
export interface Provision {
  /** On machines that are coming. */
  readonly requested: number
  /** On machines to ask for. */
  readonly missing: number
}

/**
 * Slots to ask for beyond what runs and what is coming; takes what it counts
 * on from `coming`. Never more than `most`, which the team's limit allows.
 */
export const planProvision = (
  job: JobView,
  pending: number,
  running: number,
  most: number,
  coming: ReadonlyArray<MachineGroup>,
  snapshot: Snapshot,
): Provision => {
  const needed = (requestedResources: number): number =>
    job.timeLeftS !== null
      ? extraResources({
          pendingTasks: pending,
          resources: running,
          requestedResources,
          executionTime: job.executionS,
          timeLeft: job.timeLeftS,
          deploymentTime: snapshot.deploymentS,
        })
      : baseFleet(job, pending, running, requestedResources)
  const extra = (requested: number): number => Math.min(needed(requested), most - requested)
  // Machines asked for on this job's behalf come first, then room that others left on theirs.
  let requested = 0
  const kinds = coming.filter((kind) => kind.slots.length > 0 && allowed(job.spec, kind))
  for (const own of [true, false]) {
    for (const kind of kinds) {
      for (const slot of kind.slots) {
        if ((slot.machine.assignedJob === job.id) !== own) continue
        const missing = extra(requested)
        if (missing === 0) return { requested, missing }
        const take = Math.min(missing, slotsIn(job.spec, slot.free))
        slot.free = minus(slot.free, job.spec, take)
        requested += take
      }
      kind.slots = kind.slots.filter((s) => s.free.cores > EPSILON)
    }
  }
  return { requested, missing: extra(requested) }
}

/**
 * Without a deadline, enough slots to start the queue in half the time in
 * which the aims want it started. What runs now makes room in time only if
 * that leaves more than one round.
 */
const baseFleet = (job: JobView, pending: number, running: number, requested: number): number => {
  const horizon = Math.max(0, (job.startWithinS ?? 120) / 2 - job.ageS)
  const rounds = Math.max(1, Math.floor(horizon / job.executionS) + 1)
  return Math.max(0, Math.ceil(pending / rounds) - (rounds > 1 ? running : 0) - requested)
}

export const spotAvailable = (job: JobView, snapshot: Snapshot): boolean =>
  snapshot.market.some((option) => option.spot && allowed(job.spec, option))

/**
 * Steady machines cost several times as much. They are the fall-back where
 * what runs now ends too late for the queue, and are asked for no sooner than
 * they have to be: until then spot may open again, or another part lend.
 */
export const onDemandJustified = (job: JobView, late: number, deploymentS: number): boolean => {
  if (!job.spec.spotAllowed) return true
  if (late === 0) return false
  if (job.timeLeftS === null) {
    return (job.startWithinS ?? 2 * deploymentS) - job.ageS < 1.5 * deploymentS
  }
  const spareS = job.timeLeftS - job.executionS - deploymentS
  // Half a run more than it takes: owners' estimates are often that far off.
  const soon = spareS < (deploymentS + job.executionS) / 2
  return soon && spareS > 0 && newMachinesComeInTime(job.executionS, job.timeLeftS, deploymentS)
}
