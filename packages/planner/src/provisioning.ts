/**
 * Number of slots that a job needs beyond the ready machines: by the deadline formula, or by the base
 * fleet for a job without a deadline.
 */
import type { MachineGroup } from "./bins.ts"
import { EPSILON, slotsIn, subtractTasks } from "./capacity.ts"
import { extraResources, newMachinesComeInTime } from "./deadline.ts"
import { isEligible } from "./eligibility.ts"
import type { JobView, Snapshot } from "./input.ts"

/** Time within which the base fleet starts the queue of a job without an objective. */
const DEFAULT_START_WITHIN_S = 120

/** Slots that a job relies on beyond the ready machines. */
export interface Provision {
  /** Slots on booting machines. */
  readonly requestedSlots: number
  /** Slots on machines that have yet to be requested. */
  readonly shortfall: number
}

/** Tasks of a job for which machines are needed. */
export interface ProvisionDemand {
  readonly job: JobView
  readonly queued: number
  readonly running: number
  /** Maximum number of slots, from the team's limit. */
  readonly maxSlots: number
}

/**
 * Plans the slots for a job's queued tasks: first on booting machines, whose capacity it takes from
 * `booting`, then on machines to request.
 */
export const planProvision = (
  demand: ProvisionDemand,
  booting: ReadonlyArray<MachineGroup>,
  deploymentS: number,
): Provision => {
  const { job, maxSlots } = demand
  const computeShortfall = (requestedSlots: number): number =>
    Math.min(slotsNeeded(demand, requestedSlots, deploymentS), maxSlots - requestedSlots)
  let requestedSlots = 0
  const groups = booting.filter((group) => group.bins.length > 0 && isEligible(job.spec, group))
  // Machines requested for this job come first, then spare capacity of machines requested for other jobs.
  for (const isOwn of [true, false]) {
    for (const group of groups) {
      for (const bin of group.bins) {
        if ((bin.machine.assignedJob === job.id) !== isOwn) continue
        const missingSlots = computeShortfall(requestedSlots)
        if (missingSlots === 0) return { requestedSlots, shortfall: missingSlots }
        const slots = Math.min(missingSlots, slotsIn(job.spec, bin.free))
        bin.free = subtractTasks(bin.free, job.spec, slots)
        requestedSlots += slots
      }
      group.bins = group.bins.filter((bin) => bin.free.cores > EPSILON)
    }
  }
  return { requestedSlots, shortfall: computeShortfall(requestedSlots) }
}

/** Number of slots needed beyond running tasks and requested slots. */
const slotsNeeded = (
  { job, queued, running }: ProvisionDemand,
  requestedSlots: number,
  deploymentS: number,
): number =>
  job.timeLeftS === null
    ? baseFleetSlots(job, queued, running, requestedSlots)
    : extraResources({
        pendingTasks: queued,
        resources: running,
        requestedResources: requestedSlots,
        executionTime: job.executionS,
        timeLeft: job.timeLeftS,
        deploymentTime: deploymentS,
      })

/**
 * Slots for a job without a deadline: enough to start its queue in half the time that the objectives allow.
 * Slots of running tasks count only if this leaves time for more than one round.
 */
const baseFleetSlots = (job: JobView, queued: number, running: number, requestedSlots: number): number => {
  const horizonS = Math.max(0, (job.startWithinS ?? DEFAULT_START_WITHIN_S) / 2 - job.ageS)
  const rounds = Math.max(1, Math.floor(horizonS / job.executionS) + 1)
  return Math.max(0, Math.ceil(queued / rounds) - (rounds > 1 ? running : 0) - requestedSlots)
}

/** Whether spot machines are offered on which the job may run. */
export const isSpotAvailable = (job: JobView, { offers }: Pick<Snapshot, "offers">): boolean =>
  offers.some((offer) => offer.spot && isEligible(job.spec, offer))

/**
 * Whether on-demand machines may be requested for the job. They cost several times as much as spot ones and
 * are the fallback if running tasks end too late for the queue. They are requested as late as possible: until
 * then spot capacity may become available again, or another shard may lend machines.
 */
export const isOnDemandJustified = (job: JobView, lateTasks: number, deploymentS: number): boolean => {
  if (!job.spec.spotAllowed) return true
  if (lateTasks === 0) return false
  if (job.timeLeftS === null) {
    return (job.startWithinS ?? 2 * deploymentS) - job.ageS < 1.5 * deploymentS
  }
  const slackS = job.timeLeftS - job.executionS - deploymentS
  // Half of deployment and run time as margin, since owners' estimates are often wrong by half.
  const isDueSoon = slackS < (deploymentS + job.executionS) / 2
  return isDueSoon && slackS > 0 && newMachinesComeInTime(job.executionS, job.timeLeftS, deploymentS)
}
