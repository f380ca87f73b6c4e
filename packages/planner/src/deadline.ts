/**
 * The deadline formula of the paper's Spot Instance-Aware Provisioning Algorithm (section 4.6,
 * Algorithm 1), with the interpretations that docs/design.md lists. Names are the paper's: `resources`
 * are task slots, not machines; all times are in seconds. Pure arithmetic, without jobs, machines or a clock.
 */

/** Inputs of the formula, lines 2 to 5 and 10 of Algorithm 1. */
export interface DeadlineInput {
  /** Number of queued tasks. */
  readonly pendingTasks: number
  /** Slots available to the job. */
  readonly resources: number
  /** Slots on requested machines that are still booting. */
  readonly requestedResources: number
  /** The updated estimate of a task's run time. */
  readonly executionTime: number
  /** Time until the job's deadline; negative once it is missed. */
  readonly timeLeft: number
  /** Time from requesting a machine until it accepts tasks. */
  readonly deploymentTime: number
}

/**
 * Line 6: (⌈pendingTasks / resources⌉ + 1) × executionTime. The extra round is for the running tasks,
 * which have to end before queued ones start. Infinite without slots.
 */
export const requiredTime = (pendingTasks: number, resources: number, executionTime: number): number =>
  resources <= 0 ? Number.POSITIVE_INFINITY : (Math.ceil(pendingTasks / resources) + 1) * executionTime

/** Lines 8 and 9: rounds of execution time until the deadline (α) and until new machines accept them (β). */
const roundsLeft = ({
  executionTime,
  timeLeft,
  deploymentTime,
}: Pick<DeadlineInput, "executionTime" | "timeLeft" | "deploymentTime">): {
  readonly alpha: number
  readonly beta: number
} => ({ alpha: Math.floor(timeLeft / executionTime), beta: Math.floor(deploymentTime / executionTime) })

/** Line 11, α − β > 0: whether machines requested now accept tasks before the deadline. */
export const newMachinesComeInTime = (
  executionTime: number,
  timeLeft: number,
  deploymentTime: number,
): boolean => {
  const { alpha, beta } = roundsLeft({ executionTime, timeLeft, deploymentTime })
  return alpha - beta > 0
}

/** Lines 7 to 16: number of slots to request so that the deadline is met, from 0 to `pendingTasks`. */
export const extraResources = (input: DeadlineInput): number => {
  const { pendingTasks, resources, requestedResources, executionTime, timeLeft } = input
  if (pendingTasks === 0 || requiredTime(pendingTasks, resources, executionTime) <= timeLeft) return 0
  const { alpha, beta } = roundsLeft(input)
  const totalResources = resources + requestedResources
  const extra =
    alpha - beta > 0
      ? Math.ceil(((1 - alpha) * totalResources + pendingTasks) / (alpha - beta))
      : pendingTasks - (beta + 1) * totalResources
  return Math.max(0, Math.min(extra, pendingTasks))
}

/** Lines 22 to 25: whether the job may release a machine with this many slots and still meet its deadline. */
export const canRelease = (
  input: Pick<DeadlineInput, "pendingTasks" | "resources" | "executionTime" | "timeLeft">,
  slotsOfMachine: number,
): boolean =>
  input.resources > 1 &&
  requiredTime(input.pendingTasks, input.resources - slotsOfMachine, input.executionTime) < input.timeLeft
