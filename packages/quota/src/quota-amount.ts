/**
 * Arithmetic of quota amounts. An amount is a pair of resources, each with its own limit. Stateless; how
 * quota is allocated is decided elsewhere.
 */
import { EPSILON } from "@sorreltally/planner"
import { isLimited, type Team } from "@sorreltally/settings"

/** Quota of one team, in cores and accelerators; cores may be fractional. */
export interface QuotaAmount {
  readonly cpus: number
  readonly gpus: number
}

/** No quota: the allocation of a shard before its first change. */
export const NO_QUOTA: QuotaAmount = { cpus: 0, gpus: 0 }

/** The minimum of two amounts for each resource. */
export const minimum = (a: QuotaAmount, b: QuotaAmount): QuotaAmount => ({
  cpus: Math.min(a.cpus, b.cpus),
  gpus: Math.min(a.gpus, b.gpus),
})

/** The sum of two amounts. */
export const add = (a: QuotaAmount, b: QuotaAmount): QuotaAmount => ({
  cpus: a.cpus + b.cpus,
  gpus: a.gpus + b.gpus,
})

/** The difference of two amounts; negative for a resource where `b` is larger. */
export const subtract = (a: QuotaAmount, b: QuotaAmount): QuotaAmount => ({
  cpus: a.cpus - b.cpus,
  gpus: a.gpus - b.gpus,
})

/** Whether `a` is larger than `b` in any resource. */
export const exceeds = (a: QuotaAmount, b: QuotaAmount): boolean => a.cpus > b.cpus || a.gpus > b.gpus

/** Whether the quota is enough for the task to start. */
export const covers = (quota: QuotaAmount, task: QuotaAmount): boolean =>
  task.cpus <= quota.cpus + EPSILON && task.gpus <= quota.gpus + EPSILON

/** The amount with resources that have no limit set to 0, because those are not allocated. */
export const limitedResources = ({ maxCpus, maxGpus }: Team, amount: QuotaAmount): QuotaAmount => ({
  cpus: isLimited(maxCpus) ? amount.cpus : 0,
  gpus: isLimited(maxGpus) ? amount.gpus : 0,
})

/** Whether the team has a limit for any resource. */
export const isTeamLimited = ({ maxCpus, maxGpus }: Team): boolean => isLimited(maxCpus) || isLimited(maxGpus)
