/**
 * The deadline formula of the paper's Spot Instance-Aware Provisioning
 * Algorithm (section 4.6, Algorithm 1), with the readings that docs/design.md
 * lists. Everything is counted in task slots; times are in seconds.
 */
export interface DeadlineInput {
  readonly pendingTasks: number
  /** Slots the job holds. */
  readonly resources: number
  /** Slots on machines that were asked for and are still coming. */
  readonly requestedResources: number
  readonly executionTime: number
  readonly timeLeft: number
  readonly deploymentTime: number
}

/** How long the queued tasks still take; those that run have to end first, hence the extra round. */
export const requiredTime = (pendingTasks: number, resources: number, executionTime: number): number =>
  resources <= 0 ? Number.POSITIVE_INFINITY : (Math.ceil(pendingTasks / resources) + 1) * executionTime

export const extraResources = (input: DeadlineInput): number => {
  const { pendingTasks, resources, requestedResources, executionTime, timeLeft, deploymentTime } = input
  if (pendingTasks === 0 || requiredTime(pendingTasks, resources, executionTime) <= timeLeft) return 0
  const alpha = Math.floor(timeLeft / executionTime)
  const beta = Math.floor(deploymentTime / executionTime)
  const total = resources + requestedResources
  const extra =
    alpha - beta > 0
      ? Math.ceil(((1 - alpha) * total + pendingTasks) / (alpha - beta))
      : pendingTasks - (beta + 1) * total
  return Math.max(0, Math.min(extra, pendingTasks))
}

/** May the job give a machine with this many slots back and still meet its deadline? */
export const canRelease = (
  input: Pick<DeadlineInput, "pendingTasks" | "resources" | "executionTime" | "timeLeft">,
  slotsOfMachine: number,
): boolean =>
  input.resources > 1 &&
  requiredTime(input.pendingTasks, input.resources - slotsOfMachine, input.executionTime) < input.timeLeft

/** The paper's test that machines asked for now are up before the deadline: alpha - beta > 0. */
export const newMachinesComeInTime = (
  executionTime: number,
  timeLeft: number,
  deploymentTime: number,
): boolean => Math.floor(timeLeft / executionTime) - Math.floor(deploymentTime / executionTime) > 0
