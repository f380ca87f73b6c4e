/** How many machines a job needs beyond those that it has: the deadline formula, or the base fleet. */
import type { MachineGroup } from "./bins.ts"
import { EPSILON, slotsIn, subtractTasks } from "./capacity.ts"
import { extraResources, newMachinesComeInTime } from "./deadline.ts"
import { isEligible } from "./eligibility.ts"
import type { JobView, Snapshot } from "./input.ts"

/** Without a stated aim, the base fleet starts a job's queue within this time. */
const DEFAULT_START_WITHIN_S = 120

/** What a job counts on beyond the machines that are ready, in slots. */
export interface Provision {
  /** On machines that boot. */
  readonly requestedSlots: number
  /** On machines to ask for. */
  readonly shortfall: number
}

/** The tasks of a job for which machines are to be found. */
export interface ProvisionDemand {
  readonly job: JobView
  readonly queued: number
  readonly running: number
  /** Slots to count on at most: what the team's limit allows. */
  readonly maxSlots: number
}

/** Slots to ask for beyond what runs and what boots; takes what it counts on from `booting`. */
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
  // Machines asked for on this job's behalf come first, then capacity that others left on theirs.
  for (const isOwn of [true, false]) {
    for (const group of groups) {
      for (const bin of group.bins) {
        if ((bin.machine.assignedJob === job.id) !== isOwn) continue
        const missing = computeShortfall(requestedSlots)
        if (missing === 0) return { requestedSlots: requestedSlots, shortfall: missing }
        const slots = Math.min(missing, slotsIn(job.spec, bin.free))
        bin.free = subtractTasks(bin.free, job.spec, slots)
        requestedSlots += slots
      }
      group.bins = group.bins.filter((bin) => bin.free.cores > EPSILON)
    }
  }
  return { requestedSlots: requestedSlots, shortfall: computeShortfall(requestedSlots) }
}

/** Slots needed beyond those that run and those already requested. */
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
 * Without a deadline, enough slots to start the queue in half the time in
 * which the objectives want it started. What runs now makes room in time only if
 * that leaves more than one round.
 */
const baseFleetSlots = (job: JobView, queued: number, running: number, requestedSlots: number): number => {
  const horizonS = Math.max(0, (job.startWithinS ?? DEFAULT_START_WITHIN_S) / 2 - job.ageS)
  const rounds = Math.max(1, Math.floor(horizonS / job.executionS) + 1)
  return Math.max(0, Math.ceil(queued / rounds) - (rounds > 1 ? running : 0) - requestedSlots)
}

/** Can spot machines that the job may use be asked for? */
export const spotAvailable = (job: JobView, { offers }: Pick<Snapshot, "offers">): boolean =>
  offers.some((offer) => offer.spot && isEligible(job.spec, offer))

/**
 * On-demand machines cost several times as much. They are the fall-back where
 * what runs now ends too late for the queue, and are asked for no sooner than
 * they have to be: until then spot may open again, or another shard lend.
 */
export const onDemandJustified = (job: JobView, lateTasks: number, deploymentS: number): boolean => {
  if (!job.spec.spotAllowed) return true
  if (lateTasks === 0) return false
  if (job.timeLeftS === null) {
    return (job.startWithinS ?? 2 * deploymentS) - job.ageS < 1.5 * deploymentS
  }
  const slackS = job.timeLeftS - job.executionS - deploymentS
  // Half a run more than it takes: owners' estimates are often that far off.
  const soon = slackS < (deploymentS + job.executionS) / 2
  return soon && slackS > 0 && newMachinesComeInTime(job.executionS, job.timeLeftS, deploymentS)
}
